//go:build review

package main

import (
	"fmt"
	"os"
	"sync"
	"time"
)

func init() { cases["crash-in-stream"] = crashInStream }

// crashPart is the part of prompts that crashes engines.
const crashPart = "e4402b7d"

// crashInStream sends requests with a part that crashes each engine which begins to write an
// answer on it, no two alike. The engines have written a few events when they crash.
func crashInStream(w *world) bool {
	const controls, routers, servers = 3, 2, 6
	events := "2"
	if v := os.Getenv("CRASH_AFTER"); v != "" {
		events = v
	}
	w.startFleet(controls, routers)
	chat := route("chat", "streaming", "llm", 4*time.Second, 1)
	chat["sticky"] = true
	w.put(controls, desiredState(1, noLimit, []map[string]any{chat}, []map[string]any{modelService("llm")}))
	for range servers {
		w.startEngine("llm", controls, "-model", "-crash-part", crashPart, "-crash-after", events)
	}
	w.waitReady(routers)
	time.Sleep(2 * contact)
	stop := make(chan struct{})
	var background sync.WaitGroup
	background.Go(func() {
		counts := map[int]int{}
		for n := 0; ; n++ {
			select {
			case <-stop:
				w.record("sound requests by status: %v", counts)
				return
			case <-time.After(100 * time.Millisecond):
			}
			counts[w.ask(n, routers, "91bd3f06", n).status]++
		}
	})
	part := crashPart
	if !w.trouble {
		part = "e4402b7e"
	}
	for n := range 24 {
		a := w.ask(n, routers, part, 10_000+n)
		w.record("request %d with the part %s at front-%d: %v", n+1, part, n%routers+1, a)
		time.Sleep(2 * time.Second)
	}
	close(stop)
	background.Wait()
	return w.judgeCrashedParts()
}

// ask sends a request for a stream whose prompt has a part that others share and one of its own.
func (w *world) ask(n, routers int, part string, own int) answer {
	return w.askAs(newAttemptID(), n, routers, part, own)
}

func (w *world) askAs(id string, n, routers int, part string, own int) answer {
	return w.send(n%routers, "/chat/question", id, fmt.Appendf(nil, "question %d", own), 4*time.Second, map[string]string{
		"Accept": eventStream, "Model": modelName, "Token-Count": fmt.Sprintf("1460,%d", outputTokens),
		"Prompt-Prefix": fmt.Sprintf("5c1e07a2:800,%s:410,%x:250", part, 0x1000000+own),
	})
}

// judgeCrashedParts applies the rule: later than contact-ms after the fifth crash, no more
// than three requests with the part reach servers.
func (w *world) judgeCrashedParts() bool {
	var crashes []run
	for _, r := range w.runs() {
		if r.What == noteCrash {
			crashes = append(crashes, r)
			w.record("server %s crashed on the part, request %s, at %.3f s", r.Engine, r.ID, float64(r.At-w.started.UnixMilli())/1000)
		}
	}
	if len(crashes) < 5 {
		w.record("%d crashes", len(crashes))
		return false
	}
	late := 0
	for _, r := range crashes {
		if r.At > crashes[4].At+contact.Milliseconds()+500 {
			late++
		}
	}
	w.record("%d crashes; %d requests with the part reached a server later than contact-ms after the fifth, allowed are 3", len(crashes), late)
	return late > 3
}
