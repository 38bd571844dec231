//go:build review3

package main

import (
	"fmt"
	"time"
)

// otherPath sends requests for paths with an encoded slash. No route's prefix but /records/ begins
// them.
func otherPath(s *scene) (verdict, error) {
	if err := s.start(3, 1); err != nil {
		return verdict{}, err
	}
	for _, service := range []string{plainService, planService} {
		if _, err := s.startEngine("i-"+service+"-1", service); err != nil {
			return verdict{}, err
		}
	}
	routes := []route{
		{name: "r-records", prefix: "/records/", service: plainService, kind: "unsafe", timeoutMS: 1500},
		{name: "r-plans", prefix: "/records/plans/", service: planService, kind: "unsafe", timeoutMS: 1500},
	}
	if err := s.put(1, configuration(1, routes, []string{"key-1"})); err != nil {
		return verdict{}, err
	}
	if err := s.awaitReady(20 * time.Second); err != nil {
		return verdict{}, err
	}
	targets := []string{"/records/a", "/records/plans/a", "/other/a"}
	if s.trouble {
		targets = append(targets, "/records/plans%2F2026", "/records%2Fa")
	}
	address := s.address(s.routers()[0], "front")
	for i, target := range targets {
		id := fmt.Sprintf("attempt-%d", i+1)
		a, err := s.untilRouted(address, id, target)
		if err != nil {
			return verdict{}, err
		}
		s.note("%s, POST %s: %v", id, target, a)
	}
	var wrong []string
	for _, e := range s.engines {
		for _, x := range e.executions() {
			if r := longestPrefix(routes, x.target); r == nil || r.service != e.service {
				wrong = append(wrong, x.target+" by "+e.service)
			}
		}
	}
	if len(wrong) > 0 {
		return verdict{broken: true, why: fmt.Sprintf("ROUTE: run by a service to which no desired state allows it to go: %q", wrong)}, nil
	}
	return verdict{why: "each request was run by the service of the longest prefix that begins its path, or not at all"}, nil
}

// untilRouted sends a request until its router knows an engine of the service: 503 promises that
// it hasn't run.
func (s *scene) untilRouted(address, id, target string) (answer, error) {
	for end := time.Now().Add(10 * time.Second); ; time.Sleep(200 * time.Millisecond) {
		a, err := request(address, "POST", target, "body", "Attempt-Id", id, "Deadline-Ms", "1500", "Api-Key", "key-1")
		if err != nil || a.status != 503 || time.Now().After(end) {
			return a, err
		}
	}
}

// longestPrefix returns the route whose prefix is the longest that begins a path as it was sent.
func longestPrefix(routes []route, path string) *route {
	var out *route
	for i, r := range routes {
		if len(path) >= len(r.prefix) && path[:len(r.prefix)] == r.prefix && (out == nil || len(r.prefix) > len(out.prefix)) {
			out = &routes[i]
		}
	}
	return out
}
