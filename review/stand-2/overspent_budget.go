//go:build review2

package main

import (
	"fmt"
	"sync"
	"time"
)

// Sizes of the case, in tokens.
const (
	smallBudget = 60_000
	soundPrompt = 1_000
	soundOutput = 120
	oddPrompt   = 2_000
	// unboundedOutput is the largest number of output tokens that can be written in 63 bits: how
	// a caller states that it sets no bound.
	unboundedOutput   = "9223372036854775807"
	tokensPerEvent    = 6
	soundPerSecond    = 15
	timeToSpendBudget = 15 * time.Second
)

// overspentBudget has a tenant spend its budget to its end, then sends one request whose output
// isn't bounded, and goes on with sound ones.
func overspentBudget(f *fleet, trouble bool) (bool, error) {
	for n := range 3 {
		f.add("control", n+1)
	}
	for n := range 3 {
		f.add("router", n+1)
	}
	if err := f.startAll(); err != nil {
		return false, err
	}
	for n := range 4 {
		e := f.newEngine(n+1, modelService)
		e.events, e.gap = 5, 20*time.Millisecond
		if err := e.start(); err != nil {
			return false, err
		}
		defer e.end(false)
	}
	state := firstState(1)
	state.Tenants[0].Prepaid = smallBudget
	o := &operator{fleet: f}
	if !o.put(state, 15*time.Second) {
		return false, fmt.Errorf("the first desired state wasn't acknowledged")
	}
	if err := f.waitReady(10 * time.Second); err != nil {
		return false, err
	}
	time.Sleep(contact)
	before := f.soundRequests(timeToSpendBudget)
	if before.served == 0 || before.refused == 0 {
		return false, fmt.Errorf("the budget wasn't spent: %v", before)
	}
	if trouble {
		a := f.askStream(f.running("router")[0], "/draft/", "a0:800,odd:1200", fmt.Sprintf("%d,%s", oddPrompt, unboundedOutput), 8*time.Second)
		f.record.line("request with Token-Count %d,%s: %v", oddPrompt, unboundedOutput, a)
	}
	after := f.soundRequests(20 * time.Second)
	used := before.used + after.used
	f.record.line("the tenant got %d tokens, %d of them after that request; prepaid: %d", used, after.used, smallBudget)
	return used > smallBudget, nil
}

// tally counts the answers to sound requests. used are the tokens that the tenant got: the input of
// each request of which output was delivered, and that output.
type tally struct {
	all, served, refused, other int
	used                        int64
}

func (t tally) String() string {
	return fmt.Sprintf("%d sent, %d served whole, %d refused with 402 or 429, %d others, %d tokens", t.all, t.served, t.refused, t.other, t.used)
}

// soundRequests sends sound requests for some time, spread over the routers.
func (f *fleet) soundRequests(d time.Duration) tally {
	var mu sync.Mutex
	var wg sync.WaitGroup
	var t tally
	routers := f.running("router")
	end := time.Now().Add(d)
	for n := 0; time.Now().Before(end); n++ {
		wg.Go(func() {
			parts, tokens := fmt.Sprintf("a%d:800,s%d:200", n%4, attempts.Load()), fmt.Sprintf("%d,%d", soundPrompt, soundOutput)
			a := f.askStream(routers[n%len(routers)], "/draft/", parts, tokens, 8*time.Second)
			mu.Lock()
			defer mu.Unlock()
			t.all++
			switch {
			case a.status == 200 && a.complete:
				t.served++
			case a.status == 402 || a.status == 429:
				t.refused++
			default:
				t.other++
			}
			f.record.line("%v", a)
			if a.events > 0 {
				t.used += soundPrompt + int64(a.events)*tokensPerEvent
			}
		})
		time.Sleep(time.Second / soundPerSecond)
	}
	wg.Wait()
	f.record.line("sound requests: %v", t)
	return t
}
