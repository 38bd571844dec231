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
	// firstOpen and longestOpen bound the time for which a failing endpoint
	// gets no new work.
	firstOpen   = 250 * time.Millisecond
	longestOpen = 10 * time.Second
	// queueCheck is how often waiting requests look at the endpoints again
	// without having been told of a change.
	queueCheck = 100 * time.Millisecond
)

// Directory tells which endpoints there are.
type Directory interface {
	// Serving returns the endpoints that offer a target. The values are shared
	// and must not be changed.
	Serving(t buckthornpin.Target) []*buckthornpin.Endpoint
	MarkLeaving(id string, incarnation int64)
}

// slots hands out the endpoints' places to requests: at once where one is free,
// else by priority and deadline.
type slots struct {
	directory Directory
	zone      string
	maxQueue  int
	denied    func() []string
	now       func() time.Time

	mu      sync.Mutex
	loads   map[string]*load
	waiting waitQueue
	seed    uint64
	scratch []route.Candidate
}

// load is what this router knows of one endpoint from its own requests.
type load struct {
	inFlight  int
	failures  int
	openUntil time.Time
}

// slot is a place on an endpoint; it is released once.
type slot struct {
	endpoint *buckthornpin.Endpoint
	owner    *slots
}

// waiter is a request that waits for a place.
type waiter struct {
	target   buckthornpin.Target
	tried    map[string]bool
	priority int
	deadline time.Time
	order    uint64
	index    int
	granted  chan slot
}

// acquire returns a place for the request, or the reason why there is none.
func (s *slots) acquire(ctx context.Context, r buckthornpin.Request, tried map[string]bool) (slot, route.Verdict) {
	s.mu.Lock()
	got, verdict := s.take(r.Target, tried)
	if verdict == route.Chosen || len(s.waiting) >= s.maxQueue {
		s.mu.Unlock()
		return got, verdict
	}
	s.seed++
	w := &waiter{target: r.Target, tried: tried, priority: r.Priority, deadline: r.Deadline, order: s.seed, granted: make(chan slot, 1)}
	heap.Push(&s.waiting, w)
	s.mu.Unlock()
	return s.wait(ctx, w, verdict)
}

func (s *slots) wait(ctx context.Context, w *waiter, verdict route.Verdict) (slot, route.Verdict) {
	check := time.NewTicker(queueCheck)
	defer check.Stop()
	for {
		select {
		case got := <-w.granted:
			return got, route.Chosen
		case <-check.C:
			s.grant()
		case <-ctx.Done():
			return s.leave(w, verdict)
		}
	}
}

// leave takes the waiter out of the queue; a place that was granted meanwhile is
// given back.
func (s *slots) leave(w *waiter, verdict route.Verdict) (slot, route.Verdict) {
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
	return slot{}, verdict
}

// grant gives free places to those who wait.
func (s *slots) grant() {
	s.mu.Lock()
	defer s.mu.Unlock()
	var passed []*waiter
	full := map[buckthornpin.Target]bool{}
	for len(s.waiting) > 0 {
		w := heap.Pop(&s.waiting).(*waiter)
		if full[w.target] {
			passed = append(passed, w)
			continue
		}
		got, verdict := s.take(w.target, w.tried)
		if verdict != route.Chosen {
			full[w.target] = true
			passed = append(passed, w)
			continue
		}
		w.granted <- got
	}
	for _, w := range passed {
		heap.Push(&s.waiting, w)
	}
}

// take chooses an endpoint and counts the request. The caller holds mu.
func (s *slots) take(target buckthornpin.Target, tried map[string]bool) (slot, route.Verdict) {
	s.seed++
	s.scratch = s.scratch[:0]
	for _, e := range s.directory.Serving(target) {
		c := route.Candidate{Endpoint: e, Tried: tried[e.ID]}
		if l := s.loads[e.ID]; l != nil {
			c.InFlight, c.OpenUntil = l.inFlight, l.openUntil
		}
		s.scratch = append(s.scratch, c)
	}
	i, verdict := route.Choose(s.scratch, route.Query{
		Target: target, Zone: s.zone, Now: s.now(), Denied: s.denied(), Seed: s.seed,
	})
	if verdict != route.Chosen {
		return slot{}, verdict
	}
	e := s.scratch[i].Endpoint
	s.load(e.ID).inFlight++
	return slot{endpoint: e, owner: s}, verdict
}

func (s *slots) load(id string) *load {
	l, ok := s.loads[id]
	if !ok {
		l = &load{}
		s.loads[id] = l
	}
	return l
}

// release gives the place back and says how the endpoint did.
func (s slot) release(good bool) {
	s.owner.mu.Lock()
	l := s.owner.load(s.endpoint.ID)
	l.inFlight--
	if good {
		l.failures = 0
	} else {
		l.openUntil = s.owner.now().Add(min(firstOpen<<l.failures, longestOpen))
		l.failures = min(l.failures+1, 10)
	}
	s.owner.mu.Unlock()
	s.owner.grant()
}

// inFlight counts the requests on all endpoints.
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
	return q[i].order < q[j].order
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
