//go:build review2

package main

import (
	"cmp"
	"fmt"
	"slices"
	"sync"
	"time"
)

// truncatedEngines is the number of engines, of which one leaves: 12.5 in 100.
const truncatedEngines = 8

// truncatedStream has an engine leave as planned while streams without a length run there.
func truncatedStream(f *fleet, trouble bool) (bool, error) {
	for n := range 3 {
		f.add("control", n+1)
	}
	f.add("router", 1)
	f.add("router", 2)
	if err := f.startAll(); err != nil {
		return false, err
	}
	var engines []*engineStub
	for n := range truncatedEngines {
		e := f.newEngine(n+1, modelService)
		e.unframed = true
		if err := e.start(); err != nil {
			return false, err
		}
		engines = append(engines, e)
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
	// One wave of streams before the engine leaves shows that whole ones are passed on whole.
	whole := f.wave(3 * truncatedEngines)
	for _, a := range whole {
		if a.status != 200 || !a.complete || a.events != engines[0].events {
			return false, fmt.Errorf("a stream wasn't served before any trouble: %v", a)
		}
	}
	left := make(chan struct{})
	go func() {
		defer close(left)
		// The streams have begun. They take 5 s, drain-ms is 2 s.
		time.Sleep(500 * time.Millisecond)
		if trouble {
			busiest := slices.MaxFunc(engines, func(a, b *engineStub) int { return cmp.Compare(a.running.Load(), b.running.Load()) })
			busiest.leave(2*time.Second, 500*time.Millisecond)
		}
	}()
	truncated := 0
	for _, a := range f.wave(3 * truncatedEngines) {
		if a.status == 200 && a.complete && a.events < engines[0].events {
			truncated++
			f.record.line("ends as complete before its last piece: %v", a)
		}
	}
	<-left
	f.record.line("streams that end as complete before their last piece (%d): %d", engines[0].events, truncated)
	return truncated > 0, nil
}

// wave sends n requests for streams, spread over the routers, and returns the answers.
func (f *fleet) wave(n int) []answer {
	routers := f.running("router")
	out := make([]answer, n)
	var wg sync.WaitGroup
	for i := range n {
		wg.Go(func() {
			time.Sleep(time.Duration(i) * 20 * time.Millisecond)
			parts := fmt.Sprintf("a%d:800,b%d:200", i, attempts.Load())
			out[i] = f.askStream(routers[i%len(routers)], "/draft/", parts, "1000,120", 8*time.Second)
			f.record.line("%v", out[i])
		})
	}
	wg.Wait()
	return out
}
