package integ

import (
	"encoding/json"
	"net/http"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"buckthornpin/stand"
)

// TestBrokenAnswersAreRepaired: engines break answers in many ways; the caller
// gets each one whole, and it is billed once.
func TestBrokenAnswersAreRepaired(t *testing.T) {
	s := start(t, plan{controls: 1, routers: 1, engines: 3})
	s.organisation("fleet", 100_000)
	var cost int64
	scenarios := []struct{ description, fault string }{
		{"the connection breaks", "@break_at=7"},
		{"the connection goes silent", "@silent_at=7"},
		{"the answer ends without its end mark", "@short_at=7"},
		{"a frame of another request comes", "@alien_at=7"},
		{"a frame comes twice", "@repeat_at=7"},
		{"it breaks before the first token", "@break_at=0"},
	}
	for _, sc := range scenarios {
		t.Run(sc.description, func(*testing.T) {
			a := ask{org: "fleet", content: "brief @tokens=20 " + sc.fault}
			s.requireWhole(a, s.send("router-1", a))
			cost += a.cost()
			s.requireBill("fleet", cost)
		})
	}
}

// TestSilentEndpointLink: the link to one engine goes silent under load, both
// for open streams and for new work.
func TestSilentEndpointLink(t *testing.T) {
	s := start(t, plan{controls: 1, routers: 2, engines: 3})
	s.organisation("fleet", 10_000_000)
	load := s.traffic(24)
	load.waitForMore(50)
	s.links[[2]string{"", "engine-1"}].silence()
	s.eventually("a request has left the silent engine", func() bool { return s.happened("retried", "engine-1") })
	load.waitForMore(30)
	s.links[[2]string{"", "engine-1"}].heal()
	load.waitForMore(10)
	load.end()
}

// TestKilledEngine: an engine dies under load.
func TestKilledEngine(t *testing.T) {
	s := start(t, plan{controls: 1, routers: 2, engines: 3})
	s.organisation("fleet", 10_000_000)
	load := s.traffic(24)
	load.waitForMore(50)
	s.kill(s.engines[0])
	s.eventually("a request has left the dead engine", func() bool { return s.happened("retried", "engine-1") })
	load.waitForMore(30)
	load.end()
}

// happened reports whether a router has an event of the kind about an endpoint.
func (s *site) happened(kind, endpoint string) bool {
	for _, r := range s.routers {
		for _, e := range s.timeline(r) {
			if string(e.Kind) == kind && e.Endpoint == endpoint {
				return true
			}
		}
	}
	return false
}

// TestLeavingEngine: an engine says that it is leaving; within 3 s no router
// sends it new work, and what it has begun it finishes.
func TestLeavingEngine(t *testing.T) {
	s := start(t, plan{controls: 1, routers: 2, engines: 2})
	s.organisation("fleet", 10_000_000)
	load := s.traffic(4)
	load.waitForMore(10)
	began := time.Now()
	require.NoError(t, s.terminate(s.engines[0]))
	s.eventually("each router knows", func() bool { return s.leavingEverywhere("engine-1") })
	require.Less(t, time.Since(began), 3*time.Second)
	load.waitForMore(10)
	load.end()
}

func (s *site) leavingEverywhere(id string) bool {
	for _, r := range s.routers {
		st, err := s.operator(r.name).Status(s.t.Context())
		if err != nil {
			return false
		}
		for _, e := range st.Endpoints {
			if e.Endpoint == id && !e.Leaving {
				return false
			}
		}
	}
	return true
}

// TestFrozenServiceRunsOnce: the endpoint of a non-idempotent call freezes; the
// call isn't repeated elsewhere, and the caller is told that it may have run.
func TestFrozenServiceRunsOnce(t *testing.T) {
	s := start(t, plan{controls: 1, routers: 2, services: 2})
	s.organisation("cafe", 1000)
	for _, e := range s.engines {
		s.freeze(e)
	}
	a := ask{org: "cafe", key: "form-1", path: "/services/permits/apply", content: "form", once: true, deadline: "700"}
	r := s.send("router-1", a)
	require.Equal(t, http.StatusGatewayTimeout, r.status)
	require.Equal(t, "unknown", r.outcome)
	for _, e := range s.engines {
		s.thaw(e)
	}
	again := s.send("router-2", a)
	require.Equal(t, http.StatusConflict, again.status, again.text)
	require.Equal(t, "already_ran", again.code)
	s.requireBill("cafe", 1)
}

