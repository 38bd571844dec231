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
	// CutAfter is the silence of control after which a router counts itself as
	// cut off.
	CutAfter = 3 * time.Second
	// tick is the time between two looks at the leases.
	tick = 250 * time.Millisecond
	// changeTimeout bounds one try of a change to a lease.
	changeTimeout = 2 * time.Second
	// rateMemory is the time over which the demand is averaged.
	rateMemory = 10 * time.Second
	// reportsAtOnce bounds the reports under way.
	reportsAtOnce = 64
	// maxLater bounds the commands that wait for control.
	maxLater = 10000
)

// Control is the control group as the purse sees it.
type Control interface {
	Execute(ctx context.Context, c *wire.Command) (*wire.Result, error)
}

// Purse holds the leases of one router. Its exported fields are set before
// Open.
type Purse struct {
	Control Control
	Router  string
	// Incarnation is the number under which control knows this process.
	Incarnation func() int64
	// Heard returns when control was last heard.
	Heard func() time.Time
	// Recalled reports whether control calls the leases on a budget back.
	Recalled func(organisation string) bool
	Policy   Policy
	// Percent is the largest share of a free budget that one grant may take.
	Percent int32
	Events  buckthornpin.Recorder
	Log     zerolog.Logger

	mu      sync.Mutex
	leases  map[string]*lease
	journal map[buckthornpin.RequestKey]buckthornpin.Tokens
	later   []*wire.Command
	closed  bool
	spent   expvar.Int
}

// lease is the part of one budget that the router may spend.
type lease struct {
	organisation string
	have         int64
	rate         float64
	taken        int64
	largest      int64
	used         time.Time
	sequence     int64
	// pending is the change that control hasn't answered yet.
	pending *wire.Command
}

// Open prepares the purse.
func (p *Purse) Open() {
	p.leases = map[string]*lease{}
	p.journal = map[buckthornpin.RequestKey]buckthornpin.Tokens{}
}

// Cut reports whether control has been silent for long.
func (p *Purse) Cut() bool { return time.Since(p.Heard()) > CutAfter }

// Take sets tokens of a lease aside for a request; it reports whether the lease
// covers them. It also notes the demand.
func (p *Purse) Take(organisation string, tokens buckthornpin.Tokens) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	l := p.leases[organisation]
	if l == nil {
		l = &lease{organisation: organisation}
		p.leases[organisation] = l
	}
	n := int64(tokens)
	l.taken += n
	l.largest = max(l.largest, n)
	l.used = time.Now()
	if l.have < n {
		return false
	}
	l.have -= n
	return true
}

// Return gives back what a request didn't spend.
func (p *Purse) Return(organisation string, tokens buckthornpin.Tokens) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.leases[organisation].have += int64(tokens)
}

// Spend books tokens that were taken for a request; the report to control
// follows as soon as control can be reached.
func (p *Purse) Spend(k buckthornpin.RequestKey, tokens buckthornpin.Tokens) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.journal[k] = tokens
	p.spent.Add(int64(tokens))
	p.Events.Record(buckthornpin.Event{Kind: buckthornpin.EventLease, Organisation: k.Organisation, Request: k.Key, Detail: "spent on the lease"})
}

// Later sends an idempotent command as soon as control can be reached. The
// oldest ones are dropped where too many wait; the end of their reservations'
// hold time does their work then.
func (p *Purse) Later(c *wire.Command) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.later = append(p.later, c)
	p.later = p.later[max(len(p.later)-maxLater, 0):]
}

// sendLater sends the commands that wait, in their order.
func (p *Purse) sendLater(ctx context.Context) {
	p.mu.Lock()
	todo := p.later
	p.later = nil
	p.mu.Unlock()
	ctx, cancel := context.WithTimeout(ctx, changeTimeout)
	defer cancel()
	for len(todo) > 0 {
		if _, err := p.Control.Execute(ctx, todo[0]); err != nil {
			p.mu.Lock()
			p.later = append(todo, p.later...)
			p.mu.Unlock()
			return
		}
		todo = todo[1:]
	}
}

// Unreported counts the spendings that control hasn't booked yet.
func (p *Purse) Unreported() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return len(p.journal)
}

// Metrics returns the purse's counters.
func (p *Purse) Metrics() *expvar.Map {
	m := new(expvar.Map)
	m.Set("spent_on_leases", &p.spent)
	m.Set("unreported", expvar.Func(func() any { return p.Unreported() }))
	m.Set("leased", expvar.Func(func() any { return p.leased() }))
	return m
}

