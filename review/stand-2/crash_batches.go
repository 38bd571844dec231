//go:build review2

package main

import (
	"fmt"
	"net/http"
	"slices"
	"sync"
	"time"
)

// crashingPart is the part of a prompt that crashes each engine that begins to write an answer
// on it.
const crashingPart = "dead"

// crashes records the requests with the crashing part that reached engines, and the crashes.
type crashes struct {
	mu       sync.Mutex
	arrivals []time.Time
	at       []time.Time
}

// onRequest crashes the engine shortly after a request with the part has begun. The engine is
// back after some seconds.
func (c *crashes) onRequest(e *engineStub, r *http.Request) {
	if !slices.Contains(partsOf(r), crashingPart) {
		return
	}
	c.mu.Lock()
	c.arrivals = append(c.arrivals, time.Now())
	c.mu.Unlock()
	e.fleet.record.line("request %s with the crashing part reaches %s", r.Header.Get("Attempt-Id"), e.id())
	time.Sleep(30 * time.Millisecond)
	if !e.isUp() {
		return
	}
	id := e.id()
	e.end(true)
	c.mu.Lock()
	c.at = append(c.at, time.Now())
	n := len(c.at)
	c.mu.Unlock()
	e.fleet.record.line("engine %s crashes, crash %d", id, n)
	go func() {
		time.Sleep(2500 * time.Millisecond)
		if err := e.start(); err != nil {
			e.fleet.record.line("engine doesn't start again: %v", err)
		}
	}()
}

// lateArrivals returns the number of requests with the part that reached engines later than
// contact-ms after the fifth crash.
func (c *crashes) lateArrivals() (late int, fifth bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if len(c.at) < 5 {
		return 0, false
	}
	for _, at := range c.arrivals {
		if at.After(c.at[4].Add(contact)) {
			late++
		}
	}
	return late, true
}

// Times and sizes of the case.
const (
	crashEngines = 12
	batchSize    = 4
	batches      = 6
	batchPause   = 4500 * time.Millisecond
)

// crashBatches sends requests that share a crashing part in batches, as one who asks four
// questions about one document does.
func crashBatches(f *fleet, trouble bool) (bool, error) {
	for n := range 3 {
		f.add("control", n+1)
	}
	for n := range 3 {
		f.add("router", n+1)
	}
	if err := f.startAll(); err != nil {
		return false, err
	}
	c := &crashes{}
	for n := range crashEngines {
		e := f.newEngine(n+1, modelService)
		e.events, e.gap, e.onRequest = 6, 80*time.Millisecond, c.onRequest
		if err := e.start(); err != nil {
			return false, err
		}
		defer e.end(false)
	}
	o := &operator{fleet: f}
	if !o.put(firstState(1), 15*time.Second) {
		return false, fmt.Errorf("the first desired state wasn't acknowledged")
	}
	if err := f.waitReady(10 * time.Second); err != nil {
		return false, err
	}
	time.Sleep(contact)
	sound := f.startSoundStreams()
	routers := f.running("router")
	for b := range batches {
		var wg sync.WaitGroup
		for i := range batchSize {
			wg.Go(func() {
				first := fmt.Sprintf("c%d", b*batchSize+i)
				if trouble {
					first = crashingPart
				}
				parts := fmt.Sprintf("%s:800,d%d:300,e%d:100", first, b*batchSize+i, b*batchSize+i)
				f.record.line("batch %d: %v", b, f.askStream(routers[i%len(routers)], "/draft/", parts, "1200,120", 8*time.Second))
			})
		}
		wg.Wait()
		time.Sleep(batchPause)
	}
	served, all := sound()
	late, fifth := c.lateArrivals()
	f.record.line("crashes: %d, five of them %v; later than contact-ms after the fifth, %d requests with the part reached engines; sound streams served: %d of %d", len(c.at), fifth, late, served, all)
	return late > 3, nil
}

// startSoundStreams sends sound requests until the returned function is called, which returns how
// many were served whole and how many were sent.
func (f *fleet) startSoundStreams() func() (served, all int) {
	var mu sync.Mutex
	var wg sync.WaitGroup
	stop := make(chan struct{})
	served, all := 0, 0
	routers := f.running("router")
	wg.Go(func() {
		ticker := time.NewTicker(100 * time.Millisecond)
		defer ticker.Stop()
		for n := 0; ; n++ {
			select {
			case <-stop:
				return
			case <-ticker.C:
			}
			wg.Go(func() {
				a := f.askStream(routers[n%len(routers)], "/draft/", fmt.Sprintf("f%d:800,ab%d:100", n%5, n), "900,120", 8*time.Second)
				f.record.line("sound %v", a)
				mu.Lock()
				defer mu.Unlock()
				all++
				if a.status == 200 && a.complete {
					served++
				}
			})
		}
	})
	return func() (int, int) {
		close(stop)
		wg.Wait()
		return served, all
	}
}
