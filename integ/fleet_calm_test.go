package integ

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"buckthornpin"
)

// startLoad starts callers for each organisation and returns a function that stops them.
func (f *fleet) startLoad(perOrganisation int, meanPause time.Duration, seed uint64) func() {
	ctx, stop := context.WithCancel(f.ctx)
	var callers sync.WaitGroup
	for i, o := range sortedKeys(f.plan.prepaid) {
		for j := range perOrganisation {
			c := &fleetCaller{fleet: f, organisation: o, random: rand.New(rand.NewPCG(seed, uint64(i*100+j))), meanPause: meanPause}
			callers.Go(func() { c.sendRequests(ctx) })
		}
	}
	f.background.Go(callers.Wait)
	return func() {
		stop()
		callers.Wait()
	}
}

// wait waits for a time, or until the fleet is closed.
func (f *fleet) wait(span time.Duration) { buckthornpin.Wait(f.ctx, span) }

// requireNoViolations requires that none of the rules that hold at all times was broken.
func (f *fleet) requireNoViolations() {
	f.t.Helper()
	require.Empty(f.t, f.observed.violations(f.plan.prepaid))
}

// requireServed requires that at least a fraction of the attempts was served.
func (f *fleet) requireServed(all []attempt, minFraction float64, what string) {
	f.t.Helper()
	got, unserved := servedFraction(all)
	f.t.Logf("%s: %d requests, %.3f served, unserved %v", what, len(all), got, unserved)
	require.NotEmpty(f.t, all, what)
	require.GreaterOrEqual(f.t, got, minFraction, "%s: unserved %v", what, unserved)
}

// amplePrepaid are prepaid totals that no test uses up.
var amplePrepaid = map[string]int64{"head-office": 50_000_000, "portmore": 20_000_000}

// TestFleetServes guards the normal operation of a fleet. It serves each kind of request,
// accepts a configuration through our own interface and through the platform's, and an
// endpoint and a router leave gracefully. The router must not cut off a request when it
// stops, and no request may reach the endpoint after it has left.
func TestFleetServes(t *testing.T) {
	f := startFleet(t, fleetPlan{controls: 3, routers: 3, modelEndpoints: 3, plainEndpoints: 2, prepaid: amplePrepaid})
	began := time.Now()
	end := f.startLoad(4, 20*time.Millisecond, 1)
	f.wait(time.Second)

	c := f.configuration(7)
	c.Routes[3].Name, c.Routes[3].PathPrefix = "moved", "/moved/"
	f.putUntilAcked(c)
	applied := time.Now().Add(maxApplyTime)
	f.requireAckedConfiguration()
	f.putUntilAcked(f.configuration(8))
	f.requireAckedConfiguration()

	leaving := f.endpoints[0]
	leaving.announceLeaving()
	f.eventually("control has acknowledged that the endpoint leaves", func() bool { return !leaving.leaveAckTime().IsZero() })
	f.wait(fleetContactTimeout)
	stoppedRouter := f.routers[0]
	require.NoError(t, f.terminate(stoppedRouter), "a router that is asked to stop must exit without an error")
	f.wait(500 * time.Millisecond)
	end()

	f.requireNoViolations()
	var regular []attempt
	for _, a := range f.observed.attemptsBetween(began, time.Now()) {
		if a.kind == "safe" && a.began.Before(applied.Add(maxApplyTime)) && a.status == http.StatusNotFound {
			continue
		}
		require.False(t, a.status == 0 && a.router == stoppedRouter.name, "a graceful stop must not cut a request off: %+v", a)
		regular = append(regular, a)
	}
	f.requireServed(regular, 0.99, "calm")
	for id, runs := range f.observed.runs {
		for _, r := range runs {
			require.False(t, r.endpoint == leaving && r.at.After(leaving.leaveAckTime().Add(fleetContactTimeout)), "request %s must not reach an endpoint that has left", id)
		}
	}
}

// TestFleetRefusesOverBudget guards against overspending a prepaid total. An organisation
// that has used up its total is refused while others are served, and it is served again
// after its total was raised.
func TestFleetRefusesOverBudget(t *testing.T) {
	prepaid := map[string]int64{"small": 30_000, "large": 50_000_000}
	f := startFleet(t, fleetPlan{controls: 3, routers: 3, modelEndpoints: 3, plainEndpoints: 1, prepaid: prepaid})
	end := f.startLoad(4, 20*time.Millisecond, 2)
	defer end()
	f.eventually("the small budget is nearly used up", func() bool { return f.observed.consumedTokens("small") > prepaid["small"]*9/10 })
	f.wait(fleetContactTimeout)
	require.LessOrEqual(t, f.observed.consumedTokens("small"), prepaid["small"])

	prepaid["small"] = 60_000
	f.putUntilAcked(f.configuration(2))
	f.eventually("the raised total is used", func() bool { return f.observed.consumedTokens("small") > 45_000 })
	f.wait(fleetContactTimeout)
	f.requireNoViolations()
	refused := 0
	for _, a := range f.observed.attemptsBetween(time.Time{}, time.Now()) {
		if a.status == http.StatusPaymentRequired || a.status == http.StatusTooManyRequests {
			require.Equal(t, "small", a.organisation, fmt.Sprintf("%+v", a))
			refused++
		}
	}
	require.Positive(t, refused)
}
