package relay

import (
	"testing"
	"time"

	"github.com/rs/zerolog"
	"github.com/stretchr/testify/require"

	"buckthornpin/site"
)

// TestGuardOnAFullLink guards against a link that is overloaded by an organisation whose
// callers all reach one router with far more than its link carries. About as much is
// admitted as bodies may take of the link, evenly over time, and nothing is turned away at a
// load that fits.
func TestGuardOnAFullLink(t *testing.T) {
	const link, body, seconds = 1_250_000, 17_000, 10
	admitted := func(perSecond int) int {
		g, n := &Guard{LinkBytesPerSecond: link}, 0
		start := time.Unix(1_000, 0)
		for i := range perSecond * seconds {
			if g.Admits(body, time.Second, start.Add(time.Duration(i)*time.Second/time.Duration(perSecond))) {
				n++
			}
		}
		return n
	}
	const expected = link * bodyLinkShare * seconds / body
	require.InDelta(t, expected, admitted(500), expected/10)
	require.Equal(t, 30*seconds, admitted(30))
}

// routerWithGuard returns a router that has one route with the given objective.
func routerWithGuard(g *Guard, objective time.Duration) *Router {
	table := site.NewTable(site.Configuration{
		Services: []site.Service{{Name: "app"}},
		Routes: []site.Route{{
			Name: "r", Host: "h", PathPrefix: "/", Timeout: 2 * time.Second, Objective: objective, Shares: []site.Share{{Service: "app", Weight: 1}},
		}},
	})
	return &Router{Guard: g, Site: func() *site.Table { return table }, Log: zerolog.Nop()}
}

// arrival is a request for routerWithGuard's route with a body of a size in bytes.
func arrival(bytes int64, at time.Time) Arrival {
	return Arrival{Request: &Request{ID: "id", Host: "h", Path: "/x"}, ContentLength: bytes, MaxBodyBytes: 4 << 20, At: at}
}

// TestGuardOnABusyProcessor checks that requests are turned away while the process waits
// too long for the processor to meet their objective, and are admitted again soon after.
func TestGuardOnABusyProcessor(t *testing.T) {
	g, now := &Guard{}, time.Unix(1_000, 0)
	require.True(t, g.Admits(1, 300*time.Millisecond, now))
	g.recordSchedulingDelay(100 * time.Millisecond)
	require.False(t, g.Admits(1, 300*time.Millisecond, now))
	require.True(t, g.Admits(1, 2*time.Second, now))
	r := routerWithGuard(g, 300*time.Millisecond)
	require.True(t, r.Admit(arrival(1, now)).Refused)
	require.Equal(t, int64(1), r.metrics.outcomes[string(ReasonOverload)], "requests that were turned away are counted")
	g.recordSchedulingDelay(0)
	g.recordSchedulingDelay(0)
	require.True(t, g.Admits(1, 300*time.Millisecond, now))
}

// TestGuardOnAFullLinkSendsConnectionsElsewhere guards against a link that stays full under
// the same load. Turning requests away doesn't relieve it, so the VM reports that it takes
// no new connections, until the load has been gone for as long as the balancer needs.
func TestGuardOnAFullLinkSendsConnectionsElsewhere(t *testing.T) {
	g, start := &Guard{LinkBytesPerSecond: 1_250_000, BalancerDetectionTime: 2 * time.Second}, time.Unix(1_000, 0)
	require.False(t, g.LinkFull(start))
	for i := range 500 {
		g.Admits(17_000, time.Second, start.Add(time.Duration(i)*2*time.Millisecond))
	}
	end := start.Add(time.Second)
	require.True(t, g.LinkFull(end.Add(time.Second)))
	require.False(t, g.LinkFull(end.Add(3*time.Second)))
}

