package relay

import (
	"context"
	"sync"
	"sync/atomic"
	"time"
)

const (
	// lagInterval is the time between two looks at the processor: short against
	// latency objectives, and 20 wake-ups a second.
	lagInterval = 50 * time.Millisecond
	// lagShare is the part of a route's objective that the wait for the processor
	// may take before requests are turned away to other routers.
	lagShare = 8
	// linkShare is the part of the VM's link that bodies of requests may take; the
	// rest is for answers, other processes and headers.
	linkShare = 0.7
	// linkBurst is the time for which bodies may come faster than that.
	linkBurst = 500 * time.Millisecond
)

// Guard turns requests away that this VM can't carry in time, before their bodies
// are read: another router can. Its exported fields are set before Run.
type Guard struct {
	// LinkBytes is what the VM's link carries in a second; 0 if unknown.
	LinkBytes float64

	lag    atomic.Int64
	mu     sync.Mutex
	spent  float64
	at     time.Time
	turned atomic.Int64
}

// Run measures how late this process gets the processor until ctx ends.
func (g *Guard) Run(ctx context.Context) error {
	timer := time.NewTimer(lagInterval)
	defer timer.Stop()
	for {
		due := time.Now().Add(lagInterval)
		timer.Reset(lagInterval)
		select {
		case <-ctx.Done():
			return nil
		case <-timer.C:
		}
		g.observe(time.Since(due))
	}
}

// observe takes how late the process was woken. A rise counts at once, a fall by
// halves.
func (g *Guard) observe(late time.Duration) {
	g.lag.Store(int64(max(late, time.Duration(g.lag.Load())/2)))
}

// Lag returns how late the process gets the processor.
func (g *Guard) Lag() time.Duration { return time.Duration(g.lag.Load()) }

// Turned counts the requests that were turned away.
func (g *Guard) Turned() int64 { return g.turned.Load() }

// Admits reports whether a request with a body of so many bytes and a latency
// objective can be carried.
func (g *Guard) Admits(bytes int64, objective time.Duration, now time.Time) bool {
	if objective > 0 && g.Lag() > objective/lagShare || !g.takeLink(float64(max(bytes, 0)), now) {
		g.turned.Add(1)
		return false
	}
	return true
}

// takeLink takes a body from what the link carries.
func (g *Guard) takeLink(bytes float64, now time.Time) bool {
	if g.LinkBytes <= 0 {
		return true
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	rate := g.LinkBytes * linkShare
	g.spent = max(g.spent-now.Sub(g.at).Seconds()*rate, 0)
	g.at = now
	if g.spent > rate*linkBurst.Seconds() {
		return false
	}
	g.spent += bytes
	return true
}
