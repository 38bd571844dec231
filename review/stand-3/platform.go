//go:build review3

package main

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"slices"
	"strings"
	"sync"
	"time"
)

// Names of the deployment.
const (
	host         = "desk.example"
	plainService = "records"
	planService  = "plans"
	tenant       = "cafe"
)

// client is used for the calls of the operator, the engines and the load balancer. It keeps no
// connections.
var client = &http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}

func call(method, url string, body []byte) (int, error) {
	ctx, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	r, err := http.NewRequestWithContext(ctx, method, url, bytes.NewReader(body))
	if err != nil {
		return 0, err
	}
	r.Header.Set("Content-Type", "application/json")
	res, err := client.Do(r)
	if err != nil {
		return 0, err
	}
	defer func() { _ = res.Body.Close() }()
	_, _ = io.Copy(io.Discard, res.Body)
	return res.StatusCode, nil
}

// route is a route of a desired state.
type route struct {
	name, prefix, service string
	kind                  string
	timeoutMS             int
	anonymous             bool
}

// configuration returns a desired state with these routes and keys of the tenant.
func configuration(version int, routes []route, keys []string) []byte {
	var out []map[string]any
	services := map[string]bool{}
	for _, r := range routes {
		out = append(out, map[string]any{
			"name": r.name, "host": host, "path-prefix": r.prefix, "kind": r.kind, "timeout-ms": r.timeoutMS, "target-latency-ms": 300,
			"priority": 2, "service": r.service, "max-attempts": 1, "anonymous": r.anonymous, "sticky": false, "resumable": false,
		})
		services[r.service] = true
	}
	var served []map[string]any
	for name := range services {
		served = append(served, map[string]any{"name": name, "health-path": "/health", "max-connections": 96, "protocol": "h1", "tls": false})
	}
	data, err := json.Marshal(map[string]any{
		"version": version, "routes": out, "services": served,
		"limits":  map[string]any{"max-header-bytes": 16384, "max-body-bytes": 4194304, "header-timeout-ms": 3000, "idle-timeout-ms": 15000},
		"tenants": []map[string]any{{"name": tenant, "api-keys": keys, "priority": 1}},
	})
	if err != nil {
		panic(err)
	}
	return data
}

// put sends a desired state until it is acknowledged.
func (s *scene) put(version int, document []byte) error {
	n := 0
	err := eventually(20*time.Second, "acknowledgement of the desired state", func() bool {
		m := s.controls()[n%len(s.controls())]
		n++
		status, err := call(http.MethodPut, "http://"+s.address(m, "control")+"/buckthornpin/config", document)
		return err == nil && status == http.StatusOK
	})
	if err == nil {
		s.note("desired state %d was acknowledged", version)
	}
	return err
}

// awaitReady waits until all routers are ready.
func (s *scene) awaitReady(within time.Duration) error {
	return eventually(within, "readiness of all routers", func() bool {
		for _, m := range s.routers() {
			status, err := call(http.MethodGet, "http://"+s.address(m, "ready")+"/buckthornpin/readiness", nil)
			if err != nil || status != http.StatusOK {
				return false
			}
		}
		return true
	})
}

// engine is a stand-in of an engine. It runs each request that is meant for it.
type engine struct {
	scene               *scene
	id, service, target string
	server              *http.Server
	done                chan struct{}
	stopOnce            sync.Once
	// body is what it answers, born the time of its start in Unix milliseconds.
	body string
	born int64
	// work is how long it works on a request.
	work time.Duration

	mu  sync.Mutex
	ran []execution
}

// execution is a request that an engine ran.
type execution struct {
	id, method, target, tenant, body string
}

// startEngine starts an engine that reports to the control nodes in turn.
func (s *scene) startEngine(id, service string) (*engine, error) {
	e := &engine{scene: s, id: id, service: service, done: make(chan struct{}), body: "answer of " + id, born: time.Now().UnixMilli()}
	l, err := net.Listen("tcp", fmt.Sprintf("%s%d:0", s.network, 100+len(s.engines)))
	if err != nil {
		return nil, err
	}
	e.target = l.Addr().String()
	e.server = &http.Server{Handler: e, ReadHeaderTimeout: time.Minute}
	go func() { _ = e.server.Serve(l) }()
	go e.report(len(s.engines))
	s.engines = append(s.engines, e)
	return e, nil
}

func (e *engine) stop() {
	e.stopOnce.Do(func() {
		close(e.done)
		_ = e.server.Close()
	})
}

// heartbeatInterval is the heartbeat-ms of the settings.
const heartbeatInterval = 1200 * time.Millisecond

// report sends a liveness report in each interval, to one control node after the other.
func (e *engine) report(first int) {
	for sequence := 1; ; sequence++ {
		body, _ := json.Marshal(map[string]any{
			"service": e.service, "address": e.target, "zone": "kgn-a", "version": "v1", "slots": 6, "state": "ready",
			"cold-remaining-ms": 0, "sequence": sequence, "born": e.born,
		})
		controls := e.scene.controls()
		for i := range controls {
			m := controls[(first+sequence+i)%len(controls)]
			status, err := call(http.MethodPut, "http://"+e.scene.address(m, "control")+"/buckthornpin/instances/"+e.id, body)
			if err == nil && status/100 == 2 {
				break
			}
		}
		select {
		case <-e.done:
			return
		case <-time.After(heartbeatInterval):
		}
	}
}

// ServeHTTP implements http.Handler.
func (e *engine) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	id := r.Header.Get("Attempt-Id")
	w.Header().Set("Attempt-Id", id)
	if r.Header.Get("Expect-Instance") != e.id || id == "" {
		w.Header().Set("Not-Executed", "1")
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	x := execution{id: id, method: r.Method, target: r.RequestURI, tenant: r.Header.Get("Tenant"), body: string(body)}
	e.mu.Lock()
	e.ran = append(e.ran, x)
	e.mu.Unlock()
	e.scene.note("engine %s of %s runs request %s: %s %s, tenant %q, %d bytes", e.id, e.service, x.id, x.method, x.target, x.tenant, len(x.body))
	time.Sleep(e.work)
	w.Header().Set("Server-Seal", "seal-"+e.id)
	_, _ = io.WriteString(w, e.body)
}

// executions returns what the engine ran.
func (e *engine) executions() []execution {
	e.mu.Lock()
	defer e.mu.Unlock()
	return slices.Clone(e.ran)
}

// executions returns what all engines ran.
func (s *scene) executions() []execution {
	var out []execution
	for _, e := range s.engines {
		out = append(out, e.executions()...)
	}
	return out
}

// head returns the head of a request, with the names of headers and their values in turn.
func head(method, target string, fields ...string) string {
	var b strings.Builder
	b.WriteString(method + " " + target + " HTTP/1.1\r\nHost: " + host + "\r\n")
	for i := 0; i+1 < len(fields); i += 2 {
		b.WriteString(fields[i] + ": " + fields[i+1] + "\r\n")
	}
	return b.String() + "\r\n"
}
