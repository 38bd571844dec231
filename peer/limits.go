package peer

import (
	"time"

	"buckthornpin/route"
	"buckthornpin/wire"
)

// changedLimits returns the changes of limits that still have to be sent.
func (m *Mesh) changedLimits() []*wire.LimitState {
	if m.Limits == nil {
		return nil
	}
	return limitStates(m.Limits.NextUpdates())
}

func (m *Mesh) allLimits() []*wire.LimitState {
	if m.Limits == nil {
		return nil
	}
	return limitStates(m.Limits.All())
}

func limitStates(all []route.RateLimit) []*wire.LimitState {
	out := make([]*wire.LimitState, 0, len(all))
	for _, l := range all {
		out = append(out, &wire.LimitState{
			Endpoint: l.Endpoint, Incarnation: l.Incarnation, Version: l.Version, Limited: l.Limited, PerSecond: l.PerSecond,
		})
	}
	return out
}

func rateLimits(states []*wire.LimitState) []route.RateLimit {
	out := make([]route.RateLimit, 0, len(states))
	for _, s := range states {
		out = append(out, route.RateLimit{
			Endpoint: s.GetEndpoint(), Incarnation: s.GetIncarnation(), Version: s.GetVersion(), Limited: s.GetLimited(), PerSecond: s.GetPerSecond(),
		})
	}
	return out
}

// mergeLimits merges the limits that another router has reported and passes changes on at
// once.
func (m *Mesh) mergeLimits(states []*wire.LimitState, now time.Time) {
	if m.Limits == nil {
		return
	}
	for _, l := range rateLimits(states) {
		if m.Limits.Merge(l, now) {
			m.Log.Info().Str("endpoint", l.Endpoint).Bool("limited", l.Limited).Float64("per_second", l.PerSecond).Int64("version", l.Version).
				Msg("another router has heard a limit")
			m.LoadChanged()
		}
	}
}
