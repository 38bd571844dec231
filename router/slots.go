package router

import (
	"container/heap"
	"context"
	"sync"
	"time"

	"buckthornpin"
	"buckthornpin/route"
)

const (
	// minOpenTime and maxOpenTime bound how long the circuit breaker of a failing endpoint
	// stays open, so that it gets no new work. Each further failure in a row doubles the time.
	minOpenTime = 250 * time.Millisecond
	maxOpenTime = 10 * time.Second
	// queueCheckInterval is how often waiting requests check the endpoints for a free slot
	// without a notification.
	queueCheckInterval = 100 * time.Millisecond
)

// Directory lists the endpoints of a target.
type Directory interface {
	// Serving returns the endpoints that serve a target. The values are shared and must
	// not be changed.
	Serving(t buckthornpin.Target) []*buckthornpin.Endpoint
	MarkLeaving(id string, incarnation int64)
}

// slots assigns the endpoints' slots to requests: at once if one is free, otherwise by
// priority, deadline and arrival.
type slots struct {
	directory Directory
	zone      string
	maxQueue  int
	denied    func() []string
	now       func() time.Time
	limits    *route.RateLimits

	mu      sync.Mutex
	loads   map[string]*endpointLoad
	waiting waitQueue
	seed    uint64
	scratch []route.Candidate
}

// endpointLoad is what this router knows about one endpoint from its own requests.
type endpointLoad struct {
	inFlight  int
	failures  int
	openUntil time.Time
	// pausedUntil is the time until which an incarnation of the endpoint wants no requests.
	pausedUntil       time.Time
	pausedIncarnation int64
}

// slot is the right to run one request on an endpoint. It must be released exactly once.
type slot struct {
	endpoint *buckthornpin.Endpoint
	pool     *slots
}

// waiter is a request that waits for a slot.
type waiter struct {
	target   buckthornpin.Target
	tried    map[string]bool
	priority int
	deadline time.Time
	arrival  uint64
	index    int
	granted  chan slot
}

// pause records that an endpoint wants no requests until a time. Of several such times, the
// latest counts.
func (s *slots) pause(e *buckthornpin.Endpoint, until time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	l := s.loadOf(e.ID)
	if l.pausedIncarnation != e.Incarnation || until.After(l.pausedUntil) {
		l.pausedIncarnation, l.pausedUntil = e.Incarnation, until
	}
}

// acquire returns a slot for the request, or the outcome of the choice that says why there is
// none. It waits for a slot until ctx ends, unless the queue is full or waiting can't help.
func (s *slots) acquire(ctx context.Context, r buckthornpin.Request, tried map[string]bool) (slot, route.Outcome) {
	s.mu.Lock()
	got, outcome := s.chooseEndpoint(r.Target, tried)
	if outcome.Verdict == route.Chosen || outcome.Verdict == route.Limited || outcome.Verdict == route.Paused || len(s.waiting) >= s.maxQueue {
		s.mu.Unlock()
		return got, outcome
	}
	s.seed++
	w := &waiter{target: r.Target, tried: tried, priority: r.Priority, deadline: r.Deadline, arrival: s.seed, granted: make(chan slot, 1)}
	heap.Push(&s.waiting, w)
	s.mu.Unlock()
	return s.wait(ctx, w, outcome)
}

func (s *slots) wait(ctx context.Context, w *waiter, outcome route.Outcome) (slot, route.Outcome) {
	check := time.NewTicker(queueCheckInterval)
	defer check.Stop()
	for {
		select {
		case got := <-w.granted:
			return got, route.Outcome{Verdict: route.Chosen}
		case <-check.C:
			s.grant()
		case <-ctx.Done():
			return s.leave(w, outcome)
		}
	}
}

// leave removes the waiter from the queue and releases a slot that was granted meanwhile.
func (s *slots) leave(w *waiter, outcome route.Outcome) (slot, route.Outcome) {
	s.mu.Lock()
	if w.index >= 0 {
		heap.Remove(&s.waiting, w.index)
	}
	s.mu.Unlock()
	select {
	case got := <-w.granted:
		got.release(true)
	default:
	}
	return slot{}, outcome
}

