package integ

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"slices"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/stretchr/testify/require"

	"buckthornpin"
	platf "buckthornpin/platform"
	"buckthornpin/route"
)

// endpointStub stands in for an endpoint of the platform. It keeps no state across a crash.
type endpointStub struct {
	fleet   *fleet
	id      string
	service string

	mu          sync.Mutex
	incarnation int64
	sequence    int64
	server      *httptest.Server
	address     string
	leaving     bool
	// silent keeps the endpoint from sending heartbeats.
	silent bool
	// leaveAckedAt is when control first acknowledged that the endpoint is leaving.
	leaveAckedAt time.Time
	running      atomic.Int64
	// failEvery makes one in this many requests fail; 0 fails none.
	failEvery atomic.Int64
	received  atomic.Int64
	// limit holds the requests a second that the endpoint names in its answers; nil names
	// none.
	limit atomic.Pointer[float64]
	// pauseUntil is the time until which the endpoint turns requests away and says so; nil if
	// it takes them. turnedAway counts those that it has turned away.
	pauseUntil atomic.Pointer[time.Time]
	turnedAway atomic.Int64
	// pours makes the endpoint answer with bytes without end.
	// plainTime is the time that a plain service takes, if it is longer than usual.
	plainTime atomic.Int64
	// stalls is set while the endpoint sends most of a long event and nothing after that.
	stalls atomic.Bool
	pours  atomic.Bool
	// saysLeaving makes all answers say that the endpoint is leaving.
	saysLeaving atomic.Bool
	// crashPart is the part of a prompt under which the endpoint crashes when it begins its
	// answer; nil if there is none.
	crashPart atomic.Pointer[string]
	// eventInterval is the time between two events of a stream.
	eventInterval time.Duration
}

const (
	defaultEventInterval = 5 * time.Millisecond
	// slowEventInterval is that of requests whose path ends with slowStreamPath.
	slowEventInterval = 300 * time.Millisecond
	slowStreamPath    = "slow"
	// plainServiceTime is long enough for a crash to hit requests in progress.
	plainServiceTime = 30 * time.Millisecond
	eventsPerStream  = 8
	plainAnswerBytes = 800
)

func (e *endpointStub) start() {
	e.eventInterval = defaultEventInterval
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(e.fleet.t, err)
	e.address = l.Addr().String()
	e.listen(l)
	e.fleet.t.Cleanup(func() { e.crash() })
}

func (e *endpointStub) listen(l net.Listener) {
	s := httptest.NewUnstartedServer(http.HandlerFunc(e.serve))
	_ = s.Listener.Close()
	s.Listener = l
	s.Start()
	e.mu.Lock()
	e.server = s
	e.mu.Unlock()
}

// crash closes all connections and the listener.
func (e *endpointStub) crash() {
	if s := e.closeAll(); s != nil {
		s.Close()
	}
}

// closeAll closes all connections and the listener, and returns the server, whose handlers
// may still run. It returns nil if the endpoint is down.
func (e *endpointStub) closeAll() *httptest.Server {
	e.mu.Lock()
	s := e.server
	e.server = nil
	e.mu.Unlock()
	if s != nil {
		_ = s.Listener.Close()
		s.CloseClientConnections()
	}
	return s
}

func (e *endpointStub) crashesUnder(q platf.EndpointRequest) bool {
	bad := e.crashPart.Load()
	return bad != nil && slices.ContainsFunc(q.PromptParts, func(p route.PromptPart) bool { return p.ID == *bad })
}

// crashDowntime is the time after which an endpoint that crashed under a prompt is back.
const crashDowntime = 700 * time.Millisecond

// crashUnder crashes the endpoint under a request and restarts it later.
func (e *endpointStub) crashUnder(id string) {
	s := e.closeAll()
	if s == nil {
		return
	}
	e.fleet.observed.recordCrash(id, time.Now())
	e.fleet.startBackground(func(ctx context.Context) {
		s.Close()
		timer := time.NewTimer(crashDowntime)
		defer timer.Stop()
		select {
		case <-ctx.Done():
		case <-timer.C:
			e.restart()
		}
	})
}

