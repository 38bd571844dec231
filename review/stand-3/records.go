//go:build review3

package main

import (
	"fmt"
	"net/http"
	"time"
)

// recovery is the recovery-s of the settings.
const recovery = 12 * time.Second

// startRecords starts a deployment with four engines of one service.
func (s *scene) startRecords() error {
	if err := s.start(3, 2); err != nil {
		return err
	}
	for i := range 4 {
		if _, err := s.startEngine(fmt.Sprintf("i-records-%d", i+1), plainService); err != nil {
			return err
		}
	}
	routes := []route{{name: "r-records", prefix: "/records/", service: plainService, kind: "safe", timeoutMS: 1500}}
	if err := s.put(1, configuration(1, routes, []string{"key-1"})); err != nil {
		return err
	}
	return s.awaitReady(20 * time.Second)
}

// restartAll kills all processes, starts them again, calls afterStart, and checks the rule RECOVER.
func (s *scene) restartAll(afterStart func()) (verdict, error) {
	before, beforeServed := s.serve("before", 4*time.Second)
	if beforeServed*4 < before {
		return verdict{}, fmt.Errorf("%d of %d requests were served before the fault", beforeServed, before)
	}
	s.note("all processes are killed; they start again after 0.8 s")
	for _, m := range s.machines {
		m.kill()
	}
	time.Sleep(800 * time.Millisecond)
	for _, m := range s.machines {
		if err := s.launch(m, false); err != nil {
			return verdict{}, err
		}
	}
	s.note("all processes are started again")
	back := time.Now()
	afterStart()
	time.Sleep(time.Until(back.Add(recovery)))
	n, served := s.serve("after", 20*time.Second)
	why := fmt.Sprintf("%d of %d requests were served before the fault, %d of %d in the 20 s that began recovery-s after the machines were back", beforeServed, before, served, n)
	if served*4 < n {
		return verdict{broken: true, why: "RECOVER: " + why}, nil
	}
	return verdict{why: why}, nil
}

// serve sends a request every 100 ms to the routers in turn, and returns how many it sent and how
// many were answered with success.
func (s *scene) serve(phase string, d time.Duration) (sent, served int) {
	outcomes := map[string]int{}
	for end := time.Now().Add(d); time.Now().Before(end); time.Sleep(100 * time.Millisecond) {
		m := s.routers()[sent%len(s.routers())]
		sent++
		a, err := request(s.address(m, "front"), "GET", "/records/x", "", "Attempt-Id", fmt.Sprintf("%s-%d", phase, sent), "Deadline-Ms", "1500", "Api-Key", "key-1")
		switch {
		case err != nil:
			outcomes["no answer"]++
		case a.status == http.StatusOK && a.seal != "" && a.whole:
			served++
			fallthrough
		default:
			outcomes[fmt.Sprintf("%d %s", a.status, a.body)]++
		}
	}
	s.note("%s the fault, answers: %v", phase, outcomes)
	return sent, served
}
