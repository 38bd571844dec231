package integ

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"buckthornpin/config"
)

// cutTime is longer than a router takes to notice that it is cut off.
const cutTime = 8 * time.Second

// demandOfCut is more than the callers of one cut spend, in tokens.
const demandOfCut = 8000

// cutResult is what callers of the cut off router saw.
type cutResult struct {
	asked, refused int
}

// TestCutOffRouter cuts one router off from control while callers go on asking
// and the budget is topped up on the other side. Nothing is spent twice or
// beyond what was paid, and each answer is billed once. Without leases the same
// callers are refused: that is the baseline.
func TestCutOffRouter(t *testing.T) {
	scenarios := []struct {
		description string
		percent     int32
		check       func(t *testing.T, r cutResult)
	}{
		{"leases carry idempotent requests", 10, func(t *testing.T, r cutResult) { require.Zero(t, r.refused) }},
		{"without leases they are refused", 0, func(t *testing.T, r cutResult) { require.Equal(t, r.asked, r.refused) }},
	}
	for _, sc := range scenarios {
		t.Run(sc.description, func(t *testing.T) {
			s := start(t, plan{controls: 3, routers: 2, engines: 2, services: 1, adjust: func(set *config.Settings) {
				set.Budget.LeasePercent = sc.percent
			}})
			r := s.cutAndAsk(sc.percent)
			t.Logf("%d asked, %d refused", r.asked, r.refused)
			sc.check(t, r)
		})
	}
}

func (s *site) cutAndAsk(percent int32) cutResult {
	s.t.Helper()
	const paid = 1_000_000
	s.organisation("fleet", paid)
	var cost int64
	asked := 0
	s.eventually("the router has a lease for the demand of the cut", func() bool {
		a := ask{org: "fleet", content: fmt.Sprintf("before the cut %d", asked)}
		s.requireWhole(a, s.send("router-1", a))
		cost += a.cost()
		asked++
		return percent == 0 || s.metrics(s.routers[0]).Budget.Leased >= demandOfCut
	})
	for _, c := range s.controls {
		s.links[[2]string{"router-1", c.name}].silence()
	}
	var out cutResult
	for began := time.Now(); time.Since(began) < cutTime; {
		a := ask{org: "fleet", content: fmt.Sprintf("in the cut %d", out.asked)}
		r := s.send("router-1", a)
		out.asked++
		if r.status == 200 {
			s.requireWhole(a, r)
			cost += a.cost()
			continue
		}
		out.refused++
		require.Equal(s.t, "not_run", r.outcome, "a request under the router's own key was not run: %s", r.text)
	}
	s.topUp(500)
	form := s.send("router-1", ask{org: "fleet", key: "form", path: "/services/permits/x", content: "form", once: true})
	require.NotEqual(s.t, 200, form.status, "a non-idempotent call doesn't run on a lease")
	s.healAll()
	s.requireBill("fleet", cost)
	require.Equal(s.t, int64(paid+500), s.budget("fleet").GetPaid())
	return out
}
