package relay

import (
	"context"
	"expvar"
	"sync/atomic"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/rs/zerolog"

	"buckthornpin"
	"buckthornpin/route"
	"buckthornpin/site"
)

// Funds covers requests from the organisations' budgets.
type Funds interface {
	// Reserve holds tokens of an organisation's budget until Settle. It waits
	// for shares of other routers until ctx ends.
	Reserve(ctx context.Context, organisation string, tokens int64) Covering
	// Settle ends a reservation of which some tokens were spent.
	Settle(organisation string, reserved, spent int64)
}

// Cover is the outcome of a reservation.
type Cover int

const (
	// Covered requests may run.
	Covered Cover = iota
	// Elsewhere says that other processes may hold what lacks here.
	Elsewhere
	// Spent says that the whole budget doesn't cover the request.
	Spent
)

// Covering is the outcome of a reservation and what it was decided on.
type Covering struct {
	Cover Cover
	// Balance is what this router held, Others what other routers had told to hold,
	// and Free what control had said that no router holds, in tokens.
	Balance, Others, Free int64
	// ControlAge is the time since control answered last.
	ControlAge time.Duration
}

// Directory knows the endpoints.
type Directory interface {
	Serving(t buckthornpin.Target) []*buckthornpin.Endpoint
	MarkLeaving(id string, incarnation int64)
}

// Loads tells what other routers have under way at an endpoint.
type Loads interface {
	Others(endpoint string) route.Load
	// LoadChanged tells other routers at once that this one has much more or less
	// under way.
	LoadChanged()
}

// Router carries requests. Its exported fields are set before Serve.
type Router struct {
	Zone string
	// Site returns the configuration in force, nil before the first.
	Site      func() *site.Table
	Directory Directory
	Endpoints Endpoints
	Funds     Funds
	Loads     Loads
	Retries   *Retries
	Log       zerolog.Logger
	// Stopping reports whether the process is about to end.
	Stopping func() bool

	tracker  route.Tracker
	inFlight atomic.Int64
	metrics  metrics
}

// InProgress counts the requests without a final answer.
func (r *Router) InProgress() int64 { return r.inFlight.Load() }

// Metrics returns the router's counters.
func (r *Router) Metrics() expvar.Var { return r.metrics.variables() }

// OwnLoads returns what this router has under way, by endpoint.
func (r *Router) OwnLoads() map[string]route.Load { return r.tracker.Loads() }

// Serve carries one request to its final answer.
func (r *Router) Serve(ctx context.Context, q *Request, reply Reply) {
	r.inFlight.Add(1)
	defer r.inFlight.Add(-1)
	f := &flight{router: r, request: q, reply: reply}
	f.run(ctx)
	r.metrics.observe(f, time.Since(q.Arrived))
}

// fraction returns a number from 0 to 1 that depends only on the request's id.
func fraction(id string) float64 {
	return float64(xxhash.Sum64String(id)>>11) / (1 << 53)
}
