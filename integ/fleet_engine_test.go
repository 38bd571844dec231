package integ

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"net/http/httptest"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/stretchr/testify/require"

	"buckthornpin"
	platf "buckthornpin/platform"
)

// engine stands in for an endpoint of the platform. It keeps no state over a crash.
type engine struct {
	fleet   *fleet
	id      string
	service string

	mu       sync.Mutex
	born     int64
	sequence int64
	server   *httptest.Server
	address  string
	leaving  bool
	// leftAt is when the word that the endpoint leaves was acknowledged.
	leftAt  time.Time
	running atomic.Int64
	// grey is the number of requests of which one fails; 0 fails none.
	grey atomic.Int64
	seen atomic.Int64
	// pace is the time between two events of a stream.
	pace time.Duration
}

const (
	enginePace = 5 * time.Millisecond
	// plainWork is long enough for crashes to find requests under way.
	plainWork    = 30 * time.Millisecond
	streamEvents = 8
	plainBody    = 800
)

func (e *engine) open() {
	e.pace = enginePace
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(e.fleet.t, err)
	e.address = l.Addr().String()
	e.listen(l)
	e.fleet.t.Cleanup(func() { e.crash() })
}

func (e *engine) listen(l net.Listener) {
	s := httptest.NewUnstartedServer(http.HandlerFunc(e.serve))
	_ = s.Listener.Close()
	s.Listener = l
	s.Start()
	e.mu.Lock()
	e.server = s
	e.mu.Unlock()
}

// crash cuts all connections off and closes the address.
func (e *engine) crash() {
	e.mu.Lock()
	s := e.server
	e.server = nil
	e.mu.Unlock()
	if s == nil {
		return
	}
	_ = s.Listener.Close()
	s.CloseClientConnections()
	s.Close()
}

// restart begins a new life under the same id at the same address.
func (e *engine) restart() {
	l, err := net.Listen("tcp", e.address)
	require.NoError(e.fleet.t, err)
	e.mu.Lock()
	e.born, e.sequence = time.Now().UnixMilli(), 0
	e.mu.Unlock()
	e.listen(l)
}

// beat sends heartbeats to control, to one VM after the other where one fails.
func (e *engine) beat(ctx context.Context) {
	at := 0
	every(ctx, fleetHeartbeat, func() {
		path, body, alive := e.heartbeat()
		if !alive {
			return
		}
		for range e.fleet.controls {
			if e.fleet.call(ctx, e.fleet.controls[at], http.MethodPut, path, body) {
				e.acknowledged()
				return
			}
			at = (at + 1) % len(e.fleet.controls)
		}
	})
}

func (e *engine) heartbeat() (path string, body []byte, alive bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.sequence++
	path, body = platf.EncodeHeartbeat(buckthornpin.Endpoint{
		ID: e.id, Services: []string{e.service}, Address: e.address, Zone: "zone-1", Capacity: fleetSlots,
		Incarnation: e.born, Sequence: e.sequence, Leaving: e.leaving,
	})
	return path, body, e.server != nil
}

func (e *engine) acknowledged() {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.leaving && e.leftAt.IsZero() {
		e.leftAt = time.Now()
	}
}

// leave says in the next heartbeats that the endpoint leaves.
func (e *engine) leave() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.leaving = true
}

func (e *engine) left() time.Time {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.leftAt
}

// serve runs requests as the platform's endpoints do.
func (e *engine) serve(w http.ResponseWriter, r *http.Request) {
	q := platf.DecodeEndpointRequest(r.Header)
	if q.ID == "" {
		e.decline(w, q, http.StatusBadRequest)
		return
	}
	if q.Endpoint != e.id {
		e.decline(w, q, http.StatusMisdirectedRequest)
		return
	}
	if e.running.Add(1) > fleetSlots {
		e.running.Add(-1)
		e.decline(w, q, http.StatusServiceUnavailable)
		return
	}
	defer e.running.Add(-1)
	e.fleet.view.ran(execution{id: q.ID, engine: e, organisation: q.Organisation, at: time.Now(), key: q.Key})
	platf.EncodeEndpointAnswer(w.Header(), q.ID, signature(q.ID), false)
	if n := e.grey.Load(); n > 0 && e.seen.Add(1)%n == 0 {
		w.WriteHeader(http.StatusInternalServerError)
		return
	}
	if e.service == modelSvc {
		e.stream(w, r, q)
		return
	}
	timer := time.NewTimer(plainWork)
	defer timer.Stop()
	select {
	case <-timer.C:
		_, _ = w.Write([]byte(plainAnswer(q.ID)))
	case <-r.Context().Done():
	}
}

func (e *engine) decline(w http.ResponseWriter, q platf.EndpointRequest, status int) {
	platf.EncodeEndpointAnswer(w.Header(), q.ID, "", true)
	w.WriteHeader(status)
}

func (e *engine) stream(w http.ResponseWriter, r *http.Request, q platf.EndpointRequest) {
	after, _ := strconv.Atoi(q.LastEvent)
	w.Header().Set("Content-Type", "text/event-stream")
	w.WriteHeader(http.StatusOK)
	tick := time.NewTicker(e.pace)
	defer tick.Stop()
	for i := after + 1; i <= streamEvents; i++ {
		select {
		case <-r.Context().Done():
			return
		case <-tick.C:
		}
		if _, err := fmt.Fprint(w, eventText(q.ID, i)); err != nil {
			return
		}
		if http.NewResponseController(w).Flush() != nil {
			return
		}
	}
}

func signature(id string) string { return "signed-" + id }

func plainAnswer(id string) string {
	return strings.Repeat(id+".", plainBody/len(id))
}

func eventText(id string, i int) string {
	return fmt.Sprintf("id: %d\ndata: %s-%d\n\n", i, id, i)
}

func streamAnswer(id string) string {
	var b strings.Builder
	for i := range streamEvents {
		b.WriteString(eventText(id, i+1))
	}
	return b.String()
}
