package budget

import (
	"context"
	"slices"
	"time"

	"buckthornpin/wire"
)

// Run reports to control and rebalances tokens between routers until ctx ends. It
// always returns nil.
func (w *ShareManager) Run(ctx context.Context) error {
	ticker := time.NewTicker(ReportInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-w.reportNow:
		case <-ticker.C:
		}
		reportCtx, cancel := context.WithTimeout(ctx, reportTimeout)
		w.report(reportCtx, w.organisationsToReport())
		cancel()
		w.rebalance(ctx)
	}
}

// organisationsToReport returns the organisations whose shares are due to be reported
// to control.
func (w *ShareManager) organisationsToReport() []string {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.rounds++
	var out []string
	for name, s := range w.shares {
		if s.dirty || w.rounds%idleReportRounds == 0 {
			out = append(out, name)
		}
	}
	slices.Sort(out)
	return out
}

// report reports shares to control and applies the grants in its answer.
func (w *ShareManager) report(ctx context.Context, organisations []string) {
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
	w.applyGrants(results[0].GetGrants())
}

func (s *share) report(name string, now time.Time) *wire.ShareReport {
	s.dirty = false
	return &wire.ShareReport{
		Organisation: name, Spent: s.spent, Returned: s.returned, Balance: s.balance(),
		Rate: int64(s.rate.perSecond(now)), Need: max(s.waiting-s.balance(), 0), Largest: s.largestBound,
	}
}

func (w *ShareManager) applyGrants(grants []*wire.ShareGrant) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.lastAnswer = time.Now()
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

// rebalance asks another router for a part of its balance before this router's own
// balance is spent, so that later requests find enough tokens here.
func (w *ShareManager) rebalance(ctx context.Context) {
	w.mu.Lock()
	type loan struct {
		name string
		s    *share
		from lender
	}
	var loans []loan
	now := time.Now()
	for name, s := range w.shares {
		lowBalance := int64(s.rate.perSecond(now) * lowBalanceTime.Seconds())
		if w.closing || s.balance() >= lowBalance {
			continue
		}
		if lenders := s.lendersByBalance(now); len(lenders) > 0 && lenders[0].tokens > rebalanceFactor*max(s.balance(), 1) {
			loans = append(loans, loan{name: name, s: s, from: lenders[0]})
		}
	}
	w.mu.Unlock()
	for _, l := range loans {
		w.borrow(ctx, l.name, l.s, l.from.address, l.from.tokens)
	}
}
