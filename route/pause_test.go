package route

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"buckthornpin"
)

// pauseLeft returns for how long an endpoint wants no requests; 0 if it takes some.
func pauseLeft(t *Tracker, e *buckthornpin.Endpoint, at time.Time) time.Duration {
	c, _ := t.Choose([]EndpointOption{{Endpoint: e}}, Work{}, "", at)
	if c.Obstacles.Count(ObstaclePaused) == 0 {
		return 0
	}
	return c.Obstacles.FirstEnd.Sub(at)
}

// TestPause checks how long an endpoint is left alone: answers may arrive out of order, the
// latest time counts, and a new incarnation ends the pause.
func TestPause(t *testing.T) {
	var tracker Tracker
	e := &buckthornpin.Endpoint{ID: "e1", Capacity: 8, Incarnation: 1}
	now := time.Unix(1_000, 0)
	chosen := func(e *buckthornpin.Endpoint, at time.Time) bool {
		_, ok := tracker.Choose([]EndpointOption{{Endpoint: e}}, Work{}, "", at)
		return ok
	}
	pauseLeft := func(e *buckthornpin.Endpoint, at time.Time) time.Duration { return pauseLeft(&tracker, e, at) }
	require.True(t, chosen(e, now))
	tracker.RecordPause(e, now.Add(3*time.Second), now)
	tracker.RecordPause(e, now.Add(time.Second), now)
	require.False(t, chosen(e, now.Add(3*time.Second-1)))
	require.Equal(t, 2*time.Second, pauseLeft(e, now.Add(time.Second)))
	require.True(t, chosen(e, now.Add(3*time.Second)))
	require.Zero(t, pauseLeft(e, now.Add(3*time.Second)))

	tracker.RecordPause(e, now.Add(time.Hour), now)
	next := *e
	next.Incarnation = 2
	require.Zero(t, pauseLeft(&next, now))
	require.True(t, chosen(&next, now))
	require.True(t, chosen(&next, now.Add(time.Second)))
}

// TestPauseOutlastsIdleness checks that a pause isn't forgotten with the rest of the state of an
// endpoint without requests.
func TestPauseOutlastsIdleness(t *testing.T) {
	var tracker Tracker
	e, other := &buckthornpin.Endpoint{ID: "e1", Capacity: 8}, &buckthornpin.Endpoint{ID: "e2", Capacity: 8}
	now := time.Unix(1_000, 0)
	tracker.RecordPause(e, now.Add(buckthornpin.MaxPause), now)
	for range 4 {
		now = now.Add(idleExpiry)
		tracker.Start(Choice{Endpoint: other}, Work{}, now).End()
	}
	require.Positive(t, pauseLeft(&tracker, e, now))
}
