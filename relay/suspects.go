package relay

import (
	"context"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/rs/zerolog"

	"buckthornpin"
)

const (
	// quarantineCrashes is the number of endpoints that have to crash under a request
	// before it is quarantined. Once or twice, an endpoint may crash for another reason
	// while it runs the request.
	quarantineCrashes = 3
	// crashRetention is how long the crashes of a request are remembered after the latest.
	crashRetention = time.Minute
	// crashReportPeriod is how long a crash is reported to other routers.
	crashReportPeriod = 5 * time.Second
	// crashCheckTimeout bounds the check whether an endpoint has crashed.
	crashCheckTimeout = 500 * time.Millisecond
	// maxPendingChecks bounds the queue of checks; further ones are dropped.
	maxPendingChecks = 256
	// maxTrackedRequests bounds the requests that are remembered.
	maxTrackedRequests = 4096
)

// Crash reports that an endpoint crashed while it ran a request.
type Crash struct {
	// Request is the fingerprint of the request's method, host, target, key and body.
	Request  uint64
	Endpoint string
}

// CrashTracker remembers which requests ran on endpoints that crashed, and quarantines a
// request that crashes several. A retried request has the same path, caller and body, but
// another id, and may come through any router, so routers report crashes to each other. It
// is safe for concurrent use. Its zero value is ready to use, except that endpoints are
// only checked after Open.
type CrashTracker struct {
	mu            sync.Mutex
	requests      map[uint64]*crashRecord
	pendingChecks chan crashCheck
}

// crashCheck is a pending check whether an endpoint crashed under a request.
type crashCheck struct {
	request  uint64
	endpoint *buckthornpin.Endpoint
}

type crashRecord struct {
	endpoints map[string]bool
	newest    time.Time
}

// fingerprint hashes what stays the same when a request is sent again.
func fingerprint(q *Request) uint64 {
	h := xxhash.New()
	for _, part := range []string{q.Method, q.Host, q.Target, q.Key} {
		_, _ = h.WriteString(part)
		_, _ = h.Write([]byte{0})
	}
	_, _ = h.Write(q.Body)
	return h.Sum64()
}

// RecordCrash records a crash and reports whether it was new.
func (t *CrashTracker) RecordCrash(c Crash, now time.Time) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.dropExpired(now)
	record := t.requests[c.Request]
	if record == nil {
		if t.requests == nil {
			t.requests = map[uint64]*crashRecord{}
		}
		if len(t.requests) >= maxTrackedRequests {
			return false
		}
		record = &crashRecord{endpoints: map[string]bool{}}
		t.requests[c.Request] = record
	}
	if record.endpoints[c.Endpoint] {
		return false
	}
	record.endpoints[c.Endpoint] = true
	record.newest = now
	return true
}

func (t *CrashTracker) dropExpired(now time.Time) {
	for id, record := range t.requests {
		if now.Sub(record.newest) > crashRetention {
			delete(t.requests, id)
		}
	}
}

// Quarantined reports whether a request may not be sent to any endpoint.
func (t *CrashTracker) Quarantined(q *Request, now time.Time) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	if len(t.requests) == 0 {
		return false
	}
	record := t.requests[fingerprint(q)]
	return record != nil && len(record.endpoints) >= quarantineCrashes && now.Sub(record.newest) <= crashRetention
}

// RecentCrashes returns the recent crashes, which are to be reported to other routers.
func (t *CrashTracker) RecentCrashes(now time.Time) []Crash {
	t.mu.Lock()
	defer t.mu.Unlock()
	var out []Crash
	for id, record := range t.requests {
		if now.Sub(record.newest) > crashReportPeriod {
			continue
		}
		for e := range record.endpoints {
			out = append(out, Crash{Request: id, Endpoint: e})
		}
	}
	return out
}

// Open creates the queue of checks. It must be called before Run.
func (t *CrashTracker) Open() { t.pendingChecks = make(chan crashCheck, maxPendingChecks) }

// CheckEndpoint queues a check whether the endpoint has crashed, after its answer to a
// request broke off. The check is dropped if the queue is full.
func (t *CrashTracker) CheckEndpoint(q *Request, e *buckthornpin.Endpoint) {
	select {
	case t.pendingChecks <- crashCheck{request: fingerprint(q), endpoint: e}:
	default:
	}
}

// Run checks queued endpoints until ctx ends. If nothing listens on an endpoint's address
// right after an answer broke off, the endpoint has crashed under the request.
func (t *CrashTracker) Run(ctx context.Context, endpoints Endpoints, log zerolog.Logger) error {
	for {
		select {
		case <-ctx.Done():
			return nil
		case check := <-t.pendingChecks:
			checkCtx, cancel := context.WithTimeout(ctx, crashCheckTimeout)
			if endpoints.RefusesConnections(checkCtx, check.endpoint.Address) && t.RecordCrash(Crash{Request: check.request, Endpoint: check.endpoint.ID}, time.Now()) {
				log.Info().Uint64("fingerprint", check.request).Str("endpoint", check.endpoint.ID).Msg("endpoint crashed under a request")
			}
			cancel()
		}
	}
}
