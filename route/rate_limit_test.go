package route

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"buckthornpin"
)

const contactTime = 3 * time.Second

// limitFleet is a fleet of routers in a model with its own clock.
type limitFleet struct {
	now     time.Time
	names   []string
	routers map[string]*RateLimits
	// unused are the routers that get no requests, yielding those that the others have
	// heard to leave the limits to them.
	unused, yielding map[string]bool
}

func newLimitFleet(n int) *limitFleet {
	f := &limitFleet{now: time.Unix(1000, 0), routers: map[string]*RateLimits{}, unused: map[string]bool{}, yielding: map[string]bool{}}
	for i := range n {
		f.start(fmt.Sprint("router-", i))
	}
	return f
}

func (f *limitFleet) start(name string) {
	if f.routers[name] == nil {
		f.names = append(f.names, name)
	}
	f.routers[name] = &RateLimits{Fleet: func(time.Time) Fleet { return f.fleetOf(name) }}
}

func (f *limitFleet) stop(name string) {
	delete(f.routers, name)
	for i, n := range f.names {
		if n == name {
			f.names = append(f.names[:i:i], f.names[i+1:]...)
		}
	}
}

func (f *limitFleet) fleetOf(self string) Fleet {
	out := Fleet{Self: self}
	for _, n := range f.names {
		switch {
		case n == self:
		case f.yielding[n]:
			out.Yielding = append(out.Yielding, n)
		default:
			out.Others = append(out.Others, n)
		}
	}
	return out
}

// send exchanges limits between the routers, sends as many requests as the limits allow for
// a time through the routers in use, and returns their times.
func (f *limitFleet) send(e *buckthornpin.Endpoint, span time.Duration) []time.Time {
	const step, stepsPerGossip = 20 * time.Millisecond, 20
	var sent []time.Time
	for i := range int(span / step) {
		if i%stepsPerGossip == 0 {
			f.gossip()
		}
		f.now = f.now.Add(step)
		for _, name := range f.names {
			for !f.unused[name] && f.routers[name].Wait(e, f.now) == 0 {
				f.routers[name].CountRequest(e, f.now)
				sent = append(sent, f.now)
			}
		}
	}
	return sent
}

func (f *limitFleet) gossip() {
	for _, from := range f.names {
		f.yielding[from] = f.routers[from].Yields(f.now)
		for _, l := range f.routers[from].All() {
			for _, to := range f.names {
				f.routers[to].Merge(l, f.now)
			}
		}
	}
}

// requireWithin requires that no four seconds hold more than one and a half times what a
// limit allows, plus five requests.
func requireWithin(t *testing.T, sent []time.Time, perSecond float64) {
	t.Helper()
	first := 0
	for i, at := range sent {
		for at.Sub(sent[first]) > 4*time.Second {
			first++
		}
		require.LessOrEqual(t, i-first+1, int(6*perSecond)+5, "limit %g", perSecond)
	}
}

// TestLimitIsSharedByAllRouters guards against routers that together exceed a limit which
// one of them has heard, and against a limit of which little is used. Routers come and go.
func TestLimitIsSharedByAllRouters(t *testing.T) {
	for _, routers := range []int{1, 6, 72, 350} {
		for _, perSecond := range []float64{0.3, 1, 1.2, 7, 50, 400} {
			t.Run(fmt.Sprintf("%d routers, %g a second", routers, perSecond), func(t *testing.T) {
				f := newLimitFleet(routers)
				e := &buckthornpin.Endpoint{ID: "engine", Incarnation: 1}
				f.routers["router-0"].Observe(e, buckthornpin.StatedLimit{Stated: true, PerSecond: perSecond}, f.now, f.now)
				f.gossip()
				f.send(e, contactTime)
				before := f.send(e, 8*time.Second)
				f.start("newcomer")
				if routers > 1 {
					f.stop("router-1")
				}
				after := f.send(e, 8*time.Second)
				requireWithin(t, append(before, after...), perSecond)
				require.GreaterOrEqual(t, float64(len(before)), 0.8*8*perSecond-1)
			})
		}
	}
}

// TestUnusedRoutersLeaveLimitsToOthers guards against a small limit of which nothing is used
// because the routers that it is divided among get no requests.
func TestUnusedRoutersLeaveLimitsToOthers(t *testing.T) {
	const perSecond, span = 1.2, 8 * time.Second
	for _, routers := range []int{3, 6, 72} {
		for used := range 3 {
			t.Run(fmt.Sprintf("%d routers, only %d is used", routers, used), func(t *testing.T) {
				f := newLimitFleet(routers)
				e := &buckthornpin.Endpoint{ID: "engine", Incarnation: 1}
				for _, name := range f.names {
					f.unused[name] = name != fmt.Sprint("router-", used)
				}
				f.routers["router-0"].Observe(e, buckthornpin.StatedLimit{Stated: true, PerSecond: perSecond}, f.now, f.now)
				f.send(e, contactTime)
				one := f.send(e, span)
				clear(f.unused)
				all := f.send(e, span)
				requireWithin(t, append(one, all...), perSecond)
				require.GreaterOrEqual(t, float64(len(one)), 0.8*span.Seconds()*perSecond-1)
				require.GreaterOrEqual(t, float64(len(all)), 0.8*span.Seconds()*perSecond-1)
			})
		}
	}
}

