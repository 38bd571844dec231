package relay

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"buckthornpin"
)

func limited(a *Answer, text string) *Answer {
	a.Limit = buckthornpin.ParseStatedLimit(text)
	return a
}

var onlyEndpoint = &buckthornpin.Endpoint{ID: "e1", Capacity: 8}

// TestUsedUpLimitIsRefusedAtOnce guards against requests that wait for a limit or go beyond
// it where no other endpoint is left.
func TestUsedUpLimitIsRefusedAtOnce(t *testing.T) {
	useEndpoints(t, onlyEndpoint)
	r, first, _, _ := scriptedRouter(t, step{answer: limited(plain(200, "ok"), "0.5")})
	serveOnce(r, "/safe/x", first)
	require.Equal(t, 200, first.status)
	started, second := time.Now(), &callerRecorder{}
	serveOnce(r, "/safe/x", second)
	require.Equal(t, ReasonLimited, second.refusal.Reason)
	require.Positive(t, second.refusal.RetryAfter)
	require.Less(t, time.Since(started), 100*time.Millisecond, "half of the route's timeout")
}

// TestUsedUpLimitGoesElsewhere checks that requests go to the other endpoints while the
// limit of one is used up, retries included.
func TestUsedUpLimitGoesElsewhere(t *testing.T) {
	r, reply, s, _ := scriptedRouter(t,
		step{answer: limited(plain(200, "first"), "0.5")}, step{answer: plain(500, "bad")}, step{answer: plain(200, "second")})
	serveOnce(r, "/safe/x", reply)
	serveOnce(r, "/safe/x", reply)
	require.Equal(t, "firstsecond", reply.body.String())
	limitedID := s.sent[0].Endpoint.ID
	require.NotEqual(t, limitedID, s.sent[1].Endpoint.ID)
	require.NotEqual(t, limitedID, s.sent[2].Endpoint.ID)
}

// TestUnreadableLimitChangesNothing checks that neither an unreadable limit nor the answer
// of another endpoint at the address ends a limit or sets one.
func TestUnreadableLimitChangesNothing(t *testing.T) {
	useEndpoints(t, onlyEndpoint)
	misdirected := limited(notRun(), "1")
	misdirected.Misdirected = true
	r, reply, _, _ := scriptedRouter(t, step{answer: limited(plain(200, "ok"), "many")}, step{answer: misdirected})
	serveOnce(r, "/safe/x", reply)
	require.Equal(t, 200, reply.status)
	serveOnce(r, "/safe/x", reply)
	require.Empty(t, r.Limits.All())
}
