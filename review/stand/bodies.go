//go:build review

package main

import (
	"bytes"
	"fmt"
	"os"
	"strconv"
	"strings"
	"sync"
	"time"
)

func init() { cases["bodies"] = bodies }

// Sizes of the uploads: the largest body that the desired state allows, the memory of a front
// machine and the burst of the sheet of lautsuhu-kl.
const (
	bodyBytes   = 4 << 20
	smallMemory = 134
	burstX      = 1.7
	burstTime   = 3 * time.Second
	restartTime = 500 * time.Millisecond
)

// residentMB returns how much memory a process uses.
func residentMB(pid int) int {
	data, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", pid))
	if err != nil {
		return 0
	}
	for _, line := range strings.Split(string(data), "\n") {
		if v, ok := strings.CutPrefix(line, "VmRSS:"); ok {
			kb, _ := strconv.Atoi(strings.Fields(v)[0])
			return kb >> 10
		}
	}
	return 0
}

// keepMemoryLimit kills a process that uses more than memory-mb, as the provider does, and
// starts it again.
func (w *world) keepMemoryLimit(n *node, stop chan struct{}) (peak, kills int) {
	for {
		select {
		case <-stop:
			return peak, kills
		case <-time.After(20 * time.Millisecond):
		}
		mb := residentMB(n.cmd.Process.Pid)
		peak = max(peak, mb)
		if mb > smallMemory {
			kills++
			w.record("%s uses %d MB, memory-mb is %d: the provider kills it", n.name, mb, smallMemory)
			w.kill(n)
			time.Sleep(restartTime)
			w.start(n, false)
		}
	}
}

// bodies sends requests with large bodies to one router, for some seconds 1.7 times as many.
func bodies(w *world) bool {
	const controls, routers, servers = 3, 1, 4
	perSecond := 6.0
	if v, err := strconv.ParseFloat(os.Getenv("RATE"), 64); err == nil {
		perSecond = v
	}
	w.startFleetWith(controls, routers, smallMemory)
	file := route("file", "streaming", "llm", 8*time.Second, 1)
	file["sticky"], file["target-latency-ms"] = true, 2000
	w.put(controls, desiredState(1, noLimit, []map[string]any{file}, []map[string]any{modelService("llm")}))
	for range servers {
		w.startEngine("llm", controls, "-model", "-work", "1s", "-pause", "100ms")
	}
	w.waitReady(routers)
	time.Sleep(2 * contact)
	stop := make(chan struct{})
	var background, all sync.WaitGroup
	peak, kills := 0, 0
	background.Go(func() { peak, kills = w.keepMemoryLimit(w.node("front-1"), stop) })
	body := bytes.Repeat([]byte("b"), bodyBytes)
	var mu sync.Mutex
	answers := map[string]answer{}
	began := time.Now()
	for n := 0; time.Since(began) < 20*time.Second; n++ {
		all.Go(func() {
			id := newAttemptID()
			a := w.send(0, "/file/whole", id, body, 8*time.Second, map[string]string{
				"Accept": eventStream, "Model": modelName, "Token-Count": fmt.Sprintf("13300,%d", outputTokens),
				"Prompt-Prefix": fmt.Sprintf("5c1e07a2:10000,%x:3300", 0x1000000+n),
			})
			w.record("request %s: %v", id, a)
			mu.Lock()
			answers[id] = a
			mu.Unlock()
		})
		rate := perSecond
		if at := time.Since(began) - 10*time.Second; w.trouble && at > 0 && at < burstTime {
			rate *= burstX
		}
		time.Sleep(time.Duration(float64(time.Second) / rate))
	}
	all.Wait()
	close(stop)
	background.Wait()
	ran := map[string]bool{}
	for _, r := range w.runs() {
		ran[r.ID] = true
	}
	lost := 0
	for id, a := range answers {
		if ran[id] && a.status == 0 {
			lost++
		}
	}
	w.record("%d requests, peak %d MB, %d kills for memory; %d requests had been passed on to servers and their channels were closed without an answer, allowed are 3",
		len(answers), peak, kills, lost)
	return lost > 3
}
