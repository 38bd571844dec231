package relay

import (
	"context"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rs/zerolog"
)

const (
	// lagInterval is the time between two looks at the processor: short against
	// latency objectives, and 20 wake-ups a second.
	lagInterval = 50 * time.Millisecond
	// lagShare is the part of a route's objective that the wait for the processor
	// may take before requests are turned away to other routers.
	lagShare = 8
	// fullWait is the wait on the link from which on a VM takes no new connections:
	// a quarter of the second that callers wait for one.
	fullWait = 250 * time.Millisecond
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
	// NoticedAfter is the time in which the balancer finds that a VM takes no new
	// connections. What was seen of the link counts for as long.
	NoticedAfter time.Duration
	// Traffic counts what the link carries; nil if that isn't counted.
	Traffic Traffic
	// Connections returns the number of callers' connections, if set.
	Connections func() int64
	Log         zerolog.Logger

	lag atomic.Int64
	mu  sync.Mutex
	// spent are bytes of bodies beyond what the link has carried at spentAt.
	spent   float64
	spentAt time.Time
	// fullAt is when the link last carried as much as it should, or a body was more.
	fullAt time.Time
	// trip is the round trip at tripAt, asked when rounds began that nobody has
	// answered yet.
	trip   time.Duration
	tripAt time.Time
	asked  []time.Time
	use    linkUse
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
		g.watch(time.Now())
	}
}

// observe takes how late the process was woken. A rise counts at once, a fall by
// halves.
func (g *Guard) observe(late time.Duration) {
	g.lag.Store(int64(max(late, time.Duration(g.lag.Load())/2)))
}

// Lag returns how late the process gets the processor.
func (g *Guard) Lag() time.Duration { return time.Duration(g.lag.Load()) }

// ObserveRound takes when a round of the mesh asked other processes.
func (g *Guard) ObserveRound(began time.Time) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if len(g.asked) == maxAsked {
		g.asked = append(g.asked[:0], g.asked[1:]...)
	}
	g.asked = append(g.asked, began)
}

// ForgetRound takes when a round began whose processes have all refused or been silent
// for too long: it tells nothing any more.
func (g *Guard) ForgetRound(began time.Time) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.asked = slices.DeleteFunc(g.asked, func(at time.Time) bool { return at.Equal(began) })
}

// maxAsked bounds the rounds without an answer that are remembered.
const maxAsked = 64

// ObserveTrip takes the shortest round trip to other processes, as each round of the
// mesh finds it. A rise counts at once, a fall by halves.
func (g *Guard) ObserveTrip(d time.Duration, now time.Time) {
	g.mu.Lock()
	defer g.mu.Unlock()
	began := now.Add(-d)
	g.asked = slices.DeleteFunc(g.asked, func(at time.Time) bool { return !at.After(began) })
	g.trip, g.tripAt = max(d, g.lastTrip(now)/2), now
}

// lastTrip returns the newest round trip, 0 if it was long ago. The caller holds mu.
func (g *Guard) lastTrip(now time.Time) time.Duration {
	if now.Sub(g.tripAt) >= g.NoticedAfter {
		return 0
	}
	return g.trip
}

// recentTrip returns the round trip, which is at least as long as the oldest round
// that later ones haven't overtaken is without an answer. Silence tells nothing of a
// link that carries little: the router is cut off from the others then, and learns
// nothing from them. The caller holds mu.
func (g *Guard) recentTrip(now time.Time) time.Duration {
	last := g.lastTrip(now)
	if len(g.asked) == 0 || g.use.share(g.LinkBytes) < busyShare {
		return last
	}
	return max(last, now.Sub(g.asked[0]))
}

// LinkWait returns how long a request and its answer wait on the VM's link together:
// the round trip, however it is shared out between the link's two directions.
func (g *Guard) LinkWait(now time.Time) time.Duration {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.recentTrip(now)
}

// LinkFull reports whether the VM's link has lately been full, by what bodies take of
// it or by what waits on it. What is turned away fills it all the same, since callers
// send their bodies at once; only new connections that go to other VMs relieve it.
func (g *Guard) LinkFull(now time.Time) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.full(now)
}

// full is LinkFull. The caller holds mu.
func (g *Guard) full(now time.Time) bool {
	return g.recentTrip(now) > fullWait || !g.fullAt.IsZero() && now.Sub(g.fullAt) < g.NoticedAfter
}

// Connects reports whether new connections are taken: what they would bring can't be
// carried in time while the link is busy and its wait is long. A long wait on a link that
// carries little is the others' or the processor's, and refusing wouldn't mend it.
func (g *Guard) Connects(now time.Time) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.use.share(g.LinkBytes) < busyShare || g.recentTrip(now) <= fullWait
}

// Admits reports whether a request with a body of so many bytes and a latency
// objective can be carried.
func (g *Guard) Admits(bytes int64, objective time.Duration, now time.Time) bool {
	late := objective > 0 && (g.Lag() > objective/lagShare || g.LinkWait(now) > objective)
	return !late && g.takeLink(float64(max(bytes, 0)), now)
}

// takeLink takes a body from what the link carries.
func (g *Guard) takeLink(bytes float64, now time.Time) bool {
	if g.LinkBytes <= 0 {
		return true
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	rate := g.LinkBytes * linkShare
	g.spent = max(g.spent-now.Sub(g.spentAt).Seconds()*rate, 0)
	g.spentAt = now
	if g.spent > rate*linkBurst.Seconds() {
		g.fullAt = now
		return false
	}
	g.spent += bytes
	return true
}
