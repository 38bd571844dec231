//go:build review2

package main

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

// engineStub stands in for an engine, or for a plain service. Each start of its process is a boot
// with an id of its own.
type engineStub struct {
	fleet   *fleet
	name    string
	service string
	ip      string
	port    int
	// events is the number of events of a stream, gap the pause between two of them.
	events int
	gap    time.Duration
	// unframed streams have neither a length nor chunks and end with their channel.
	unframed bool
	// onRequest is called when a request arrives, before it is run. It may end the process.
	onRequest func(e *engineStub, r *http.Request)

	// running is the number of streams in progress.
	running atomic.Int64

	mu       sync.Mutex
	boot     int
	born     int64
	sequence int
	state    string
	listener net.Listener
	conns    map[net.Conn]bool
	server   *http.Server
	// up ends with the process.
	up   context.Context
	down context.CancelFunc
}

func (f *fleet) newEngine(number int, service string) *engineStub {
	return &engineStub{
		fleet: f, name: fmt.Sprintf("%s-%d", service, number), service: service, ip: fmt.Sprintf("127.%d.3.%d", f.network, number),
		events: 20, gap: 250 * time.Millisecond,
	}
}

func (e *engineStub) id() string { return fmt.Sprintf("i-%s-%d", e.name, e.boot) }

// start starts the engine's process and its liveness reports.
func (e *engineStub) start() error {
	e.mu.Lock()
	defer e.mu.Unlock()
	l, err := net.Listen("tcp", net.JoinHostPort(e.ip, strconv.Itoa(e.port)))
	if err != nil {
		return err
	}
	e.port = l.Addr().(*net.TCPAddr).Port
	e.boot++
	e.born, e.sequence, e.state = time.Now().UnixMilli(), 0, "ready"
	e.listener, e.conns = l, map[net.Conn]bool{}
	e.up, e.down = context.WithCancel(context.Background())
	e.server = &http.Server{Handler: http.HandlerFunc(e.serve), ConnState: e.trackConn}
	go func(s *http.Server) { _ = s.Serve(l) }(e.server)
	go e.report(e.up)
	e.fleet.record.line("engine %s of %s starts at %s", e.id(), e.service, l.Addr())
	return nil
}

func (e *engineStub) trackConn(c net.Conn, s http.ConnState) {
	e.mu.Lock()
	defer e.mu.Unlock()
	switch s {
	case http.StateNew:
		e.conns[c] = true
	case http.StateClosed:
		delete(e.conns, c)
	}
}

// end ends the engine's process: nothing listens any more, and its channels close, with a reset
// after a crash.
func (e *engineStub) end(crash bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.up == nil || e.up.Err() != nil {
		return
	}
	e.down()
	_ = e.listener.Close()
	for c := range e.conns {
		if t, ok := c.(*net.TCPConn); ok && crash {
			_ = t.SetLinger(0)
		}
		_ = c.Close()
	}
}

func (e *engineStub) isUp() bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.up != nil && e.up.Err() == nil
}

// report sends liveness reports until the process ends.
func (e *engineStub) report(ctx context.Context) {
	for n := 0; ctx.Err() == nil; n++ {
		e.beat(ctx, n)
		sleep(ctx, heartbeat)
	}
}

// beat sends one liveness report and reports whether a node has confirmed it.
func (e *engineStub) beat(ctx context.Context, n int) bool {
	e.mu.Lock()
	e.sequence++
	path := "/buckthornpin/instances/" + e.id()
	body, _ := json.Marshal(map[string]any{
		"service": e.service, "address": net.JoinHostPort(e.ip, strconv.Itoa(e.port)), "zone": "zone-1", "version": "v1", "slots": 48,
		"state": e.state, "cold-remaining-ms": 0, "stage": "both", "models": []any{map[string]any{"name": "m", "version": 1, "adapters": []string{}}},
		"sequence": e.sequence, "born": e.born,
	})
	e.mu.Unlock()
	return e.callControl(ctx, http.MethodPut, path, body, n)
}

// callControl calls one node after another until one confirms, and reports whether one did.
func (e *engineStub) callControl(ctx context.Context, method, path string, body []byte, n int) bool {
	nodes := e.fleet.running("control")
	for i := range nodes {
		v := nodes[(n+i)%len(nodes)]
		q, _ := http.NewRequestWithContext(ctx, method, "http://"+e.fleet.address(v, e.fleet.control)+path, bytes.NewReader(body))
		q.Header.Set("Content-Type", "application/json")
		r, err := httpClient.Do(q)
		if err != nil {
			continue
		}
		_ = r.Body.Close()
		if r.StatusCode/100 == 2 {
			return true
		}
	}
	return false
}

