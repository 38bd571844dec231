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
	// delaySampleInterval is the time between two samples of the scheduling delay: short
	// compared with latency objectives, at the cost of 20 wake-ups a second.
	delaySampleInterval = 50 * time.Millisecond
	// schedulingDelayDivisor bounds the scheduling delay to a route's objective divided
	// by this number; beyond it, requests are turned away to other routers.
	schedulingDelayDivisor = 8
	// fullLinkDelay is the delay on the link above which a VM takes no new connections:
	// a quarter of the second that callers wait for a connection.
	fullLinkDelay = 250 * time.Millisecond
	// bodyLinkShare is the part of the VM's link capacity that request bodies may take;
	// the rest is for answers, other processes and headers.
	bodyLinkShare = 0.7
	// bodyBurst is the time for which bodies may arrive faster than that: the depth of the
	// token bucket, expressed as time at that rate.
	bodyBurst = 500 * time.Millisecond
)

// Guard turns away requests that this VM can't handle in time, before their bodies are
// read, so that another router can handle them. Its exported fields are set before Run.
type Guard struct {
	// LinkBytesPerSecond is the capacity of the VM's link in bytes per second; 0 if unknown.
	LinkBytesPerSecond float64
	// BalancerDetectionTime is how long the load balancer takes to notice that a VM takes no new
	// connections. Observations of the link are valid for the same time.
	BalancerDetectionTime time.Duration
	// Traffic counts the bytes on the link; nil if they aren't counted.
	Traffic Traffic
	// Connections returns the number of callers' connections, if set.
	Connections func() int64
	Log         zerolog.Logger

	schedulingDelay atomic.Int64
	mu              sync.Mutex
	// backlog is the number of bytes of bodies, as of backlogAt, that the link hasn't
	// carried yet at the rate for bodies.
	backlog   float64
	backlogAt time.Time
	// linkFullAt is when the link's use last reached fullShare, or a body was last
	// turned away because of the backlog.
	linkFullAt time.Time
	// roundTrip is the round trip time as of roundTripAt. unansweredRounds holds when
	// those gossip rounds began that no process has answered yet, oldest first.
	roundTrip        time.Duration
	roundTripAt      time.Time
	unansweredRounds []time.Time
	usage            linkUsage
}

// Run samples the scheduling delay and the use of the link until ctx ends.
func (g *Guard) Run(ctx context.Context) error {
	timer := time.NewTimer(delaySampleInterval)
	defer timer.Stop()
	for {
		due := time.Now().Add(delaySampleInterval)
		timer.Reset(delaySampleInterval)
		select {
		case <-ctx.Done():
			return nil
		case <-timer.C:
		}
		g.recordSchedulingDelay(time.Since(due))
		g.sampleLink(time.Now())
	}
}

// recordSchedulingDelay records how late the process was woken. A higher value counts
// at once; towards a lower one the recorded delay falls at most by half each time.
func (g *Guard) recordSchedulingDelay(delay time.Duration) {
	g.schedulingDelay.Store(int64(max(delay, time.Duration(g.schedulingDelay.Load())/2)))
}

// SchedulingDelay returns how long the process waits for the processor.
func (g *Guard) SchedulingDelay() time.Duration { return time.Duration(g.schedulingDelay.Load()) }

// ObserveRound records when a gossip round began to ask other processes.
func (g *Guard) ObserveRound(began time.Time) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if len(g.unansweredRounds) == maxUnansweredRounds {
		g.unansweredRounds = append(g.unansweredRounds[:0], g.unansweredRounds[1:]...)
	}
	g.unansweredRounds = append(g.unansweredRounds, began)
}

// ForgetRound drops the round that began at the given time. All of its processes have
// refused or been silent for too long, so it says nothing about the link any more.
func (g *Guard) ForgetRound(began time.Time) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.unansweredRounds = slices.DeleteFunc(g.unansweredRounds, func(at time.Time) bool { return at.Equal(began) })
}

