package integ

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// TestEndpointsAreLeftAlone guards against requests to an endpoint that has turned some away
// and said for how long it wants none: at most two more reach it from each router, later than
// half a second after it has said so to all.
func TestEndpointsAreLeftAlone(t *testing.T) {
	const pause, allRoutersKnow, allowedEach = 4 * time.Second, 1500 * time.Millisecond, 2
	f := startFleet(t, fleetPlan{controls: 3, routers: 3, modelEndpoints: 3, plainEndpoints: 2, prepaid: amplePrepaid})
	end := f.startLoad(6, 20*time.Millisecond, 3)
	f.wait(time.Second)
	e := f.endpoints[0]
	until := time.Now().Add(pause)
	began := time.Now()
	e.pauseUntil.Store(&until)
	f.wait(allRoutersKnow)
	before := e.turnedAway.Load()
	f.wait(time.Until(until) - 100*time.Millisecond)
	after := e.turnedAway.Load()
	ended := time.Now()
	f.wait(2 * time.Second)
	end()
	require.Positive(t, before)
	require.LessOrEqual(t, after-before, int64(allowedEach*len(f.routers)), "%d before", before)
	require.NotEmpty(t, f.arrivals(e, ended, time.Now()), "the pause ends")
	f.requireServed(f.observed.attemptsBetween(began, ended), 0.99, "the other endpoints serve")
	f.requireNoViolations()
}
