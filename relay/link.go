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

// Traffic counts the bytes that a VM's link has carried since the process started.
type Traffic interface {
	In() int64
	Out() int64
}

// linkUse is what the link carried in the last full second.
type linkUse struct {
	at      time.Time
	in, out int64
	// inRate and outRate are bytes per second.
	inRate, outRate float64
}

// share returns the part of a link's capacity that its busier direction carried.
func (u *linkUse) share(capacity float64) float64 {
	if capacity <= 0 {
		return 0
	}
	return max(u.inRate, u.outRate) / capacity
}

// roll begins a new second and reports whether one has ended.
func (u *linkUse) roll(t Traffic, now time.Time) bool {
	passed := now.Sub(u.at)
	if passed < linkReport {
		return false
	}
	in, out := t.In(), t.Out()
	if !u.at.IsZero() {
		u.inRate, u.outRate = float64(in-u.in)/passed.Seconds(), float64(out-u.out)/passed.Seconds()
	}
	u.at, u.in, u.out = now, in, out
	return true
}

// report logs what the link carries, once a second while it is busy or full.
func (g *Guard) report(now time.Time) {
	if g.Traffic == nil {
		return
	}
	wait, full := g.LinkWait(now), g.LinkFull(now)
	g.mu.Lock()
	defer g.mu.Unlock()
	if !g.use.roll(g.Traffic, now) {
		return
	}
	if g.use.share(g.LinkBytes) < busyShare && !full {
		return
	}
	e := g.Log.Info().Float64("in_kbps", g.use.inRate*bitsPerByte/1e3).Float64("out_kbps", g.use.outRate*bitsPerByte/1e3).
		Dur("link_ms", wait).Dur("trip_age_ms", now.Sub(g.tripAt)).Int("silent_rounds", len(g.asked)).Bool("full", full)
	if g.Connections != nil {
		e = e.Int64("connections", g.Connections())
	}
	e.Msg("link is in use")
}

const bitsPerByte = 8

// LinkMetrics returns what the link carried in the last full second.
func (g *Guard) LinkMetrics() expvar.Var {
	return expvar.Func(func() any {
		wait, full := g.LinkWait(time.Now()), g.LinkFull(time.Now())
		g.mu.Lock()
		defer g.mu.Unlock()
		return map[string]any{
			"in_bytes_per_s": int64(g.use.inRate), "out_bytes_per_s": int64(g.use.outRate),
			"wait_ms": wait.Milliseconds(), "full": full, "silent_rounds": len(g.asked),
		}
	})
}
