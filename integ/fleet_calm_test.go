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
)

// startLoad starts callers for each organisation and returns what ends them.
func (f *fleet) startLoad(perOrganisation int, pause time.Duration, seed uint64) func() {
	ctx, stop := context.WithCancel(f.ctx)
	var callers sync.WaitGroup
	for i, o := range sortedKeys(f.plan.prepaid) {
		for j := range perOrganisation {
			c := &client{fleet: f, organisation: o, random: rand.New(rand.NewPCG(seed, uint64(i*100+j))), pause: pause}
			callers.Go(func() { c.load(ctx) })
		}
	}
	f.parts.Go(callers.Wait)
	return func() {
		stop()
		callers.Wait()
	}
}

// lasting waits for a span of load.
func (f *fleet) lasting(span time.Duration) {
	timer := time.NewTimer(span)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-f.ctx.Done():
	}
}

// requireRules expects that none of the rules that hold at all times was broken.
func (f *fleet) requireRules() {
	f.t.Helper()
	require.Empty(f.t, f.view.problems(f.plan.prepaid))
}

func (f *fleet) requireServed(all []attempt, part float64, what string) {
	f.t.Helper()
	got, others := served(all)
	f.t.Logf("%s: %d requests, %.3f served, others %v", what, len(all), got, others)
	require.NotEmpty(f.t, all, what)
	require.GreaterOrEqual(f.t, got, part, "%s: %v", what, others)
}

var plenty = map[string]int64{"head-office": 50_000_000, "portmore": 20_000_000}

// TestFleetServes: description: a fleet serves each kind of request, takes a
// configuration by our own interface and by the platform's, and lets an endpoint
// and a router leave without harm.
func TestFleetServes(t *testing.T) {
	f := startFleet(t, fleetPlan{controls: 3, routers: 3, models: 3, plain: 2, prepaid: plenty})
	began := time.Now()
	end := f.startLoad(4, 20*time.Millisecond, 1)
	f.lasting(time.Second)

	c := f.configuration(7)
	c.Routes[3].Name, c.Routes[3].PathPrefix = "moved", "/moved/"
	f.put(c)
	applied := time.Now().Add(configApply)
	f.requireReadBack()
	f.put(f.configuration(8))
	f.requireReadBack()

	leaving := f.engines[0]
	leaving.leave()
	f.eventually("the endpoint's leaving is acknowledged", func() bool { return !leaving.left().IsZero() })
	f.lasting(fleetContact)
	gone := f.routers[0]
	require.NoError(t, f.terminate(gone), "a router that is asked to stop ends well")
	f.lasting(500 * time.Millisecond)
	end()

	f.requireRules()
	var regular []attempt
	for _, a := range f.view.between(began, time.Now()) {
		if a.kind == "safe" && a.began.Before(applied.Add(configApply)) && a.status == http.StatusNotFound {
			continue
		}
		require.False(t, a.status == 0 && a.router == gone.name, "a request was cut off at a graceful stop: %+v", a)
		regular = append(regular, a)
	}
	f.requireServed(regular, 0.99, "calm")
	for id, runs := range f.view.runs {
		for _, r := range runs {
			require.False(t, r.engine == leaving && r.at.After(leaving.left().Add(fleetContact)), "request %s reached an endpoint that had left", id)
		}
	}
}

// TestFleetRefusesOverBudget: description: an organisation that has used its
// prepaid total up is refused, others are served, and a raised total counts.
func TestFleetRefusesOverBudget(t *testing.T) {
	prepaid := map[string]int64{"small": 30_000, "large": 50_000_000}
	f := startFleet(t, fleetPlan{controls: 3, routers: 3, models: 3, plain: 1, prepaid: prepaid})
	end := f.startLoad(4, 20*time.Millisecond, 2)
	defer end()
	f.eventually("the small budget is used up", func() bool { return f.view.consumed("small") > prepaid["small"]*9/10 })
	f.lasting(fleetContact)
	require.LessOrEqual(t, f.view.consumed("small"), prepaid["small"])

	prepaid["small"] = 60_000
	f.put(f.configuration(2))
	f.eventually("the raised total is used", func() bool { return f.view.consumed("small") > 45_000 })
	f.lasting(fleetContact)
	f.requireRules()
	refused := 0
	for _, a := range f.view.between(time.Time{}, time.Now()) {
		if a.status == http.StatusPaymentRequired || a.status == http.StatusTooManyRequests {
			require.Equal(t, "small", a.organisation, fmt.Sprintf("%+v", a))
			refused++
		}
	}
	require.Positive(t, refused)
}
