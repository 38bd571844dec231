package relay

import (
	"context"
	"math"
	"sync"
	"time"

	"github.com/go-faster/errors"
)

// errStopped ends the requests that are in progress when the process's grace period is over.
var errStopped = errors.New("process is stopping")

// stopPlan says how a stopping router treats requests.
type stopPlan struct {
	// quietAt is when the load balancer sends no more requests. Until then, those that will
	// probably end in time are served, since many would come back to the same router.
	quietAt time.Time
	// endsAt is when requests in progress are ended.
	endsAt time.Time
}

// BeginStop has the router refuse requests that may not end before endsAt, while there is time
// to send them elsewhere. Until quietAt it takes those that will probably end.
func (r *Router) BeginStop(quietAt, endsAt time.Time) {
	r.stopping.Store(&stopPlan{quietAt: quietAt, endsAt: endsAt})
}

// EndRequests ends the requests in progress: each that has no answer yet gets one that promises
// nothing, and streams that have begun break off.
func (r *Router) EndRequests() {
	if r.endAll != nil {
		r.endAll()
	}
}

// untilStop returns a context that ends with ctx or when requests in progress are ended. The
// returned function releases it.
func (r *Router) untilStop(ctx context.Context) (context.Context, func()) {
	if r.ended == nil {
		return ctx, func() {}
	}
	ctx, cancel := context.WithCancelCause(ctx)
	release := context.AfterFunc(r.ended, func() { cancel(errStopped) })
	return ctx, func() {
		release()
		cancel(nil)
	}
}

// refuseStopping refuses a request that may not end before the process does, and reports
// whether it did.
func (f *flight) refuseStopping() bool {
	s := f.router.stopping.Load()
	if s == nil {
		return false
	}
	now := time.Now()
	need, left := f.deadline.Sub(now), s.endsAt.Sub(now)
	if now.Before(s.quietAt) {
		need = min(need, f.router.durations.expected(f.route.Name, f.route.Timeout, now))
	}
	if left >= need {
		return false
	}
	f.log(string(ReasonStopping)).Dur("need_ms", need).Dur("left_ms", left).Msg("request may not end before the process stops")
	f.refuse(ReasonStopping, retryElsewhereAfter)
	return true
}

// durationHalfLife is the time in which the longest duration of a route's requests is forgotten
// by half.
const durationHalfLife = time.Minute

// durations remembers how long the requests of each route lasted at most, with a preference for
// recent ones. Its zero value is ready to use.
type durations struct {
	mu      sync.Mutex
	longest map[string]longestDuration
}

type longestDuration struct {
	value time.Duration
	at    time.Time
}

// valueAt returns the part of the value that counts at a time.
func (d longestDuration) valueAt(now time.Time) time.Duration {
	return time.Duration(float64(d.value) * math.Exp2(-float64(now.Sub(d.at))/float64(durationHalfLife)))
}

// record records how long an answered request of a route lasted.
func (d *durations) record(route string, took time.Duration, now time.Time) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.longest == nil {
		d.longest = map[string]longestDuration{}
	}
	if took >= d.longest[route].valueAt(now) {
		d.longest[route] = longestDuration{value: took, at: now}
	}
}

// expected returns how long a request of a route will probably last at most: as long as the
// longest recent one, or the given time if none is known.
func (d *durations) expected(route string, unknown time.Duration, now time.Time) time.Duration {
	d.mu.Lock()
	defer d.mu.Unlock()
	l, ok := d.longest[route]
	if !ok {
		return unknown
	}
	return l.valueAt(now)
}
