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
	Reserve(ctx context.Context, organisation string, tokens int64) buckthornpin.Covering
	// Settle ends a reservation of which some tokens were spent.
	Settle(organisation string, reserved, spent int64)
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
	// Routers returns the number of living routers, this one included; nil if it
	// isn't known.
	Routers func() int
	// Guard is nil where the VM's load isn't watched.
	Guard *Guard
	Log   zerolog.Logger

	suspects Suspects
	tracker  route.Tracker
	inFlight atomic.Int64
	metrics  metrics
}

// InProgress counts the requests without a final answer.
func (r *Router) InProgress() int64 { return r.inFlight.Load() }

// Metrics returns the router's counters.
func (r *Router) Metrics() expvar.Var { return r.metrics.variables() }

// Suspects returns the requests that ran on endpoints which crashed.
func (r *Router) Suspects() *Suspects { return &r.suspects }

// Open prepares the router. It comes before Run and Serve.
func (r *Router) Open() { r.suspects.Open() }

// Run looks after requests that may crash endpoints until ctx ends.
func (r *Router) Run(ctx context.Context) error { return r.suspects.Run(ctx, r.Endpoints, r.Log) }

// OwnLoads returns what this router has under way, by endpoint.
func (r *Router) OwnLoads() map[string]route.Load { return r.tracker.Loads() }

// Admit decides whether a request can be carried, before its body is read, and how
// long the body may take: a request whose route's time has passed isn't served any
// more.
func (r *Router) Admit(id, host, path string, bytes int64, now time.Time) Admission {
	a := Admission{Arrived: now}
	if r.Guard != nil {
		a.Arrived = now.Add(-r.Guard.LinkWait(now))
	}
	t := r.Site()
	if t == nil {
		return r.refuseUnread(a, Refusal{Reason: ReasonNoConfiguration, RetryAfter: comeBack}, r.Log.Info().Str("request", id))
	}
	to := t.Route(host, path)
	if to == nil {
		return a
	}
	a.BodyBy = a.Arrived.Add(to.Timeout)
	if r.Guard == nil || r.Guard.Admits(bytes, to.Objective, now) {
		return a
	}
	return r.refuseUnread(a, Refusal{Reason: ReasonOverload, RetryAfter: elsewhere}, r.Log.Info().Str("request", id).
		Str("route", to.Name).Int64("bytes", bytes).Dur("lag_ms", r.Guard.Lag()).Dur("link_ms", now.Sub(a.Arrived)))
}

// refuseUnread refuses a request before its body is read. The connection ends with it,
// so that the caller's next request reaches another router.
func (r *Router) refuseUnread(a Admission, f Refusal, line *zerolog.Event) Admission {
	a.Refused, a.Refusal = true, f
	line.Str("outcome", string(f.Reason)).Dur("retry_after_ms", f.RetryAfter).Msg("request was turned away")
	r.metrics.count(f.Reason)
	return a
}

// elsewhere is when a caller that was turned away should come again: it reaches
// another router then, and needs no pause but what keeps a crowd apart.
const elsewhere = 50 * time.Millisecond

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
