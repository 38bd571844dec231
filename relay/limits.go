package relay

import (
	"time"

	"buckthornpin"
	"buckthornpin/route"
)

// observeLimit records what an answer says of its endpoint's limit. An answer that names
// none ends the limit if the endpoint ran the request.
func (f *flight) observeLimit(e *buckthornpin.Endpoint, a *Answer, now time.Time) {
	r, l := f.router, a.Limit
	if r.Limits == nil || a.Misdirected || !l.Stated && !a.Signed {
		return
	}
	if l.Err != nil {
		r.Log.Warn().Str("request", f.request.ID).Str("endpoint", e.ID).Err(l.Err).Msg("endpoint's limit can't be read")
		return
	}
	heard := route.RateLimit{Endpoint: e.ID, Incarnation: e.Incarnation, Limited: l.Stated, PerSecond: l.PerSecond}
	if !r.Limits.Observe(heard, f.attemptStart, now) {
		return
	}
	r.Log.Info().Str("request", f.request.ID).Str("endpoint", e.ID).Bool("limited", l.Stated).Float64("per_second", l.PerSecond).
		Msg("endpoint has changed its limit")
	if r.LimitChanged != nil {
		r.LimitChanged()
	}
}

// withinLimits returns the endpoints to which this router may send a request now, and how
// long it has to wait for the first of the others, or 0 if it has no share of their limits.
func (r *Router) withinLimits(all []route.EndpointOption, now time.Time) (usable []route.EndpointOption, wait time.Duration) {
	if r.Limits == nil || !r.Limits.Active() {
		return all, 0
	}
	fleet := r.Fleet(now)
	for _, o := range all {
		d, ok := r.Limits.Wait(o.Endpoint, fleet, now)
		switch {
		case ok && d == 0:
			usable = append(usable, o)
		case ok && (wait == 0 || d < wait):
			wait = d
		}
	}
	return usable, wait
}
