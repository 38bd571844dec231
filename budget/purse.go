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

// LeaseManager holds the leases of one router and adjusts them to demand. Its exported
// fields are set before Open.
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
	// MaxGrantPercent is the largest percentage of the free part of a budget that one
	// grant may take.
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
	// newDemand is the number of tokens requested since the last plan.
	newDemand    int64
	largestBound int64
	lastUsed     time.Time
	sequence     int64
	// pending is the change that control hasn't answered yet, or nil.
	pending *wire.Command
}

// Open initializes the manager.
func (m *LeaseManager) Open() {
	m.leases = map[string]*lease{}
	m.unbooked = map[buckthornpin.RequestKey]buckthornpin.Tokens{}
}

// ControlUnreachable reports whether the last message from control is older than ControlTimeout.
func (m *LeaseManager) ControlUnreachable() bool { return time.Since(m.LastContact()) > ControlTimeout }

// Take reserves tokens of a lease for a request and reports whether the lease covers
// them. It records the demand in either case.
func (m *LeaseManager) Take(organisation string, tokens buckthornpin.Tokens) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	l := m.leases[organisation]
	if l == nil {
		l = &lease{organisation: organisation}
		m.leases[organisation] = l
	}
	n := int64(tokens)
	if !buckthornpin.IsTokenCount(n) {
		m.Log.Error().Str("organisation", organisation).Int64("tokens", n).Msg("reservation isn't a token count")
		return false
	}
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
func (m *LeaseManager) Return(organisation string, tokens buckthornpin.Tokens) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.leases[organisation].unspent += int64(tokens)
}

// Spend records that a request has spent tokens taken for it. They are reported to
// control as soon as it can be reached.
func (m *LeaseManager) Spend(k buckthornpin.RequestKey, tokens buckthornpin.Tokens) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.unbooked[k] = tokens
	m.spent.Add(int64(tokens))
	m.Events.Record(buckthornpin.Event{Kind: buckthornpin.EventLeaseSpent, Organisation: k.Organisation, Request: k.Key, Detail: "spent on the lease"})
}

// Defer queues an idempotent command until control can be reached. If the queue is
// full, the oldest commands are dropped: their reservations then end when their hold
// time expires.
func (m *LeaseManager) Defer(c *wire.Command) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.deferred = append(m.deferred, c)
	m.deferred = m.deferred[max(len(m.deferred)-maxDeferred, 0):]
}

// sendDeferred sends the queued commands in order.
func (m *LeaseManager) sendDeferred(ctx context.Context) {
	m.mu.Lock()
	todo := m.deferred
	m.deferred = nil
	m.mu.Unlock()
	ctx, cancel := context.WithTimeout(ctx, changeTimeout)
	defer cancel()
	for len(todo) > 0 {
		if _, err := m.Control.Execute(ctx, todo[0]); err != nil {
			m.mu.Lock()
			m.deferred = append(todo, m.deferred...)
			m.mu.Unlock()
			return
		}
		todo = todo[1:]
	}
}

// Unreported returns the number of requests whose spent tokens control hasn't booked
// yet.
func (m *LeaseManager) Unreported() int {
	m.mu.Lock()
	defer m.mu.Unlock()
	return len(m.unbooked)
}

// Metrics returns the manager's counters.
func (m *LeaseManager) Metrics() *expvar.Map {
	vars := new(expvar.Map)
	vars.Set("spent_on_leases", &m.spent)
	vars.Set("unreported", expvar.Func(func() any { return m.Unreported() }))
	vars.Set("leased", expvar.Func(func() any { return m.leased() }))
	return vars
}

func (m *LeaseManager) leased() int64 {
	m.mu.Lock()
	defer m.mu.Unlock()
	n := int64(0)
	for _, l := range m.leases {
		n += l.unspent
	}
	return n
}

// Run adjusts the leases to the policy and reports spent tokens to control until ctx
// ends. It always returns nil.
func (m *LeaseManager) Run(ctx context.Context) error {
	buckthornpin.Every(ctx, planInterval, func(ctx context.Context, now time.Time) {
		m.report(ctx)
		m.sendDeferred(ctx)
		m.sendChanges(ctx, m.plan(now))
	})
	return nil
}

// Close gives all leases back on a graceful stop.
func (m *LeaseManager) Close(ctx context.Context) {
	m.mu.Lock()
	m.closed = true
	m.mu.Unlock()
	m.report(ctx)
	m.sendDeferred(ctx)
	m.sendChanges(ctx, m.plan(time.Now()))
	m.sendChanges(ctx, m.plan(time.Now()))
}