// leave is a planned shutdown: the engine reports draining, goes on serving for drain-ms after
// the confirmation and for extra, and then sends DELETE and exits.
func (e *engineStub) leave(drain, extra time.Duration) {
	e.mu.Lock()
	e.state = "draining"
	e.mu.Unlock()
	confirmed := false
	for n := 0; n < 10 && !confirmed; n++ {
		confirmed = e.beat(e.up, n)
	}
	e.fleet.record.line("engine %s reports draining, confirmed %v", e.id(), confirmed)
	time.Sleep(drain + extra)
	deleted := e.callControl(e.up, http.MethodDelete, "/buckthornpin/instances/"+e.id(), nil, 0)
	e.fleet.record.line("engine %s sends DELETE, confirmed %v, and exits", e.id(), deleted)
	e.end(false)
}

// serve serves one request.
func (e *engineStub) serve(w http.ResponseWriter, r *http.Request) {
	if r.URL.Path == "/health" {
		w.Header().Set("Instance-Id", e.id())
		return
	}
	_, _ = io.ReadAll(r.Body)
	w.Header().Set("Attempt-Id", r.Header.Get("Attempt-Id"))
	if want := r.Header.Get("Expect-Instance"); want != "" && want != e.id() {
		w.Header().Set("Not-Executed", "1")
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	if e.service == modelService && exceedsMemory(r) {
		e.fleet.record.line("%s rejects %s, it is larger than its memory", e.id(), r.Header.Get("Attempt-Id"))
		w.Header().Set("Not-Executed", "1")
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	if e.onRequest != nil {
		e.onRequest(e, r)
	}
	up := e.up
	if up.Err() != nil {
		return
	}
	e.fleet.record.line("%s runs %s", e.id(), r.Header.Get("Attempt-Id"))
	w.Header().Set("Server-Seal", "seal."+e.id())
	if e.service == plainService {
		_, _ = io.WriteString(w, "receipt of "+r.Header.Get("Attempt-Id"))
		return
	}
	e.stream(up, w, r)
}

// stream sends the events of a stream behind Last-Event-Id.
func (e *engineStub) stream(up context.Context, w http.ResponseWriter, r *http.Request) {
	e.running.Add(1)
	defer e.running.Add(-1)
	first, _ := strconv.Atoi(r.Header.Get("Last-Event-Id"))
	var out io.Writer = w
	w.Header().Set("Content-Type", "text/event-stream")
	flush := func() { _ = http.NewResponseController(w).Flush() }
	if e.unframed {
		c, _, err := http.NewResponseController(w).Hijack()
		if err != nil {
			return
		}
		defer func() { _ = c.Close() }()
		head := "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nAttempt-Id: " + r.Header.Get("Attempt-Id") + "\r\nServer-Seal: seal." + e.id() + "\r\nConnection: close\r\n\r\n"
		_, _ = io.WriteString(c, head)
		out, flush = c, func() {}
	}
	for n := first + 1; n <= e.events; n++ {
		sleep(up, e.gap)
		if up.Err() != nil || r.Context().Err() != nil && !e.unframed {
			return
		}
		if _, err := fmt.Fprintf(out, "id: %d\ndata: piece %d of %s\n\n", n, n, r.Header.Get("Attempt-Id")); err != nil {
			return
		}
		flush()
	}
}

// memoryTokens is the memory of a model engine, as the desired state names it.
const memoryTokens = 444_000

// exceedsMemory reports whether a request is larger at its most than an engine's memory. Such a
// request is rejected as if the engine were full.
func exceedsMemory(r *http.Request) bool {
	prompt, output, _ := strings.Cut(r.Header.Get("Token-Count"), ",")
	in, err := strconv.ParseUint(prompt, 10, 63)
	out, err2 := strconv.ParseUint(output, 10, 63)
	return err != nil || err2 != nil || in+out > memoryTokens
}

// partsOf returns the ids of the parts of a request's prompt.
func partsOf(r *http.Request) []string {
	var out []string
	for _, p := range strings.Split(r.Header.Get("Prompt-Prefix"), ",") {
		id, _, _ := strings.Cut(strings.TrimSpace(p), ":")
		out = append(out, id)
	}
	return out
}
