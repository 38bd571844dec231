package route

import (
	"net/http"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"buckthornpin"
)

// Load is the work in progress at an endpoint.
type Load struct {
	// Running is the number of requests in progress.
	Running int
	// PromptTokens is the number of prompt tokens that the endpoint still has to read.
	PromptTokens int64
}

// EndpointOption is an endpoint with the work that other routers have in progress there.
type EndpointOption struct {
	Endpoint       *buckthornpin.Endpoint
	LoadFromOthers Load
	// MaxRunning is the largest number of requests that this router may have in progress there;
	// 0 means no limit.
	MaxRunning int
	// Tried is true if the request was sent to the endpoint before.
	Tried bool
	// LimitWait is how long the endpoint's limit keeps requests of this router away; 0 if it
	// doesn't.
	LimitWait time.Duration
}

// PromptPart is a part of a prompt. Endpoints keep the parts that they have read, so that they
// needn't read them again.
type PromptPart struct {
	ID     string
	Tokens int64
}

// Work describes what a request requires of an endpoint.
type Work struct {
	// ModelEngine is true if the endpoints are model engines rather than plain services.
	ModelEngine bool
	// PromptTokens is the length of the prompt in tokens.
	PromptTokens int64
	// PromptParts are the parts of the prompt in order. The last one belongs to this request
	// alone.
	PromptParts []PromptPart
}

const (
	// runningRequestTokens is the cost of a request in progress to a further request, in
	// prompt tokens. A regression of the time to the first event on the work in progress
	// found no delay caused by running requests, with up to 5 at an endpoint. The cost
	// therefore only has to spread requests over endpoints that are otherwise equal.
	runningRequestTokens = 100
	// plainRequestTokens is the cost of a request in progress at a plain service. It is
	// divided by the endpoint's capacity.
	plainRequestTokens = 1000
	// otherZoneTokens is the cost of an endpoint in another zone, in prompt tokens: choosing
	// it has to save that much.
	otherZoneTokens = 100
	// failureTokens is the cost of a request that is certain to fail, in prompt tokens.
	// Such a request is lost to its caller or starts again too late to meet its
	// objective, so that the cost exceeds the longest prompts seen (53,000 tokens).
	failureTokens = 100_000
	// lastResortTokens is the cost of an endpoint that is avoided after failures. It
	// exceeds the tokens of any prompt, so that all other endpoints come first.
	lastResortTokens = 1 << 40
	// minAvoidance is how long an endpoint is avoided after its first failure. The time
	// doubles with each further failure in a row.
	minAvoidance = 250 * time.Millisecond
	// maxAvoidance bounds the time for which an endpoint is avoided.
	maxAvoidance = 4 * time.Second
	// idleExpiry is the time without a request after which the state of an endpoint is
	// dropped.
	idleExpiry = time.Minute
	// maxParts bounds the number of parts that are remembered for one endpoint.
	maxParts = 512
)

// Tracker records what one router knows of endpoints from its own requests. Times are
// passed in. It is safe for concurrent use, and its zero value is ready to use.
type Tracker struct {
	mu        sync.Mutex
	endpoints map[string]*endpointState
	sweptAt   time.Time
	// candidates holds the candidates of the current choice. The slice is kept to be
	// reused by the next one.
	candidates []rankedEndpoint
}

// rankedEndpoint is a candidate of a choice.
type rankedEndpoint struct {
	option *EndpointOption
	state  *endpointState
	// rank orders the endpoints for the last shared part of a prompt (rendezvous
	// hashing).
	rank uint64
	// available is false if an obstacle keeps the request from the endpoint now.
	available bool
}

type endpointState struct {
	// hash is the hash of the endpoint's id.
	hash uint64
	// incarnation is the incarnation of the endpoint that has read the parts.
	incarnation int64
	load        Load
	failures    int
	avoidUntil  time.Time
	errors      errorRate
	parts       map[string]time.Time
	usedAt      time.Time
	// pausedUntil is the time until which the endpoint wants no requests.
	pausedUntil time.Time
}

// forgetAfterRestart forgets the parts of an endpoint that has restarted under its id.
func (s *endpointState) forgetAfterRestart(e *buckthornpin.Endpoint) {
	if s.incarnation != e.Incarnation {
		s.incarnation = e.Incarnation
		s.pausedUntil = time.Time{}
		clear(s.parts)
	}
}

// Run is a request in progress at an endpoint.
type Run struct {
	tracker      *Tracker
	endpoint     string
	unreadTokens int64
	ended        bool
	// UncachedTokens is the number of prompt tokens that the endpoint was expected to read.
	// LoadAtStart is the work that the endpoint had in progress for this router when the
	// request was sent.
	UncachedTokens int64
	LoadAtStart    Load
}

