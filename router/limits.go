package router

import (
	"time"

	"buckthornpin"
	"buckthornpin/endpt"
)

// ObserveLimit records what an answer says of its endpoint's limit.
func (r *Router) ObserveLimit(a endpt.Attempt, l buckthornpin.StatedLimit, sentAt time.Time) {
	if l.Err != nil {
		r.Log.Warn().Str("request", a.RequestID).Str("endpoint", a.Endpoint.ID).Err(l.Err).Msg("endpoint's limit can't be read")
		return
	}
	r.Limits.Observe(&a.Endpoint, l, sentAt, time.Now())
}
