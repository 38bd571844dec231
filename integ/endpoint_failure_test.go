package integ

import (
	"encoding/json"
	"net/http"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"buckthornpin/stand"
)

// TestBrokenAnswersAreRepaired guards against passing a broken answer on to the caller.
// Engines break their answers in several ways. The caller must get each answer complete,
// and it must be billed once.
func TestBrokenAnswersAreRepaired(t *testing.T) {
	s := startSite(t, plan{controls: 1, routers: 1, engines: 3})
	s.createOrganisation("fleet", 100_000)
	var cost int64
	scenarios := []struct{ description, fault string }{
		{"the connection breaks", "@break_at=7"},
		{"the connection goes silent", "@silent_at=7"},
		{"the answer ends without its end mark", "@short_at=7"},
		{"a frame of another request arrives", "@alien_at=7"},
		{"a frame arrives twice", "@repeat_at=7"},
		{"the connection breaks before the first token", "@break_at=0"},
	}
	for _, sc := range scenarios {
		t.Run(sc.description, func(*testing.T) {
			req := callerRequest{organisation: "fleet", content: "brief @tokens=20 " + sc.fault}
			s.requireCompleteAnswer(req, s.send("router-1", req))
			cost += req.cost()
			s.requireBill("fleet", cost)
		})
	}
}

// TestSilentEndpointLink guards against requests that hang when an endpoint sends nothing.
// The link to one engine drops every byte under load, both for open streams and for new
// requests. They must be retried on other engines.
func TestSilentEndpointLink(t *testing.T) {
	s := startSite(t, plan{controls: 1, routers: 2, engines: 3})
	s.createOrganisation("fleet", 10_000_000)
	load := s.startTraffic(24)
	load.waitForMore(50)
	s.links[[2]string{"", "engine-1"}].silence()
	s.eventually("a request of the silent engine is retried", func() bool { return s.hasEvent("retried", "engine-1") })
	load.waitForMore(30)
	s.links[[2]string{"", "engine-1"}].heal()
	load.waitForMore(10)
	load.stopAndCheck()
}

// TestKilledEngine guards against losing the requests of an endpoint that crashes. An engine
// is killed under load, and its requests must be retried on other engines.
func TestKilledEngine(t *testing.T) {
	s := startSite(t, plan{controls: 1, routers: 2, engines: 3})
	s.createOrganisation("fleet", 10_000_000)
	load := s.startTraffic(24)
	load.waitForMore(50)
	s.kill(s.engines[0])
	s.eventually("a request of the killed engine is retried", func() bool { return s.hasEvent("retried", "engine-1") })
	load.waitForMore(30)
	load.stopAndCheck()
}

// hasEvent reports whether the timeline of any router holds an event of the given kind
// about the endpoint.
func (s *site) hasEvent(kind, endpoint string) bool {
	for _, r := range s.routers {
		for _, e := range s.timeline(r) {
			if string(e.Kind) == kind && e.Endpoint == endpoint {
				return true
			}
		}
	}
	return false
}

