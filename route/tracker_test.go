package route

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"buckthornpin"
)

func newEndpoints(n int) []EndpointOption {
	var out []EndpointOption
	for i := range n {
		out = append(out, EndpointOption{Endpoint: &buckthornpin.Endpoint{ID: fmt.Sprintf("e%d", i), Zone: "z", Capacity: 8}})
	}
	return out
}

// TestSharedPartsStayAtOneEndpoint checks that routers that know nothing of each other
// send prompts with the same shared part to the same endpoint, unless it has much more
// work in progress than others.
func TestSharedPartsStayAtOneEndpoint(t *testing.T) {
	now := time.Unix(1_000, 0)
	w := Work{ModelEngine: true, PromptTokens: 15_000, PromptParts: []PromptPart{{ID: "file", Tokens: 13_000}, {ID: "own", Tokens: 2_000}}}
	var one, other Tracker
	a, ok := one.Choose(newEndpoints(12), w, "z", now)
	require.True(t, ok)
	b, _ := other.Choose(newEndpoints(12), w, "z", now)
	require.Equal(t, a.Endpoint.ID, b.Endpoint.ID)
	require.Equal(t, int64(2_000), a.UncachedTokens)

	busy := newEndpoints(12)
	for i := range busy {
		if busy[i].Endpoint.ID == a.Endpoint.ID {
			busy[i].LoadFromOthers = Load{Running: 1, PromptTokens: 40_000}
		}
	}
	c, _ := one.Choose(busy, w, "z", now)
	require.NotEqual(t, a.Endpoint.ID, c.Endpoint.ID)
}

// TestFailedEndpointIsTheLastResort checks that a failed endpoint is avoided for some
// time.
func TestFailedEndpointIsTheLastResort(t *testing.T) {
	now := time.Unix(1_000, 0)
	var tracker Tracker
	all := newEndpoints(2)
	first, _ := tracker.Choose(all, Work{}, "z", now)
	tracker.RecordFailure(first.Endpoint.ID, now)
	second, _ := tracker.Choose(all, Work{}, "z", now)
	require.NotEqual(t, first.Endpoint.ID, second.Endpoint.ID)
	again, _ := tracker.Choose(all, Work{}, "z", now.Add(maxAvoidance))
	require.Equal(t, first.Endpoint.ID, again.Endpoint.ID)
}

// TestFullEndpointGetsNoMore covers a burst that exceeds the connections that an endpoint
// accepts from all routers. Each router stays within its share, and Choose finds no
// endpoint once the share is used up at all of them.
func TestFullEndpointGetsNoMore(t *testing.T) {
	now := time.Unix(1_000, 0)
	var tracker Tracker
	all := newEndpoints(2)
	for i := range all {
		all[i].MaxRunning = 3
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

// TestRestartedEndpointKeepsNothing covers an endpoint that crashes and restarts under its
// id. The parts that it had read no longer count.
func TestRestartedEndpointKeepsNothing(t *testing.T) {
	now := time.Unix(1_000, 0)
	w := Work{ModelEngine: true, PromptTokens: 10_000, PromptParts: []PromptPart{{ID: "file", Tokens: 8_000}}}
	var tracker Tracker
	one := newEndpoints(1)
	c, _ := tracker.Choose(one, w, "z", now)
	require.Equal(t, int64(10_000), c.UncachedTokens)
	tracker.Start(c, w, now).End()
	c, _ = tracker.Choose(one, w, "z", now)
	require.Equal(t, int64(2_000), c.UncachedTokens)

	again := *one[0].Endpoint
	again.Incarnation++
	one[0].Endpoint = &again
	c, _ = tracker.Choose(one, w, "z", now)
	require.Equal(t, int64(10_000), c.UncachedTokens)
}

// TestIdleEndpointsAreForgotten checks that the tracker doesn't grow without limit as
// endpoints come and go. An endpoint with a request in progress is kept.
func TestIdleEndpointsAreForgotten(t *testing.T) {
	now := time.Unix(1_000, 0)
	var tracker Tracker
	busy := tracker.Start(Choice{Endpoint: &buckthornpin.Endpoint{ID: "busy"}}, Work{}, now)
	for i := range 1_000 {
		now = now.Add(time.Second)
		tracker.Start(Choice{Endpoint: &buckthornpin.Endpoint{ID: fmt.Sprint(i)}}, Work{}, now).End()
	}
	require.LessOrEqual(t, len(tracker.endpoints), 2*int(idleExpiry.Seconds())+2)
	require.Contains(t, tracker.Loads(), "busy")
	busy.End()
	require.Empty(t, tracker.Loads())
}

// BenchmarkTrackerChoose measures the choice for one request among all endpoints of a
// service: 18 at a site today, 140 at a grown site and 1,300 at a site in two years.
func BenchmarkTrackerChoose(b *testing.B) {
	w := Work{ModelEngine: true, PromptTokens: 15_000, PromptParts: []PromptPart{{ID: "file", Tokens: 13_000}, {ID: "own", Tokens: 2_000}}}
	for _, n := range []int{18, 140, 1300} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			all, now := newEndpoints(n), time.Unix(1_000, 0)
			var tracker Tracker
			b.ReportAllocs()
			for b.Loop() {
				tracker.Choose(all, w, "z", now)
			}
		})
	}
}
