package relay

import (
	"context"
	"time"

	"buckthornpin"
	"buckthornpin/route"
	"buckthornpin/site"
)

// flight is one request on its way.
type flight struct {
	router  *Router
	request *Request
	reply   Reply
	table   *site.Table
	route   *site.Route
	service *site.Service
	owner   *site.Organisation
	// deadline is the earlier one of the caller's and the route's.
	deadline time.Time
	// reserved are tokens held for the request; 0 where it isn't charged.
	reserved int64
	// sent counts the endpoints that the request was sent to.
	sent  int
	tried map[string]bool
	// ran says that an endpoint may have run the request.
	ran     bool
	outcome string
	events  eventCount
	// current is the newest attempt, others what other routers had told of its
	// endpoint, and firstAt the time of the first part of the answer.
	current *route.Run
	others  route.Load
	firstAt time.Time
	// sentAt is when the newest attempt began, headAt when the head of its answer had
	// come, zero before.
	sentAt, headAt time.Time
}

// eventCount is what a stream has delivered.
type eventCount struct {
	delivered int64
	lastID    string
	// begun says that the head of the answer was sent.
	begun bool
}

func (f *flight) run(ctx context.Context) {
	if !f.admit() {
		return
	}
	if f.request.Deadline.IsZero() || f.request.Deadline.After(f.request.Arrived.Add(f.route.Timeout)) {
		f.deadline = f.request.Arrived.Add(f.route.Timeout)
	} else {
		f.deadline = f.request.Deadline
	}
	ctx, cancel := context.WithDeadline(ctx, f.deadline)
	defer cancel()
	if !f.cover(ctx) {
		return
	}
	defer f.settle()
	f.router.Retries.First(f.service.Name)
	f.attempts(ctx)
}

// admit finds the request's route, service and organisation.
func (f *flight) admit() bool {
	q := f.request
	if f.table = f.router.Site(); f.table == nil {
		f.refuse(ReasonNoConfiguration, time.Second)
		return false
	}
	if f.route = f.table.Route(q.Host, q.Path); f.route == nil {
		f.refuse(ReasonNoRoute, 0)
		return false
	}
	if !f.route.Anonymous && f.table.HasOrganisations() {
		if f.owner = f.table.KeyOwner(q.Key); f.owner == nil {
			f.refuse(ReasonUnknownKey, 0)
			return false
		}
	}
	if f.router.suspects.Convicted(q, time.Now()) {
		f.refuse(ReasonQuarantined, suspectFor)
		return false
	}
	f.service = f.table.Service(f.route.Pick(fraction(q.ID)))
	return true
}

// coverWait bounds the wait for shares of other routers, as a part of the
// route's objective: what is left has to do for the answer itself.
const coverWait = 4

// cover reserves the most that the request can cost.
func (f *flight) cover(ctx context.Context) bool {
	if f.owner == nil || f.owner.Prepaid == site.Unlimited || f.service.Engine == nil {
		return true
	}
	most := f.request.Prompt.Tokens + f.request.Prompt.MaxOutput
	ctx, cancel := context.WithTimeout(ctx, f.route.Objective/coverWait)
	defer cancel()
	c := f.router.Funds.Reserve(ctx, f.owner.Name, most)
	if c.Cover == buckthornpin.Covered {
		f.reserved = most
		return true
	}
	f.log("not_covered").Int64("tokens", most).Int64("balance", c.Balance).Int64("other_routers", c.Others).
		Int64("free", c.Free).Dur("control_age_ms", c.ControlAge).Msg("budget doesn't cover the request")
	if c.Cover == buckthornpin.BudgetSpent {
		f.refuse(ReasonBudgetSpent, 0)
		return false
	}
	f.refuse(ReasonBudgetElsewhere, f.retryAfter())
	return false
}

