//go:build review3

package main

import (
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net/http"
	"time"
)

// foreignID kills all processes at the end of a day, while another writer reports to the control
// nodes under an id that isn't UTF-8.
func foreignID(s *scene) (verdict, error) {
	if err := s.startRecords(); err != nil {
		return verdict{}, err
	}
	for i := range s.controls() {
		if s.trouble {
			go s.reportForeign(i)
		}
	}
	time.Sleep(3 * time.Second)
	return s.restartAll(func() {})
}

// reportForeign sends a report of another writer to one control node in each interval. Its id
// can't be read: it is no UTF-8. It also names a service that no desired state names.
func (s *scene) reportForeign(control int) {
	last := 0
	for sequence := 1; !s.isClosed(); sequence++ {
		body, _ := json.Marshal(map[string]any{
			"service": "kiosk", "address": s.network + "250:9000", "zone": "kgn-a", "version": "v1", "slots": 1, "state": "ready",
			"cold-remaining-ms": 0, "sequence": sequence, "born": time.Now().UnixMilli(),
		})
		id := fmt.Sprintf("i-%%%02X%%%02X%%%02X", 0x80+rand.IntN(0x40), 0x80+rand.IntN(0x40), 0x80+rand.IntN(0x40))
		status, _ := call(http.MethodPut, "http://"+s.address(s.controls()[control], "control")+"/buckthornpin/instances/"+id, body)
		if status != last {
			s.note("report of %s to control node %d: status %d", id, control+1, status)
			last = status
		}
		time.Sleep(heartbeatInterval)
	}
}