// TestGuardOnALinkThatDelays guards against a link that is delayed because all callers of a
// zone arrive at once. Requests are turned away before they use more of it, new connections
// go elsewhere, and the time that a request waited counts towards its age.
func TestGuardOnALinkThatDelays(t *testing.T) {
	g, now := &Guard{LinkBytesPerSecond: 1_250_000, BalancerDetectionTime: time.Second}, time.Unix(1_000, 0)
	g.ObserveRoundTrip(6*time.Millisecond, now)
	require.True(t, g.Admits(1_000, 300*time.Millisecond, now))
	require.False(t, g.LinkFull(now))

	g.ObserveRoundTrip(1600*time.Millisecond, now)
	require.Equal(t, 1600*time.Millisecond, g.LinkDelay(now), "a request and its answer wait for the whole round trip, in whichever direction")
	require.False(t, g.Admits(1_000, 300*time.Millisecond, now))
	require.True(t, g.LinkFull(now))

	r := routerWithGuard(g, 0)
	v := arrival(1_000, now)
	v.Request.Deadline = now.Add(5 * time.Second)
	a := r.Admit(v)
	require.False(t, a.Refused, "a route without an objective is only bound by its timeout")
	require.Equal(t, now.Add(-1600*time.Millisecond), v.Request.Arrived)
	require.Equal(t, now.Add(3400*time.Millisecond), v.Request.Deadline, "the caller began to wait when it sent the request")
	require.Equal(t, now.Add(400*time.Millisecond), a.BodyDeadline)

	for range 12 {
		g.ObserveRoundTrip(6*time.Millisecond, now)
	}
	require.False(t, g.LinkFull(now))
	require.True(t, g.Admits(1_000, 300*time.Millisecond, now))
}

// TestGuardForgetsAnOldTrip guards against a router that refuses connections for good
// because it is cut off from all others while its link is full: no round trip tells it that
// the link is free again. It takes connections as soon as the balancer has had time to
// notice that it took none.
func TestGuardForgetsAnOldTrip(t *testing.T) {
	g, now := &Guard{BalancerDetectionTime: 2 * time.Second}, time.Unix(1_000, 0)
	g.ObserveRoundTrip(1600*time.Millisecond, now)
	require.True(t, g.LinkFull(now.Add(time.Second)))
	require.False(t, g.LinkFull(now.Add(2*time.Second)))
	require.Zero(t, g.LinkDelay(now.Add(2*time.Second)))
	g.ObserveRoundTrip(6*time.Millisecond, now.Add(9*time.Second))
	require.False(t, g.LinkFull(now.Add(9*time.Second)))
}

// fakeTraffic implements Traffic with settable counters.
type fakeTraffic struct{ in, out int64 }

// In implements Traffic.
func (c *fakeTraffic) In() int64 { return c.in }

// Out implements Traffic.
func (c *fakeTraffic) Out() int64 { return c.out }

// TestGuardOnALinkThatAnswersNobody guards against a measured delay of 0 when the real one
// is longest: no reply arrives while the link is full. Silence counts as delay if the link
// is busy, and as a lost connection to the other processes if it isn't.
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
			link, now := &fakeTraffic{}, time.Unix(1_000, 0)
			g := &Guard{LinkBytesPerSecond: 1_250_000, BalancerDetectionTime: 2 * time.Second, Traffic: link, Log: zerolog.Nop()}
			g.sampleLink(now)
			g.ObserveRound(now)
			g.ObserveRoundTrip(6*time.Millisecond, now.Add(6*time.Millisecond))
			for range 4 {
				now = now.Add(time.Second)
				link.in += c.perSecond
				g.sampleLink(now)
				g.ObserveRound(now)
			}
			require.Equal(t, c.wait, g.LinkDelay(now))
			require.Equal(t, c.full, g.LinkFull(now))
			require.Equal(t, !c.full, g.AcceptsConnections(now))

			g.ObserveRoundTrip(2*time.Second, now)
			require.Equal(t, 2*time.Second, g.LinkDelay(now), "a late reply gives the delay, and later rounds began more recently")
		})
	}
}

// TestNoConfigurationRefusesUnread guards against a restarted router that reads the bodies
// of requests which it can't route yet: they would fill its link before it gets its
// configuration.
func TestNoConfigurationRefusesUnread(t *testing.T) {
	r := &Router{Site: func() *site.Table { return nil }, Log: zerolog.Nop()}
	a := r.Admit(arrival(17_000, time.Unix(1_000, 0)))
	require.True(t, a.Refused)
	require.Equal(t, Refusal{Reason: ReasonNoConfiguration, RetryAfter: time.Second}, a.Refusal)
	require.Equal(t, int64(1), r.metrics.outcomes[string(ReasonNoConfiguration)])
}