// TestLeavingEngine guards against requests that are lost when an endpoint shuts down. An
// engine announces that it is leaving. Within 3 s each router must show this in its
// status and send it no new requests, and the engine finishes those in progress.
func TestLeavingEngine(t *testing.T) {
	s := startSite(t, plan{controls: 1, routers: 2, engines: 2})
	s.createOrganisation("fleet", 10_000_000)
	load := s.startTraffic(4)
	load.waitForMore(10)
	began := time.Now()
	require.NoError(t, s.terminate(s.engines[0]))
	s.eventually("each router knows that the engine is leaving", func() bool { return s.leavingEverywhere("engine-1") })
	require.Less(t, time.Since(began), 3*time.Second)
	load.waitForMore(10)
	load.stopAndCheck()
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

// TestFrozenServiceRunsOnce guards against running a non-idempotent call twice after a
// timeout. The endpoints freeze before the call. It must not be repeated elsewhere, and the
// reply to the caller must say that it may have run.
func TestFrozenServiceRunsOnce(t *testing.T) {
	s := startSite(t, plan{controls: 1, routers: 2, services: 2})
	s.createOrganisation("cafe", 1000)
	for _, e := range s.engines {
		s.freeze(e)
	}
	req := callerRequest{organisation: "cafe", key: "form-1", path: "/services/permits/apply", content: "form", nonIdempotent: true, deadline: "700"}
	r := s.send("router-1", req)
	require.Equal(t, http.StatusGatewayTimeout, r.status)
	require.Equal(t, "unknown", r.outcome)
	for _, e := range s.engines {
		s.thaw(e)
	}
	again := s.send("router-2", req)
	require.Equal(t, http.StatusConflict, again.status, again.text)
	require.Equal(t, "already_ran", again.code)
	s.requireBill("cafe", 1)
}

// TestBrokenServiceCallRunsOnce guards against running a non-idempotent call twice after a
// broken connection. A service runs the call, and its connection breaks before the answer.
// Another service could take the call, but neither the router nor a retry through another
// router may send it there.
func TestBrokenServiceCallRunsOnce(t *testing.T) {
	s := startSite(t, plan{controls: 1, routers: 2, services: 2, direct: true})
	s.createOrganisation("cafe", 1000)
	req := callerRequest{organisation: "cafe", key: "form-1", path: "/services/permits/apply", content: "form @break", nonIdempotent: true}
	r := s.send("router-1", req)
	require.Equal(t, "unknown", r.outcome, r.text)
	again := s.send("router-2", req)
	require.Equal(t, "already_ran", again.code, again.text)
	require.Equal(t, 1, s.countRuns(req.content))
	s.requireBill("cafe", 1)

	t.Run("an idempotent call is sent again", func(t *testing.T) {
		idempotent := callerRequest{organisation: "cafe", key: "form-2", path: "/services/permits/apply", content: "lookup @break"}
		require.NotEqual(t, http.StatusOK, s.send("router-1", idempotent).status)
		require.Greater(t, s.countRuns(idempotent.content), 1)
	})
}

// TestServiceRetryGetsTheStoredAnswer guards against a retry that gets a different answer.
// An idempotent service call is sent again under its key through a router whose lease covers
// it. That router dispatches the call before control has answered its reservation. The
// caller must still get the stored answer, not that of the second run.
func TestServiceRetryGetsTheStoredAnswer(t *testing.T) {
	s := startSite(t, plan{controls: 1, routers: 2, services: 1, direct: true})
	s.createOrganisation("cafe", 1_000_000)
	s.eventually("the second router has a lease", func() bool {
		s.send("router-2", callerRequest{organisation: "cafe", path: "/services/permits/look", content: "warm"})
		return s.metrics(s.routers[1]).Budget.Leased > 0
	})
	req := callerRequest{organisation: "cafe", key: "look-1", path: "/services/permits/look", content: "look up"}
	first := s.send("router-1", req)
	require.Equal(t, http.StatusOK, first.status, first.text)
	again := s.send("router-2", req)
	require.Equal(t, http.StatusOK, again.status, again.text)
	require.Equal(t, first.text, again.text)
}

// countRuns returns how often the stand-in services have run a call with this body.
func (s *site) countRuns(body string) int {
	s.t.Helper()
	n := 0
	for _, e := range s.engines {
		res, err := callerHTTP.Get("http://" + flagValue(e.args, "-address") + stand.RunsPath)
		require.NoError(s.t, err)
		var runs map[string]int
		require.NoError(s.t, json.NewDecoder(res.Body).Decode(&runs))
		require.NoError(s.t, res.Body.Close())
		n += runs[body]
	}
	return n
}

// TestNoEndpointIsNotRun guards against a late copy of a refused request that runs after
// all. Without an endpoint the call is refused as not run. Once an endpoint has joined, the
// key must still be refused under the same attempt number, and must run under the next one.
func TestNoEndpointIsNotRun(t *testing.T) {
	s := startSite(t, plan{controls: 1, routers: 2, engines: 1})
	s.createOrganisation("cafe", 1000)
	req := callerRequest{organisation: "cafe", key: "form-1", path: "/services/permits/apply", content: "form", nonIdempotent: true, deadline: "300"}
	r := s.send("router-1", req)
	require.Equal(t, "not_run", r.outcome, r.text)
	require.Equal(t, "1", r.nextAttempt)
	s.addEndpoint(0, false, false)
	s.waitReady(2)
	late := s.send("router-2", req)
	require.Equal(t, "not_run", late.outcome, "a late copy of the refused attempt must not run")
	req.attempt = r.nextAttempt
	req.deadline = ""
	require.Equal(t, http.StatusOK, s.send("router-2", req).status)
	s.requireBill("cafe", 1)
}
