package budget

import (
	"context"
	"slices"
	"time"

	"buckthornpin/wire"
)

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
		name string
		s    *share
		from lender
	}
	var wishes []wish
	now := time.Now()
	for name, s := range w.shares {
		low := int64(s.rate.now(now) * lowSpan.Seconds())
		if w.closing || s.balance() >= low {
			continue
		}
		if all := s.richest(now); len(all) > 0 && all[0].tokens > levelFactor*max(s.balance(), 1) {
			wishes = append(wishes, wish{name: name, s: s, from: all[0]})
		}
	}
	w.mu.Unlock()
	for _, x := range wishes {
		w.borrow(ctx, x.name, x.s, x.from.address, x.from.tokens)
	}
}
