//go:build review3

package main

import (
	"fmt"
	"net/http"
	"time"
)

// optionsStar sends a request whose path no route's prefix begins: the asterisk form, with which
// HTTP asks about a server as a whole.
func optionsStar(s *scene) (verdict, error) {
	if err := s.start(3, 1); err != nil {
		return verdict{}, err
	}
	if _, err := s.startEngine("i-records-1", plainService); err != nil {
		return verdict{}, err
	}
	routes := []route{{name: "r-records", prefix: "/records/", service: plainService, kind: "safe", timeoutMS: 1500}}
	if err := s.put(1, configuration(1, routes, []string{"key-1"})); err != nil {
		return verdict{}, err
	}
	if err := s.awaitReady(20 * time.Second); err != nil {
		return verdict{}, err
	}
	targets := []string{"/records/a", "/other/a"}
	if s.trouble {
		targets = append(targets, "*")
	}
	var unsealed []string
	for i, target := range targets {
		id := fmt.Sprintf("attempt-%d", i+1)
		a, err := request(s.address(s.routers()[0], "front"), http.MethodOptions, target, "", "Attempt-Id", id, "Deadline-Ms", "1500", "Api-Key", "key-1")
		if err != nil {
			return verdict{}, err
		}
		s.note("%s, OPTIONS %s: %v", id, target, a)
		if a.status/100 == 2 && a.seal == "" {
			unsealed = append(unsealed, fmt.Sprintf("OPTIONS %s: status %d", target, a.status))
		}
	}
	if len(unsealed) > 0 {
		return verdict{broken: true, why: fmt.Sprintf("MIXED: a success without the Server-Seal of an engine: %q; engines ran %d of %d requests", unsealed, len(s.executions()), len(targets))}, nil
	}
	return verdict{why: "each success bore the Server-Seal of an engine"}, nil
}
