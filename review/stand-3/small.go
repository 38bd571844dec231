//go:build review3

package main

import (
	"bytes"
	"fmt"
	"time"
)

// noTenants puts a desired state whose list of tenants is empty after one with a tenant.
func noTenants(s *scene) (verdict, error) {
	if err := s.startRecords(); err != nil {
		return verdict{}, err
	}
	routes := []route{{name: "r-records", prefix: "/records/", service: plainService, kind: "safe", timeoutMS: 1500}}
	if s.trouble {
		document := configuration(2, routes, []string{"key-1"})
		i, j := bytes.Index(document, []byte(`"tenants":[`)), bytes.LastIndex(document, []byte(`]`))
		for k := i; k < len(document); k++ { // The list of tenants ends before the version.
			if bytes.HasPrefix(document[k:], []byte(`],"version"`)) {
				j = k
			}
		}
		document = append(document[:i+len(`"tenants":[`)], document[j:]...)
		if err := s.put(2, document); err != nil {
			return verdict{}, err
		}
	}
	time.Sleep(applyTime)
	a, err := request(s.address(s.routers()[0], "front"), "GET", "/records/a", "", "Attempt-Id", "attempt-1", "Deadline-Ms", "1500", "Api-Key", "key-that-nobody-held")
	if err != nil {
		return verdict{}, err
	}
	s.note("attempt-1: %v", a)
	return verdict{broken: len(s.executions()) > 0, why: fmt.Sprintf("engines ran %d requests with a key that no desired state held", len(s.executions()))}, nil
}

// versionZero puts a first desired state of version 0.
func versionZero(s *scene) (verdict, error) {
	if err := s.start(3, 1); err != nil {
		return verdict{}, err
	}
	version := 1
	if s.trouble {
		version = 0
	}
	routes := []route{{name: "r-records", prefix: "/records/", service: plainService, kind: "safe", timeoutMS: 1500}}
	if err := s.put(version, configuration(version, routes, []string{"key-1"})); err != nil {
		return verdict{}, err
	}
	read := 0
	for end := time.Now().Add(5 * time.Second); time.Now().Before(end); time.Sleep(200 * time.Millisecond) {
		status, err := call("GET", "http://"+s.address(s.controls()[0], "control")+"/buckthornpin/config", nil)
		s.note("read of the desired state: status %d, error %v", status, err)
		if status == 200 {
			read++
		}
	}
	return verdict{broken: read == 0, why: fmt.Sprintf("%d reads succeeded", read)}, nil
}