// maxUnansweredRounds bounds the unanswered rounds that are remembered.
const maxUnansweredRounds = 64

// ObserveRoundTrip records the shortest round trip time to other processes in a gossip round.
// A higher value counts at once; towards a lower one the recorded time falls at most by
// half each time.
func (g *Guard) ObserveRoundTrip(d time.Duration, now time.Time) {
	g.mu.Lock()
	defer g.mu.Unlock()
	began := now.Add(-d)
	g.unansweredRounds = slices.DeleteFunc(g.unansweredRounds, func(at time.Time) bool { return !at.After(began) })
	g.roundTrip, g.roundTripAt = max(d, g.lastRoundTrip(now)/2), now
}

// lastRoundTrip returns the recorded round trip time, or 0 if it is older than
// BalancerDetectionTime. The caller holds mu.
func (g *Guard) lastRoundTrip(now time.Time) time.Duration {
	if now.Sub(g.roundTripAt) >= g.BalancerDetectionTime {
		return 0
	}
	return g.roundTrip
}

// currentRoundTrip returns the round trip time. On a busy link it is at least the time
// since the oldest unanswered round began; a round is dropped once a later one has been
// answered. On a link that carries little, silence says nothing about the delay: the
// router is cut off from the others then and learns nothing from them. The caller holds mu.
func (g *Guard) currentRoundTrip(now time.Time) time.Duration {
	last := g.lastRoundTrip(now)
	if len(g.unansweredRounds) == 0 || g.usage.share(g.LinkBytesPerSecond) < busyShare {
		return last
	}
	return max(last, now.Sub(g.unansweredRounds[0]))
}

// LinkDelay returns how long a request and its answer together wait on the VM's link:
// the round trip time, however it is divided between the link's two directions.
func (g *Guard) LinkDelay(now time.Time) time.Duration {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.currentRoundTrip(now)
}

// LinkFull reports whether the VM's link has recently been full, by the bytes that it
// carried, by the backlog of bodies or by its delay. Requests that are turned away use
// the link all the same, since callers send their bodies at once; only sending new
// connections to other VMs relieves it.
func (g *Guard) LinkFull(now time.Time) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.linkFull(now)
}

// linkFull implements LinkFull. The caller holds mu.
func (g *Guard) linkFull(now time.Time) bool {
	return g.currentRoundTrip(now) > fullLinkDelay || !g.linkFullAt.IsZero() && now.Sub(g.linkFullAt) < g.BalancerDetectionTime
}

// AcceptsConnections reports whether the router takes new connections. While the link is busy and
// its delay is long, requests on new connections couldn't be handled in time. A long
// delay on a link that carries little is caused by the other processes or the processor,
// and refusing connections wouldn't reduce it.
func (g *Guard) AcceptsConnections(now time.Time) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.usage.share(g.LinkBytesPerSecond) < busyShare || g.currentRoundTrip(now) <= fullLinkDelay
}

// Admits reports whether a request with a body of the given size and a latency objective
// can be handled in time. An objective of 0 is none. An admitted body counts towards the
// link's backlog.
func (g *Guard) Admits(bytes int64, objective time.Duration, now time.Time) bool {
	tooSlow := objective > 0 && (g.SchedulingDelay() > objective/schedulingDelayDivisor || g.LinkDelay(now) > objective)
	return !tooSlow && g.admitBody(float64(max(bytes, 0)), now)
}

// admitBody adds a body to the backlog, or reports false if the backlog is too large. It
// is a token bucket with the rate bodyLinkShare and the depth bodyBurst.
func (g *Guard) admitBody(bytes float64, now time.Time) bool {
	if g.LinkBytesPerSecond <= 0 {
		return true
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	rate := g.LinkBytesPerSecond * bodyLinkShare
	g.backlog = max(g.backlog-now.Sub(g.backlogAt).Seconds()*rate, 0)
	g.backlogAt = now
	if g.backlog > rate*bodyBurst.Seconds() {
		g.linkFullAt = now
		return false
	}
	g.backlog += bytes
	return true
}
