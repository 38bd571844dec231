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

// ObservePause records that an endpoint wants no requests from this router for a time.
func (r *Router) ObservePause(a endpt.Attempt, p buckthornpin.StatedPause) {
	l := r.Log.Info().Str("request", a.RequestID).Str("endpoint", a.Endpoint.ID)
	if p.Err != nil {
		l.Err(p.Err).Msg("endpoint's pause can't be read")
		return
	}
	r.slots.pause(&a.Endpoint, time.Now().Add(p.For))
	l.Dur("for_ms", p.For).Msg("endpoint wants no requests for a time")
}

// ObserveLeaving records that an endpoint takes no new work in this incarnation.
func (r *Router) ObserveLeaving(a endpt.Attempt) {
	r.Directory.MarkLeaving(a.Endpoint.ID, a.Endpoint.Incarnation)
}
