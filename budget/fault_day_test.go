package budget

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"
)

const (
	dayRouters, dayOrganisations = 6, 10
	dayRequestsPerSecond         = 63
	// recovery is the time after a fault from which on requests have to be served again.
	recovery = 12 * time.Second
	// leastServedPercent is the percentage of the requests that the totals cover, and that has
	// to be served.
	leastServedPercent = 25
)

// requireServedAfterAFault plays a day with several seeds. The first of its faults begins at one
// time, and the routers are back from the last one at another.
func requireServedAfterAFault(t *testing.T, sizes []daySize, fault, back time.Duration, events []dayEvent) {
	t.Helper()
	for seed := range uint64(8) {
		synctest.Test(t, func(t *testing.T) {
			day := newFaultDay(seed, dayRouters, dayOrganisations, dayRequestsPerSecond, sizes)
			day.play(t, seed, back+recovery+3*time.Second, events)
			before, _ := day.share(0, fault)
			after, owed := day.share(back+recovery, back+recovery+3*time.Second)
			require.GreaterOrEqual(t, before, leastServedPercent, "seed %d: served before the fault", seed)
			require.GreaterOrEqual(t, after, leastServedPercent, "seed %d: served of %d requests owed after the fault", seed, owed)
		})
	}
}

// TestBudgetsOutliveAKillOfAllRouters guards against organisations that are refused after
// a fault of all processes although much of their totals was never used: the shares of
// the killed routers were lost. 12 s after the routers are back, a quarter of the
// requests that the totals cover has to be served.
func TestBudgetsOutliveAKillOfAllRouters(t *testing.T) {
	const fault, back = 34 * time.Second, 36 * time.Second
	requireServedAfterAFault(t, standardSizes, fault, back, []dayEvent{
		{8 * time.Second, cutAll(true)},
		{13 * time.Second, cutAll(false)},
		{16 * time.Second, killRouters(2)},
		{16500 * time.Millisecond, restartRouters(2)},
		{25 * time.Second, cutAll(true)},
		{31 * time.Second, cutAll(false)},
		{fault, control(false)},
		{fault, killRouters(dayRouters)},
		{back, restartRouters(dayRouters)},
		{back + 500*time.Millisecond, control(true)},
	})
}

// TestBudgetsOutliveTwoKillsOfAllRouters guards against totals that end early because each kill
// of all routers loses tokens, on a day on which a few requests are much larger than the
// others. 12 s after the routers are back, a quarter of the requests that the totals cover has
// to be served.
func TestBudgetsOutliveTwoKillsOfAllRouters(t *testing.T) {
	const firstKill, lastKill, back = 32500 * time.Millisecond, 34 * time.Second, 36 * time.Second
	requireServedAfterAFault(t, mixedSizes, firstKill, back, []dayEvent{
		{firstKill, killRouters(dayRouters)},
		{33 * time.Second, restartRouters(dayRouters)},
		{lastKill, control(false)},
		{lastKill, killRouters(dayRouters)},
		{back, restartRouters(dayRouters)},
		{back + 500*time.Millisecond, control(true)},
	})
}

// TestLimitedSharesAreLentInACut guards against limits that keep the shares of a large fleet
// from being lent when a cut from control begins: each router's share is smaller than most
// requests, and its own requests are few. The limits allow the demand of all routers, so that
// at most one request in ten is refused before they end.
func TestLimitedSharesAreLentInACut(t *testing.T) {
	const (
		routers, organisations = 72, 24
		requestsPerSecond      = 680
		cut, limitsEnd         = 8 * time.Second, 12 * time.Second
		seeds                  = 4
		leastServed            = 90
	)
	sum := 0
	for seed := range uint64(seeds) {
		synctest.Test(t, func(t *testing.T) {
			day := newFaultDay(seed, routers, organisations, requestsPerSecond, standardSizes)
			day.play(t, seed, limitsEnd, []dayEvent{{cut, cutAll(true)}})
			served, _ := day.share(cut, limitsEnd)
			sum += served
		})
	}
	require.GreaterOrEqual(t, sum/seeds, leastServed, "served of 100 requests owed in the cut")
}
