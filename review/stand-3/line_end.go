//go:build review3

package main

import (
	"encoding/json"
	"fmt"
	"net/http"
	"sync"
	"time"
)

// lineEnd has another writer report an engine under an id that ends with a line break, and then
// sends requests.
func lineEnd(s *scene) (verdict, error) {
	if err := s.start(3, 1); err != nil {
		return verdict{}, err
	}
	for i := range 2 {
		e, err := s.startEngine(fmt.Sprintf("i-records-%d", i+1), plainService)
		if err != nil {
			return verdict{}, err
		}
		e.work = 60 * time.Millisecond // the site's mean for its plain requests
	}
	routes := []route{{name: "r-records", prefix: "/records/", service: plainService, kind: "unsafe", timeoutMS: 1500}}
	if err := s.put(1, configuration(1, routes, []string{"key-1"})); err != nil {
		return verdict{}, err
	}
	if err := s.awaitReady(20 * time.Second); err != nil {
		return verdict{}, err
	}
	if s.trouble {
		go s.reportWithLineEnd(s.engines[0])
	}
	time.Sleep(3 * time.Second)
	s.note("answers: %v", s.sendPosts("/records/a", permit))
	bodies := map[string]string{}
	for i := range requesters {
		for n := range requestsPerRequester {
			bodies[attemptID(i, n)] = permit(i, n)
		}
	}
	changed, noTenant := 0, 0
	for _, x := range s.executions() {
		if x.body != bodies[x.id] {
			changed++
		}
		if x.tenant != tenant {
			noTenant++
		}
	}
	why := fmt.Sprintf("of %d requests, engines ran %d with another body than the requester's and %d without its tenant", len(bodies), changed, noTenant)
	if changed+noTenant > 0 {
		return verdict{broken: true, why: "UNASKED: " + why}, nil
	}
	return verdict{why: why}, nil
}

// Requesters and their requests.
const (
	requesters           = 8
	requestsPerRequester = 20
)

// sendPosts sends requests of several requesters at the same time, and returns how many got each
// kind of answer.
func (s *scene) sendPosts(target string, body func(requester, n int) string) (outcomes map[string]int) {
	outcomes = map[string]int{}
	var mu sync.Mutex
	var wg sync.WaitGroup
	for i := range requesters {
		wg.Go(func() {
			for n := range requestsPerRequester {
				a, err := request(s.address(s.routers()[0], "front"), "POST", target, body(i, n), "Attempt-Id", attemptID(i, n), "Deadline-Ms", "1500", "Api-Key", "key-1")
				mu.Lock()
				outcomes[fmt.Sprintf("status %d, seal %q, error %v", a.status, a.seal, err)]++
				mu.Unlock()
			}
		})
	}
	wg.Wait()
	return outcomes
}

func attemptID(requester, n int) string { return fmt.Sprintf("attempt-%d-%d", requester+1, n+1) }

func permit(requester, n int) string {
	return fmt.Sprintf("permit %d of requester %d", n+1, requester+1)
}

// reportWithLineEnd sends, once in each interval, what an engine says of itself to a control node,
// with a line break behind its id.
func (s *scene) reportWithLineEnd(e *engine) {
	for sequence := 1; !s.isClosed(); sequence++ {
		body, _ := json.Marshal(map[string]any{
			"service": e.service, "address": e.target, "zone": "kgn-a", "version": "v1", "slots": 6, "state": "ready",
			"cold-remaining-ms": 0, "sequence": sequence, "born": e.born,
		})
		m := s.controls()[sequence%len(s.controls())]
		status, _ := call(http.MethodPut, "http://"+s.address(m, "control")+"/buckthornpin/instances/"+e.id+"%0D%0A", body)
		s.note("report of %s%%0D%%0A to %s: status %d", e.id, m.name, status)
		time.Sleep(heartbeatInterval)
	}
}