// TestLimitChangesAndEnds covers a limit that changes, an older answer that arrives late, an
// end, and two routers that hear different limits at the same time.
func TestLimitChangesAndEnds(t *testing.T) {
	e := &buckthornpin.Endpoint{ID: "engine", Incarnation: 1}
	f := newLimitFleet(2)
	a, b := f.routers["router-0"], f.routers["router-1"]
	start := f.now
	at := func(s int) time.Time { return start.Add(time.Duration(s) * time.Second) }
	// observe lets a router receive an answer and returns whether that is news.
	observe := func(r *RateLimits, perSecond float64, sentAt, now int) bool {
		news := false
		r.Changed = func(_ RateLimit, heard bool) { news = heard }
		r.Observe(e, buckthornpin.StatedLimit{Stated: perSecond > 0, PerSecond: perSecond}, at(sentAt), at(now))
		r.Changed = nil
		return news
	}

	require.False(t, observe(a, 0, 0, 1), "no limit was known")
	require.True(t, observe(a, 5, 0, 1))
	require.False(t, observe(a, 0, 0, 2), "sent before the limit was heard")
	require.True(t, observe(a, 2, 2, 3))
	f.gossip()
	require.Equal(t, a.All(), b.All())

	require.True(t, observe(a, 3, 4, 5))
	require.True(t, observe(b, 1, 4, 5))
	f.gossip()
	require.Equal(t, a.All(), b.All())
	require.InDelta(t, 1, a.All()[0].PerSecond, 0, "the stricter one wins")

	require.True(t, observe(b, 0, 6, 7))
	f.gossip()
	require.False(t, a.All()[0].Limited)
	require.Zero(t, a.Wait(e, at(8)))
}

// TestLimitEndsWithTheIncarnation checks that the limit of an endpoint doesn't hold after
// the endpoint has started again.
func TestLimitEndsWithTheIncarnation(t *testing.T) {
	r, now := &RateLimits{}, time.Unix(1000, 0)
	old, restarted := &buckthornpin.Endpoint{ID: "e", Incarnation: 1}, &buckthornpin.Endpoint{ID: "e", Incarnation: 2}
	r.Observe(old, buckthornpin.StatedLimit{Stated: true, PerSecond: 0.1}, now, now)
	require.NotZero(t, r.Wait(old, now))
	require.Zero(t, r.Wait(restarted, now))
	r.Merge(RateLimit{Endpoint: "e", Incarnation: 0, Version: 9}, now)
	require.True(t, r.All()[0].Limited, "an earlier incarnation's limit is ignored")
}

// TestRetainForgetsLimits checks that changes are sent as often as required, and that
// only the limits of known endpoints are kept.
func TestRetainForgetsLimits(t *testing.T) {
	r, now := &RateLimits{}, time.Unix(1000, 0)
	e := &buckthornpin.Endpoint{ID: "e", Incarnation: 1}
	r.Observe(e, buckthornpin.StatedLimit{Stated: true, PerSecond: 0.1}, now, now)
	const requiredSends = 2
	require.Len(t, r.NextUpdates(requiredSends), 1)
	require.Len(t, r.NextUpdates(requiredSends), 1)
	require.Empty(t, r.NextUpdates(requiredSends))
	r.Retain(func(id string) bool { return id == e.ID })
	require.Len(t, r.All(), 1)
	r.Retain(func(string) bool { return false })
	require.Empty(t, r.All())
	require.Zero(t, r.Wait(e, now))
}

// BenchmarkLimitedEndpoints measures the limits of one request with 100 endpoints to choose
// from, all limited, in a fleet of 350 routers with 6.5 requests a second each.
func BenchmarkLimitedEndpoints(b *testing.B) {
	f := newLimitFleet(350)
	r := f.routers["router-0"]
	var endpoints []*buckthornpin.Endpoint
	for i := range 100 {
		e := &buckthornpin.Endpoint{ID: fmt.Sprint("engine-", i), Incarnation: 1}
		r.Observe(e, buckthornpin.StatedLimit{Stated: true, PerSecond: 5}, f.now, f.now)
		endpoints = append(endpoints, e)
	}
	for b.Loop() {
		f.now = f.now.Add(154 * time.Millisecond)
		for _, e := range endpoints {
			r.Wait(e, f.now)
		}
	}
}