// plan decides on changes to the leases and returns the leases that have a change to
// send, including those whose change is sent again.
func (m *LeaseManager) plan(now time.Time) []*lease {
	m.mu.Lock()
	defer m.mu.Unlock()
	var out []*lease
	for _, l := range m.leases {
		m.planLease(l, now)
		if l.pending != nil {
			out = append(out, l)
		}
	}
	return out
}

func (m *LeaseManager) planLease(l *lease, now time.Time) {
	decay := math.Exp(-planInterval.Seconds() / leaseRateTimeConstant.Seconds())
	l.rate = l.rate*decay + float64(l.newDemand)/planInterval.Seconds()*(1-decay)
	l.newDemand = 0
	if l.pending != nil {
		return
	}
	ask, giveBack := m.Policy.Plan(Demand{
		Unspent: l.unspent, Rate: l.rate, LargestBound: l.largestBound, Idle: now.Sub(l.lastUsed),
		Recalled: m.closed || m.Recalled(l.organisation),
	})
	switch {
	case ask > 0:
		l.sequence++
		l.pending = &wire.Command{Op: &wire.Command_GrantLease{GrantLease: &wire.GrantLease{
			Organisation: l.organisation, Router: m.Router, Incarnation: m.Incarnation(), Sequence: l.sequence,
			Tokens: ask, MinTokens: l.largestBound, MaxPercent: m.MaxGrantPercent,
		}}}
	case giveBack > 0:
		l.sequence++
		l.unspent -= giveBack
		l.pending = &wire.Command{Op: &wire.Command_CloseLease{CloseLease: &wire.CloseLease{
			Organisation: l.organisation, Router: m.Router, Incarnation: m.Incarnation(), Sequence: l.sequence, Tokens: giveBack,
		}}}
	}
}

// sendChanges sends the pending changes of the leases and waits for the answers.
func (m *LeaseManager) sendChanges(ctx context.Context, leases []*lease) {
	ctx, cancel := context.WithTimeout(ctx, changeTimeout)
	defer cancel()
	var wg sync.WaitGroup
	for _, l := range leases {
		wg.Go(func() { m.sendChange(ctx, l) })
	}
	wg.Wait()
}

// sendChange sends the pending change of a lease. If there is no answer, the change
// stays pending and is sent again with the same sequence number.
func (m *LeaseManager) sendChange(ctx context.Context, l *lease) {
	res, err := m.Control.Execute(ctx, l.pending)
	if err != nil {
		return
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	if res.GetKind() == wire.ResultKind_RESULT_KIND_OK && l.pending.GetGrantLease() != nil {
		l.unspent += res.GetTokens()
	}
	if res.GetKind() != wire.ResultKind_RESULT_KIND_OK {
		m.Log.Warn().Str("organisation", l.organisation).Str("result", res.GetMessage()).Msg("change of a lease was refused")
	}
	l.pending = nil
}

// report sends the tokens spent on leases to control. Control treats a report that is
// sent twice as a repetition.
func (m *LeaseManager) report(ctx context.Context) {
	m.mu.Lock()
	todo := make(map[buckthornpin.RequestKey]buckthornpin.Tokens, min(len(m.unbooked), maxConcurrentReports))
	for k, n := range m.unbooked {
		if len(todo) == maxConcurrentReports {
			break
		}
		todo[k] = n
	}
	m.mu.Unlock()
	ctx, cancel := context.WithTimeout(ctx, changeTimeout)
	defer cancel()
	var wg sync.WaitGroup
	for k, n := range todo {
		wg.Go(func() { m.reportSpending(ctx, k, n) })
	}
	wg.Wait()
}

func (m *LeaseManager) reportSpending(ctx context.Context, k buckthornpin.RequestKey, n buckthornpin.Tokens) {
	if _, err := m.Bill(ctx, k, n); err != nil {
		return
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	delete(m.unbooked, k)
}

// Bill charges a request that ran on a lease at control. The error has KindLost if
// control gave no answer.
func (m *LeaseManager) Bill(ctx context.Context, k buckthornpin.RequestKey, n buckthornpin.Tokens) (*wire.Result, error) {
	res, err := m.Control.Execute(ctx, &wire.Command{Op: &wire.Command_SettleLease{SettleLease: &wire.SettleLease{
		Organisation: k.Organisation, Key: k.Key, Router: m.Router, Incarnation: m.Incarnation(), Tokens: int64(n),
	}}})
	if err != nil {
		return nil, &Error{Op: "book", Kind: KindLost, Err: err}
	}
	if res.GetKind() != wire.ResultKind_RESULT_KIND_OK && res.GetKind() != wire.ResultKind_RESULT_KIND_ALREADY_RAN {
		m.Log.Error().Str("key", k.String()).Str("result", res.GetMessage()).Msg("spending on a lease was refused")
	}
	return res, nil
}
