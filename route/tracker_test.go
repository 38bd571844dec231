package route

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"buckthornpin"
)

func engines(n int) []Engine {
	var out []Engine
	for i := range n {
		out = append(out, Engine{Endpoint: &buckthornpin.Endpoint{ID: fmt.Sprintf("e%d", i), Zone: "z", Capacity: 8}})
	}
	return out
}

// TestSharedPartsStayAtTheirHome: routers that know nothing of each other send the
// prompts of one subject to one endpoint, until it has much more under way.
func TestSharedPartsStayAtTheirHome(t *testing.T) {
	now := time.Unix(1_000, 0)
	w := Work{Model: true, Tokens: 15_000, Parts: []Part{{ID: "file", Tokens: 13_000}, {ID: "own", Tokens: 2_000}}}
	var one, other Tracker
	a, ok := one.Choose(engines(12), w, "z", now)
	require.True(t, ok)
	b, _ := other.Choose(engines(12), w, "z", now)
	require.Equal(t, a.Endpoint.ID, b.Endpoint.ID)
	require.Equal(t, int64(2_000), a.Missing)

	busy := engines(12)
	for i := range busy {
		if busy[i].Endpoint.ID == a.Endpoint.ID {
			busy[i].Others = Load{Running: 1, PromptTokens: 40_000}
		}
	}
	c, _ := one.Choose(busy, w, "z", now)
	require.NotEqual(t, a.Endpoint.ID, c.Endpoint.ID)
}

// TestFailedEndpointIsTheLastResort for a while.
func TestFailedEndpointIsTheLastResort(t *testing.T) {
	now := time.Unix(1_000, 0)
	var tracker Tracker
	all := engines(2)
	first, _ := tracker.Choose(all, Work{}, "z", now)
	tracker.Failed(first.Endpoint.ID, now)
	second, _ := tracker.Choose(all, Work{}, "z", now)
	require.NotEqual(t, first.Endpoint.ID, second.Endpoint.ID)
	again, _ := tracker.Choose(all, Work{}, "z", now.Add(longestPause))
	require.Equal(t, first.Endpoint.ID, again.Endpoint.ID)
}

// TestFullEndpointGetsNoMore: the pattern is a burst beyond the connections that an
// endpoint accepts from all routers. Each router keeps to its part, and says so
// where all endpoints have theirs.
func TestFullEndpointGetsNoMore(t *testing.T) {
	now := time.Unix(1_000, 0)
	var tracker Tracker
	all := engines(2)
	for i := range all {
		all[i].Most = 3
	}
	counts := map[string]int{}
	for range 6 {
		c, ok := tracker.Choose(all, Work{}, "z", now)
		require.True(t, ok)
		tracker.Start(c, Work{}, now)
		counts[c.Endpoint.ID]++
	}
	require.Equal(t, map[string]int{"e0": 3, "e1": 3}, counts)
	_, ok := tracker.Choose(all, Work{}, "z", now)
	require.False(t, ok)
}

// TestRestartedEndpointKeepsNothing: the pattern is an endpoint that crashes and
// starts again under its id. What it had read doesn't count any more.
func TestRestartedEndpointKeepsNothing(t *testing.T) {
	now := time.Unix(1_000, 0)
	w := Work{Model: true, Tokens: 10_000, Parts: []Part{{ID: "file", Tokens: 8_000}}}
	var tracker Tracker
	one := engines(1)
	c, _ := tracker.Choose(one, w, "z", now)
	require.Equal(t, int64(10_000), c.Missing)
	tracker.Start(c, w, now).End()
	c, _ = tracker.Choose(one, w, "z", now)
	require.Equal(t, int64(2_000), c.Missing)

	again := *one[0].Endpoint
	again.Incarnation++
	one[0].Endpoint = &again
	c, _ = tracker.Choose(one, w, "z", now)
	require.Equal(t, int64(10_000), c.Missing)
}

// TestIdleEndpointsAreForgotten: endpoints come and go for as long as a router
// lives; one with a request under way is kept.
func TestIdleEndpointsAreForgotten(t *testing.T) {
	now := time.Unix(1_000, 0)
	var tracker Tracker
	busy := tracker.Start(Choice{Endpoint: &buckthornpin.Endpoint{ID: "busy"}}, Work{}, now)
	for i := range 1_000 {
		now = now.Add(time.Second)
		tracker.Start(Choice{Endpoint: &buckthornpin.Endpoint{ID: fmt.Sprint(i)}}, Work{}, now).End()
	}
	require.LessOrEqual(t, len(tracker.engines), 2*int(forgetAfter.Seconds())+2)
	require.Contains(t, tracker.Loads(), "busy")
	busy.End()
	require.Empty(t, tracker.Loads())
}

// BenchmarkTrackerChoose is the choice of one request among all endpoints of a
// service: 18, 140 and 1,300 are those of a site, of a grown one and of two years on.
func BenchmarkTrackerChoose(b *testing.B) {
	w := Work{Model: true, Tokens: 15_000, Parts: []Part{{ID: "file", Tokens: 13_000}, {ID: "own", Tokens: 2_000}}}
	for _, n := range []int{18, 140, 1300} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			all, now := engines(n), time.Unix(1_000, 0)
			var tracker Tracker
			b.ReportAllocs()
			for b.Loop() {
				tracker.Choose(all, w, "z", now)
			}
		})
	}
}
