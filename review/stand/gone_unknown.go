//go:build review

package main

import (
	"os"
	"sync"
	"syscall"
	"time"
)

func init() { cases["gone-unknown"] = goneUnknown }

// Times of goneUnknown, from the start of the cut.
const (
	drainTime    = 2 * time.Second
	cutTime      = 5 * time.Second
	coreKillAt   = 300 * time.Millisecond
	coreBackTime = 500 * time.Millisecond
	leaveAt      = 4200 * time.Millisecond
)

// goneUnknown lets a server leave whose cut from control ends just then, some seconds after
// all processes of the core were killed at the same moment.
func goneUnknown(w *world) bool {
	const controls, routers, servers = 3, 2, 3
	kill, cut := w.trouble, w.trouble
	if only := os.Getenv("ONLY"); only != "" {
		kill, cut = only == "kill", only == "cut"
	}
	w.startFleet(controls, routers)
	w.put(controls, desiredState(1, noLimit, []map[string]any{route("receipt", "safe", "records", 1500*time.Millisecond, 2)}, []map[string]any{plainService("records")}))
	for range servers {
		w.startEngine("records", controls)
	}
	var links []*link
	var heads []string
	for i := range controls {
		l := newLink(w.address(w.controlIP(i), "control"))
		links, heads = append(links, l), append(heads, l.address())
	}
	leaving := w.startEngineAt("records", heads)
	w.waitReady(routers)
	time.Sleep(3 * contact)
	stop := make(chan struct{})
	var background sync.WaitGroup
	for range 4 {
		background.Go(func() { w.soundTraffic(stop, routers) })
	}
	time.Sleep(contact)
	began := time.Now()
	if cut {
		w.record("server %d is cut off from control", leaving.number+1)
		for _, l := range links {
			l.cut.Store(true)
		}
	}
	time.Sleep(coreKillAt)
	if kill {
		for _, n := range w.nodes[:controls] {
			w.signal(n, syscall.SIGKILL)
		}
		time.Sleep(coreBackTime)
		for _, n := range w.nodes[:controls] {
			<-n.ended
			w.start(n, false)
		}
	}
	time.Sleep(time.Until(began.Add(leaveAt)))
	w.record("server %d begins to leave", leaving.number+1)
	leaving.mu.Lock()
	leaving.over = true
	_ = leaving.cmd.Process.Signal(syscall.SIGUSR1)
	leaving.mu.Unlock()
	time.Sleep(time.Until(began.Add(cutTime)))
	if cut {
		w.record("the cut ends")
		for _, l := range links {
			l.cut.Store(false)
		}
	}
	time.Sleep(stayAfter + 2*time.Second)
	close(stop)
	background.Wait()
	return w.judgeGone(leaving)
}

// judgeGone applies the rule: no request reaches the server later than drain-ms after the
// confirmation that it is gone.
func (w *world) judgeGone(e *engine) bool {
	id := ""
	var acked time.Time
	for _, r := range w.runs() {
		if r.What == noteLeft {
			id, acked = r.Engine, time.UnixMilli(r.At)
			w.record("%s has the confirmation that server %s is gone, at %.3f s", r.Path, id, acked.Sub(w.started).Seconds())
		}
	}
	if id == "" {
		panic("the server got no confirmation")
	}
	all, late := 0, 0
	for _, r := range w.runs() {
		if r.Engine != id || r.What != noteRun {
			continue
		}
		all++
		if at := time.UnixMilli(r.At); at.After(acked.Add(drainTime)) {
			late++
			w.record("request %s reaches server %s at %.3f s, %.3f s after the confirmation", r.ID, id, at.Sub(w.started).Seconds(), at.Sub(acked).Seconds())
		}
	}
	w.record("server %s ran %d requests; %d reached it later than drain-ms after the confirmation, none is allowed", id, all, late)
	return late > 0
}
