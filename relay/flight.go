package relay

import (
	"context"
	"time"

	"buckthornpin"
	"buckthornpin/route"
	"buckthornpin/site"
)

// flight is one request in progress.
type flight struct {
	router  *Router
	request *Request
	reply   Reply
	table   *site.Table
	route   *site.Route
	service *site.Service
	// suspect describes the request in case that an endpoint crashes under it.
	suspect route.Suspect
	owner   *site.Organisation
	// deadline is the earlier of the caller's deadline and the route's timeout.
	deadline time.Time
	// reserved is the number of tokens held for the request; 0 if it isn't charged.
	reserved int64
	// sentCount counts the endpoints that the request was sent to. Where no retry is
	// allowed it is raised to the route's MaxAttempts.
	sentCount int
	tried     map[string]bool
	// mayHaveRun reports whether an endpoint may have run the request.
	mayHaveRun bool
	outcome    string
	progress   streamProgress
	// plainCost is what a success that isn't a stream costs, in tokens; 0 if there is none.
	plainCost int64
	// current is the latest attempt, otherLoad the load on its endpoint that other
	// routers had reported, and firstPartAt when the first part of the answer arrived.
	current     *route.Run
	otherLoad   route.Load
	firstPartAt time.Time
	// attemptStart is when the latest attempt began, headerAt when the header of its
	// answer arrived or it failed; zero before.
	attemptStart, headerAt time.Time
	// obstacles are what kept the request from endpoints at the latest choice.
	obstacles route.Obstacles
}

// streamProgress is the part of a stream that was delivered to the caller.
type streamProgress struct {
	delivered int64
	lastID    string
	// unidentified is set if the last event had no id, so that the stream can't be resumed.
	unidentified bool
	// headerSent reports whether the header of the answer was sent.
	headerSent bool
}

// slowReaderTime is the time after a request's deadline in which its caller may still take the
// answer.
const slowReaderTime = 5 * time.Second

func (f *flight) run(ctx context.Context) {
	if !f.admit() {
		return
	}
	if f.request.Deadline.IsZero() || f.request.Deadline.After(f.request.Arrived.Add(f.route.Timeout)) {
		f.deadline = f.request.Arrived.Add(f.route.Timeout)
	} else {
		f.deadline = f.request.Deadline
	}
	f.reply.SetDeadline(f.deadline.Add(slowReaderTime))
	ctx, cancel := context.WithDeadline(ctx, f.deadline)
	defer cancel()
	if f.refuseStopping() || !f.reserveBudget(ctx) {
		return
	}
	defer f.settle()
	f.router.Retries.CountRequest(f.service.Name)
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
	var known bool
	if f.owner, known = keyOwner(f.table, f.route, q.Key); !known {
		f.refuse(ReasonUnknownKey, 0)
		return false
	}
	f.service = f.table.Service(f.route.PickService(hashFraction(q.ID)))
	f.suspect = newSuspect(q, f.service.Name)
	return !f.refuseTooLarge() && !f.refuseQuarantined(false)
}

// refuseQuarantined refuses the request, or a retry of it, if it is in quarantine, and
// reports whether it did.
func (f *flight) refuseQuarantined(retry bool) bool {
	now := time.Now()
	h, held := f.router.Crashes.Check(f.suspect, retry, now)
	if !held {
		if h.Subject != 0 {
			f.log("trial").Str("subject", subjectName(h.Subject)).Int("generation", h.Generation).Msg("request is sent on trial")
		}
		return false
	}
	f.log(string(ReasonQuarantined)).Str("subject", subjectName(h.Subject)).Int("crashes", h.Crashes).Int("generation", h.Generation).
		Bool("probation", h.OnProbation()).Dur("remaining_ms", h.Until.Sub(now)).Msg("request is in quarantine")
	switch {
	case f.mayHaveRun:
		f.refuse(ReasonBroken, 0)
	case h.OnProbation():
		f.refuse(ReasonQuarantined, probationRetry)
	default:
		f.refuse(ReasonQuarantined, max(h.Until.Sub(now), minQuarantineRetry))
	}
	return true
}

