package integ

import (
	"fmt"
	"net/http"
	"testing"

	"github.com/stretchr/testify/require"
)

// TestSeparateProcesses guards the basic path from end to end. Three control replicas, two
// routers, engines and a service run as separate processes and serve requests.
func TestSeparateProcesses(t *testing.T) {
	s := startSite(t, plan{controls: 3, routers: 2, engines: 2, services: 1})
	s.createOrganisation("fleet", 100_000)
	var cost int64
	for i := range 6 {
		req := callerRequest{organisation: "fleet", content: fmt.Sprintf("brief %d", i)}
		s.requireCompleteAnswer(req, s.send(routerName(i%2), req))
		cost += req.cost()
	}
	s.requireBill("fleet", cost)

	t.Run("a non-idempotent call runs once", func(t *testing.T) {
		req := callerRequest{organisation: "fleet", key: "permit-1", path: "/services/permits/apply", content: "form", nonIdempotent: true}
		first := s.send("router-1", req)
		require.Equal(t, http.StatusOK, first.status)
		again := s.send("router-2", req)
		require.Equal(t, http.StatusOK, again.status, again.text)
		require.Equal(t, first.text, again.text, "the retry through another router must get the stored answer")
		require.Contains(t, again.text, `"run":1`)
		s.requireBill("fleet", cost+1)
	})
	t.Run("an empty budget refuses and says that nothing ran", func(t *testing.T) {
		s.createOrganisation("poor", 10)
		r := s.send("router-1", callerRequest{organisation: "poor", content: "brief"})
		require.Equal(t, http.StatusPaymentRequired, r.status)
		require.Equal(t, "not_run", r.outcome)
		require.NotEmpty(t, r.retryAfter)
		s.requireBill("poor", 0)
	})
	t.Run("a wrong key is refused", func(t *testing.T) {
		require.Equal(t, http.StatusUnauthorized, s.send("router-1", callerRequest{bearer: "wrong", content: "x"}).status)
	})
}
