package relay

import (
	"sync"
	"time"
)

// Retries is the retry budget of each service. All routers share the budget; each uses a
// part that depends on its own requests and on the number of live routers. Its exported
// fields are set before first use.
type Retries struct {
	// Ratio is the number of retries allowed per request.
	Ratio float64
	// Slack is the number of additional retries allowed in each window, over all routers.
	Slack float64
	// Window is the time over which requests and retries are counted.
	Window time.Duration
	// Routers returns the number of live routers.
	Routers func() int
	// Now returns the current time; time.Now if nil.
	Now func() time.Time

	mu       sync.Mutex
	services map[string]*retryCount
}

// retryCount counts first sends and retries in the two halves of the current window, the
// newer half first.
type retryCount struct {
	start      time.Time
	firstSends [2]float64
	retries    [2]float64
}

// usableBudgetShare is the part of the budget that is used. The rest is a margin, since
// routers come and go and their windows don't begin at the same time.
const usableBudgetShare = 0.5

// CountRequest counts the first send of a request.
func (r *Retries) CountRequest(service string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.currentCount(service).firstSends[0]++
}

// CanRetry reports whether the budget allows another retry.
func (r *Retries) CanRetry(service string) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.allowsRetry(r.currentCount(service))
}

// Take takes one retry from the budget and reports whether the budget allowed it.
func (r *Retries) Take(service string) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	c := r.currentCount(service)
	if !r.allowsRetry(c) {
		return false
	}
	c.retries[0]++
	return true
}

func (r *Retries) allowsRetry(c *retryCount) bool {
	allowed := r.Ratio*(c.firstSends[0]+c.firstSends[1]) + r.Slack/float64(max(r.Routers(), 1))
	return c.retries[0]+c.retries[1]+1 <= usableBudgetShare*allowed
}

// currentCount returns a service's counts after moving its window to the current time. The
// caller holds mu.
func (r *Retries) currentCount(service string) *retryCount {
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
		c.firstSends = [2]float64{0, c.firstSends[0]}
		c.retries = [2]float64{0, c.retries[0]}
		c.start = c.start.Add(half)
	}
	if now().Sub(c.start) >= half {
		c.start = now()
	}
	return c
}