const (
	// minQuarantineRetry is the shortest Retry-After for a request in quarantine.
	minQuarantineRetry = time.Minute
	// probationRetry is the Retry-After for a request on probation, which ends with the answer
	// to another one.
	probationRetry = 5 * time.Second
)

// budgetWaitDivisor bounds the wait for budget shares of other routers to the route's
// objective divided by this number. The answer itself needs the rest of the time.
const budgetWaitDivisor = 4

// reserveBudget reserves the most tokens that the request can cost.
func (f *flight) reserveBudget(ctx context.Context) bool {
	if f.owner == nil || f.owner.Prepaid == site.Unlimited || f.service.Engine == nil {
		return true
	}
	maxTokens, ok := f.request.Prompt.Bound()
	if !ok || maxTokens > f.owner.Prepaid {
		f.log("not_covered").Int64("prompt", f.request.Prompt.Tokens).Int64("max_output", f.request.Prompt.MaxOutput).
			Int64("total", f.owner.Prepaid).Msg("request is larger than the whole budget")
		f.refuse(ReasonBudgetSpent, 0)
		return false
	}
	ctx, cancel := context.WithTimeout(ctx, f.route.Objective/budgetWaitDivisor)
	defer cancel()
	c := f.router.Funds.Reserve(ctx, f.owner.Name, maxTokens)
	if c.Coverage == buckthornpin.Covered {
		f.reserved = maxTokens
		return true
	}
	f.log("not_covered").Int64("tokens", maxTokens).Int64("balance", c.Balance).Int64("other_routers", c.OtherBalances).
		Int64("free", c.Free).Int64("total", c.Total).Int64("spent", c.Spent).Int64("unaccounted", c.Unaccounted).
		Dur("control_age_ms", c.ControlAge).Msg("budget doesn't cover the request")
	switch c.Coverage {
	case buckthornpin.BudgetSpent:
		f.refuse(ReasonBudgetSpent, 0)
	case buckthornpin.InvalidBound:
		f.refuse(ReasonBadRequest, 0)
	default:
		f.refuse(ReasonBudgetElsewhere, f.retryAfter())
	}
	return false
}

// refuseTooLarge refuses a prompt that fits into no endpoint of its route, and reports whether
// it did.
func (f *flight) refuseTooLarge() bool {
	for _, s := range f.route.Shares {
		e := f.table.Service(s.Service).Engine
		if s.Weight > 0 && (e == nil || e.KVCacheTokens == 0 || f.request.Prompt.Tokens <= e.KVCacheTokens) {
			return false
		}
	}
	f.log(string(ReasonTooLarge)).Int64("prompt", f.request.Prompt.Tokens).Msg("prompt is larger than the memory of any endpoint")
	f.refuse(ReasonTooLarge, 0)
	return true
}

// settle charges the organisation for the output that was delivered and, if there was
// any, once for the prompt. A request costs nothing if none of its answer reached the
// caller, whether an endpoint ran it or not.
func (f *flight) settle() {
	if f.reserved == 0 {
		return
	}
	spent := f.plainCost
	if f.progress.delivered > 0 {
		spent = f.request.Prompt.Tokens + f.progress.delivered*f.service.Engine.EventTokens
	}
	f.router.Funds.Settle(f.owner.Name, f.reserved, min(spent, f.reserved))
}

// costOfPlain returns what a plain answer costs whose body has a size in bytes. Its output can't
// be counted, so that it costs the most that the request allows.
func (f *flight) costOfPlain(bytes int64) int64 {
	if bytes == 0 {
		return f.request.Prompt.Tokens
	}
	return f.reserved
}

// attempts sends the request to one endpoint after another until it has its final
// answer or may not be retried.
func (f *flight) attempts(ctx context.Context) {
	f.tried = map[string]bool{}
	for {
		if len(f.tried) > 0 && f.refuseQuarantined(true) {
			return
		}
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
		if f.sentCount > 0 && (f.sentCount >= f.route.MaxAttempts || !f.router.Retries.Take(f.service.Name)) {
			f.giveUp(ctx)
			return
		}
	}
}

