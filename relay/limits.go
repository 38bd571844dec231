package relay

import (
	"time"

	"buckthornpin"
	"buckthornpin/route"
)

// observeLimit records what an answer says of its endpoint's limit. An answer that names
// none ends the limit if the endpoint ran the request.
func (f *flight) observeLimit(e *buckthornpin.Endpoint, a *Answer) {
	if a.Misdirected || !a.Limit.Stated && !a.Signed {
		return
	}
	if a.Limit.Err != nil {
		f.router.Log.Warn().Str("request", f.request.ID).Str("endpoint", e.ID).Err(a.Limit.Err).Msg("endpoint's limit can't be read")
		return
	}
	f.router.Limits.Observe(e, a.Limit, f.attemptStart, f.headerAt)
}

// observePause records that an endpoint wants no requests for a time.
func (f *flight) observePause(e *buckthornpin.Endpoint, a *Answer) {
	if a.Misdirected || a.Pause == (buckthornpin.StatedPause{}) {
		return
	}
	l := f.router.Log.Info().Str("request", f.request.ID).Str("endpoint", e.ID)
	if a.Pause.Err != nil {
		l.Err(a.Pause.Err).Msg("endpoint's pause can't be read")
		return
	}
	f.router.tracker.RecordPause(e, f.headerAt.Add(a.Pause.For), f.headerAt)
	if a.Pause.For > 0 {
		f.paused = true
		f.limitWait = shorterWait(f.limitWait, a.Pause.For)
	}
	l.Dur("for_ms", a.Pause.For).Msg("endpoint wants no requests for a time")
}

// recordLimits records whether limits or pauses are why none of the endpoints could be
// chosen, and when the first one allows a request.
func (f *flight) recordLimits(all []route.EndpointOption, now time.Time) {
	for _, o := range all {
		if left := f.router.tracker.PauseLeft(o.Endpoint, now); left > 0 {
			f.paused = true
			f.limitWait = shorterWait(f.limitWait, left)
			continue
		}
		if !o.Limited {
			continue
		}
		f.limited = true
		if wait, ok := f.router.Limits.Wait(o.Endpoint, now); ok {
			f.limitWait = shorterWait(f.limitWait, wait)
		}
	}
}

// shorterWait returns the shorter one of two times, of which the first is 0 if unknown.
func shorterWait(known, wait time.Duration) time.Duration {
	if known == 0 {
		return wait
	}
	return min(known, wait)
}

// retryAfterLimit returns how long the caller should wait for a limit to allow a request,
// as far as this router knows and the caller's remaining time permits.
func (f *flight) retryAfterLimit() time.Duration {
	if f.limitWait == 0 {
		return f.retryAfter()
	}
	return min(f.limitWait, f.retryAfter())
}
