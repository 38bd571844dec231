package peer

import (
	"time"

	"buckthornpin/route"
	"buckthornpin/wire"
)

// nextLimits returns the changed limits that still have to be sent, and counts each as sent
// once.
func nextLimits(limits *route.RateLimits, d *Directory) []*wire.LimitState {
	return limitStates(limits.NextUpdates(d.RequiredSends()))
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

// mergeLimits merges the limits that another process has reported, except for those of
// endpoints that this process doesn't know. A limit is forgotten with its endpoint, and
// reports of processes that still have it must not bring it back.
func mergeLimits(limits *route.RateLimits, d *Directory, states []*wire.LimitState, now time.Time) {
	for _, s := range states {
		if !d.Has(s.GetEndpoint()) {
			continue
		}
		limits.Merge(route.RateLimit{
			Endpoint: s.GetEndpoint(), Incarnation: s.GetIncarnation(), Version: s.GetVersion(), Limited: s.GetLimited(), PerSecond: s.GetPerSecond(),
		}, now)
	}
}
