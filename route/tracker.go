package route

import (
	"net/http"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"buckthornpin"
)

// Load is what is under way at an endpoint.
type Load struct {
	// Running counts requests.
	Running int
	// PromptTokens are tokens of prompts that the endpoint still has to read.
	PromptTokens int64
}

// Engine is an endpoint and what other routers have under way there.
type Engine struct {
	Endpoint *buckthornpin.Endpoint
	Others   Load
	// Most is how many requests this router may have under way there; 0 is no bound.
	Most int
}

// Part is a part of a prompt; endpoints keep parts that they have read.
type Part struct {
	ID     string
	Tokens int64
}

// Work is what a request asks of an endpoint.
type Work struct {
	// Model says that the endpoint is a model engine.
	Model bool
	// Tokens is the length of the prompt.
	Tokens int64
	// Parts are the prompt's parts; the last one belongs to this request alone.
	Parts []Part
}

const (
	// runningTokens is what one running request counts against a further one, in
	// tokens of prompt. A fit of the time to the first event on what was under way
	// found no delay by those that run (at up to 5 at an endpoint), so that it only
	// has to spread requests over endpoints that are equal otherwise.
	runningTokens = 100
	// plainTokens is the weight of one request at a plain service.
	plainTokens = 1000
	// otherZoneTokens is what a move to another zone has to save.
	otherZoneTokens = 100
	// failureTokens is what a request that fails for certain counts, in tokens of
	// prompt: it is lost to its caller, or starts over after its objective. That is
	// more than the longest prompts seen (53,000).
	failureTokens = 100_000
	// lastResort puts an endpoint that failed lately behind all others: it is more
	// than any prompt's tokens.
	lastResort = 1 << 40
	// failurePause is how long an endpoint is avoided after its first failure;
	// it doubles with each further one in a row.
	failurePause = 250 * time.Millisecond
	// longestPause bounds the pause.
	longestPause = 4 * time.Second
	// forgetAfter is the time without a request after which an endpoint is
	// forgotten.
	forgetAfter = time.Minute
	// rememberParts bounds the parts that are remembered of one endpoint.
	rememberParts = 512
)

// Tracker is what one router knows of endpoints from its own requests. Times are
// passed in. It is safe for concurrent use; its zero value is ready.
type Tracker struct {
	mu      sync.Mutex
	engines map[string]*engineState
	sweptAt time.Time
	// candidates are those of the choice under way, kept for the next one.
	candidates []ranked
}

// ranked is an endpoint in a choice.
type ranked struct {
	state *engineState
	// rank orders endpoints for the deepest shared part of a prompt (rendezvous
	// hashing).
	rank uint64
}

type engineState struct {
	// hash is that of the endpoint's id.
	hash uint64
	// incarnation is the endpoint's start that parts belong to.
	incarnation int64
	load        Load
	failures    int
	until       time.Time
	errors      errorRate
	parts       map[string]time.Time
	usedAt      time.Time
}

// follow forgets what an endpoint kept once it has started again under its id.
func (s *engineState) follow(e *buckthornpin.Endpoint) {
	if s.incarnation != e.Incarnation {
		s.incarnation = e.Incarnation
		clear(s.parts)
	}
}

// Run is a request under way at an endpoint.
type Run struct {
	tracker  *Tracker
	endpoint string
	tokens   int64
	ended    bool
	// Missing are the tokens of the prompt that the endpoint wasn't known to keep,
	// Before what it had under way for this router when the request was sent.
	Missing int64
	Before  Load
}

func (t *Tracker) state(id string) *engineState {
	if t.engines == nil {
		t.engines = map[string]*engineState{}
	}
	s := t.engines[id]
	if s == nil {
		s = &engineState{hash: xxhash.Sum64String(id), parts: map[string]time.Time{}}
		t.engines[id] = s
	}
	return s
}

// Choice is an endpoint and the tokens of the prompt that it is expected to read.
type Choice struct {
	Endpoint *buckthornpin.Endpoint
	Missing  int64
}

// Start notes that a request is sent to the chosen endpoint.
func (t *Tracker) Start(c Choice, w Work, now time.Time) *Run {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.forgetIdle(now)
	id := c.Endpoint.ID
	s := t.state(id)
	s.usedAt = now
	r := &Run{tracker: t, endpoint: id, tokens: c.Missing, Missing: c.Missing, Before: s.load}
	s.load.Running++
	s.load.PromptTokens += r.tokens
	for _, p := range w.Parts {
		s.parts[p.ID] = now
	}
	s.forgetOldest()
	return r
}

// forgetIdle drops endpoints without a request for long: most of them are gone, and
// others have read much else since. The caller holds mu.
func (t *Tracker) forgetIdle(now time.Time) {
	if now.Sub(t.sweptAt) < forgetAfter {
		return
	}
	t.sweptAt = now
	for id, s := range t.engines {
		if s.load.Running == 0 && now.Sub(s.usedAt) > forgetAfter {
			delete(t.engines, id)
		}
	}
}

