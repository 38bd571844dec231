package budget

import (
	"context"
	"expvar"
	"maps"
	"slices"
	"sync"
	"time"

	"github.com/rs/zerolog"

	"buckthornpin/relay"
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
func (w *Wallet) Reserve(ctx context.Context, organisation string, tokens int64) relay.Covering {
	w.mu.Lock()
	s := w.share(organisation)
	if w.closing {
		w.mu.Unlock()
		return relay.Covering{Cover: relay.Elsewhere}
	}
	if s.reserve(tokens, time.Now()) {
		w.mu.Unlock()
		w.metrics.covered.Add(1)
		return relay.Covering{Cover: relay.Covered}
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
func (w *Wallet) covering(s *share, cover relay.Cover) relay.Covering {
	switch cover {
	case relay.Covered:
		w.metrics.covered.Add(1)
	case relay.Spent:
		w.metrics.spent.Add(1)
	default:
		w.metrics.elsewhere.Add(1)
	}
	return relay.Covering{Cover: cover, Balance: s.balance(), Others: s.others(), Free: s.free, ControlAge: time.Since(w.heardAt)}
}

// wait looks for tokens elsewhere until the request is covered or nothing more
// can be had.
func (w *Wallet) wait(ctx context.Context, organisation string, s *share, tokens int64) relay.Cover {
	tried := false
	for {
		w.mu.Lock()
		if s.reserve(tokens, time.Now()) {
			w.mu.Unlock()
			return relay.Covered
		}
		changed, leads := s.changed, !s.acquiring
		if leads && tried {
			verdict := w.verdict(s, tokens)
			w.mu.Unlock()
			return verdict
		}
		s.acquiring = s.acquiring || leads
		w.mu.Unlock()
		if leads {
			w.acquire(ctx, organisation, s)
			tried = true
			continue
		}
		select {
		case <-changed:
		case <-ctx.Done():
			return relay.Elsewhere
		}
	}
}

// verdict says whether the whole budget is known to be too small for a request.
// The caller holds mu.
func (w *Wallet) verdict(s *share, tokens int64) relay.Cover {
	if time.Since(w.heardAt) > heardWithin || s.reserved > 0 || s.balance()+s.free+s.others() >= tokens {
		return relay.Elsewhere
	}
	return relay.Spent
}

// acquire asks control, where it was heard lately, and then the other routers,
// the richest first.
func (w *Wallet) acquire(ctx context.Context, organisation string, s *share) {
	defer func() {
		w.mu.Lock()
		s.acquiring = false
		s.wake()
		w.mu.Unlock()
	}()
	w.mu.Lock()
	ask := time.Since(w.heardAt) <= heardWithin
	w.mu.Unlock()
	if ask {
		controlCtx, cancel := context.WithTimeout(ctx, urgentTimeout)
		w.report(controlCtx, []string{organisation})
		cancel()
	}
	for _, address := range w.richest(s) {
		lack := w.lack(s)
		if lack <= 0 || ctx.Err() != nil {
			return
		}
		w.borrow(ctx, organisation, s, address, lack)
	}
}

// lack returns what waiting requests lack.
func (w *Wallet) lack(s *share) int64 {
	w.mu.Lock()
	defer w.mu.Unlock()
	return s.waiting - s.balance()
}

// richest returns the routers that have told of a balance, the largest first.
func (w *Wallet) richest(s *share) []string {
	w.mu.Lock()
	defer w.mu.Unlock()
	var out []string
	for address, p := range s.peers {
		if p.tokens > 0 && time.Since(p.at) <= balanceLasts {
			out = append(out, address)
		}
	}
	slices.SortFunc(out, func(a, b string) int { return int(s.peers[b].tokens - s.peers[a].tokens) })
	return out
}

// borrow asks another router for tokens.
func (w *Wallet) borrow(ctx context.Context, organisation string, s *share, address string, tokens int64) {
	w.mu.Lock()
	r := &wire.TransferRequest{
		Vm: w.Address, Incarnation: w.Incarnation, Organisation: organisation, Tokens: tokens, Rate: int64(s.rate.now(time.Now())),
	}
	w.mu.Unlock()
	ctx, cancel := context.WithTimeout(ctx, transferTimeout)
	defer cancel()
	reply, err := w.Lenders.AskTransfer(ctx, address, r)
	if err != nil {
		w.Log.Info().Str("organisation", organisation).Str("router", address).Int64("tokens", tokens).Err(err).Msg("transfer failed")
		return
	}
	w.metrics.transfers.Add(1)
	w.mu.Lock()
	defer w.mu.Unlock()
	s.receive(peerKey{address: address, incarnation: reply.GetIncarnation()}, reply.GetTransferred())
	s.peers[address] = peerBalance{tokens: reply.GetBalance(), at: time.Now()}
}

// Settle implements relay.Funds.
func (w *Wallet) Settle(organisation string, reserved, spent int64) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.share(organisation).settle(reserved, spent, time.Now())
}

// Balances implements peer.Budgets.
func (w *Wallet) Balances() []*wire.BalanceState {
	w.mu.Lock()
	defer w.mu.Unlock()
	out := make([]*wire.BalanceState, 0, len(w.shares))
	for name, s := range w.shares {
		out = append(out, &wire.BalanceState{Organisation: name, Tokens: s.balance()})
	}
	return out
}

// TakeBalances implements peer.Budgets.
func (w *Wallet) TakeBalances(address string, _ int64, all []*wire.BalanceState) {
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, b := range all {
		w.share(b.GetOrganisation()).peers[address] = peerBalance{tokens: b.GetTokens(), at: time.Now()}
	}
}

// Donate implements peer.Budgets.
func (w *Wallet) Donate(r *wire.TransferRequest) *wire.TransferReply {
	w.mu.Lock()
	defer w.mu.Unlock()
	s := w.share(r.GetOrganisation())
	tokens := donation(s.balance(), r.GetTokens(), s.rate.now(time.Now()), float64(r.GetRate()))
	total := s.donate(peerKey{address: r.GetVm(), incarnation: r.GetIncarnation()}, tokens)
	return &wire.TransferReply{Incarnation: w.Incarnation, Transferred: total, Balance: s.balance()}
}

// Accept implements peer.Budgets.
func (w *Wallet) Accept(r *wire.GiveRequest) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.share(r.GetOrganisation()).receive(peerKey{address: r.GetVm(), incarnation: r.GetIncarnation()}, r.GetTransferred())
}

// Run reports to control and levels balances with other routers until ctx ends.
func (w *Wallet) Run(ctx context.Context) error {
	ticker := time.NewTicker(ReportInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-w.known:
		case <-ticker.C:
		}
		reportCtx, cancel := context.WithTimeout(ctx, reportTimeout)
		w.report(reportCtx, w.due())
		cancel()
		w.level(ctx)
	}
}

