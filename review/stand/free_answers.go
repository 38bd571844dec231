//go:build review

package main

import (
	"fmt"
	"time"
)

func init() { cases["free-answers"] = freeAnswers }

// Sizes of the generations of freeAnswers and the tenant's prepaid tokens.
const (
	promptTokens = 5000
	outputTokens = streamEvents * eventTokens
	freePrepaid  = 100_000
)

// freeAnswers consumes a tenant's prepaid tokens on a route whose kind the operator changes
// from streaming to unsafe.
func freeAnswers(w *world) bool {
	const controls, routers, servers, requests = 3, 2, 3, 60
	w.startFleet(controls, routers)
	services := []map[string]any{modelService("llm")}
	draft := route("draft", "streaming", "llm", 4*time.Second, 1)
	draft["sticky"] = true
	w.put(controls, desiredState(1, freePrepaid, []map[string]any{draft}, services))
	for range servers {
		w.startEngine("llm", controls, "-model")
	}
	w.waitReady(routers)
	time.Sleep(2 * contact)
	accept := eventStream
	if w.trouble {
		draft["kind"], accept = "unsafe", "application/json"
	}
	w.put(controls, desiredState(2, freePrepaid, []map[string]any{draft}, services))
	time.Sleep(2 * contact)
	got, counts := 0, map[int]int{}
	for n := range requests {
		a := w.send(n%routers, "/draft/file", newAttemptID(), []byte("a whole file"), 4*time.Second, map[string]string{
			"Accept": accept, "Model": modelName, "Token-Count": fmt.Sprintf("%d,%d", promptTokens, outputTokens),
			"Prompt-Prefix": fmt.Sprintf("5c1e07a2:4000,%x:1000", n+1),
		})
		counts[a.status]++
		if a.status == 200 && a.err == nil {
			got += promptTokens + outputTokens
		}
		w.record("request %d at front-%d: %v; the tenant has got %d of %d tokens", n+1, n%routers+1, a, got, freePrepaid)
		time.Sleep(200 * time.Millisecond)
	}
	w.record("answers by status: %v; the tenant has got %d tokens of a prepaid of %d", counts, got, freePrepaid)
	return got > freePrepaid
}
