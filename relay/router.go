package relay

import (
	"context"
	"expvar"
	"sync/atomic"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/rs/zerolog"

	"buckthornpin"
	"buckthornpin/memory"
	"buckthornpin/route"
	"buckthornpin/site"
)

// Funds reserves tokens of the organisations' budgets for requests.
type Funds interface {
	// Reserve holds tokens of an organisation's budget until Settle. It waits for shares
	// of other routers until ctx ends.
	Reserve(ctx context.Context, organisation string, tokens int64) buckthornpin.ReservationResult
	// Settle ends a reservation and charges the tokens that were spent.
	Settle(organisation string, reserved, spent int64)
}

// Directory lists the endpoints of services.
type Directory interface {
	Serving(t buckthornpin.Target) []*buckthornpin.Endpoint
	MarkLeaving(id string, incarnation int64)
}

// Loads reports the work that other routers have in progress on an endpoint.
type Loads interface {
	Others(endpoint string) route.Load
	// LoadChanged tells other routers at once that the load from this router has changed
	// a lot.
	LoadChanged()
}

// Router forwards requests to endpoints. Its exported fields are set before Serve.
type Router struct {
	Zone string
	// Site returns the configuration in force; nil before the first one.
	Site      func() *site.Table
	Directory Directory
	Endpoints Endpoints
	Funds     Funds
	Loads     Loads
	Retries   *Retries
	// Routers returns the number of live routers, this one included; nil if unknown.
	Routers func() int
	// Limits holds the limits that endpoints have named.
	Limits *route.RateLimits
	// Guard is nil if the VM's load isn't monitored.
	Guard *Guard
	// Memory bounds what is held of requests and answers; nil if nothing does.
	Memory *memory.Account
	// Crashes keeps requests that crash endpoints from further ones.
	Crashes CrashTracker
	Log     zerolog.Logger

	tracker   route.Tracker
	inFlight  atomic.Int64
	metrics   metrics
	durations durations
	// stopping is nil until the process stops.
	stopping atomic.Pointer[stopPlan]
	// ended ends with endAll, which ends all requests in progress.
	ended  context.Context
	endAll context.CancelFunc
}

// InProgress returns the number of requests without a final answer.
func (r *Router) InProgress() int64 { return r.inFlight.Load() }

// Metrics returns the router's counters.
func (r *Router) Metrics() expvar.Var { return r.metrics.variables() }

// Open prepares the router. It must be called before Run and Serve.
func (r *Router) Open() {
	r.Crashes.Open()
	r.ended, r.endAll = context.WithCancel(context.Background())
}

// Run checks until ctx ends whether requests have crashed endpoints.
func (r *Router) Run(ctx context.Context) error { return r.Crashes.Run(ctx, r.Endpoints) }

// OwnLoads returns the load from this router by endpoint id.
func (r *Router) OwnLoads() map[string]route.Load { return r.tracker.Loads() }

// Serve handles one request until it has its final answer.
func (r *Router) Serve(ctx context.Context, q *Request, reply Reply) {
	r.inFlight.Add(1)
	defer r.inFlight.Add(-1)
	ctx, release := r.untilStop(ctx)
	defer release()
	f := &flight{router: r, request: q, reply: reply}
	defer q.Release()
	f.run(ctx)
	took := time.Since(q.Arrived)
	if f.outcome == outcomeAnswered {
		r.durations.record(f.route.Name, took, time.Now())
	}
	r.metrics.observe(f, took)
}

// hashFraction returns a number from 0 (inclusive) to 1 (exclusive) that depends only on
// the request's id.
func hashFraction(id string) float64 {
	return float64(xxhash.Sum64String(id)>>11) / (1 << 53)
}
