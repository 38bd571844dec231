//go:build review2

package main

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"time"
)

// httpClient is that of the operator and the balancer: each call has its own connection.
var httpClient = &http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}

// operator puts and reads desired states as the pages say: after a failure, a 5xx or a second
// without a response it goes on to another node.
type operator struct {
	fleet *fleet
	next  int
}

// call sends one call to the next node that serves control.
func (o *operator) call(ctx context.Context, method string, body []byte) (status int, answer []byte, node string, err error) {
	nodes := o.fleet.running("control")
	if len(nodes) == 0 {
		return 0, nil, "", fmt.Errorf("no node serves control")
	}
	v := nodes[o.next%len(nodes)]
	o.next++
	q, err := http.NewRequestWithContext(ctx, method, "http://"+o.fleet.address(v, o.fleet.control)+"/buckthornpin/config", bytes.NewReader(body))
	if err != nil {
		return 0, nil, v.name, err
	}
	q.Header.Set("Content-Type", "application/json")
	r, err := httpClient.Do(q)
	if err != nil {
		return 0, nil, v.name, err
	}
	defer func() { _ = r.Body.Close() }()
	answer, err = io.ReadAll(r.Body)
	return r.StatusCode, answer, v.name, err
}

// put sends a desired state until it is acknowledged, at most for limit.
func (o *operator) put(state desiredState, limit time.Duration) bool {
	body, _ := json.Marshal(state)
	ctx, cancel := context.WithTimeout(context.Background(), limit)
	defer cancel()
	tries, last := 0, ""
	for pause := 100 * time.Millisecond; ctx.Err() == nil; pause = min(2*pause, time.Second) {
		status, _, node, err := o.call(ctx, http.MethodPut, body)
		tries++
		if err == nil && status == http.StatusOK {
			o.fleet.record.line("desired state %d is acknowledged by %s, try %d", state.Version, node, tries)
			return true
		}
		last = fmt.Sprintf("%s: status %d, error %v", node, status, err)
		sleep(ctx, pause)
	}
	o.fleet.record.line("desired state %d isn't acknowledged within %v, %d tries, last by %s", state.Version, limit, tries, last)
	return false
}

// read reads the desired state until a node answers 200, at most for limit. It returns version
// 0 if none does.
func (o *operator) read(limit time.Duration) int64 {
	ctx, cancel := context.WithTimeout(context.Background(), limit)
	defer cancel()
	tries, last := 0, ""
	for ctx.Err() == nil {
		status, answer, node, err := o.call(ctx, http.MethodGet, nil)
		tries++
		var got desiredState
		if err == nil && status == http.StatusOK && json.Unmarshal(answer, &got) == nil {
			o.fleet.record.line("read at %s gives desired state %d, try %d", node, got.Version, tries)
			return got.Version
		}
		last = fmt.Sprintf("%s: status %d, error %v", node, status, err)
		sleep(ctx, 200*time.Millisecond)
	}
	o.fleet.record.line("no node gives the desired state within %v, %d tries, last %s", limit, tries, last)
	return 0
}

func sleep(ctx context.Context, d time.Duration) {
	select {
	case <-ctx.Done():
	case <-time.After(d):
	}
}

// The desired state in the platform's form, as far as the cases need it.
type (
	desiredState struct {
		Version  int64     `json:"version"`
		Routes   []route   `json:"routes"`
		Services []service `json:"services"`
		Limits   limits    `json:"limits"`
		Tenants  []tenant  `json:"tenants"`
	}
	route struct {
		Name        string  `json:"name"`
		Host        string  `json:"host"`
		PathPrefix  string  `json:"path-prefix"`
		Kind        string  `json:"kind"`
		TimeoutMS   float64 `json:"timeout-ms"`
		ObjectiveMS float64 `json:"target-latency-ms"`
		GapMS       float64 `json:"gap-target-ms"`
		Priority    int     `json:"priority"`
		Service     string  `json:"service"`
		MaxAttempts int     `json:"max-attempts"`
		Anonymous   bool    `json:"anonymous"`
		Sticky      bool    `json:"sticky"`
		Resumable   bool    `json:"resumable"`
	}
	service struct {
		Name           string  `json:"name"`
		HealthPath     string  `json:"health-path"`
		MaxConnections int     `json:"max-connections"`
		Protocol       string  `json:"protocol"`
		TLS            bool    `json:"tls"`
		Engine         *engine `json:"engine,omitempty"`
	}
	engine struct {
		Slots    int     `json:"slots"`
		Capacity float64 `json:"kv-token-capacity"`
		Stride   int     `json:"stride"`
	}
	limits struct {
		MaxHeaderBytes  int `json:"max-header-bytes"`
		MaxBodyBytes    int `json:"max-body-bytes"`
		HeaderTimeoutMS int `json:"header-timeout-ms"`
		IdleTimeoutMS   int `json:"idle-timeout-ms"`
	}
	tenant struct {
		Name     string   `json:"name"`
		Keys     []string `json:"api-keys"`
		Priority int      `json:"priority"`
		Prepaid  int64    `json:"prepaid"`
	}
)

const (
	host         = "kerb.example"
	plainService = "records"
	modelService = "draft"
	tenantKey    = "key-of-the-cafe"
)

// firstState returns a desired state with a route of each kind that the cases use.
func firstState(version int64) desiredState {
	return desiredState{
		Version: version,
		Routes: []route{
			{Name: "receipt", Host: host, PathPrefix: "/receipt/", Kind: "safe", TimeoutMS: 800, ObjectiveMS: 300, Service: plainService, MaxAttempts: 2},
			{Name: "draft", Host: host, PathPrefix: "/draft/", Kind: "streaming", TimeoutMS: 8000, ObjectiveMS: 600, GapMS: 300, Service: modelService, MaxAttempts: 1, Sticky: true},
			{Name: "reply", Host: host, PathPrefix: "/reply/", Kind: "streaming", TimeoutMS: 4000, ObjectiveMS: 600, GapMS: 300, Service: modelService, MaxAttempts: 2, Sticky: true, Resumable: true},
		},
		Services: []service{
			{Name: plainService, HealthPath: "/health", MaxConnections: 96, Protocol: "h1"},
			{Name: modelService, HealthPath: "/health", MaxConnections: 290, Protocol: "h1", Engine: &engine{Slots: 48, Capacity: memoryTokens, Stride: 6}},
		},
		Limits:  limits{MaxHeaderBytes: 16384, MaxBodyBytes: 4 << 20, HeaderTimeoutMS: 3000, IdleTimeoutMS: 15000},
		Tenants: []tenant{{Name: "cafe", Keys: []string{tenantKey}, Prepaid: 100_000_000}},
	}
}
