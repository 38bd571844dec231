package integ

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"buckthornpin/config"
)

// cutDuration is longer than a router needs to notice that it is cut off from control.
const cutDuration = 8 * time.Second

// leaseBeforeCut is the lease, in tokens, that the router must hold before it is cut off.
// It is more than the callers spend during the cut.
const leaseBeforeCut = 8000

// cutResult counts the requests that were sent to the router during the cut and those
// that it refused.
type cutResult struct {
	sent, refused int
}

// TestCutOffRouter guards against double spending and overspending while a router can't
// reach control. One router is cut off from all control replicas while its callers
// continue to send requests and the budget is topped up at control. Each answer must be
// billed once. With leases the router must serve idempotent requests; without leases, the
// baseline, it must refuse them all.
func TestCutOffRouter(t *testing.T) {
	scenarios := []struct {
		description string
		percent     int32
		check       func(t *testing.T, r cutResult)
	}{
		{"with leases idempotent requests are served", 10, func(t *testing.T, r cutResult) { require.Zero(t, r.refused) }},
		{"without leases they are refused", 0, func(t *testing.T, r cutResult) { require.Equal(t, r.sent, r.refused) }},
	}
	for _, sc := range scenarios {
		t.Run(sc.description, func(t *testing.T) {
			s := startSite(t, plan{controls: 3, routers: 2, engines: 2, services: 1, adjustSettings: func(set *config.Settings) {
				set.Budget.LeasePercent = sc.percent
			}})
			r := s.sendDuringCut(sc.percent)
			t.Logf("%d sent, %d refused", r.sent, r.refused)
			sc.check(t, r)
		})
	}
}

func (s *site) sendDuringCut(percent int32) cutResult {
	s.t.Helper()
	const paid = 1_000_000
	s.createOrganisation("fleet", paid)
	var cost int64
	sent := 0
	s.eventually("the router has a lease large enough for the cut", func() bool {
		req := callerRequest{organisation: "fleet", content: fmt.Sprintf("before the cut %d", sent)}
		s.requireCompleteAnswer(req, s.send("router-1", req))
		cost += req.cost()
		sent++
		return percent == 0 || s.metrics(s.routers[0]).Budget.Leased >= leaseBeforeCut
	})
	for _, c := range s.controls {
		s.links[[2]string{"router-1", c.name}].silence()
	}
	var out cutResult
	for began := time.Now(); time.Since(began) < cutDuration; {
		req := callerRequest{organisation: "fleet", content: fmt.Sprintf("in the cut %d", out.sent)}
		r := s.send("router-1", req)
		out.sent++
		if r.status == 200 {
			s.requireCompleteAnswer(req, r)
			cost += req.cost()
			continue
		}
		out.refused++
		require.Equal(s.t, "not_run", r.outcome, "a refused request under a key that the router made must be reported as not run: %s", r.text)
	}
	s.topUp(500)
	permit := s.send("router-1", callerRequest{organisation: "fleet", key: "form", path: "/services/permits/x", content: "form", nonIdempotent: true})
	require.NotEqual(s.t, 200, permit.status, "a non-idempotent call must not run on a lease")
	s.healAll()
	s.requireBill("fleet", cost)
	require.Equal(s.t, int64(paid+500), s.budget("fleet").GetPaid())
	return out
}
