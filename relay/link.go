package relay

import (
	"expvar"
	"time"
)

// linkLogInterval is the minimum time between two log lines about a busy link.
const linkLogInterval = time.Second

// busyShare is the part of the link's capacity from which on its use is logged, and
// silence of other processes is attributed to the link. Small packets fill a link at half
// of its capacity in bytes, since their headers are as long as their content.
const busyShare = 0.5

// fullShare is the part of the link's capacity from which on the VM takes no new
// connections: above this utilisation, the link's queue grows with every swing of the load.
const fullShare = 0.8

// Traffic counts the bytes that a VM's link has carried since the process started.
type Traffic interface {
	In() int64
	Out() int64
}

// linkUsage measures what the link has carried recently.
type linkUsage struct {
	// samples are the counters' values over the last usageWindow, oldest first.
	samples []linkSample
	// inRate and outRate are the bytes per second over the samples.
	inRate, outRate float64
	loggedAt        time.Time
}

type linkSample struct {
	at      time.Time
	in, out int64
}

// usageWindow is the time over which the link's use is measured: long compared with the
// transfer of a single body, short compared with the load balancer's health checks.
const usageWindow = time.Second

// sample reads the counters and updates the rates.
func (u *linkUsage) sample(t Traffic, now time.Time) {
	s := linkSample{at: now, in: t.In(), out: t.Out()}
	u.samples = append(u.samples, s)
	for len(u.samples) > 2 && now.Sub(u.samples[1].at) >= usageWindow {
		u.samples = append(u.samples[:0], u.samples[1:]...)
	}
	first := u.samples[0]
	if passed := now.Sub(first.at).Seconds(); passed >= usageWindow.Seconds() {
		u.inRate, u.outRate = float64(s.in-first.in)/passed, float64(s.out-first.out)/passed
	}
}

// share returns the part of the link's capacity, in bytes per second, that its busier
// direction used; 0 if the capacity is unknown.
func (u *linkUsage) share(capacity float64) float64 {
	if capacity <= 0 {
		return 0
	}
	return max(u.inRate, u.outRate) / capacity
}

// sampleLink measures what the link carries, and logs it at most once a second while the
// link is busy or full.
func (g *Guard) sampleLink(now time.Time) {
	if g.Traffic == nil {
		return
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	g.usage.sample(g.Traffic, now)
	share := g.usage.share(g.LinkBytesPerSecond)
	if share >= fullShare {
		g.linkFullAt = now
	}
	full := g.linkFull(now)
	if now.Sub(g.usage.loggedAt) < linkLogInterval || share < busyShare && !full {
		return
	}
	g.usage.loggedAt = now
	e := g.Log.Info().Float64("in_kbps", kbps(g.usage.inRate)).Float64("out_kbps", kbps(g.usage.outRate)).
		Dur("link_ms", g.currentRoundTrip(now)).Int("silent_rounds", len(g.unansweredRounds)).Bool("full", full)
	if !g.roundTripAt.IsZero() {
		e = e.Dur("trip_age_ms", now.Sub(g.roundTripAt))
	}
	if g.Connections != nil {
		e = e.Int64("connections", g.Connections())
	}
	e.Msg("link is in use")
}

// kbps converts bytes per second to kilobits per second, the unit of a link's settings.
func kbps(bytes float64) float64 { return bytes * 8 / 1e3 }

// LinkMetrics returns the rates of the last second in kbit/s, the delay in milliseconds,
// whether the link is full and the number of unanswered gossip rounds.
func (g *Guard) LinkMetrics() expvar.Var {
	return expvar.Func(func() any {
		now := time.Now()
		g.mu.Lock()
		defer g.mu.Unlock()
		return map[string]any{
			"in_kbps": kbps(g.usage.inRate), "out_kbps": kbps(g.usage.outRate),
			"link_ms": g.currentRoundTrip(now).Milliseconds(), "full": g.linkFull(now), "silent_rounds": len(g.unansweredRounds),
		}
	})
}