func (p *Purse) leased() int64 {
	p.mu.Lock()
	defer p.mu.Unlock()
	n := int64(0)
	for _, l := range p.leases {
		n += l.have
	}
	return n
}

// Run keeps the leases at the size that the policy wants, and reports what was
// spent, until ctx ends.
func (p *Purse) Run(ctx context.Context) error {
	buckthornpin.Every(ctx, tick, func(ctx context.Context, now time.Time) {
		p.report(ctx)
		p.sendLater(ctx)
		p.changeAll(ctx, p.plan(now))
	})
	return nil
}

// Close gives all leases back at a graceful stop.
func (p *Purse) Close(ctx context.Context) {
	p.mu.Lock()
	p.closed = true
	p.mu.Unlock()
	p.report(ctx)
	p.sendLater(ctx)
	p.changeAll(ctx, p.plan(time.Now()))
	p.changeAll(ctx, p.plan(time.Now()))
}

// plan returns the leases whose change has to be sent, new or again.
func (p *Purse) plan(now time.Time) []*lease {
	p.mu.Lock()
	defer p.mu.Unlock()
	var out []*lease
	for _, l := range p.leases {
		p.planOne(l, now)
		if l.pending != nil {
			out = append(out, l)
		}
	}
	return out
}

func (p *Purse) planOne(l *lease, now time.Time) {
	weight := math.Exp(-tick.Seconds() / rateMemory.Seconds())
	l.rate = l.rate*weight + float64(l.taken)/tick.Seconds()*(1-weight)
	l.taken = 0
	if l.pending != nil {
		return
	}
	ask, giveBack := p.Policy.Plan(Demand{
		Have: l.have, Rate: l.rate, Largest: l.largest, Idle: now.Sub(l.used),
		Recalled: p.closed || p.Recalled(l.organisation),
	})
	switch {
	case ask > 0:
		l.sequence++
		l.pending = &wire.Command{Op: &wire.Command_GrantLease{GrantLease: &wire.GrantLease{
			Organisation: l.organisation, Router: p.Router, Incarnation: p.Incarnation(), Sequence: l.sequence,
			Tokens: ask, MinTokens: l.largest, MaxPercent: p.Percent,
		}}}
	case giveBack > 0:
		l.sequence++
		l.have -= giveBack
		l.pending = &wire.Command{Op: &wire.Command_CloseLease{CloseLease: &wire.CloseLease{
			Organisation: l.organisation, Router: p.Router, Incarnation: p.Incarnation(), Sequence: l.sequence, Tokens: giveBack,
		}}}
	}
}

// changeAll sends the pending changes and waits for their answers.
func (p *Purse) changeAll(ctx context.Context, ls []*lease) {
	ctx, cancel := context.WithTimeout(ctx, changeTimeout)
	defer cancel()
	var all sync.WaitGroup
	for _, l := range ls {
		all.Go(func() { p.change(ctx, l) })
	}
	all.Wait()
}

// change sends a lease's pending change. Without an answer it stays pending and
// is sent again under its number.
func (p *Purse) change(ctx context.Context, l *lease) {
	res, err := p.Control.Execute(ctx, l.pending)
	if err != nil {
		return
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	if res.GetKind() == wire.ResultKind_RESULT_KIND_OK && l.pending.GetGrantLease() != nil {
		l.have += res.GetTokens()
	}
	if res.GetKind() != wire.ResultKind_RESULT_KIND_OK {
		p.Log.Warn().Str("organisation", l.organisation).Str("result", res.GetMessage()).Msg("change of a lease was refused")
	}
	l.pending = nil
}

// report books what was spent on leases at control. A report sent twice is a
// repeat there.
func (p *Purse) report(ctx context.Context) {
	p.mu.Lock()
	todo := make(map[buckthornpin.RequestKey]buckthornpin.Tokens, min(len(p.journal), reportsAtOnce))
	for k, n := range p.journal {
		if len(todo) == reportsAtOnce {
			break
		}
		todo[k] = n
	}
	p.mu.Unlock()
	ctx, cancel := context.WithTimeout(ctx, changeTimeout)
	defer cancel()
	var all sync.WaitGroup
	for k, n := range todo {
		all.Go(func() { p.reportOne(ctx, k, n) })
	}
	all.Wait()
}

func (p *Purse) reportOne(ctx context.Context, k buckthornpin.RequestKey, n buckthornpin.Tokens) {
	if _, err := p.Book(ctx, k, n); err != nil {
		return
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	delete(p.journal, k)
}

// Book bills a request that ran on a lease at control.
func (p *Purse) Book(ctx context.Context, k buckthornpin.RequestKey, n buckthornpin.Tokens) (*wire.Result, error) {
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
