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
}

func newLimitFleet(n int) *limitFleet {
	f := &limitFleet{now: time.Unix(1000, 0), routers: map[string]*RateLimits{}}
	for i := range n {
		f.start(fmt.Sprint("router-", i))
	}
	return f
}

func (f *limitFleet) start(name string) {
	if f.routers[name] == nil {
		f.names = append(f.names, name)
	}
	f.routers[name] = &RateLimits{Sends: func() int { return 1 }}
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
		if n != self {
			out.Others = append(out.Others, n)
		}
	}
	return out
}

// send exchanges limits between the routers, sends as many requests as the limits allow for
// a time, and returns their times.
func (f *limitFleet) send(e *buckthornpin.Endpoint, span time.Duration) []time.Time {
	const step = 20 * time.Millisecond
	var sent []time.Time
	fleets := map[string]Fleet{}
	for _, name := range f.names {
		fleets[name] = f.fleetOf(name)
	}
	f.gossip()
	for range int(span / step) {
		f.now = f.now.Add(step)
		for _, name := range f.names {
			for f.routers[name].Take(e, fleets[name], f.now) {
				sent = append(sent, f.now)
			}
		}
	}
	return sent
}

func (f *limitFleet) gossip() {
	for _, from := range f.names {
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
				require.True(t, f.routers["router-0"].Observe(RateLimit{Endpoint: e.ID, Incarnation: 1, Limited: true, PerSecond: perSecond}, f.now, f.now))
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

// TestLimitChangesAndEnds covers a limit that changes, an older answer that arrives late, an
// end, and two routers that hear different limits at the same time.
func TestLimitChangesAndEnds(t *testing.T) {
	e := &buckthornpin.Endpoint{ID: "engine", Incarnation: 1}
	heard := func(perSecond float64) RateLimit {
		return RateLimit{Endpoint: e.ID, Incarnation: 1, Limited: perSecond > 0, PerSecond: perSecond}
	}
	f := newLimitFleet(2)
	a, b := f.routers["router-0"], f.routers["router-1"]
	start := f.now
	at := func(s int) time.Time { return start.Add(time.Duration(s) * time.Second) }

	require.False(t, a.Observe(heard(0), at(0), at(1)), "no limit was known")
	require.True(t, a.Observe(heard(5), at(0), at(1)))
	require.False(t, a.Observe(heard(0), at(0), at(2)), "sent before the limit was heard")
	require.True(t, a.Observe(heard(2), at(2), at(3)))
	f.gossip()
	require.Equal(t, a.All(), b.All())

	require.True(t, a.Observe(heard(3), at(4), at(5)))
	require.True(t, b.Observe(heard(1), at(4), at(5)))
	f.gossip()
	require.Equal(t, a.All(), b.All())
	require.InDelta(t, 1, a.All()[0].PerSecond, 0, "the stricter one wins")

	require.True(t, b.Observe(heard(0), at(6), at(7)))
	f.gossip()
	require.False(t, a.Active())
	require.True(t, a.Take(e, f.fleetOf("router-0"), at(8)))
}

// TestLimitEndsWithTheIncarnation checks that the limit of an endpoint doesn't hold after
// the endpoint has started again.
func TestLimitEndsWithTheIncarnation(t *testing.T) {
	r := &RateLimits{Sends: func() int { return 1 }}
	now := time.Unix(1000, 0)
	r.Observe(RateLimit{Endpoint: "e", Incarnation: 1, Limited: true, PerSecond: 0.1}, now, now)
	old, restarted := &buckthornpin.Endpoint{ID: "e", Incarnation: 1}, &buckthornpin.Endpoint{ID: "e", Incarnation: 2}
	require.False(t, r.Take(old, Fleet{Self: "a"}, now))
	require.True(t, r.Take(restarted, Fleet{Self: "a"}, now))
	require.False(t, r.Merge(RateLimit{Endpoint: "e", Incarnation: 0, Version: 9}, now))
}

// TestSweepForgetsLimits checks that endpoints without requests are forgotten.
func TestSweepForgetsLimits(t *testing.T) {
	r := &RateLimits{Sends: func() int { return 2 }}
	now := time.Unix(1000, 0)
	r.Observe(RateLimit{Endpoint: "e", Incarnation: 1, Limited: true, PerSecond: 1}, now, now)
	require.Len(t, r.NextUpdates(), 1)
	require.Len(t, r.NextUpdates(), 1)
	require.Empty(t, r.NextUpdates())
	r.Sweep(now.Add(limitRetention + 1))
	require.Empty(t, r.All())
	require.False(t, r.Active())
}
