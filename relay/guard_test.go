package relay

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"buckthornpin/site"
)

// TestGuardOnAFullLink: the pattern is an organisation whose callers all reach one
// router with far more than its link carries. About the link's part is admitted,
// evenly over time, and nothing is turned away at a load that fits.
func TestGuardOnAFullLink(t *testing.T) {
	const link, body, seconds = 1_250_000, 17_000, 10
	admitted := func(perSecond int) int {
		g, n := &Guard{LinkBytes: link}, 0
		start := time.Unix(1_000, 0)
		for i := range perSecond * seconds {
			if g.Admits(body, time.Second, start.Add(time.Duration(i)*time.Second/time.Duration(perSecond))) {
				n++
			}
		}
		return n
	}
	const part = link * linkShare * seconds / body
	require.InDelta(t, part, admitted(500), part/10)
	require.Equal(t, 30*seconds, admitted(30))
}

// TestGuardOnABusyProcessor: requests are turned away as long as the process gets
// the processor too late for their objective, and taken again soon after.
func TestGuardOnABusyProcessor(t *testing.T) {
	g, now := &Guard{}, time.Unix(1_000, 0)
	require.True(t, g.Admits(1, 300*time.Millisecond, now))
	g.observe(100 * time.Millisecond)
	require.False(t, g.Admits(1, 300*time.Millisecond, now))
	require.True(t, g.Admits(1, 2*time.Second, now))
	g.observe(0)
	g.observe(0)
	require.True(t, g.Admits(1, 300*time.Millisecond, now))
	require.Equal(t, int64(1), g.Turned())
}

// TestGuardOnAFullLinkSendsConnectionsElsewhere: the pattern is the same crowd.
// Turning requests away doesn't relieve the link, so the VM says that it takes no
// new connections, until the crowd has been gone for as long as the balancer needs.
func TestGuardOnAFullLinkSendsConnectionsElsewhere(t *testing.T) {
	g, start := &Guard{LinkBytes: 1_250_000, NoticedAfter: 2 * time.Second}, time.Unix(1_000, 0)
	require.False(t, g.LinkFull(start))
	for i := range 500 {
		g.Admits(17_000, time.Second, start.Add(time.Duration(i)*2*time.Millisecond))
	}
	end := start.Add(time.Second)
	require.True(t, g.LinkFull(end.Add(time.Second)))
	require.False(t, g.LinkFull(end.Add(3*time.Second)))
}

// TestGuardOnALinkThatDelays: the pattern is a zone's callers that all come at once,
// so that what arrives waits on the VM's link. Requests are turned away before they
// cost more of it, new connections go elsewhere, and the time that a request waited
// counts as passed.
func TestGuardOnALinkThatDelays(t *testing.T) {
	g, now := &Guard{LinkBytes: 1_250_000, NoticedAfter: time.Second}, time.Unix(1_000, 0)
	g.ObserveTrip(6 * time.Millisecond)
	require.True(t, g.Admits(1_000, 300*time.Millisecond, now))
	require.False(t, g.LinkFull(now))

	g.ObserveTrip(1600 * time.Millisecond)
	require.Equal(t, 800*time.Millisecond, g.LinkWait())
	require.False(t, g.Admits(1_000, 300*time.Millisecond, now))
	require.True(t, g.LinkFull(now))

	table := site.NewTable(site.Configuration{
		Services: []site.Service{{Name: "app"}},
		Routes:   []site.Route{{Name: "r", Host: "h", PathPrefix: "/", Timeout: 2 * time.Second, Shares: []site.Share{{Service: "app", Weight: 1}}}},
	})
	r := &Router{Guard: g, Site: func() *site.Table { return table }}
	a := r.Admit("id", "h", "/x", 1_000, now)
	require.False(t, a.Refused, "a route without an objective is only bound by its timeout")
	require.Equal(t, now.Add(-800*time.Millisecond), a.Arrived)
	require.Equal(t, now.Add(1200*time.Millisecond), a.BodyBy)

	for range 12 {
		g.ObserveTrip(6 * time.Millisecond)
	}
	require.False(t, g.LinkFull(now))
	require.True(t, g.Admits(1_000, 300*time.Millisecond, now))
}
