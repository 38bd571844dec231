// Package router forwards callers' requests to endpoints: it reserves their cost, chooses
// endpoints, resumes broken answers on other endpoints and bills whole ones.
package router

import (
	"context"
	"expvar"
	"math/rand/v2"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/google/uuid"
	"github.com/rs/zerolog"

	"buckthornpin"
	"buckthornpin/endpt"
	"buckthornpin/route"
	"buckthornpin/stream"
	"buckthornpin/wire"
)

// Control executes commands at the control group.
type Control interface {
	Execute(ctx context.Context, c *wire.Command) (*wire.Result, error)
}

// Endpoints runs and cancels attempts on endpoints.
type Endpoints interface {
	Chat(ctx context.Context, a endpt.Attempt) (*endpt.Stream, error)
	Call(ctx context.Context, a endpt.Attempt) (*endpt.Answer, error)
	Cancel(ctx context.Context, e buckthornpin.Endpoint, id string) error
}

// Holders asks other routers about keys in progress.
type Holders interface {
	// AskHolds reports whether the router works on the key; an error means that it can't
	// be reached.
	AskHolds(ctx context.Context, router string, k buckthornpin.RequestKey) (bool, error)
	// CopyAnswer passes the frames of another router's answer to receive; it returns nil
	// if the answer was whole.
	CopyAnswer(ctx context.Context, router string, k buckthornpin.RequestKey, digest string, receive func(f stream.Frame)) error
}

// Router serves requests. Its exported fields are set before Open.
type Router struct {
	VM        string
	Zone      string
	Control   Control
	Endpoints Endpoints
	Directory Directory
	Holders   Holders
	Leases    Leases
	Events    buckthornpin.Recorder
	Log       zerolog.Logger
	// Incarnation returns the incarnation under which control has registered this process;
	// 0 before it is registered.
	Incarnation func() int64
	// Policy returns the configuration in force.
	Policy func() buckthornpin.Policy
	// Limits holds the limits that endpoints have named.
	Limits *route.RateLimits
	// MaxQueue bounds the requests that wait for an endpoint.
	MaxQueue int
	// MaxAttempts bounds the attempts per request.
	MaxAttempts int
	// ReserveTimeout bounds how long a reservation may take.
	ReserveTimeout time.Duration
	// SettleTimeout bounds how long billing a whole answer may take.
	SettleTimeout time.Duration
	// ReconnectGrace is how long a request continues without a reader of its answer if
	// the caller chose the key.
	ReconnectGrace time.Duration
	// KeptBytes bounds the total size of the answers that are kept for callers that
	// reconnect.
	KeptBytes int
	// ChargeOrphans bills the full bound of a request whose router never settles it.
	ChargeOrphans bool

	ctx     context.Context
	slots   *slots
	mu      sync.Mutex
	flights map[buckthornpin.RequestKey]*flight
	kept    *stream.Store
	// draining reports whether new requests are refused.
	draining   bool
	running    sync.WaitGroup
	inProgress atomic.Int64
	metrics    routerMetrics
}

// routerMetrics counts events since the process started.
type routerMetrics struct {
	requests, answered, refused, resumed, retried expvar.Int
	tokens                                        expvar.Int
	refusals                                      expvar.Map
}

// Open prepares the router. All requests end when ctx ends.
func (r *Router) Open(ctx context.Context) {
	r.ctx = ctx
	r.flights = map[buckthornpin.RequestKey]*flight{}
	r.kept = &stream.Store{MaxBytes: r.KeptBytes}
	r.metrics.refusals.Init()
	r.slots = &slots{
		directory: r.Directory, zone: r.Zone, maxQueue: r.MaxQueue,
		denied: func() []string { return r.Policy().DeniedEndpoints },
		now:    time.Now, loads: map[string]*endpointLoad{}, seed: rand.Uint64(),
		limits: r.Limits,
	}
}

