package integ

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// TestAnswersThatSayLeavingAreHeeded guards against requests to an endpoint whose answers say
// that it is leaving while its heartbeats don't, also while the routers are cut off from
// control.
func TestAnswersThatSayLeavingAreHeeded(t *testing.T) {
	f := startFleet(t, fleetPlan{controls: 3, routers: 3, modelEndpoints: 3, plainEndpoints: 2, prepaid: amplePrepaid})
	end := f.startLoad(6, 20*time.Millisecond, 3)
	f.wait(time.Second)
	f.cutFromControl()
	leaving := f.endpoints[0]
	leaving.saysLeaving.Store(true)
	said := time.Now()
	f.wait(2 * fleetContactTimeout)
	until := time.Now()
	end()
	require.Empty(t, f.arrivals(leaving, said.Add(fleetContactTimeout), until))
	f.requireServed(f.observed.attemptsBetween(said, until), 0.99, "the other endpoints serve")
	f.requireNoViolations()
}
