package budget

import (
	"context"
	"expvar"
	"sync"
	"time"

	"github.com/rs/zerolog"

	"buckthornpin"
	"buckthornpin/wire"
)

const (
	// ReportInterval is the time between two reports to control.
	ReportInterval = 400 * time.Millisecond
	// reportTimeout bounds a report.
	reportTimeout = 1500 * time.Millisecond
	// urgentTimeout bounds a report that a request waits for.
	urgentTimeout = 250 * time.Millisecond
	// heardWithin is how lately control has to have answered for a request to
	// wait for it.
	heardWithin = 2 * time.Second
	// balanceLasts is how long what another router has told of its balance
	// counts.
	balanceLasts = 3 * time.Second
	// idleReports is the number of intervals after which an unchanged share is
	// reported too, so that control keeps counting it in.
	idleReports = 5
	// maxLenders bounds the routers that are asked for one request.
	maxLenders = 8
	// acquirePause is the time after a vain look for tokens in which further
	// requests are refused at once: balances are told anew about as often.
	acquirePause = 200 * time.Millisecond
	// transferTimeout bounds a call to another router.
	transferTimeout = 250 * time.Millisecond
	// surplusDivisor is the part of its target that a router may hold beyond it
	// before it gives the surplus back: what is held can be lost with the router,
	// but a smaller part would go back and forth with each request.
	surplusDivisor = 4
	// lowSpan is the time of demand below which a balance counts as low.
	lowSpan = time.Second
	// levelFactor is how many times the own balance another router has to hold
	// before a part of it is asked for without need.
	levelFactor = 2
)

// Committer commits commands at control.
type Committer interface {
	Execute(ctx context.Context, commands []*wire.Command) ([]*wire.Result, error)
}

// Lenders are the other routers.
type Lenders interface {
	AskTransfer(ctx context.Context, address string, r *wire.TransferRequest) (*wire.TransferReply, error)
	HandOver(ctx context.Context, address string, r *wire.GiveRequest) error
}

// Wallet holds a router process's shares of all budgets. Requests are covered
// from it without a message; control hears of the spending in batches. Its
// exported fields are set before Run.
type Wallet struct {
	Control Committer
	Lenders Lenders
	// Address and Incarnation name this process.
	Address     string
	Incarnation int64
	// Horizon is the time that the shares should last without control.
	Horizon time.Duration
	Log     zerolog.Logger

	mu      sync.Mutex
	shares  map[string]*share
	heardAt time.Time
	rounds  int
	metrics walletMetrics
	known   chan struct{}
	// closing says that the process is about to end and takes no more tokens.
	closing bool
}

// Open prepares the wallet. It comes before Know and Run.
func (w *Wallet) Open() { w.known = make(chan struct{}, 1) }

type walletMetrics struct {
	covered, elsewhere, spent, transfers, reports expvar.Int
}

// Metrics returns the wallet's counters.
func (w *Wallet) Metrics() expvar.Var {
	m := new(expvar.Map)
	m.Set("covered", &w.metrics.covered)
	m.Set("refused_elsewhere", &w.metrics.elsewhere)
	m.Set("refused_spent", &w.metrics.spent)
	m.Set("transfers", &w.metrics.transfers)
	m.Set("reports", &w.metrics.reports)
	return m
}

// share returns the share of a budget. The caller holds mu.
func (w *Wallet) share(organisation string) *share {
	if w.shares == nil {
		w.shares = map[string]*share{}
	}
	s := w.shares[organisation]
	if s == nil {
		s = newShare()
		s.dirty = true
		w.shares[organisation] = s
	}
	return s
}

// Know makes sure that a share of each budget is asked for at once, before its
// first request comes.
func (w *Wallet) Know(organisations []string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, o := range organisations {
		w.share(o)
	}
	select {
	case w.known <- struct{}{}:
	default:
	}
}

// Reserve implements relay.Funds.
func (w *Wallet) Reserve(ctx context.Context, organisation string, tokens int64) buckthornpin.Covering {
	w.mu.Lock()
	s := w.share(organisation)
	if w.closing {
		w.mu.Unlock()
		return buckthornpin.Covering{Cover: buckthornpin.CoveredElsewhere}
	}
	if s.reserve(tokens, time.Now()) {
		w.mu.Unlock()
		w.metrics.covered.Add(1)
		return buckthornpin.Covering{Cover: buckthornpin.Covered}
	}
	s.waiting += tokens
	w.mu.Unlock()
	cover := w.wait(ctx, organisation, s, tokens)
	w.mu.Lock()
	defer w.mu.Unlock()
	s.waiting -= tokens
	return w.covering(s, cover)
}

// covering counts an outcome and adds what it was decided on. The caller holds mu.
func (w *Wallet) covering(s *share, cover buckthornpin.Cover) buckthornpin.Covering {
	switch cover {
	case buckthornpin.Covered:
		w.metrics.covered.Add(1)
	case buckthornpin.BudgetSpent:
		w.metrics.spent.Add(1)
	default:
		w.metrics.elsewhere.Add(1)
	}
	return buckthornpin.Covering{Cover: cover, Balance: s.balance(), Others: s.others(), Free: s.free, ControlAge: time.Since(w.heardAt)}
}

// Settle implements relay.Funds.
func (w *Wallet) Settle(organisation string, reserved, spent int64) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.share(organisation).settle(reserved, spent, time.Now())
}