// choose picks an endpoint that hasn't been tried.
func (f *flight) choose() (route.Choice, bool) {
	r := f.router
	all := r.Directory.Serving(buckthornpin.Target{Service: f.service.Name})
	options := make([]route.EndpointOption, 0, len(all))
	maxConnections, now := r.connectionLimit(f.service), time.Now()
	for _, e := range all {
		options = append(options, route.EndpointOption{
			Endpoint: e, LoadFromOthers: r.Loads.Others(e.ID), MaxRunning: maxConnections, Tried: f.tried[e.ID], LimitWait: r.Limits.Wait(e, now),
		})
	}
	c, ok := r.tracker.Choose(options, f.work(), r.Zone, now)
	f.obstacles = c.Obstacles
	if ok {
		r.Limits.CountRequest(c.Endpoint, now)
	}
	return c, ok
}

// connectionLimit returns this router's part of the connections that an endpoint of the
// service accepts from all routers; 0 if there is no limit. Each request in progress
// takes one connection, and idle connections are reused before new ones are opened.
func (r *Router) connectionLimit(s *site.Service) int {
	if s.MaxConnections == 0 || r.Routers == nil {
		return 0
	}
	return max(s.MaxConnections/r.Routers(), 1)
}

// work describes the request for the choice of an endpoint.
func (f *flight) work() route.Work {
	p := f.request.Prompt
	return route.Work{ModelEngine: f.service.Engine != nil, PromptTokens: min(p.Tokens, buckthornpin.MaxTokens), PromptParts: p.Parts}
}

// noEndpoint refuses a request for which no endpoint is left to try.
func (f *flight) noEndpoint() {
	switch {
	case f.mayHaveRun:
		f.refuse(ReasonBroken, 0)
	case f.obstacles.Count(route.ObstacleLimited) > 0:
		f.refuse(ReasonLimited, f.retryAfterObstacle())
	case f.obstacles.Count(route.ObstaclePaused) > 0:
		f.refuse(ReasonPaused, f.retryAfterObstacle())
	case f.sentCount > 0:
		f.refuse(ReasonFull, f.retryAfter())
	default:
		f.refuse(ReasonNoEndpoint, f.retryAfter())
	}
}

// giveUp refuses a request that no endpoint has answered.
func (f *flight) giveUp(ctx context.Context) {
	expired := ctx.Err() != nil
	switch {
	case f.mayHaveRun && expired:
		f.refuse(ReasonNoAnswer, 0)
	case f.mayHaveRun:
		f.refuse(ReasonBroken, 0)
	case expired:
		f.refuse(ReasonTimeout, 0)
	default:
		f.refuse(ReasonFull, f.retryAfter())
	}
}

// retryAfterDivisor bounds the Retry-After of a refusal to the caller's remaining time
// divided by this number: callers don't honour longer waits.
const retryAfterDivisor = 3

// defaultRetryAfter is when a caller should retry after a refusal: by then, balances
// and changes of endpoints have reached all routers.
const defaultRetryAfter = time.Second

// minObstacleWait is the shortest Retry-After for a wait that has just ended.
const minObstacleWait = time.Millisecond

// retryAfter returns how long the caller should wait before it retries.
func (f *flight) retryAfter() time.Duration {
	if f.request.Deadline.IsZero() {
		return defaultRetryAfter
	}
	return max(min(defaultRetryAfter, time.Until(f.request.Deadline)/retryAfterDivisor), 0)
}

// retryAfterObstacle returns how long the caller should wait until an endpoint may get a
// request, as far as this router knows and the caller's remaining time permits.
func (f *flight) retryAfterObstacle() time.Duration {
	if f.obstacles.FirstEnd.IsZero() {
		return f.retryAfter()
	}
	return min(max(time.Until(f.obstacles.FirstEnd), minObstacleWait), f.retryAfter())
}

// refuse sends a refusal, or breaks the answer off if it has begun.
func (f *flight) refuse(reason Reason, after time.Duration) {
	f.outcome = string(reason)
	f.log(string(reason)).Dur("retry_after_ms", after).Msg("request was refused")
	if f.answerBegun() {
		f.reply.Abort()
		return
	}
	f.reply.Refuse(Refusal{Reason: reason, RetryAfter: after})
}
