package relay

import (
	"context"
	"strconv"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/rs/zerolog"

	"buckthornpin"
	"buckthornpin/route"
)

const (
	// crashCheckTimeout bounds the check whether an endpoint has crashed.
	crashCheckTimeout = 500 * time.Millisecond
	// crashCheckers is the number of endpoints that are checked at the same time. Half of a
	// service may go silent at once, and each silent endpoint takes the whole timeout.
	crashCheckers = 8
	// maxPendingChecks bounds the endpoints that wait for a check; further ones aren't
	// checked.
	maxPendingChecks = 256
	// maxPendingSuspects bounds the suspects of one endpoint that waits for a check.
	maxPendingSuspects = 64
)

// CrashTracker finds out whether an endpoint crashed when its answers broke off, and keeps
// what crashes endpoints from further ones. Routers report crashes to each other, since a
// retried request may come through any of them. It is safe for concurrent use.
type CrashTracker struct {
	// Quarantine decides what is kept from endpoints.
	route.Quarantine
	Log zerolog.Logger

	mu sync.Mutex
	// pending holds the endpoints that wait for a check.
	pending map[endpointKey]*route.Crash
	checks  chan crashCheck
}

// endpointKey identifies an incarnation of an endpoint.
type endpointKey struct {
	id          string
	incarnation int64
}

// crashCheck is a pending check whether an endpoint has crashed.
type crashCheck struct {
	key     endpointKey
	address string
}

// Open creates the queue of checks. It must be called before Run.
func (t *CrashTracker) Open() {
	t.pending = map[endpointKey]*route.Crash{}
	t.checks = make(chan crashCheck, maxPendingChecks)
}

// CheckEndpoint queues a check whether the endpoint has crashed, after its answer to a
// request broke off. The check is dropped if the queue is full.
func (t *CrashTracker) CheckEndpoint(e *buckthornpin.Endpoint, s route.Suspect, now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	k := endpointKey{id: e.ID, incarnation: e.Incarnation}
	if c := t.pending[k]; c != nil {
		if len(c.Suspects) < maxPendingSuspects {
			c.Suspects = append(c.Suspects, s)
		}
		return
	}
	select {
	case t.checks <- crashCheck{key: k, address: e.Address}:
		t.pending[k] = &route.Crash{Endpoint: e.ID, Incarnation: e.Incarnation, Version: e.Version, At: now, Suspects: []route.Suspect{s}}
	default:
		t.Log.Warn().Str("endpoint", e.ID).Msg("too many endpoints to check for a crash")
	}
}

// Run checks queued endpoints until ctx ends. If nothing listens on an endpoint's address
// right after an answer broke off, the endpoint has crashed.
func (t *CrashTracker) Run(ctx context.Context, endpoints Endpoints) error {
	var wg sync.WaitGroup
	for range crashCheckers {
		wg.Go(func() {
			for {
				select {
				case <-ctx.Done():
					return
				case check := <-t.checks:
					t.check(ctx, endpoints, check)
				}
			}
		})
	}
	wg.Wait()
	return nil
}

func (t *CrashTracker) check(ctx context.Context, endpoints Endpoints, check crashCheck) {
	ctx, cancel := context.WithTimeout(ctx, crashCheckTimeout)
	defer cancel()
	crashed := endpoints.RefusesConnections(ctx, check.address)
	t.mu.Lock()
	c := t.pending[check.key]
	delete(t.pending, check.key)
	t.mu.Unlock()
	if crashed {
		t.RecordCrash(*c, time.Now())
	}
}

// RecordCrash records a crash that was seen here or reported by another router.
func (t *CrashTracker) RecordCrash(c route.Crash, now time.Time) {
	begun, isNew := t.Quarantine.RecordCrash(c, now)
	if isNew {
		parts := 0
		for _, s := range c.Suspects {
			parts += len(s.Parts)
		}
		t.Log.Info().Str("endpoint", c.Endpoint).Int64("incarnation", c.Incarnation).Str("endpoint_version", c.Version).
			Int64("age_ms", now.Sub(c.At).Milliseconds()).Int("suspects", len(c.Suspects)).Int("parts", parts).Msg("endpoint crashed under requests")
	}
	t.logQuarantines(begun, nil, now)
}

// RecordAnswer records a complete answer of an endpoint.
func (t *CrashTracker) RecordAnswer(e *buckthornpin.Endpoint, s route.Suspect, now time.Time) {
	t.logQuarantines(nil, t.Quarantine.RecordAnswer(e.Version, s, now), now)
}

// Merge merges what another router has reported.
func (t *CrashTracker) Merge(holds []route.Hold, clearances []route.Clearance, now time.Time) {
	begun, released := t.Quarantine.Merge(holds, clearances, now)
	t.logQuarantines(begun, released, now)
}

func (t *CrashTracker) logQuarantines(begun []route.Hold, released []route.Subject, now time.Time) {
	for _, h := range begun {
		t.Log.Warn().Str("subject", subjectName(h.Subject)).Int("crashes", h.Crashes).Int("generation", h.Generation).
			Bool("probation", h.OnProbation()).Dur("for_ms", h.Until.Sub(now)).Msg("quarantine has begun")
	}
	for _, s := range released {
		t.Log.Info().Str("subject", subjectName(s)).Msg("quarantine has ended: an answer was completed")
	}
}

func subjectName(s route.Subject) string { return strconv.FormatUint(uint64(s), 16) }

// fingerprint hashes what stays the same when a request is sent again.
func fingerprint(q *Request) route.Subject {
	h := xxhash.New()
	for _, part := range []string{q.Method, q.Host, q.Target, q.Key} {
		_, _ = h.WriteString(part)
		_, _ = h.Write([]byte{0})
	}
	for _, piece := range q.Body.Pieces() {
		_, _ = h.Write(piece)
	}
	return route.Subject(h.Sum64())
}

// newSuspect describes a request to a service for its quarantine. The last part of a prompt
// belongs to the request alone.
func newSuspect(q *Request, service string) route.Suspect {
	s := route.Suspect{Request: fingerprint(q)}
	for _, p := range q.Prompt.Parts[:max(len(q.Prompt.Parts)-1, 0)] {
		s.Parts = append(s.Parts, route.PartSubject(service, q.Prompt.Model, p.ID))
	}
	return s
}