// settle charges what the organisation got: the output that was delivered, and
// the prompt once if any was. A request of which nothing reached the caller costs
// nothing, whether an endpoint ran it or not.
func (f *flight) settle() {
	if f.reserved == 0 {
		return
	}
	spent := int64(0)
	if f.events.delivered > 0 {
		spent = f.request.Prompt.Tokens + f.events.delivered*f.service.Engine.EventTokens
	}
	f.router.Funds.Settle(f.owner.Name, f.reserved, min(spent, f.reserved))
}

// attempts sends the request to one endpoint after the other as long as it may
// be tried again.
func (f *flight) attempts(ctx context.Context) {
	f.tried = map[string]bool{}
	for {
		c, ok := f.choose()
		if !ok {
			f.noEndpoint()
			return
		}
		f.tried[c.Endpoint.ID] = true
		if f.attempt(ctx, c) {
			return
		}
		if ctx.Err() != nil {
			f.giveUp(ctx)
			return
		}
		if f.sent > 0 && (f.sent >= f.route.MaxAttempts || !f.router.Retries.Take(f.service.Name)) {
			f.giveUp(ctx)
			return
		}
	}
}

// choose picks an endpoint that hasn't been tried. One that control hasn't heard
// for long is the last resort: it may be cut off from control alone.
func (f *flight) choose() (route.Choice, bool) {
	r := f.router
	all := r.Directory.Serving(buckthornpin.Target{Service: f.service.Name})
	living := make([]route.Engine, 0, len(all))
	var silent []route.Engine
	most := r.connections(f.service)
	for _, e := range all {
		if e.Leaving || f.tried[e.ID] {
			continue
		}
		c := route.Engine{Endpoint: e, Others: r.Loads.Others(e.ID), Most: most}
		if e.Dead {
			silent = append(silent, c)
			continue
		}
		living = append(living, c)
	}
	if len(living) == 0 {
		living = silent
	}
	return r.tracker.Choose(living, f.work(), r.Zone, time.Now())
}

// connections is this router's part of the connections that an endpoint of a service
// accepts from all callers; 0 where the service names no bound. A request under way
// takes one, and an idle one is used again before another is opened.
func (r *Router) connections(s *site.Service) int {
	if s.MaxConnections == 0 || r.Routers == nil {
		return 0
	}
	return max(s.MaxConnections/r.Routers(), 1)
}

// work describes the request to the choice of an endpoint.
func (f *flight) work() route.Work {
	p := f.request.Prompt
	return route.Work{Model: f.service.Engine != nil, Tokens: p.Tokens, Parts: p.Parts}
}

func (f *flight) noEndpoint() {
	switch {
	case f.ran:
		f.refuse(ReasonBroken, 0)
	case f.sent > 0:
		f.refuse(ReasonFull, f.retryAfter())
	default:
		f.refuse(ReasonNoEndpoint, f.retryAfter())
	}
}

// giveUp sends the final answer of a request that no endpoint has answered.
func (f *flight) giveUp(ctx context.Context) {
	late := ctx.Err() != nil
	switch {
	case f.ran && late:
		f.refuse(ReasonNoAnswer, 0)
	case f.ran:
		f.refuse(ReasonBroken, 0)
	case late:
		f.refuse(ReasonTimeout, 0)
	default:
		f.refuse(ReasonFull, f.retryAfter())
	}
}

// retryAfterShare is the part of the caller's remaining time that a wait may
// take: callers honour no longer one.
const retryAfterShare = 3

// comeBack is when a caller should come again after a refusal: balances and news
// of endpoints have reached all routers by then.
const comeBack = time.Second

// retryAfter bounds the wait by the part of the caller's time that it honours.
func (f *flight) retryAfter() time.Duration {
	if f.request.Deadline.IsZero() {
		return comeBack
	}
	return max(min(comeBack, time.Until(f.request.Deadline)/retryAfterShare), 0)
}

func (f *flight) refuse(reason Reason, after time.Duration) {
	f.outcome = string(reason)
	f.log(string(reason)).Dur("retry_after_ms", after).Msg("request was refused")
	if f.begun() {
		f.reply.Break()
		return
	}
	f.reply.Refuse(Refusal{Reason: reason, RetryAfter: after})
}
