package relay

import (
	"expvar"
	"time"
)

// linkReport is the time between two lines on a link that is in use.
const linkReport = time.Second

// busyShare is the part of the link's capacity from which on its use is logged and
// silence of others is put down to it. Small packets fill a link at half of its
// capacity in bytes, since their heads are as long.
const busyShare = 0.5

// fullShare is the part of the link's capacity from which on the VM takes no new
// connections: a queue that is used more than that grows with every swing of the load.
const fullShare = 0.8

// Traffic counts the bytes that a VM's link has carried since the process started.
type Traffic interface {
	In() int64
	Out() int64
}

// linkUse is what the link has carried lately.
type linkUse struct {
	// samples of the counters go back by useWindow.
	samples []linkSample
	// inRate and outRate are bytes per second over the samples.
	inRate, outRate float64
	reportedAt      time.Time
}

type linkSample struct {
	at      time.Time
	in, out int64
}

// useWindow is the time over which the link's use is measured: long against single
// bodies, short against the balancer's checks.
const useWindow = time.Second

// sample reads the counters.
func (u *linkUse) sample(t Traffic, now time.Time) {
	s := linkSample{at: now, in: t.In(), out: t.Out()}
	u.samples = append(u.samples, s)
	for len(u.samples) > 2 && now.Sub(u.samples[1].at) >= useWindow {
		u.samples = append(u.samples[:0], u.samples[1:]...)
	}
	first := u.samples[0]
	if passed := now.Sub(first.at).Seconds(); passed >= useWindow.Seconds() {
		u.inRate, u.outRate = float64(s.in-first.in)/passed, float64(s.out-first.out)/passed
	}
}

// share returns the part of a link's capacity that its busier direction carried.
func (u *linkUse) share(capacity float64) float64 {
	if capacity <= 0 {
		return 0
	}
	return max(u.inRate, u.outRate) / capacity
}

// watch looks at what the link carries, and logs it once a second while it is busy or
// full.
func (g *Guard) watch(now time.Time) {
	if g.Traffic == nil {
		return
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	g.use.sample(g.Traffic, now)
	share := g.use.share(g.LinkBytes)
	if share >= fullShare {
		g.fullAt = now
	}
	full := g.full(now)
	if now.Sub(g.use.reportedAt) < linkReport || share < busyShare && !full {
		return
	}
	g.use.reportedAt = now
	e := g.Log.Info().Float64("in_kbps", kbps(g.use.inRate)).Float64("out_kbps", kbps(g.use.outRate)).
		Dur("link_ms", g.recentTrip(now)).Int("silent_rounds", len(g.asked)).Bool("full", full)
	if !g.tripAt.IsZero() {
		e = e.Dur("trip_age_ms", now.Sub(g.tripAt))
	}
	if g.Connections != nil {
		e = e.Int64("connections", g.Connections())
	}
	e.Msg("link is in use")
}

// kbps turns bytes per second into kilobits per second, the unit of a link's settings.
func kbps(bytes float64) float64 { return bytes * 8 / 1e3 }

// LinkMetrics returns what the link carried in the last second.
func (g *Guard) LinkMetrics() expvar.Var {
	return expvar.Func(func() any {
		now := time.Now()
		g.mu.Lock()
		defer g.mu.Unlock()
		return map[string]any{
			"in_kbps": kbps(g.use.inRate), "out_kbps": kbps(g.use.outRate),
			"link_ms": g.recentTrip(now).Milliseconds(), "full": g.full(now), "silent_rounds": len(g.asked),
		}
	})
}
