package relay

import (
	"expvar"
	"time"

	"github.com/rs/zerolog"
)

// linkReport is the time between two lines on a link that is in use.
const linkReport = time.Second

// busyShare is the part of the link from which on its use is logged.
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
	// rounds counts the rounds of the mesh since then, silent those of them in which
	// nobody answered.
	rounds, silent int
	lastSilent     int
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
	u.lastSilent = u.silent
	u.rounds, u.silent = 0, 0
	return true
}

// ObserveRound takes how many processes a round of the mesh asked, and how many have
// answered.
func (g *Guard) ObserveRound(asked, answered int) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.use.rounds++
	if asked > 0 && answered == 0 {
		g.use.silent++
	}
}

// report logs what the link carries, once a second while it is busy or full.
func (g *Guard) report(log zerolog.Logger, now time.Time) {
	if g.Traffic == nil {
		return
	}
	wait, full := g.LinkWait(now), g.LinkFull(now)
	g.mu.Lock()
	defer g.mu.Unlock()
	if !g.use.roll(g.Traffic, now) {
		return
	}
	busy := g.LinkBytes > 0 && max(g.use.inRate, g.use.outRate) > busyShare*g.LinkBytes
	if !busy && !full {
		return
	}
	e := log.Info().Float64("in_kbps", g.use.inRate*bitsPerByte/1e3).Float64("out_kbps", g.use.outRate*bitsPerByte/1e3).
		Dur("link_ms", wait).Dur("trip_age_ms", now.Sub(g.tripAt)).Int("silent_rounds", g.use.lastSilent).Bool("full", full)
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
			"wait_ms": wait.Milliseconds(), "full": full, "silent_rounds": g.use.lastSilent,
		}
	})
}
