//go:build review3

package main

import (
	"encoding/json"
	"fmt"
	"net/http"
	"time"
)

// missingFields has another writer report an engine of one service under the name of another
// service, without the fields zone and version.
func missingFields(s *scene) (verdict, error) {
	if err := s.start(3, 1); err != nil {
		return verdict{}, err
	}
	for _, service := range []string{plainService, planService} {
		e, err := s.startEngine("i-"+service+"-1", service)
		if err != nil {
			return verdict{}, err
		}
		e.work = 60 * time.Millisecond // the site's mean for its plain requests
	}
	routes := []route{
		{name: "r-records", prefix: "/records/", service: plainService, kind: "unsafe", timeoutMS: 1500},
		{name: "r-plans", prefix: "/plans/", service: planService, kind: "unsafe", timeoutMS: 1500},
	}
	if err := s.put(1, configuration(1, routes, []string{"key-1"})); err != nil {
		return verdict{}, err
	}
	if err := s.awaitReady(20 * time.Second); err != nil {
		return verdict{}, err
	}
	time.Sleep(3 * time.Second)
	if s.trouble {
		go s.reportWithoutFields(s.engines[0])
	}
	time.Sleep(3 * time.Second)
	outcomes := s.sendPlans()
	s.note("answers to requests for %s: %v", planService, outcomes)
	wrong := 0
	for _, x := range s.engines[0].executions() {
		if r := longestPrefix(routes, x.target); r == nil || r.service != plainService {
			wrong++
		}
	}
	why := fmt.Sprintf("an engine of %s ran %d requests that only a route to %s begins", plainService, wrong, planService)
	if wrong > 0 {
		return verdict{broken: true, why: "ROUTE: " + why}, nil
	}
	return verdict{why: why}, nil
}

// sendPlans sends requests of several requesters to the route of one service at the same time, and
// returns how many got each kind of answer.
func (s *scene) sendPlans() map[string]int {
	return s.sendPosts("/plans/a", func(int, int) string { return "a plan" })
}

// reportWithoutFields sends a report of an engine to the control nodes in turn, once in each
// interval.
func (s *scene) reportWithoutFields(e *engine) {
	born := time.Now().UnixMilli()
	for sequence := 1; !s.isClosed(); sequence++ {
		body, _ := json.Marshal(map[string]any{
			"service": planService, "address": e.target, "slots": 6, "state": "ready", "sequence": sequence, "born": born,
		})
		m := s.controls()[sequence%len(s.controls())]
		status, _ := call(http.MethodPut, "http://"+s.address(m, "control")+"/buckthornpin/instances/"+e.id, body)
		s.note("report of %s for %s, without zone and version, to %s: status %d", e.id, planService, m.name, status)
		time.Sleep(heartbeatInterval)
	}
}
