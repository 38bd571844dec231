//go:build review3

package main

import (
	"encoding/json"
	"net/http"
	"time"
)

// beforeAgents is the time from the start of the machines until the agents report.
const beforeAgents = 4 * time.Second

// agentReports kills all processes at the end of a day. Afterwards an agent beside each engine
// reports for a service that no desired state names, with the address of the engine.
func agentReports(s *scene) (verdict, error) {
	if err := s.startRecords(); err != nil {
		return verdict{}, err
	}
	return s.restartAll(func() {
		time.Sleep(beforeAgents)
		for i, e := range s.engines {
			if s.trouble {
				go s.reportAgent(e, i)
			}
		}
	})
}

// reportAgent sends a report of the agent beside an engine in each interval, to one control node
// after the other.
func (s *scene) reportAgent(e *engine, first int) {
	born := time.Now().UnixMilli()
	for sequence := 1; !s.isClosed(); sequence++ {
		body, _ := json.Marshal(map[string]any{
			"service": "host-agent", "address": e.target, "zone": "kgn-a", "version": "v1", "slots": 1, "state": "ready",
			"cold-remaining-ms": 0, "sequence": sequence, "born": born,
		})
		m := s.controls()[(first+sequence)%len(s.controls())]
		status, err := call(http.MethodPut, "http://"+s.address(m, "control")+"/buckthornpin/instances/agent-of-"+e.id, body)
		if sequence <= 3 {
			s.note("report of agent-of-%s to %s: status %d, error %v", e.id, m.name, status, err)
		}
		time.Sleep(heartbeatInterval)
	}
}
