package budget

import (
	"context"
	"expvar"
	"sync"
	"time"

	"github.com/rs/zerolog"

	"buckthornpin"
	"buckthornpin/clock"
	"buckthornpin/wire"
)

const (
	// ReportInterval is the time between two reports to control.
	ReportInterval = 400 * time.Millisecond
	// reportTimeout bounds a report.
	reportTimeout = 1500 * time.Millisecond
	// urgentTimeout bounds a report that a waiting request triggers. Control that has left a
	// report unanswered for longer isn't asked on behalf of a request.
	urgentTimeout = 250 * time.Millisecond
	// controlWaitDivisor divides the time that a request has left into the part in which it
	// waits for control alone. In the rest, other routers are asked.
	controlWaitDivisor = 3
	// maxControlSilence is the time since control's last answer after which control's view of a
	// budget no longer decides a refusal, and a stopping router doesn't report to it first.
	maxControlSilence = 2 * time.Second
	// maxBalanceAge is how long a balance reported by another router is considered valid.
	maxBalanceAge = 3 * time.Second
	// idleReportRounds is the number of intervals after which an unchanged share is
	// reported too, so that control still takes it into account.
	idleReportRounds = 5
	// maxLenders bounds the routers that are asked for tokens on behalf of one request.
	maxLenders = 8
	// acquireBackoff is the time after a failed attempt to acquire tokens during which
	// further requests are refused at once. New balances of other routers arrive at
	// about this interval.
	acquireBackoff = 200 * time.Millisecond
	// transferTimeout bounds a call to another router.
	transferTimeout = 250 * time.Millisecond
	// surplusDivisor sets how far a balance may exceed its target before the surplus is
	// given back: by one part in surplusDivisor of the target. Tokens that a router
	// holds can be lost with it, but a smaller tolerance would move tokens back and forth
	// with each request.
	surplusDivisor = 4
	// lowBalanceTime is how long a balance has to last at the current demand. A balance
	// that wouldn't last as long is low.
	lowBalanceTime = time.Second
	// rebalanceFactor is how many times this router's own balance another router has to
	// hold before it is asked for a part of it although no request needs it yet.
	rebalanceFactor = 2
)

// Committer commits commands at control.
type Committer interface {
	Execute(ctx context.Context, commands []*wire.Command) ([]*wire.Result, error)
}

// Lenders transfers tokens between this router and others.
type Lenders interface {
	AskTransfer(ctx context.Context, address string, r *wire.TransferRequest) (*wire.TransferReply, error)
	HandOver(ctx context.Context, address string, r *wire.GiveRequest) error
}

// ShareManager holds a router process's shares of all budgets. Requests are covered from the
// shares without a message to control, and spending is reported to control in batches.
// The exported fields are set before Run.
type ShareManager struct {
	Control Committer
	Lenders Lenders
	// Address and Incarnation identify this process.
	Address     string
	Incarnation int64
	// Horizon is how long the shares should last without control.
	Horizon time.Duration
	// ReadBoot reads the boot clock of this VM; if nil, the use of the shares isn't limited.
	ReadBoot func() clock.Boot
	// LimitTime is how long a limit on the use of a share holds. Control can take back the
	// unused part if the next process on the VM starts within that time.
	LimitTime time.Duration
	Log       zerolog.Logger

	mu     sync.Mutex
	shares map[string]*share
	// boot is read before the first report. The process listens by then, so that no earlier
	// process of the VM is left.
	boot       clock.Boot
	lastAnswer time.Time
	// unansweredSince is when the first report after control's last answer was sent, or
	// zero.
	unansweredSince time.Time
	rounds          int
	metrics         shareMetrics
	reportNow       chan struct{}
	// closing is true once the process is stopping and accepts no more tokens.
	closing bool
}

// Open initializes the manager. It must be called before RequestShares and Run.
func (m *ShareManager) Open() { m.reportNow = make(chan struct{}, 1) }

type shareMetrics struct {
	covered, refusedElsewhere, refusedSpent, transfers, reports expvar.Int
}

// Metrics returns the manager's counters.
func (m *ShareManager) Metrics() expvar.Var {
	vars := new(expvar.Map)
	vars.Set("covered", &m.metrics.covered)
	vars.Set("refused_elsewhere", &m.metrics.refusedElsewhere)
	vars.Set("refused_spent", &m.metrics.refusedSpent)
	vars.Set("transfers", &m.metrics.transfers)
	vars.Set("reports", &m.metrics.reports)
	return vars
}

// share returns the share of a budget, and creates it if there is none. The caller
// holds mu.
func (m *ShareManager) share(organisation string) *share {
	if m.shares == nil {
		m.shares = map[string]*share{}
	}
	s := m.shares[organisation]
	if s == nil {
		s = newShare()
		s.dirty = true
		m.shares[organisation] = s
	}
	return s
}

// RequestShares makes Run request a share of each organisation's budget from control at
// once, before the first request of the organisation arrives. It doesn't wait.
func (m *ShareManager) RequestShares(organisations []string) {
	m.mu.Lock()
	defer m.mu.Unlock()
	for _, o := range organisations {
		m.share(o)
	}
	select {
	case m.reportNow <- struct{}{}:
	default:
	}
}

// Reserve implements relay.Funds.
func (m *ShareManager) Reserve(ctx context.Context, organisation string, tokens int64) buckthornpin.ReservationResult {
	if !buckthornpin.IsTokenCount(tokens) {
		m.Log.Error().Str("organisation", organisation).Int64("tokens", tokens).Msg("reservation isn't a token count")
		return buckthornpin.ReservationResult{Coverage: buckthornpin.InvalidBound}
	}
	m.mu.Lock()
	s := m.share(organisation)
	if m.closing {
		m.mu.Unlock()
		return buckthornpin.ReservationResult{Coverage: buckthornpin.MaybeCoveredElsewhere}
	}
	if s.reserve(tokens, time.Now()) {
		m.mu.Unlock()
		m.metrics.covered.Add(1)
		return buckthornpin.ReservationResult{Coverage: buckthornpin.Covered}
	}
	if !buckthornpin.IsTokenCount(s.waiting + tokens) {
		defer m.mu.Unlock()
		return m.recordOutcome(s, buckthornpin.MaybeCoveredElsewhere)
	}
	s.waiting += tokens
	m.mu.Unlock()
	cover := m.waitForTokens(ctx, organisation, s, tokens)
	m.mu.Lock()
	defer m.mu.Unlock()
	s.waiting -= tokens
	return m.recordOutcome(s, cover)
}

// recordOutcome counts an outcome and returns it with the figures it was based on. The
// caller holds mu.
func (m *ShareManager) recordOutcome(s *share, cover buckthornpin.Coverage) buckthornpin.ReservationResult {
	switch cover {
	case buckthornpin.Covered:
		m.metrics.covered.Add(1)
	case buckthornpin.BudgetSpent:
		m.metrics.refusedSpent.Add(1)
	default:
		m.metrics.refusedElsewhere.Add(1)
	}
	return buckthornpin.ReservationResult{
		Coverage: cover, Balance: s.balance(), OtherBalances: s.peerTokens(), Free: s.free,
		Total: s.account.total, Spent: s.account.spent, Unaccounted: s.account.total - s.free - s.account.spent - s.account.held,
		ControlAge: time.Since(m.lastAnswer),
	}
}

// Settle implements relay.Funds.
func (m *ShareManager) Settle(organisation string, reserved, spent int64) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.share(organisation).settle(reserved, spent, time.Now())
}
