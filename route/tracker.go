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
