package route

import (
	"sync"
	"sync/atomic"
	"time"

	"github.com/cespare/xxhash/v2"

	"buckthornpin"
)

const (
	// minSharePerSecond is the smallest share of a limit that a router gets, in requests a
	// second, unless the limit itself is smaller. Each router can send one request at any
	// moment, so that many small shares would together exceed the limit.
	minSharePerSecond = 1
	// probesPerSecond is the rate at which requests are sent to an endpoint with a smaller
	// limit. An endpoint that gets no request can't say that its limit has ended.
	probesPerSecond = 0.25
	// burstTime is the time whose share of a limit may be sent at once.
	burstTime = 500 * time.Millisecond
	// fleetLifetime is how long limits are divided among the same routers.
	fleetLifetime = 400 * time.Millisecond
	// yieldAfter is how long a router has no request for an endpoint with a limit before it
	// yields the limits to the others. For as long after the next request it uses only the
	// share that it would have if no router yielded, because the others may not know yet.
	yieldAfter = time.Second
)

// RateLimit is the limit that an endpoint names in its answers.
type RateLimit struct {
	Endpoint    string
	Incarnation int64
	// Version rises with each change of the limit.
	Version int64
	// Limited is false if the endpoint no longer names a limit.
	Limited bool
	// PerSecond is the number of requests a second that the endpoint takes from all
	// routers together.
	PerSecond float64
}

// supersedes reports whether l replaces other. Of two changes that two routers have made
// to the same version, the stricter one wins.
func (l RateLimit) supersedes(other RateLimit) bool {
	if l.Incarnation != other.Incarnation {
		return l.Incarnation > other.Incarnation
	}
	if l.Version != other.Version {
		return l.Version > other.Version
	}
	return l.Limited && (!other.Limited || l.PerSecond < other.PerSecond)
}

// Fleet is the routers among which limits are divided.
type Fleet struct {
	// Self is the address of this router.
	Self string
	// Others are the addresses of the other living routers that use limits, Yielding those
	// of the ones that yield them.
	Others, Yielding []string
}

// RateLimits holds the limits of all endpoints and divides them among the routers. Times
// are passed in. It is safe for concurrent use, and its zero value is ready to use. The
// exported fields are set before first use.
type RateLimits struct {
	// Fleet returns the routers among which limits are divided; if nil, this router is the
	// only one.
	Fleet func(now time.Time) Fleet
	// Changed is called with each new limit; nil ignores them. heard is true if an endpoint's
	// answer named it, and false if another router reported it.
	Changed func(l RateLimit, heard bool)

	mu        sync.Mutex
	endpoints map[string]*limitedEndpoint
	// active is the number of endpoints that have a limit.
	active atomic.Int64
	// neededAt is when a request last had an endpoint with a limit to choose from, or when
	// the first limit was learned of. neededSince is when such requests began.
	neededAt, neededSince time.Time
	// sharers are the routers that limits are divided among, as of sharersAt.
	sharers   sharers
	sharersAt time.Time
}

// limitedEndpoint is the limit of one endpoint with this router's share of it.
type limitedEndpoint struct {
	limit RateLimit
	// changedAt is when this router learned of the limit.
	changedAt time.Time
	// sends is how often the limit was sent to other routers.
	sends int
	// share is this router's share in requests a second, computed from the sharers as of
	// sharedAt.
	share    float64
	sharedAt time.Time
	// room is the number of requests that may be sent at filledAt.
	room     float64
	filledAt time.Time
}

// Observe records what an endpoint's answer says to a request that was sent at sentAt. An
// answer to a request that was sent before the last change may be older than that change
// and is ignored.
func (r *RateLimits) Observe(e *buckthornpin.Endpoint, stated buckthornpin.StatedLimit, sentAt, now time.Time) {
	heard := RateLimit{Endpoint: e.ID, Incarnation: e.Incarnation, Version: 1, Limited: stated.Stated, PerSecond: stated.PerSecond}
	r.mu.Lock()
	known := r.endpoints[e.ID]
	if known != nil && known.limit.Incarnation == heard.Incarnation {
		heard.Version = known.limit.Version + 1
	}
	news := r.isNews(known, heard, sentAt)
	if news {
		r.put(heard, now)
	}
	r.mu.Unlock()
	r.reportChange(news, heard, true)
}

// isNews reports whether an answer says something else than what is known of its endpoint.
func (r *RateLimits) isNews(known *limitedEndpoint, heard RateLimit, sentAt time.Time) bool {
	if known == nil {
		return heard.Limited
	}
	if heard.Incarnation != known.limit.Incarnation {
		return heard.Incarnation > known.limit.Incarnation
	}
	same := heard.Limited == known.limit.Limited && heard.PerSecond == known.limit.PerSecond
	return !same && sentAt.After(known.changedAt)
}

// Merge records a limit that another router has reported.
func (r *RateLimits) Merge(l RateLimit, now time.Time) {
	r.mu.Lock()
	known := r.endpoints[l.Endpoint]
	news := known == nil || l.supersedes(known.limit)
	if news {
		r.put(l, now)
	}
	r.mu.Unlock()
	r.reportChange(news, l, false)
}

func (r *RateLimits) reportChange(news bool, l RateLimit, heard bool) {
	if news && r.Changed != nil {
		r.Changed(l, heard)
	}
}

