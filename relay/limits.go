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

// recordLimits records whether limits are why none of the endpoints could be chosen, and
// when the first one allows a request.
func (f *flight) recordLimits(all []route.EndpointOption, now time.Time) {
	for _, o := range all {
		if !o.Limited {
			continue
		}
		f.limited = true
		if wait, ok := f.router.Limits.Wait(o.Endpoint, now); ok && (f.limitWait == 0 || wait < f.limitWait) {
			f.limitWait = wait
		}
	}
}

// retryAfterLimit returns how long the caller should wait for a limit to allow a request,
// as far as this router knows and the caller's remaining time permits.
func (f *flight) retryAfterLimit() time.Duration {
	if f.limitWait == 0 {
		return f.retryAfter()
	}
	return min(f.limitWait, f.retryAfter())
}