func (t *Tracker) state(id string) *endpointState {
	if t.endpoints == nil {
		t.endpoints = map[string]*endpointState{}
	}
	s := t.endpoints[id]
	if s == nil {
		s = &endpointState{hash: xxhash.Sum64String(id), parts: map[string]time.Time{}}
		t.endpoints[id] = s
	}
	return s
}

// Choice is an endpoint with the number of prompt tokens that it is expected to read.
type Choice struct {
	Endpoint       *buckthornpin.Endpoint
	UncachedTokens int64
	// Obstacles are what kept the request from other endpoints.
	Obstacles Obstacles
}

// Start records that a request is sent to the chosen endpoint.
func (t *Tracker) Start(c Choice, w Work, now time.Time) *Run {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.forgetIdle(now)
	id := c.Endpoint.ID
	s := t.state(id)
	s.usedAt = now
	r := &Run{tracker: t, endpoint: id, unreadTokens: c.UncachedTokens, UncachedTokens: c.UncachedTokens, LoadAtStart: s.load}
	s.load.Running++
	s.load.PromptTokens += r.unreadTokens
	for _, p := range w.PromptParts {
		s.parts[p.ID] = now
	}
	s.forgetOldest()
	return r
}

// forgetIdle drops the state of endpoints that have had no request for idleExpiry. Most of
// them no longer exist, and the others have read many other prompts since. The caller
// holds mu.
func (t *Tracker) forgetIdle(now time.Time) {
	if now.Sub(t.sweptAt) < idleExpiry {
		return
	}
	t.sweptAt = now
	for id, s := range t.endpoints {
		if s.load.Running == 0 && now.Sub(s.usedAt) > idleExpiry && !now.Before(s.pausedUntil) {
			delete(t.endpoints, id)
		}
	}
}

// forgetOldest drops the oldest parts beyond maxParts.
func (s *endpointState) forgetOldest() {
	for len(s.parts) > maxParts {
		oldest, at := "", time.Time{}
		for id, seen := range s.parts {
			if oldest == "" || seen.Before(at) {
				oldest, at = id, seen
			}
		}
		delete(s.parts, oldest)
	}
}

// uncachedTokens returns the number of prompt tokens that the endpoint isn't known to
// keep. A part saves reading only if the endpoint keeps all parts before it too.
func (s *endpointState) uncachedTokens(w Work) int64 {
	tokens := w.PromptTokens
	for _, p := range w.PromptParts {
		if _, ok := s.parts[p.ID]; !ok {
			break
		}
		tokens -= p.Tokens
	}
	return max(tokens, 0)
}

// MarkPromptRead records that the endpoint has read the prompt. It reports whether this changes
// the load.
func (r *Run) MarkPromptRead() bool {
	r.tracker.mu.Lock()
	defer r.tracker.mu.Unlock()
	changed := r.unreadTokens > 0
	r.tracker.state(r.endpoint).load.PromptTokens -= r.unreadTokens
	r.unreadTokens = 0
	return changed
}

// End records that the request is no longer in progress.
func (r *Run) End() {
	r.MarkPromptRead()
	r.tracker.mu.Lock()
	defer r.tracker.mu.Unlock()
	if r.ended {
		return
	}
	r.ended = true
	r.tracker.state(r.endpoint).load.Running--
}

// RecordFailure records that the endpoint gave no proper answer. The endpoint is then avoided
// for some time.
func (t *Tracker) RecordFailure(id string, now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	s := t.state(id)
	avoidance := min(minAvoidance<<min(s.failures, 10), maxAvoidance)
	s.failures++
	s.avoidUntil = now.Add(avoidance)
}

// RecordAnswer records a complete answer and its HTTP status.
func (t *Tracker) RecordAnswer(id string, status int, now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	s := t.state(id)
	s.errors.record(status >= http.StatusInternalServerError, now)
	if status < http.StatusInternalServerError {
		s.failures = 0
	}
}

// RecordPause records that an endpoint wants no requests from this router until a time. Of
// several such times, the latest counts.
func (t *Tracker) RecordPause(e *buckthornpin.Endpoint, until, now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	s := t.state(e.ID)
	s.forgetAfterRestart(e)
	s.usedAt = now
	if until.After(s.pausedUntil) {
		s.pausedUntil = until
	}
}

// Loads returns this router's work in progress by endpoint id.
func (t *Tracker) Loads() map[string]Load {
	t.mu.Lock()
	defer t.mu.Unlock()
	out := map[string]Load{}
	for id, s := range t.endpoints {
		if s.load.Running > 0 {
			out[id] = s.load
		}
	}
	return out
}