// restart starts a new incarnation with the same id at the same address.
func (e *endpointStub) restart() {
	l, err := net.Listen("tcp", e.address)
	require.NoError(e.fleet.t, err)
	e.mu.Lock()
	e.incarnation, e.sequence = time.Now().UnixMilli(), 0
	e.mu.Unlock()
	e.listen(l)
}

// sendHeartbeats sends heartbeats to one control VM and moves on to the next when that
// one doesn't acknowledge.
func (e *endpointStub) sendHeartbeats(ctx context.Context) {
	next := 0
	every(ctx, fleetHeartbeat, func() {
		path, body, alive := e.heartbeat()
		if !alive {
			return
		}
		for range e.fleet.controls {
			if e.fleet.callControl(ctx, e.fleet.controls[next], http.MethodPut, path, body) {
				e.recordLeaveAck()
				return
			}
			next = (next + 1) % len(e.fleet.controls)
		}
	})
}

func (e *endpointStub) heartbeat() (path string, body []byte, alive bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.sequence++
	path, body = platf.EncodeHeartbeat(e.announced())
	return path, body, e.server != nil && !e.silent
}

// announced returns what the endpoint says of itself. The caller holds mu.
func (e *endpointStub) announced() buckthornpin.Endpoint {
	return buckthornpin.Endpoint{
		ID: e.id, Services: []string{e.service}, Address: e.address, Zone: "zone-1", Capacity: endpointSlots,
		Incarnation: e.incarnation, Sequence: e.sequence, Leaving: e.leaving,
	}
}

// goSilent ends the endpoint's heartbeats.
func (e *endpointStub) goSilent() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.silent = true
}

// leave reports to control VMs that the endpoint has left, until one acknowledges it.
func (e *endpointStub) leave() {
	e.fleet.t.Helper()
	next := 0
	e.fleet.eventually("control has acknowledged that "+e.id+" has left", func() bool {
		next = (next + 1) % len(e.fleet.controls)
		return e.fleet.callControl(e.fleet.ctx, e.fleet.controls[next], http.MethodDelete, platf.InstancePath(e.id), nil)
	})
	e.mu.Lock()
	defer e.mu.Unlock()
	e.leaveAckedAt = time.Now()
}

func (e *endpointStub) recordLeaveAck() {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.leaving && e.leaveAckedAt.IsZero() {
		e.leaveAckedAt = time.Now()
	}
}

// announceLeaving makes all further heartbeats say that the endpoint is leaving.
func (e *endpointStub) announceLeaving() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.leaving = true
}

func (e *endpointStub) leaveAckTime() time.Time {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.leaveAckedAt
}

// nameLimit makes the endpoint name a limit in its answers from now on; 0 ends the limit.
func (e *endpointStub) nameLimit(perSecond float64) {
	if perSecond == 0 {
		e.limit.Store(nil)
		return
	}
	e.limit.Store(&perSecond)
}

// serve handles requests as the platform's endpoints do.
func (e *endpointStub) serve(w http.ResponseWriter, r *http.Request) {
	q := platf.DecodeEndpointRequest(r.Header)
	if q.ID == "" {
		e.decline(w, q, http.StatusBadRequest)
		return
	}
	if q.Endpoint != e.id {
		e.decline(w, q, http.StatusMisdirectedRequest)
		return
	}
	if until := e.pauseUntil.Load(); until != nil && time.Now().Before(*until) {
		e.turnedAway.Add(1)
		platf.EncodePause(w.Header(), time.Until(*until))
		e.decline(w, q, http.StatusServiceUnavailable)
		return
	}
	if e.running.Add(1) > endpointSlots {
		e.running.Add(-1)
		e.decline(w, q, http.StatusServiceUnavailable)
		return
	}
	defer e.running.Add(-1)
	began := time.Now()
	whole, err := isBodyOf(q.ID, r)
	e.fleet.observed.recordExecution(execution{id: q.ID, endpoint: e, organisation: q.Organisation, at: began, key: q.Key, otherBody: err == nil && !whole})
	if err != nil {
		return
	}
	if e.pours.Load() {
		pour(w, q.ID, e.received.Add(1))
		return
	}
	platf.EncodeEndpointAnswer(w.Header(), q.ID, signature(q.ID), false)
	if e.saysLeaving.Load() {
		platf.EncodeLeaving(w.Header())
	}
	if l := e.limit.Load(); l != nil {
		platf.EncodeRateLimit(w.Header(), *l)
	}
	if n := e.failEvery.Load(); n > 0 && e.received.Add(1)%n == 0 {
		w.WriteHeader(http.StatusInternalServerError)
		return
	}
	if e.stalls.Load() {
		stallInEvent(w, r)
		return
	}
	if e.service == modelService {
		e.stream(w, r, q)
		return
	}
	timer := time.NewTimer(max(plainServiceTime, time.Duration(e.plainTime.Load())))
	defer timer.Stop()
	select {
	case <-timer.C:
		if strings.HasSuffix(r.URL.Path, longAnswerPath) {
			_, _ = w.Write(bytes.Repeat([]byte("x"), longAnswerBytes))
			return
		}
		_, _ = w.Write([]byte(plainAnswer(q.ID)))
	case <-r.Context().Done():
	}
}

