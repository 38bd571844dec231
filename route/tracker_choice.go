package route

import (
	"time"

	"github.com/cespare/xxhash/v2"

	"buckthornpin"
)

const (
	// runningRequestTokens is the cost of a request in progress to a further request, in
	// prompt tokens. Running requests hardly delay the first event, so that the cost only
	// has to spread requests over endpoints that are otherwise equal.
	runningRequestTokens = 100
	// plainRequestTokens is the cost of a request in progress at a plain service. It is
	// divided by the endpoint's capacity.
	plainRequestTokens = 1000
	// otherZoneTokens is the cost of an endpoint in another zone, in prompt tokens: choosing
	// it has to save that much.
	otherZoneTokens = 100
	// failureTokens is the cost of a request that is certain to fail, in prompt tokens.
	// Such a request is lost to its caller or starts again too late to meet its
	// objective, so that the cost exceeds that of the longest prompts.
	failureTokens = 100_000
	// lastResortTokens is the cost of an endpoint that is avoided after failures. It
	// exceeds the tokens of any prompt, so that all other endpoints come first.
	lastResortTokens = 1 << 40
)

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

// Choice is an endpoint with the number of prompt tokens that it is expected to read.
type Choice struct {
	Endpoint       *buckthornpin.Endpoint
	UncachedTokens int64
	// Obstacles are what kept the request from other endpoints.
	Obstacles Obstacles
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
