package relay

import "buckthornpin"

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
	l.Dur("for_ms", a.Pause.For).Msg("endpoint wants no requests for a time")
}
