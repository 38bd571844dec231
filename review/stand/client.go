//go:build review

package main

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"sync/atomic"
	"time"
)

var attempts atomic.Int64

func newAttemptID() string {
	return fmt.Sprintf("%08x%08x", time.Now().UnixNano()&0xffffffff, attempts.Add(1))
}

// answer is what a client has got. Status 0 means that the connection ended.
type answer struct {
	status int
	seal   string
	bytes  int
	err    error
	took   time.Duration
}

func (a answer) String() string {
	if a.status == 0 {
		return fmt.Sprintf("no answer after %d ms: %v", a.took.Milliseconds(), a.err)
	}
	return fmt.Sprintf("%d, seal %q, %d bytes, error %v, after %d ms", a.status, a.seal, a.bytes, a.err, a.took.Milliseconds())
}

var clientHTTP = &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 64, DisableCompression: true}}

// send sends one attempt to a router. Without a whole answer until the deadline, and half a
// second for its way, the client gives up.
func (w *world) send(router int, path, id string, body []byte, deadline time.Duration, header map[string]string) (out answer) {
	began := time.Now()
	w.record("sent %s %s to front-%d, %d bytes", id, path, router+1, len(body))
	defer func() { w.record("answer to %s: %v", id, out) }()
	r, err := http.NewRequest(http.MethodPost, "http://"+w.address(w.routerIP(router), "front")+path, bytes.NewReader(body))
	must(err)
	r.Host = hostName
	r.Header.Set("Attempt-Id", id)
	r.Header.Set("Api-Key", apiKey)
	r.Header.Set("Deadline-Ms", fmt.Sprint(deadline.Milliseconds()))
	for k, v := range header {
		r.Header.Set(k, v)
	}
	c := *clientHTTP
	c.Timeout = deadline + 500*time.Millisecond
	a, err := c.Do(r)
	if err != nil {
		return answer{err: err, took: time.Since(began)}
	}
	defer a.Body.Close()
	data, err := io.ReadAll(a.Body)
	return answer{status: a.StatusCode, seal: a.Header.Get("Server-Seal"), bytes: len(data), err: err, took: time.Since(began)}
}

// call sends an operator's or a server's call to a control process.
func (w *world) call(method string, control int, path string, body []byte) (int, []byte) {
	r, err := http.NewRequest(method, "http://"+w.address(w.controlIP(control), "control")+path, bytes.NewReader(body))
	must(err)
	r.Header.Set("Content-Type", "application/json")
	c := http.Client{Timeout: 3 * time.Second}
	a, err := c.Do(r)
	if err != nil {
		return 0, nil
	}
	defer a.Body.Close()
	data, _ := io.ReadAll(a.Body)
	return a.StatusCode, data
}

// route returns a route of the desired state.
func route(name, kind, service string, timeout time.Duration, maxAttempts int) map[string]any {
	return map[string]any{
		"name": name, "host": hostName, "path-prefix": "/" + name + "/", "kind": kind, "timeout-ms": timeout.Milliseconds(),
		"target-latency-ms": 300, "priority": 1, "service": service, "max-attempts": maxAttempts, "anonymous": false,
		"sticky": false, "resumable": false, "gap-target-ms": 300,
	}
}

func plainService(name string) map[string]any {
	return map[string]any{"name": name, "health-path": "/health", "max-connections": 96, "protocol": "h1", "tls": false}
}

// modelService returns a service of model engines.
func modelService(name string) map[string]any {
	return map[string]any{
		"name": name, "health-path": "/health", "max-connections": 290, "protocol": "h1", "tls": false,
		"engine": map[string]any{
			"slots": modelSlots, "kv-token-capacity": 444000, "kv-token-bytes": 131072, "link-mbps": 740000.0, "moves": true, "backups": true,
			"stride": eventTokens, "most": 12, "pin-ms": 4000.0, "hold-ms": 2000.0, "handle-ttl-s": 5.0, "models": []map[string]any{{"name": modelName}},
		},
	}
}

// noLimit is the prepaid of a tenant that isn't charged.
const noLimit = 0

// desiredState returns a desired state of the operator.
func desiredState(version, prepaid int, routes, services []map[string]any) []byte {
	owner := map[string]any{"name": tenant, "api-keys": []string{apiKey}, "priority": 1}
	if prepaid != noLimit {
		owner["prepaid"] = prepaid
	}
	data, err := json.Marshal(map[string]any{
		"version": version, "routes": routes, "services": services,
		"limits":  map[string]any{"max-header-bytes": 16384, "max-body-bytes": 4194304, "header-timeout-ms": 3000, "idle-timeout-ms": 15000},
		"tenants": []map[string]any{owner},
	})
	must(err)
	return data
}

// put sends a desired state until a control process acknowledges it.
func (w *world) put(controls int, document []byte) {
	n := 0
	w.eventually("desired state is acknowledged", 15*time.Second, func() bool {
		n++
		status, _ := w.call(http.MethodPut, n%controls, "/buckthornpin/config", document)
		return status == http.StatusOK
	})
}

// waitReady waits until all routers answer the readiness check.
func (w *world) waitReady(routers int) {
	c := http.Client{Timeout: time.Second}
	for i := range routers {
		w.eventually(fmt.Sprintf("front-%d is ready", i+1), 15*time.Second, func() bool {
			a, err := c.Get("http://" + w.address(w.routerIP(i), "ready") + "/buckthornpin/readiness")
			if err != nil {
				return false
			}
			_ = a.Body.Close()
			return a.StatusCode == http.StatusOK
		})
	}
}
