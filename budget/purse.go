package budget

import (
	"context"
	"expvar"
	"math"
	"sync"
	"time"

	"github.com/rs/zerolog"

	"buckthornpin"
	"buckthornpin/wire"
)

const (
	// ControlTimeout is the time without a message from control after which a router
	// considers itself cut off.
	ControlTimeout = 3 * time.Second
	// planInterval is the time between two checks of the leases.
	planInterval = 250 * time.Millisecond
	// changeTimeout bounds one attempt to change a lease.
	changeTimeout = 2 * time.Second
	// leaseRateTimeConstant is the time over which demand is averaged.
	leaseRateTimeConstant = 10 * time.Second
	// maxConcurrentReports bounds the reports that are sent concurrently.
	maxConcurrentReports = 64
	// maxDeferred bounds the commands that are queued until control can be reached.
	maxDeferred = 10000
)

// Control executes commands at the control group.
type Control interface {
	Execute(ctx context.Context, c *wire.Command) (*wire.Result, error)
}

// LeaseManager holds the leases of one router. Its exported fields are set before
// Open.
type LeaseManager struct {
	Control Control
	Router  string
	// Incarnation returns the incarnation under which control knows this process.
	Incarnation func() int64
	// LastContact returns the time of the last message from control.
	LastContact func() time.Time
	// Recalled reports whether control recalls the leases on a budget.
	Recalled func(organisation string) bool
	Policy   Policy
	// MaxGrantPercent is the largest percentage of a free budget that one grant may take.
	MaxGrantPercent int32
	Events          buckthornpin.Recorder
	Log             zerolog.Logger

	mu       sync.Mutex
	leases   map[string]*lease
	unbooked map[buckthornpin.RequestKey]buckthornpin.Tokens
	deferred []*wire.Command
	closed   bool
	spent    expvar.Int
}

// lease is the part of one budget that the router may spend.
type lease struct {
	organisation string
	unspent      int64
	rate         float64
	newDemand    int64
	largestBound int64
	lastUsed     time.Time
	sequence     int64
	// pending is the change that control hasn't answered yet, or nil.
	pending *wire.Command
}

// Open initializes the purse.
func (p *LeaseManager) Open() {
	p.leases = map[string]*lease{}
	p.unbooked = map[buckthornpin.RequestKey]buckthornpin.Tokens{}
}

// Cut reports whether the last message from control is older than ControlTimeout.
func (p *LeaseManager) Cut() bool { return time.Since(p.LastContact()) > ControlTimeout }

// Take reserves tokens of a lease for a request and reports whether the lease covers
// them. It records the demand in either case.
func (p *LeaseManager) Take(organisation string, tokens buckthornpin.Tokens) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	l := p.leases[organisation]
	if l == nil {
		l = &lease{organisation: organisation}
		p.leases[organisation] = l
	}
	n := int64(tokens)
	l.newDemand += n
	l.largestBound = max(l.largestBound, n)
	l.lastUsed = time.Now()
	if l.unspent < n {
		return false
	}
	l.unspent -= n
	return true
}

// Return puts tokens that a request didn't spend back into the lease.
func (p *LeaseManager) Return(organisation string, tokens buckthornpin.Tokens) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.leases[organisation].unspent += int64(tokens)
}

// Spend records that a request has spent tokens taken for it. They are reported to
// control as soon as it can be reached.
func (p *LeaseManager) Spend(k buckthornpin.RequestKey, tokens buckthornpin.Tokens) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.unbooked[k] = tokens
	p.spent.Add(int64(tokens))
	p.Events.Record(buckthornpin.Event{Kind: buckthornpin.EventLease, Organisation: k.Organisation, Request: k.Key, Detail: "spent on the lease"})
}

// Later queues an idempotent command until control can be reached. If the queue is
// full, the oldest commands are dropped: their reservations then end when their hold
// time expires.
func (p *LeaseManager) Later(c *wire.Command) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.deferred = append(p.deferred, c)
	p.deferred = p.deferred[max(len(p.deferred)-maxDeferred, 0):]
}

// sendDeferred sends the queued commands in order.
func (p *LeaseManager) sendDeferred(ctx context.Context) {
	p.mu.Lock()
	todo := p.deferred
	p.deferred = nil
	p.mu.Unlock()
	ctx, cancel := context.WithTimeout(ctx, changeTimeout)
	defer cancel()
	for len(todo) > 0 {
		if _, err := p.Control.Execute(ctx, todo[0]); err != nil {
			p.mu.Lock()
			p.deferred = append(todo, p.deferred...)
			p.mu.Unlock()
			return
		}
		todo = todo[1:]
	}
}

// Unreported returns the number of requests whose spent tokens control hasn't booked
// yet.
func (p *LeaseManager) Unreported() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return len(p.unbooked)
}

// Metrics returns the purse's counters.
func (p *LeaseManager) Metrics() *expvar.Map {
	m := new(expvar.Map)
	m.Set("spent_on_leases", &p.spent)
	m.Set("unreported", expvar.Func(func() any { return p.Unreported() }))
	m.Set("leased", expvar.Func(func() any { return p.leased() }))
	return m
}

func (p *LeaseManager) leased() int64 {
	p.mu.Lock()
	defer p.mu.Unlock()
	n := int64(0)
	for _, l := range p.leases {
		n += l.unspent
	}
	return n
}

