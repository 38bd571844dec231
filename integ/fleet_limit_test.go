package integ

import (
	"math"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

const (
	// limitWindow is the time over which requests to a limited endpoint are counted.
	limitWindow = 4 * time.Second
	// limitFactor and limitSlack say how many requests an endpoint may get in a window: so
	// many times what its limit allows, and some more.
	limitFactor = 1.5
	limitSlack  = 5
)

// arrivals returns when an endpoint received requests in a span of time, in order.
func (f *fleet) arrivals(e *endpointStub, from, to time.Time) []time.Time {
	f.observed.mu.Lock()
	defer f.observed.mu.Unlock()
	var out []time.Time
	for _, runs := range f.observed.runs {
		for _, r := range runs {
			if r.endpoint == e && r.at.After(from) && r.at.Before(to) {
				out = append(out, r.at)
			}
		}
	}
	slices.SortFunc(out, time.Time.Compare)
	return out
}

// mostInWindow returns the largest number of times within limitWindow of each other.
func mostInWindow(times []time.Time) int {
	most, first := 0, 0
	for i, at := range times {
		for at.Sub(times[first]) > limitWindow {
			first++
		}
		most = max(most, i-first+1)
	}
	return most
}

func allowedInWindow(perSecond float64) int {
	return int(math.Floor(limitFactor*perSecond*limitWindow.Seconds())) + limitSlack
}

// TestFleetKeepsToNamedLimits guards against routers that each send an endpoint as many
// requests as before although it has named a limit for all of them. The limit is named,
// lowered and ended while the load goes on, and a router restarts.
func TestFleetKeepsToNamedLimits(t *testing.T) {
	const perSecond, loweredPerSecond = 6, 1.2
	f := startFleet(t, fleetPlan{controls: 3, routers: 3, modelEndpoints: 3, plainEndpoints: 1, prepaid: amplePrepaid})
	began := time.Now()
	end := f.startLoad(6, 20*time.Millisecond, 3)
	f.wait(time.Second)
	limited := f.endpoints[0]
	unlimited := len(f.arrivals(limited, began, time.Now()))

	limited.nameLimit(perSecond)
	named := time.Now()
	f.wait(fleetContactTimeout + limitWindow)
	lowered := time.Now()
	limited.nameLimit(loweredPerSecond)
	f.wait(fleetContactTimeout)
	f.kill(f.routers[0])
	f.relaunch(f.routers[0], false)
	f.wait(limitWindow + time.Second)
	ended := time.Now()
	limited.nameLimit(0)
	f.wait(2 * fleetContactTimeout)
	end()

	counted := mostInWindow(f.arrivals(limited, named.Add(fleetContactTimeout), lowered))
	require.LessOrEqual(t, counted, allowedInWindow(perSecond), "named limit; %d arrived in the second before", unlimited)
	require.Positive(t, counted, "a limited endpoint still gets requests")
	counted = mostInWindow(f.arrivals(limited, lowered.Add(fleetContactTimeout), ended))
	require.LessOrEqual(t, counted, allowedInWindow(loweredPerSecond), "lowered limit")
	require.Positive(t, counted, "a limited endpoint still gets requests")
	after := f.arrivals(limited, ended.Add(fleetContactTimeout), time.Now())
	require.Greater(t, float64(len(after)), perSecond*fleetContactTimeout.Seconds(), "the limit has ended")
	f.requireNoViolations()
	f.requireServed(f.observed.attemptsBetween(began, lowered), 0.99, "with a limited endpoint")
}
