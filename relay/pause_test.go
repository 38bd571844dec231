package relay

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"buckthornpin"
)

func paused(a *Answer, d time.Duration) *Answer {
	a.Pause = buckthornpin.StatedPause{For: d}
	return a
}

// TestEndpointThatWantsAPause guards against requests to an endpoint that has turned one away
// and wants none for a time. Where no other endpoint is left, requests are refused at once and
// told when the pause ends.
func TestEndpointThatWantsAPause(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		useEndpoints(t, onlyEndpoint)
		r, first, s, _ := scriptedRouter(t, step{answer: paused(notRun(), 2*time.Second)}, step{answer: plain(200, "ok")})
		serveOnce(r, "/safe/x", first)
		require.Equal(t, ReasonPaused, first.refusal.Reason)
		for range 5 {
			second, started := &callerRecorder{}, time.Now()
			serveOnce(r, "/safe/x", second)
			require.Equal(t, ReasonPaused, second.refusal.Reason)
			require.Zero(t, time.Since(started), "a refusal that is certain is given at once")
			require.Positive(t, second.refusal.RetryAfter)
			require.LessOrEqual(t, second.refusal.RetryAfter, 2*time.Second)
		}
		require.Len(t, s.sent, 1)
		time.Sleep(2 * time.Second)
		last := &callerRecorder{}
		serveOnce(r, "/safe/x", last)
		require.Equal(t, "ok", last.body.String())
	})
}

// TestPauseGoesElsewhere checks that requests and retries go to other endpoints meanwhile.
func TestPauseGoesElsewhere(t *testing.T) {
	r, reply, s, _ := scriptedRouter(t,
		step{answer: paused(notRun(), time.Second)}, step{answer: plain(200, "a")}, step{answer: plain(500, "bad")}, step{answer: plain(200, "b")})
	serveOnce(r, "/safe/x", reply)
	serveOnce(r, "/safe/x", reply)
	require.Equal(t, "ab", reply.body.String())
	for _, d := range s.sent[1:] {
		require.NotEqual(t, s.sent[0].Endpoint.ID, d.Endpoint.ID)
	}
}

// TestUnreadablePauseChangesNothing checks that neither an unreadable pause nor one that the
// endpoint at a reused address wants keeps requests away.
func TestUnreadablePauseChangesNothing(t *testing.T) {
	useEndpoints(t, onlyEndpoint)
	unreadable := notRun()
	unreadable.Pause = buckthornpin.ParseStatedPause("soon", "", time.Now())
	misdirected := paused(notRun(), time.Minute)
	misdirected.Misdirected = true
	r, reply, s, _ := scriptedRouter(t, step{answer: unreadable}, step{answer: misdirected}, step{answer: plain(200, "ok")})
	for range 3 {
		serveOnce(r, "/safe/x", reply)
	}
	require.Len(t, s.sent, 3)
	require.Equal(t, "ok", reply.body.String())
}
