package router

import (
	"time"

	"buckthornpin"
	"buckthornpin/endpt"
	"buckthornpin/route"
)

// ObserveLimit records what an answer says of its endpoint's limit.
func (r *Router) ObserveLimit(a endpt.Attempt, l buckthornpin.StatedLimit, sentAt time.Time) {
	e := a.Endpoint
	if l.Err != nil {
		r.Log.Warn().Str("request", a.RequestID).Str("endpoint", e.ID).Err(l.Err).Msg("endpoint's limit can't be read")
		return
	}
	heard := route.RateLimit{Endpoint: e.ID, Incarnation: e.Incarnation, Limited: l.Stated, PerSecond: l.PerSecond}
	if r.Limits.Observe(heard, sentAt, time.Now()) {
		r.Log.Info().Str("request", a.RequestID).Str("endpoint", e.ID).Bool("limited", l.Stated).Float64("per_second", l.PerSecond).
			Msg("endpoint has changed its limit")
	}
}