// due returns the budgets whose shares control has to hear of.
func (w *Wallet) due() []string {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.rounds++
	var out []string
	for name, s := range w.shares {
		if s.dirty || w.rounds%idleReports == 0 {
			out = append(out, name)
		}
	}
	slices.Sort(out)
	return out
}

// report tells control of shares and takes its grants.
func (w *Wallet) report(ctx context.Context, organisations []string) {
	if len(organisations) == 0 {
		return
	}
	c := &wire.ReportShares{Router: w.Address, Incarnation: w.Incarnation, HorizonMs: w.Horizon.Milliseconds()}
	w.mu.Lock()
	c.Closing = w.closing
	for _, name := range organisations {
		c.Shares = append(c.Shares, w.share(name).report(name, time.Now()))
	}
	w.mu.Unlock()
	results, err := w.Control.Execute(ctx, []*wire.Command{{Op: &wire.Command_ReportShares{ReportShares: c}}})
	if err != nil {
		w.mu.Lock()
		for _, name := range organisations {
			w.share(name).dirty = true
		}
		w.mu.Unlock()
		return
	}
	w.metrics.reports.Add(1)
	w.take(results[0].GetGrants())
}

func (s *share) report(name string, now time.Time) *wire.ShareReport {
	s.dirty = false
	return &wire.ShareReport{
		Organisation: name, Spent: s.spent, Returned: s.returned, Balance: s.balance(),
		Rate: int64(s.rate.now(now)), Need: max(s.waiting-s.balance(), 0), Largest: s.largest,
	}
}

func (w *Wallet) take(grants []*wire.ShareGrant) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.heardAt = time.Now()
	for _, g := range grants {
		s := w.share(g.GetOrganisation())
		s.grant(g.GetGranted())
		s.free = g.GetFree()
		switch {
		case g.GetRecalled():
			s.giveBack(s.balance())
		case s.waiting == 0 && s.balance()*surplusDivisor > (surplusDivisor+1)*g.GetTarget():
			s.giveBack(s.balance() - g.GetTarget())
		}
	}
}

// level asks another router for a part of its balance before the own one is spent,
// so that a request later finds what it needs here.
func (w *Wallet) level(ctx context.Context) {
	w.mu.Lock()
	type wish struct {
		name, address string
		s             *share
		tokens        int64
	}
	var wishes []wish
	now := time.Now()
	for name, s := range w.shares {
		low := int64(s.rate.now(now) * lowSpan.Seconds())
		if w.closing || s.balance() >= low {
			continue
		}
		if address, p := s.richest(now); p.tokens > levelFactor*max(s.balance(), 1) {
			wishes = append(wishes, wish{name: name, address: address, s: s, tokens: p.tokens})
		}
	}
	w.mu.Unlock()
	for _, x := range wishes {
		w.borrow(ctx, x.name, x.s, x.address, x.tokens)
	}
}

// Close gives the shares back at a stop. Other routers come first: they answer in
// a cut from control too, and return what they don't need. Only without any the
// shares go straight back to the budgets.
func (w *Wallet) Close(ctx context.Context, heirs []string) {
	w.mu.Lock()
	w.closing = true
	names := slices.Sorted(maps.Keys(w.shares))
	for _, s := range w.shares {
		if len(heirs) == 0 {
			s.giveBack(s.balance())
		}
	}
	w.mu.Unlock()
	var all sync.WaitGroup
	for i, name := range names {
		if len(heirs) > 0 {
			all.Go(func() { w.handOver(ctx, name, heirs[i%len(heirs)]) })
		}
	}
	all.Wait()
	w.report(ctx, names)
}

// handOver gives a share to another router, again and again until it answers or
// ctx ends.
func (w *Wallet) handOver(ctx context.Context, name, heir string) {
	w.mu.Lock()
	s := w.share(name)
	// The heir's incarnation isn't known before it answers, and doesn't matter:
	// this process ends and exchanges nothing else.
	total := s.donate(peerKey{address: heir}, s.balance())
	w.mu.Unlock()
	r := &wire.GiveRequest{Vm: w.Address, Incarnation: w.Incarnation, Organisation: name, Transferred: total}
	for total > 0 && ctx.Err() == nil {
		try, cancel := context.WithTimeout(ctx, transferTimeout)
		err := w.Lenders.HandOver(try, heir, r)
		cancel()
		if err == nil {
			return
		}
		w.Log.Warn().Str("organisation", name).Str("router", heir).Int64("tokens", total).Err(err).Msg("share wasn't handed over")
	}
}