// Drain refuses new requests and waits until none is in progress.
func (r *Router) Drain() {
	r.mu.Lock()
	r.draining = true
	r.mu.Unlock()
	r.running.Wait()
}

// Answer returns a reader of the answer under a key, in progress or kept, that starts after
// offset output tokens; nil if there is none with this digest.
func (r *Router) Answer(k buckthornpin.RequestKey, digest string, offset int) *stream.Reader {
	r.mu.Lock()
	defer r.mu.Unlock()
	if f := r.flights[k]; f != nil && f.request.Digest == digest {
		return f.answer.NewReader(offset)
	}
	if a, d := r.kept.Lookup(k); a != nil && d == digest {
		return a.NewReader(offset)
	}
	return nil
}

// Holds reports whether the router is working on the key.
func (r *Router) Holds(k buckthornpin.RequestKey) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.flights[k] != nil
}

// InProgress returns the number of requests in progress.
func (r *Router) InProgress() int64 { return r.inProgress.Load() }

// Metrics returns the router's counters.
func (r *Router) Metrics() *expvar.Map {
	m := new(expvar.Map)
	m.Set("requests", &r.metrics.requests)
	m.Set("answered", &r.metrics.answered)
	m.Set("refused", &r.metrics.refused)
	m.Set("resumed", &r.metrics.resumed)
	m.Set("retried", &r.metrics.retried)
	m.Set("tokens", &r.metrics.tokens)
	m.Set("refusals", &r.metrics.refusals)
	m.Set("in_progress", expvar.Func(func() any { return r.inProgress.Load() }))
	m.Set("on_endpoints", expvar.Func(func() any { return r.slots.inFlight() }))
	return m
}

// Start begins a request, or joins the one in progress under the same key, and
// returns a reader of its answer that starts after offset output tokens.
func (r *Router) Start(req buckthornpin.Request, offset int) (*stream.Reader, *buckthornpin.Refusal) {
	r.metrics.requests.Add(1)
	r.mu.Lock()
	defer r.mu.Unlock()
	if f := r.flights[req.Key]; f != nil {
		return r.join(f.request.Digest, f.answer, req, offset)
	}
	if a, digest := r.kept.Lookup(req.Key); a != nil {
		return r.join(digest, a, req, offset)
	}
	if r.draining {
		return nil, NewRefusal(http.StatusServiceUnavailable, CodeDraining, "this router is stopping", req.KeyGenerated, retrySoon)
	}
	f := &flight{router: r, request: req, id: uuid.NewString()}
	f.ctx, f.cancel = context.WithDeadline(r.ctx, req.Deadline)
	f.answer = &stream.Answer{RetainFrames: !req.KeyGenerated, OnAbandoned: f.abandoned}
	reader := f.answer.NewReader(offset)
	r.flights[req.Key] = f
	r.inProgress.Add(1)
	r.running.Go(f.run)
	return reader, nil
}

// join returns a reader of an existing answer, or a refusal if the key was used for another
// request.
func (r *Router) join(digest string, a *stream.Answer, req buckthornpin.Request, offset int) (*stream.Reader, *buckthornpin.Refusal) {
	if digest != req.Digest {
		return nil, NewRefusal(http.StatusConflict, CodeKeyReused, "the key was used for another request", false, 0)
	}
	return a.NewReader(offset), nil
}

// remove removes a flight that has ended. A whole answer is kept for the caller to
// reconnect if the caller chose the key.
func (r *Router) remove(f *flight, whole bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	delete(r.flights, f.request.Key)
	if whole && !f.request.KeyGenerated {
		r.kept.Put(f.request.Key, f.request.Digest, f.answer)
	}
	r.inProgress.Add(-1)
}

func (r *Router) record(k buckthornpin.EventKind, req buckthornpin.Request, endpoint, detail string) {
	r.Events.Record(buckthornpin.Event{
		Kind: k, Organisation: req.Key.Organisation, Request: req.Key.Key, Endpoint: endpoint, Detail: detail,
	})
}