// pouredAnswers begin with a head and go on with the same bytes without end. The head has the
// endpoint's own headers if it is signed.
var pouredAnswers = []struct {
	signed         bool
	head, repeated string
}{
	{false, "", "\x00\xff"},
	{false, "X: ", "x"},
	{false, "", "X: x\r\n"},
	{true, "Transfer-Encoding: chunked\r\n\r\n2;x=", "x"},
	{true, "\r\n", "x"},
	{true, "Content-Type: text/event-stream\r\n\r\nid: 1\ndata: ", "x"},
}

// pour answers with bytes without end until the router closes the connection.
func pour(w http.ResponseWriter, id string, nth int64) {
	a := pouredAnswers[nth%int64(len(pouredAnswers))]
	c, _, err := w.(http.Hijacker).Hijack()
	if err != nil {
		return
	}
	defer func() { _ = c.Close() }()
	var head bytes.Buffer
	head.WriteString("HTTP/1.1 200 OK\r\n")
	if a.signed {
		h := http.Header{}
		platf.EncodeEndpointAnswer(h, id, signature(id), false)
		_ = h.Write(&head)
	}
	head.WriteString(a.head)
	_, err = c.Write(head.Bytes())
	text := []byte(strings.Repeat(a.repeated, 16<<10))
	for err == nil {
		_, err = c.Write(text)
	}
}

// stalledBytes is less than the largest event that routers accept.
const stalledBytes = 900 << 10

// stallInEvent sends most of a long event and nothing after that.
func stallInEvent(w http.ResponseWriter, r *http.Request) {
	w.Header().Set("Content-Type", "text/event-stream")
	_, _ = io.WriteString(w, "id: 1\ndata: "+strings.Repeat("x", stalledBytes))
	_ = http.NewResponseController(w).Flush()
	<-r.Context().Done()
}

func (e *endpointStub) decline(w http.ResponseWriter, q platf.EndpointRequest, status int) {
	platf.EncodeEndpointAnswer(w.Header(), q.ID, "", true)
	w.WriteHeader(status)
}

func (e *endpointStub) stream(w http.ResponseWriter, r *http.Request, q platf.EndpointRequest) {
	after, _ := strconv.Atoi(q.LastEvent)
	w.Header().Set("Content-Type", "text/event-stream")
	w.WriteHeader(http.StatusOK)
	if e.crashesUnder(q) {
		e.crashUnder(q.ID)
		panic(http.ErrAbortHandler)
	}
	interval := e.eventInterval
	if strings.HasSuffix(r.URL.Path, slowStreamPath) {
		interval = slowEventInterval
	}
	tick := time.NewTicker(interval)
	defer tick.Stop()
	for i := after + 1; i <= eventsPerStream; i++ {
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
	return strings.Repeat(id+".", plainAnswerBytes/len(id))
}

func eventText(id string, i int) string {
	return fmt.Sprintf("id: %d\ndata: %s-%d\n\n", i, id, i)
}

func streamAnswer(id string) string {
	var b strings.Builder
	for i := range eventsPerStream {
		b.WriteString(eventText(id, i+1))
	}
	return b.String()
}
