//go:build review

package main

import (
	"fmt"
	"os"
	"sync"
	"time"
)

func init() { cases["crash-in-answer"] = crashInAnswer }

// crashInAnswer sends a request again and again that crashes each server which runs it. The
// servers crash while they write the answer: its head and a part of its body are out.
func crashInAnswer(w *world) bool {
	const controls, routers, servers = 3, 2, 6
	where := "body"
	if v := os.Getenv("CRASH_AT"); v != "" {
		where = v
	}
	w.startFleet(controls, routers)
	w.put(controls, desiredState(1, noLimit, []map[string]any{route("receipt", "safe", "records", 1500*time.Millisecond, 2)}, []map[string]any{plainService("records")}))
	for range servers {
		w.startEngine("records", controls, "-crash", where)
	}
	w.waitReady(routers)
	time.Sleep(2 * contact)
	stop := make(chan struct{})
	var background sync.WaitGroup
	background.Go(func() { w.soundTraffic(stop, routers) })
	body := []byte(poison)
	if !w.trouble {
		body = []byte("sound as well")
	}
	for n := range 24 {
		id := newAttemptID()
		a := w.send(n%routers, "/receipt/same", id, body, 1500*time.Millisecond, nil)
		w.record("the request comes for the %d. time, id %s, at front-%d: %v", n+1, id, n%routers+1, a)
		time.Sleep(2 * time.Second)
	}
	close(stop)
	background.Wait()
	return w.judgeCrashes()
}

// soundTraffic sends sound requests until stop is closed.
func (w *world) soundTraffic(stop chan struct{}, routers int) {
	counts := map[int]int{}
	for n := 0; ; n++ {
		select {
		case <-stop:
			w.record("sound requests by status: %v", counts)
			return
		case <-time.After(100 * time.Millisecond):
		}
		counts[w.send(n%routers, fmt.Sprintf("/receipt/sound-%d", n), newAttemptID(), []byte("sound"), 1500*time.Millisecond, nil).status]++
	}
}

// judgeCrashes applies the rule: later than contact-ms after the third crash, no more than
// three retries of the request reach servers.
func (w *world) judgeCrashes() bool {
	var crashes []run
	for _, r := range w.runs() {
		if r.What == noteCrash {
			crashes = append(crashes, r)
			w.record("server %s began to run the request %s at %.3f s and crashed", r.Engine, r.ID, float64(r.At-w.started.UnixMilli())/1000)
		}
	}
	if len(crashes) < 3 {
		w.record("%d crashes", len(crashes))
		return false
	}
	late := 0
	for _, r := range crashes {
		if r.At > crashes[2].At+contact.Milliseconds()+500 {
			late++
		}
	}
	w.record("%d crashes; %d times the request reached a server later than contact-ms after the third, allowed are 3", len(crashes), late)
	return late > 3
}