// TestBrokenServiceCallRunsOnce: a service runs a non-idempotent call and its
// connection breaks before the answer. Another service could take the call, but
// it isn't sent there, nor by a retry through another router.
func TestBrokenServiceCallRunsOnce(t *testing.T) {
	s := start(t, plan{controls: 1, routers: 2, services: 2, direct: true})
	s.organisation("cafe", 1000)
	a := ask{org: "cafe", key: "form-1", path: "/services/permits/apply", content: "form @break", once: true}
	r := s.send("router-1", a)
	require.Equal(t, "unknown", r.outcome, r.text)
	again := s.send("router-2", a)
	require.Equal(t, "already_ran", again.code, again.text)
	require.Equal(t, 1, s.runs(a.content))
	s.requireBill("cafe", 1)

	t.Run("an idempotent call is sent again", func(t *testing.T) {
		idempotent := ask{org: "cafe", key: "form-2", path: "/services/permits/apply", content: "lookup @break"}
		require.NotEqual(t, http.StatusOK, s.send("router-1", idempotent).status)
		require.Greater(t, s.runs(idempotent.content), 1)
	})
}

// TestServiceRetryGetsTheStoredAnswer: an idempotent service call is sent again
// under its key through a router whose lease covers it, so that it is dispatched
// before its reservation is answered. The caller gets the stored answer all the
// same, not that of the second run.
func TestServiceRetryGetsTheStoredAnswer(t *testing.T) {
	s := start(t, plan{controls: 1, routers: 2, services: 1, direct: true})
	s.organisation("cafe", 1_000_000)
	s.eventually("the second router has a lease", func() bool {
		s.send("router-2", ask{org: "cafe", path: "/services/permits/look", content: "warm"})
		return s.metrics(s.routers[1]).Budget.Leased > 0
	})
	a := ask{org: "cafe", key: "look-1", path: "/services/permits/look", content: "look up"}
	first := s.send("router-1", a)
	require.Equal(t, http.StatusOK, first.status, first.text)
	again := s.send("router-2", a)
	require.Equal(t, http.StatusOK, again.status, again.text)
	require.Equal(t, first.text, again.text)
}

// runs counts how often the stand-in services ran a body.
func (s *site) runs(body string) int {
	s.t.Helper()
	n := 0
	for _, e := range s.engines {
		res, err := callerHTTP.Get("http://" + argument(e.args, "-address") + stand.RunsPath)
		require.NoError(s.t, err)
		var runs map[string]int
		require.NoError(s.t, json.NewDecoder(res.Body).Decode(&runs))
		require.NoError(s.t, res.Body.Close())
		n += runs[body]
	}
	return n
}

// TestNoEndpointIsNotRun: without an endpoint the call is refused, and the
// refusal holds: the key can't run under the same attempt number later.
func TestNoEndpointIsNotRun(t *testing.T) {
	s := start(t, plan{controls: 1, routers: 2, engines: 1})
	s.organisation("cafe", 1000)
	a := ask{org: "cafe", key: "form-1", path: "/services/permits/apply", content: "form", once: true, deadline: "300"}
	r := s.send("router-1", a)
	require.Equal(t, "not_run", r.outcome, r.text)
	require.Equal(t, "1", r.next)
	s.addEndpoint(0, false, false)
	s.waitReady(2)
	late := s.send("router-2", a)
	require.Equal(t, "not_run", late.outcome, "a late copy of the refused attempt doesn't run")
	a.attempt = r.next
	a.deadline = ""
	require.Equal(t, http.StatusOK, s.send("router-2", a).status)
	s.requireBill("cafe", 1)
}