// forgetOldest keeps the number of remembered parts bounded.
func (s *engineState) forgetOldest() {
	for len(s.parts) > rememberParts {
		oldest, at := "", time.Time{}
		for id, seen := range s.parts {
			if oldest == "" || seen.Before(at) {
				oldest, at = id, seen
			}
		}
		delete(s.parts, oldest)
	}
}

// missing returns the tokens of a prompt that the endpoint isn't known to keep.
// A part is of use only if all parts before it are kept too.
func (s *engineState) missing(w Work) int64 {
	left := w.Tokens
	for _, p := range w.Parts {
		if _, ok := s.parts[p.ID]; !ok {
			break
		}
		left -= p.Tokens
	}
	return max(left, 0)
}

// Begun notes that the endpoint has read the prompt. It reports whether that is
// news.
func (r *Run) Begun() bool {
	r.tracker.mu.Lock()
	defer r.tracker.mu.Unlock()
	news := r.tokens > 0
	r.tracker.state(r.endpoint).load.PromptTokens -= r.tokens
	r.tokens = 0
	return news
}

// End notes that the request is no longer under way.
func (r *Run) End() {
	r.Begun()
	r.tracker.mu.Lock()
	defer r.tracker.mu.Unlock()
	if r.ended {
		return
	}
	r.ended = true
	r.tracker.state(r.endpoint).load.Running--
}

// Failed notes that the endpoint didn't answer as it should: it is avoided for a
// while.
func (t *Tracker) Failed(id string, now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	s := t.state(id)
	pause := min(failurePause<<min(s.failures, 10), longestPause)
	s.failures++
	s.until = now.Add(pause)
}

// Answered notes a whole answer and its status.
func (t *Tracker) Answered(id string, status int, now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	s := t.state(id)
	s.errors.note(status >= http.StatusInternalServerError, now)
	if status < http.StatusInternalServerError {
		s.failures = 0
	}
}

// Loads returns what is under way, by endpoint.
func (t *Tracker) Loads() map[string]Load {
	t.mu.Lock()
	defer t.mu.Unlock()
	out := map[string]Load{}
	for id, s := range t.engines {
		if s.load.Running > 0 {
			out[id] = s.load
		}
	}
	return out
}

// Choose returns the endpoint at which the request is expected to begin first;
// ok is false where there is none. Endpoints that failed lately come last; one that
// has as many requests of this router as it may have gets none.
func (t *Tracker) Choose(all []Engine, w Work, zone string, now time.Time) (best Choice, ok bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	var bestCost int64
	var bestRank uint64
	t.rank(all, w)
	home := t.home(w)
	for i, e := range all {
		s, rank := t.candidates[i].state, t.candidates[i].rank
		s.follow(e.Endpoint)
		if e.Most > 0 && s.load.Running >= e.Most {
			continue
		}
		missing := s.expected(w, i == home)
		cost := s.cost(e, w, missing)
		if e.Endpoint.Zone != zone {
			cost += otherZoneTokens
		}
		cost += int64(s.errors.at(now) * failureTokens)
		if now.Before(s.until) {
			cost += lastResort
		}
		if !ok || cost < bestCost || cost == bestCost && rank > bestRank {
			best, bestCost, bestRank, ok = Choice{Endpoint: e.Endpoint, Missing: missing}, cost, rank, true
		}
	}
	return best, ok
}

// expected returns the tokens of a prompt that an endpoint is expected to read.
// The home of a prompt's shared parts is expected to keep them, as other routers
// send there too.
func (s *engineState) expected(w Work, home bool) int64 {
	if !w.Model {
		return 0
	}
	if home {
		return min(s.missing(w), ownTokens(w))
	}
	return s.missing(w)
}

// cost is the work before the request at an endpoint and its own, in tokens of
// prompt.
func (s *engineState) cost(e Engine, w Work, missing int64) int64 {
	running := int64(s.load.Running + e.Others.Running)
	if !w.Model {
		return running * plainTokens / int64(max(e.Endpoint.Capacity, 1))
	}
	return missing + s.load.PromptTokens + e.Others.PromptTokens + running*runningTokens
}

// ownTokens is the part of a prompt that no other request shares.
func ownTokens(w Work) int64 {
	if len(w.Parts) == 0 {
		return w.Tokens
	}
	return w.Parts[len(w.Parts)-1].Tokens
}

// home returns the index of the endpoint that all routers prefer for the deepest
// shared part of a prompt, the one of highest rank; -1 where the prompt shares nothing.
// The caller holds mu.
func (t *Tracker) home(w Work) int {
	if len(w.Parts) < 2 {
		return -1
	}
	home := -1
	for i, c := range t.candidates {
		if home < 0 || c.rank > t.candidates[home].rank {
			home = i
		}
	}
	return home
}

// rank makes the candidates of a choice. The caller holds mu.
func (t *Tracker) rank(all []Engine, w Work) {
	subject := uint64(0)
	if n := len(w.Parts); n > 1 {
		subject = xxhash.Sum64String(w.Parts[n-2].ID)
	}
	t.candidates = t.candidates[:0]
	for _, e := range all {
		s := t.state(e.Endpoint.ID)
		t.candidates = append(t.candidates, ranked{state: s, rank: mix(subject ^ s.hash)})
	}
}