// grant gives free slots to waiting requests.
func (s *slots) grant() {
	s.mu.Lock()
	defer s.mu.Unlock()
	var stillWaiting []*waiter
	full := map[buckthornpin.Target]bool{}
	for len(s.waiting) > 0 {
		w := heap.Pop(&s.waiting).(*waiter)
		if full[w.target] {
			stillWaiting = append(stillWaiting, w)
			continue
		}
		got, outcome := s.chooseEndpoint(w.target, w.tried)
		if outcome.Verdict != route.Chosen {
			full[w.target] = true
			stillWaiting = append(stillWaiting, w)
			continue
		}
		w.granted <- got
	}
	for _, w := range stillWaiting {
		heap.Push(&s.waiting, w)
	}
}

// chooseEndpoint chooses an endpoint and counts the request on it. The caller holds mu.
func (s *slots) chooseEndpoint(target buckthornpin.Target, tried map[string]bool) (slot, route.Outcome) {
	s.seed++
	s.scratch = s.scratch[:0]
	now := s.now()
	for _, e := range s.directory.Serving(target) {
		c := route.Candidate{Endpoint: e, Tried: tried[e.ID], LimitWait: s.limits.Wait(e, now)}
		if l := s.loads[e.ID]; l != nil {
			c.InFlight, c.OpenUntil = l.inFlight, l.openUntil
			if l.pausedIncarnation == e.Incarnation {
				c.PausedUntil = l.pausedUntil
			}
		}
		s.scratch = append(s.scratch, c)
	}
	outcome := route.Choose(s.scratch, route.Query{
		Target: target, Zone: s.zone, Now: now, Denied: s.denied(), Seed: s.seed,
	})
	if outcome.Verdict != route.Chosen {
		return slot{}, outcome
	}
	e := s.scratch[outcome.Index].Endpoint
	s.limits.CountRequest(e, now)
	s.loadOf(e.ID).inFlight++
	return slot{endpoint: e, pool: s}, outcome
}

// loadOf returns the load of an endpoint, creating it if it is missing. The caller holds mu.
func (s *slots) loadOf(id string) *endpointLoad {
	l, ok := s.loads[id]
	if !ok {
		l = &endpointLoad{}
		s.loads[id] = l
	}
	return l
}

// release frees the slot and records whether the endpoint worked properly. A failure opens
// the endpoint's circuit breaker.
func (s slot) release(healthy bool) {
	s.pool.mu.Lock()
	l := s.pool.loadOf(s.endpoint.ID)
	l.inFlight--
	if healthy {
		l.failures = 0
	} else {
		l.openUntil = s.pool.now().Add(min(minOpenTime<<l.failures, maxOpenTime))
		l.failures = min(l.failures+1, 10)
	}
	s.pool.mu.Unlock()
	s.pool.grant()
}

// inFlight returns the number of requests on all endpoints.
func (s *slots) inFlight() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	n := 0
	for _, l := range s.loads {
		n += l.inFlight
	}
	return n
}

// waitQueue orders waiting requests by priority, deadline and arrival.
type waitQueue []*waiter

// Len implements heap.Interface.
func (q waitQueue) Len() int { return len(q) }

// Less implements heap.Interface.
func (q waitQueue) Less(i, j int) bool {
	if q[i].priority != q[j].priority {
		return q[i].priority > q[j].priority
	}
	if !q[i].deadline.Equal(q[j].deadline) {
		return q[i].deadline.Before(q[j].deadline)
	}
	return q[i].arrival < q[j].arrival
}

// Swap implements heap.Interface.
func (q waitQueue) Swap(i, j int) {
	q[i], q[j] = q[j], q[i]
	q[i].index, q[j].index = i, j
}

// Push implements heap.Interface.
func (q *waitQueue) Push(x any) {
	w := x.(*waiter)
	w.index = len(*q)
	*q = append(*q, w)
}

// Pop implements heap.Interface.
func (q *waitQueue) Pop() any {
	old := *q
	n := len(old) - 1
	w := old[n]
	old[n] = nil
	w.index = -1
	*q = old[:n]
	return w
}