// Run adjusts the leases to the policy and reports spent tokens to control until ctx
// ends. It always returns nil.
func (p *LeaseManager) Run(ctx context.Context) error {
	buckthornpin.Every(ctx, planInterval, func(ctx context.Context, now time.Time) {
		p.report(ctx)
		p.sendDeferred(ctx)
		p.sendChanges(ctx, p.plan(now))
	})
	return nil
}

// Close gives all leases back on a graceful stop.
func (p *LeaseManager) Close(ctx context.Context) {
	p.mu.Lock()
	p.closed = true
	p.mu.Unlock()
	p.report(ctx)
	p.sendDeferred(ctx)
	p.sendChanges(ctx, p.plan(time.Now()))
	p.sendChanges(ctx, p.plan(time.Now()))
}

// plan decides on changes to the leases and returns the leases that have a change to
// send, including those whose change is sent again.
func (p *LeaseManager) plan(now time.Time) []*lease {
	p.mu.Lock()
	defer p.mu.Unlock()
	var out []*lease
	for _, l := range p.leases {
		p.planLease(l, now)
		if l.pending != nil {
			out = append(out, l)
		}
	}
	return out
}

func (p *LeaseManager) planLease(l *lease, now time.Time) {
	decay := math.Exp(-planInterval.Seconds() / leaseRateTimeConstant.Seconds())
	l.rate = l.rate*decay + float64(l.newDemand)/planInterval.Seconds()*(1-decay)
	l.newDemand = 0
	if l.pending != nil {
		return
	}
	ask, giveBack := p.Policy.Plan(Demand{
		Unspent: l.unspent, Rate: l.rate, LargestBound: l.largestBound, Idle: now.Sub(l.lastUsed),
		Recalled: p.closed || p.Recalled(l.organisation),
	})
	switch {
	case ask > 0:
		l.sequence++
		l.pending = &wire.Command{Op: &wire.Command_GrantLease{GrantLease: &wire.GrantLease{
			Organisation: l.organisation, Router: p.Router, Incarnation: p.Incarnation(), Sequence: l.sequence,
			Tokens: ask, MinTokens: l.largestBound, MaxPercent: p.MaxGrantPercent,
		}}}
	case giveBack > 0:
		l.sequence++
		l.unspent -= giveBack
		l.pending = &wire.Command{Op: &wire.Command_CloseLease{CloseLease: &wire.CloseLease{
			Organisation: l.organisation, Router: p.Router, Incarnation: p.Incarnation(), Sequence: l.sequence, Tokens: giveBack,
		}}}
	}
}

// sendChanges sends the pending changes of the leases and waits for the answers.
func (p *LeaseManager) sendChanges(ctx context.Context, leases []*lease) {
	ctx, cancel := context.WithTimeout(ctx, changeTimeout)
	defer cancel()
	var wg sync.WaitGroup
	for _, l := range leases {
		wg.Go(func() { p.sendChange(ctx, l) })
	}
	wg.Wait()
}

// sendChange sends the pending change of a lease. If there is no answer, the change
// stays pending and is sent again with the same sequence number.
func (p *LeaseManager) sendChange(ctx context.Context, l *lease) {
	res, err := p.Control.Execute(ctx, l.pending)
	if err != nil {
		return
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	if res.GetKind() == wire.ResultKind_RESULT_KIND_OK && l.pending.GetGrantLease() != nil {
		l.unspent += res.GetTokens()
	}
	if res.GetKind() != wire.ResultKind_RESULT_KIND_OK {
		p.Log.Warn().Str("organisation", l.organisation).Str("result", res.GetMessage()).Msg("change of a lease was refused")
	}
	l.pending = nil
}

// report sends the tokens spent on leases to control. Control treats a report that is
// sent twice as a repetition.
func (p *LeaseManager) report(ctx context.Context) {
	p.mu.Lock()
	todo := make(map[buckthornpin.RequestKey]buckthornpin.Tokens, min(len(p.unbooked), maxConcurrentReports))
	for k, n := range p.unbooked {
		if len(todo) == maxConcurrentReports {
			break
		}
		todo[k] = n
	}
	p.mu.Unlock()
	ctx, cancel := context.WithTimeout(ctx, changeTimeout)
	defer cancel()
	var wg sync.WaitGroup
	for k, n := range todo {
		wg.Go(func() { p.reportSpending(ctx, k, n) })
	}
	wg.Wait()
}

func (p *LeaseManager) reportSpending(ctx context.Context, k buckthornpin.RequestKey, n buckthornpin.Tokens) {
	if _, err := p.Book(ctx, k, n); err != nil {
		return
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	delete(p.unbooked, k)
}

// Book charges a request that ran on a lease at control. The error has KindLost if
// control gave no answer.
func (p *LeaseManager) Book(ctx context.Context, k buckthornpin.RequestKey, n buckthornpin.Tokens) (*wire.Result, error) {
	res, err := p.Control.Execute(ctx, &wire.Command{Op: &wire.Command_SettleLease{SettleLease: &wire.SettleLease{
		Organisation: k.Organisation, Key: k.Key, Router: p.Router, Incarnation: p.Incarnation(), Tokens: int64(n),
	}}})
	if err != nil {
		return nil, &Error{Op: "book", Kind: KindLost, Err: err}
	}
	if res.GetKind() != wire.ResultKind_RESULT_KIND_OK && res.GetKind() != wire.ResultKind_RESULT_KIND_ALREADY_RAN {
		p.Log.Error().Str("key", k.String()).Str("result", res.GetMessage()).Msg("spending on a lease was refused")
	}
	return res, nil
}
