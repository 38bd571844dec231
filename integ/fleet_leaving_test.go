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

// leavingScenario is a way in which an endpoint leaves while control hardly knows it.
type leavingScenario struct {
	description string
	// atControl is what happens to control before the endpoint leaves.
	atControl func(f *fleet)
}

// TestEndpointLeavesThatControlDoesNotKnow guards against an acknowledgement without effect:
// control has forgotten an endpoint, or has been cut off from the routers, and acknowledges
// that it has left, but the routers go on sending requests to it.
func TestEndpointLeavesThatControlDoesNotKnow(t *testing.T) {
	scenarios := []leavingScenario{
		{"control has restarted long before", func(f *fleet) {
			f.restartControl()
			f.wait(2 * fleetContactTimeout)
		}},
		{"control has just restarted", (*fleet).restartControl},
		{"control has restarted and is cut off from the routers", func(f *fleet) {
			f.restartControl()
			f.cutFromControl()
			f.background.Go(func() {
				f.wait(2 * fleetContactTimeout)
				f.healAll()
			})
		}},
	}
	for _, s := range scenarios {
		t.Run(s.description, func(t *testing.T) {
			f := startFleet(t, fleetPlan{controls: 3, routers: 3, modelEndpoints: 2, plainEndpoints: 3, prepaid: amplePrepaid})
			end := f.startLoad(6, 20*time.Millisecond, 3)
			f.wait(updatesSent)
			leaving := f.endpoints[2]
			leaving.goSilent()
			s.atControl(f)
			leaving.leave()
			left := leaving.leaveAckTime()
			f.wait(4 * fleetContactTimeout)
			end()
			require.NotEmpty(t, f.arrivals(leaving, time.Time{}, left))
			require.Empty(t, f.arrivals(leaving, left.Add(fleetContactTimeout), time.Now()))
			f.requireServed(f.observed.attemptsBetween(left, time.Now()), 0.99, "the other endpoints serve")
			f.requireNoViolations()
		})
	}
}

// updatesSent exceeds the time for which routers send an update of an endpoint. Control that
// restarts later doesn't learn of the endpoint from it.
const updatesSent = 6 * time.Second

// restartControl kills all control VMs and starts them again.
func (f *fleet) restartControl() {
	f.t.Helper()
	for _, v := range f.controls {
		f.kill(v)
	}
	for _, v := range f.controls {
		f.relaunch(v, false)
	}
}
