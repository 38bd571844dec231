package relay

import (
	"context"
	"testing"
	"time"

	"github.com/go-faster/errors"
	"github.com/rs/zerolog"
	"github.com/stretchr/testify/require"

	"buckthornpin"
	"buckthornpin/route"
	"buckthornpin/site"
)

// limitedRouter returns a router among others whose endpoints answer as scripted.
func limitedRouter(t *testing.T, steps ...step) (*Router, *script, *callerRecorder) {
	t.Helper()
	table := site.NewTable(site.Configuration{
		Version: 1, Services: []site.Service{{Name: "app"}},
		Routes: []site.Route{{
			Name: "safe", Host: "h", PathPrefix: "/", Kind: site.KindIdempotent, Shares: []site.Share{{Service: "app", Weight: 1}},
			Timeout: time.Second, MaxAttempts: 2,
		}},
	})
	reply, s := &callerRecorder{}, &script{t: t, steps: steps}
	return &Router{
		Site: func() *site.Table { return table }, Directory: reply, Endpoints: s, Funds: &account{}, Loads: reply, Log: zerolog.Nop(),
		Retries: &Retries{Ratio: 1, Slack: 100, Window: time.Minute, Routers: func() int { return 1 }},
		Limits:  &route.RateLimits{Sends: func() int { return 1 }}, Fleet: func(time.Time) route.Fleet { return route.Fleet{Self: "r1"} },
	}, s, reply
}

func serveOnce(r *Router, reply *callerRecorder) {
	*reply = callerRecorder{}
	r.Serve(context.Background(), &Request{ID: "r1", Method: "GET", Host: "h", Path: "/x", Arrived: time.Now()}, reply)
}

func limited(a *Answer, perSecond float64) *Answer {
	a.Limit = buckthornpin.StatedLimit{Stated: true, PerSecond: perSecond}
	return a
}

func onlyEndpoint(t *testing.T) {
	t.Helper()
	before := endpoints
	t.Cleanup(func() { endpoints = before })
	endpoints = []*buckthornpin.Endpoint{{ID: "e1", Capacity: 8}}
}

// TestUsedUpLimitIsRefusedAtOnce guards against requests that wait for a limit or go beyond
// it where no other endpoint is left.
func TestUsedUpLimitIsRefusedAtOnce(t *testing.T) {
	onlyEndpoint(t)
	r, _, reply := limitedRouter(t, step{answer: limited(plain(200, "ok"), 0.5)})
	serveOnce(r, reply)
	require.Equal(t, 200, reply.status)
	started := time.Now()
	serveOnce(r, reply)
	require.Equal(t, ReasonLimited, reply.refusal.Reason)
	require.Positive(t, reply.refusal.RetryAfter)
	require.Less(t, time.Since(started), 500*time.Millisecond)
}

// TestUsedUpLimitGoesElsewhere checks that requests go to the other endpoints while the
// limit of one is used up, retries included.
func TestUsedUpLimitGoesElsewhere(t *testing.T) {
	r, s, reply := limitedRouter(t,
		step{answer: limited(plain(200, "ok"), 0.5)}, step{answer: plain(500, "bad")}, step{answer: plain(200, "ok")})
	serveOnce(r, reply)
	serveOnce(r, reply)
	require.Equal(t, "ok", reply.body.String())
	first := s.sent[0].Endpoint.ID
	require.NotEqual(t, first, s.sent[1].Endpoint.ID)
	require.NotEqual(t, first, s.sent[2].Endpoint.ID)
}

// TestUnreadableLimitChangesNothing checks that neither an unreadable limit nor the answer
// of another endpoint at the address ends a limit or sets one.
func TestUnreadableLimitChangesNothing(t *testing.T) {
	onlyEndpoint(t)
	bad := plain(200, "ok")
	bad.Limit = buckthornpin.StatedLimit{Stated: true, Err: errors.New("unreadable")}
	misdirected := limited(notRun(), 1)
	misdirected.Misdirected = true
	r, _, reply := limitedRouter(t, step{answer: bad}, step{answer: misdirected})
	serveOnce(r, reply)
	require.Equal(t, 200, reply.status)
	serveOnce(r, reply)
	require.False(t, r.Limits.Active())
}
