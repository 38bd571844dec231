package relay

import (
	"sync"
	"time"
)

// Retries bounds the requests that routers send beyond the first of each, by
// service. All routers together have the budget; each takes a share of it that
// follows from its own requests and from the number of living routers. Its
// exported fields are set before first use.
type Retries struct {
	// Ratio is the number of repeats allowed for each request.
	Ratio float64
	// Slack is the number allowed besides in each window, over all routers.
	Slack float64
	// Window is the span over which both are counted.
	Window time.Duration
	// Routers returns the number of living routers.
	Routers func() int
	// Now is the clock; time.Now if nil.
	Now func() time.Time

	mu       sync.Mutex
	services map[string]*retryCount
}

// retryCount counts requests and repeats in the two newest halves of a window.
type retryCount struct {
	start   time.Time
	first   [2]float64
	repeats [2]float64
}

// caution is the part of the budget that is used: routers come and go, and their
// windows don't begin at the same time.
const caution = 0.5

// First counts a request's first send.
func (r *Retries) First(service string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.count(service).first[0]++
}

// Has reports whether the budget has room.
func (r *Retries) Has(service string) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.has(r.count(service))
}

// Take takes one repeat from the budget if it has room.
func (r *Retries) Take(service string) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	c := r.count(service)
	if !r.has(c) {
		return false
	}
	c.repeats[0]++
	return true
}

func (r *Retries) has(c *retryCount) bool {
	allowed := r.Ratio*(c.first[0]+c.first[1]) + r.Slack/float64(max(r.Routers(), 1))
	return c.repeats[0]+c.repeats[1]+1 <= caution*allowed
}

// count moves a service's counts on. The caller holds mu.
func (r *Retries) count(service string) *retryCount {
	now := time.Now
	if r.Now != nil {
		now = r.Now
	}
	if r.services == nil {
		r.services = map[string]*retryCount{}
	}
	c := r.services[service]
	if c == nil {
		c = &retryCount{start: now()}
		r.services[service] = c
	}
	half := r.Window / 2
	for n := 0; now().Sub(c.start) >= half && n < 2; n++ {
		c.first = [2]float64{0, c.first[0]}
		c.repeats = [2]float64{0, c.repeats[0]}
		c.start = c.start.Add(half)
	}
	if now().Sub(c.start) >= half {
		c.start = now()
	}
	return c
}
