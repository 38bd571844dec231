package peer

import (
	"time"

	"buckthornpin/route"
	"buckthornpin/wire"
)

func limitStates(all []route.RateLimit) []*wire.LimitState {
	out := make([]*wire.LimitState, 0, len(all))
	for _, l := range all {
		out = append(out, &wire.LimitState{
			Endpoint: l.Endpoint, Incarnation: l.Incarnation, Version: l.Version, Limited: l.Limited, PerSecond: l.PerSecond,
		})
	}
	return out
}

// mergeLimits merges the limits that another process has reported.
func mergeLimits(limits *route.RateLimits, states []*wire.LimitState, now time.Time) {
	for _, s := range states {
		limits.Merge(route.RateLimit{
			Endpoint: s.GetEndpoint(), Incarnation: s.GetIncarnation(), Version: s.GetVersion(), Limited: s.GetLimited(), PerSecond: s.GetPerSecond(),
		}, now)
	}
}
