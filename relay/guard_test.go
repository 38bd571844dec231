package relay

import (
	"testing"
	"time"

	"github.com/rs/zerolog"
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

// guarded is a router with one route of an objective.
func guarded(g *Guard, objective time.Duration) *Router {
	table := site.NewTable(site.Configuration{
		Services: []site.Service{{Name: "app"}},
		Routes: []site.Route{{
			Name: "r", Host: "h", PathPrefix: "/", Timeout: 2 * time.Second, Objective: objective, Shares: []site.Share{{Service: "app", Weight: 1}},
		}},
	})
	return &Router{Guard: g, Site: func() *site.Table { return table }, Log: zerolog.Nop()}
}

// TestGuardOnABusyProcessor: requests are turned away as long as the process gets
// the processor too late for their objective, and taken again soon after.
func TestGuardOnABusyProcessor(t *testing.T) {
	g, now := &Guard{}, time.Unix(1_000, 0)
	require.True(t, g.Admits(1, 300*time.Millisecond, now))
	g.observe(100 * time.Millisecond)
	require.False(t, g.Admits(1, 300*time.Millisecond, now))
	require.True(t, g.Admits(1, 2*time.Second, now))
	r := guarded(g, 300*time.Millisecond)
	require.True(t, r.Admit("id", "h", "/x", 1, now).Refused)
	require.Equal(t, int64(1), r.metrics.outcomes[string(ReasonOverload)], "what was turned away is counted")
	g.observe(0)
	g.observe(0)
	require.True(t, g.Admits(1, 300*time.Millisecond, now))
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
	g.ObserveTrip(6*time.Millisecond, now)
	require.True(t, g.Admits(1_000, 300*time.Millisecond, now))
	require.False(t, g.LinkFull(now))

	g.ObserveTrip(1600*time.Millisecond, now)
	require.Equal(t, 1600*time.Millisecond, g.LinkWait(now), "a request and its answer wait the whole trip, in whichever direction")
	require.False(t, g.Admits(1_000, 300*time.Millisecond, now))
	require.True(t, g.LinkFull(now))

	r := guarded(g, 0)
	a := r.Admit("id", "h", "/x", 1_000, now)
	require.False(t, a.Refused, "a route without an objective is only bound by its timeout")
	require.Equal(t, now.Add(-1600*time.Millisecond), a.Arrived)
	require.Equal(t, now.Add(400*time.Millisecond), a.BodyBy)

	for range 12 {
		g.ObserveTrip(6*time.Millisecond, now)
	}
	require.False(t, g.LinkFull(now))
	require.True(t, g.Admits(1_000, 300*time.Millisecond, now))
}

// TestGuardForgetsAnOldTrip: the pattern is a router that is cut off from all others
// while its link is full. It can't learn that the link is free again from round trips,
// and takes connections as soon as the balancer has noticed that it took none.
func TestGuardForgetsAnOldTrip(t *testing.T) {
	g, now := &Guard{NoticedAfter: 2 * time.Second}, time.Unix(1_000, 0)
	g.ObserveTrip(1600*time.Millisecond, now)
	require.True(t, g.LinkFull(now.Add(time.Second)))
	require.False(t, g.LinkFull(now.Add(2*time.Second)))
	require.Zero(t, g.LinkWait(now.Add(2*time.Second)))
	g.ObserveTrip(6*time.Millisecond, now.Add(9*time.Second))
	require.False(t, g.LinkFull(now.Add(9*time.Second)))
}

// carried is a link that has carried so many bytes.
type carried struct{ in, out int64 }

// In implements Traffic.
func (c *carried) In() int64 { return c.in }

// Out implements Traffic.
func (c *carried) Out() int64 { return c.out }

// TestGuardOnALinkThatAnswersNobody guards against a wait of 0 where it is longest: no
// round trip comes back while the link is full. Silence counts as a wait as long as
// the link is busy, and as a cut from the others if it isn't.
func TestGuardOnALinkThatAnswersNobody(t *testing.T) {
	for _, c := range []struct {
		name      string
		perSecond int64
		wait      time.Duration
		full      bool
	}{
		{"busy", 1_200_000, 3 * time.Second, true},
		{"little to carry", 200_000, 0, false},
	} {
		t.Run(c.name, func(t *testing.T) {
			link, now := &carried{}, time.Unix(1_000, 0)
			g := &Guard{LinkBytes: 1_250_000, NoticedAfter: 2 * time.Second, Traffic: link, Log: zerolog.Nop()}
			g.watch(now)
			g.ObserveRound(now)
			g.ObserveTrip(6*time.Millisecond, now.Add(6*time.Millisecond))
			for range 4 {
				now = now.Add(time.Second)
				link.in += c.perSecond
				g.watch(now)
				g.ObserveRound(now)
			}
			require.Equal(t, c.wait, g.LinkWait(now))
			require.Equal(t, c.full, g.LinkFull(now))
			require.Equal(t, !c.full, g.Connects(now))

			g.ObserveTrip(2*time.Second, now)
			require.Equal(t, 2*time.Second, g.LinkWait(now), "a reply that comes late tells the wait, and later rounds are younger")
		})
	}
}

// TestNoConfigurationRefusesUnread guards against a router that was started again and
// reads the bodies of requests that it can't route, which fills its link before its
// configuration comes.
func TestNoConfigurationRefusesUnread(t *testing.T) {
	r := &Router{Site: func() *site.Table { return nil }, Log: zerolog.Nop()}
	a := r.Admit("id", "h", "/x", 17_000, time.Unix(1_000, 0))
	require.True(t, a.Refused)
	require.Equal(t, Refusal{Reason: ReasonNoConfiguration, RetryAfter: time.Second}, a.Refusal)
	require.Equal(t, int64(1), r.metrics.outcomes[string(ReasonNoConfiguration)])
}