// Choose returns the endpoint at which the request is expected to start first; ok is
// false if none is available, and the obstacles then say why. Endpoints that failed recently come
// last. One whose announcements have ceased may only be cut off from control, and is the last
// resort.
func (t *Tracker) Choose(all []EndpointOption, w Work, zone string, now time.Time) (best Choice, ok bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	var bestCost int64
	var bestRank uint64
	var obstacles Obstacles
	t.rankCandidates(all, w, now, &obstacles)
	preferred := t.preferred(w)
	for i, c := range t.candidates {
		if !c.available {
			continue
		}
		e, s, rank := c.option, c.state, c.rank
		uncached := s.expectedUncachedTokens(w, i == preferred)
		cost := s.cost(e, w, uncached)
		if e.Endpoint.Zone != zone {
			cost += otherZoneTokens
		}
		cost += int64(s.errors.at(now) * failureTokens)
		if now.Before(s.avoidUntil) {
			cost += lastResortTokens
		}
		if !ok || cost < bestCost || cost == bestCost && rank > bestRank {
			best, bestCost, bestRank, ok = Choice{Endpoint: e.Endpoint, UncachedTokens: uncached}, cost, rank, true
		}
	}
	best.Obstacles = obstacles
	return best, ok
}

// expectedUncachedTokens returns the number of prompt tokens that an endpoint is expected
// to read. The endpoint that is preferred for a prompt's shared parts is expected to keep
// them, as other routers send them there too.
func (s *endpointState) expectedUncachedTokens(w Work, preferred bool) int64 {
	if !w.ModelEngine {
		return 0
	}
	if preferred {
		return min(s.uncachedTokens(w), unsharedTokens(w))
	}
	return s.uncachedTokens(w)
}

// cost returns the work ahead of the request at an endpoint plus its own, in prompt
// tokens.
func (s *endpointState) cost(e *EndpointOption, w Work, uncached int64) int64 {
	running := int64(s.load.Running + e.LoadFromOthers.Running)
	if !w.ModelEngine {
		return running * plainRequestTokens / int64(max(e.Endpoint.Capacity, 1))
	}
	return uncached + s.load.PromptTokens + e.LoadFromOthers.PromptTokens + running*runningRequestTokens
}

// unsharedTokens returns the number of prompt tokens that no other request shares.
func unsharedTokens(w Work) int64 {
	if len(w.PromptParts) == 0 {
		return w.PromptTokens
	}
	return w.PromptParts[len(w.PromptParts)-1].Tokens
}

// preferred returns the index of the endpoint that all routers prefer for the last shared
// part of a prompt, which is the one of the highest rank, or -1 if the prompt has no
// shared part. The caller holds mu.
func (t *Tracker) preferred(w Work) int {
	if len(w.PromptParts) < 2 {
		return -1
	}
	preferred := -1
	for i, c := range t.candidates {
		if preferred < 0 || c.rank > t.candidates[preferred].rank {
			preferred = i
		}
	}
	return preferred
}

// rankCandidates fills candidates for a choice with the endpoints to which the request hasn't
// been sent and that may still take work, and counts the others as obstacles. The caller holds mu.
func (t *Tracker) rankCandidates(all []EndpointOption, w Work, now time.Time, obstacles *Obstacles) {
	partHash := uint64(0)
	if n := len(w.PromptParts); n > 1 {
		partHash = xxhash.Sum64String(w.PromptParts[n-2].ID)
	}
	takeSilent := allSilent(all)
	t.candidates = t.candidates[:0]
	for i := range all {
		e := &all[i]
		s := t.state(e.Endpoint.ID)
		s.forgetAfterRestart(e.Endpoint)
		signals := Signals{
			Endpoint: e.Endpoint, Tried: e.Tried, TakeSilent: takeSilent, PausedUntil: s.pausedUntil, LimitWait: e.LimitWait,
			Full: e.MaxRunning > 0 && s.load.Running >= e.MaxRunning,
		}
		a := signals.Availability(now)
		if a.Obstacle != NoObstacle {
			obstacles.add(a)
		}
		if !e.Endpoint.Leaving && !e.Tried && (takeSilent || !e.Endpoint.Dead) {
			t.candidates = append(t.candidates, rankedEndpoint{option: e, state: s, rank: mix(partHash ^ s.hash), available: a.Obstacle == NoObstacle})
		}
	}
}

// allSilent reports whether none of the endpoints that could be asked has announced itself
// recently.
func allSilent(all []EndpointOption) bool {
	for i := range all {
		if e := &all[i]; !e.Endpoint.Leaving && !e.Tried && !e.Endpoint.Dead {
			return false
		}
	}
	return true
}