// put stores a limit. The requests that may be sent at once are kept, so that a changed
// limit doesn't allow another burst. The caller holds mu.
func (r *RateLimits) put(l RateLimit, now time.Time) {
	if r.endpoints == nil {
		r.endpoints = map[string]*limitedEndpoint{}
	}
	if l.Limited && r.active.Load() == 0 {
		r.neededAt, r.neededSince = now, now
	}
	next := &limitedEndpoint{limit: l, changedAt: now, filledAt: now}
	if old := r.endpoints[l.Endpoint]; old != nil && old.limit.Limited {
		next.room, next.filledAt = old.room, old.filledAt
		r.active.Add(-1)
	}
	r.endpoints[l.Endpoint] = next
	if l.Limited {
		r.active.Add(1)
	}
}

// Yields reports whether this router yields the limits to the others, because it has had no
// request for an endpoint with a limit for some time.
func (r *RateLimits) Yields(now time.Time) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.active.Load() > 0 && now.Sub(r.neededAt) > yieldAfter
}

// All returns all limits, those that have ended included.
func (r *RateLimits) All() []RateLimit {
	r.mu.Lock()
	defer r.mu.Unlock()
	out := make([]RateLimit, 0, len(r.endpoints))
	for _, e := range r.endpoints {
		out = append(out, e.limit)
	}
	return out
}

// NextUpdates returns the limits that were sent to other routers fewer than the required
// number of times, and counts each as sent once.
func (r *RateLimits) NextUpdates(requiredSends int) []RateLimit {
	r.mu.Lock()
	defer r.mu.Unlock()
	var out []RateLimit
	for _, e := range r.endpoints {
		if e.sends < requiredSends {
			e.sends++
			out = append(out, e.limit)
		}
	}
	return out
}

// Retain forgets the limits of all endpoints but the known ones.
func (r *RateLimits) Retain(known func(endpoint string) bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for id, e := range r.endpoints {
		if known(id) {
			continue
		}
		delete(r.endpoints, id)
		if e.limit.Limited {
			r.active.Add(-1)
		}
	}
}

// Wait returns how long this router has to wait before it may send a request to an
// endpoint; 0 means that it may send one now, and UnknownWait that it has no share of the
// endpoint's limit.
func (r *RateLimits) Wait(e *buckthornpin.Endpoint, now time.Time) time.Duration {
	if r.active.Load() == 0 {
		return 0
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	l := r.limited(e)
	if l == nil {
		return 0
	}
	r.fill(l, now)
	switch {
	case l.share == 0:
		return UnknownWait
	case l.room >= 1:
		return 0
	}
	return max(time.Duration((1-l.room)/l.share*float64(time.Second)), 1)
}

// CountRequest counts a request that is sent to an endpoint. Requests that are chosen for
// it at the same moment may exceed the limit; later ones make up for that.
func (r *RateLimits) CountRequest(e *buckthornpin.Endpoint, now time.Time) {
	if r.active.Load() == 0 {
		return
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	if l := r.limited(e); l != nil {
		r.fill(l, now)
		l.room--
	}
}

// limited returns the state of an endpoint that has a limit, or nil. The caller holds mu.
func (r *RateLimits) limited(e *buckthornpin.Endpoint) *limitedEndpoint {
	l := r.endpoints[e.ID]
	if l == nil || !l.limit.Limited || e.Incarnation > l.limit.Incarnation {
		return nil
	}
	return l
}

// fill adds the requests that this router's share allows since the last call. The caller
// holds mu.
func (r *RateLimits) fill(l *limitedEndpoint, now time.Time) {
	if now.Sub(r.neededAt) > yieldAfter {
		r.neededSince = now
	}
	r.neededAt = now
	if r.sharersAt.IsZero() || now.Sub(r.sharersAt) > fleetLifetime {
		r.sharers, r.sharersAt = r.currentSharers(now), now
	}
	if !l.sharedAt.Equal(r.sharersAt) {
		l.share, l.sharedAt = shareOf(l.limit, r.sharers), r.sharersAt
	}
	elapsed := max(now.Sub(l.filledAt).Seconds(), 0)
	l.filledAt = now
	l.room = min(l.room+l.share*elapsed, max(1, l.share*burstTime.Seconds()))
}

// sharers are the routers that limits are divided among, as hashes of their addresses.
type sharers struct {
	self   uint64
	others []uint64
}

// currentSharers returns the routers that limits are divided among. Routers that yield are
// among them until the others know that this one doesn't.
func (r *RateLimits) currentSharers(now time.Time) sharers {
	if r.Fleet == nil {
		return sharers{}
	}
	f := r.Fleet(now)
	if now.Sub(r.neededSince) <= yieldAfter {
		f.Others = append(f.Others, f.Yielding...)
	}
	s := sharers{self: xxhash.Sum64String(f.Self), others: make([]uint64, 0, len(f.Others))}
	for _, router := range f.Others {
		s.others = append(s.others, xxhash.Sum64String(router))
	}
	return s
}

// shareOf returns a router's share of a limit in requests a second. A small limit is
// divided among a few routers, which are chosen by rendezvous hashing: all routers that
// know the same others choose the same ones, without exchanging a message for it, and a
// router that comes or goes changes few shares.
func shareOf(l RateLimit, s sharers) float64 {
	perSecond := max(l.PerSecond, probesPerSecond)
	n := min(max(int(perSecond/minSharePerSecond), 1), len(s.others)+1)
	if n <= len(s.others) && s.ownRank(l.Endpoint) >= n {
		return 0
	}
	return perSecond / float64(n)
}

// ownRank returns the number of other routers that come before this one for an endpoint.
func (s sharers) ownRank(endpoint string) int {
	hash := xxhash.Sum64String(endpoint)
	own, rank := mix(hash^s.self), 0
	for _, router := range s.others {
		if mix(hash^router) > own {
			rank++
		}
	}
	return rank
}
