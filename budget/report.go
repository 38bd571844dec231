package budget

import (
	"context"
	"slices"
	"strings"
	"time"

	"buckthornpin/wire"
)

// Run reports to control and rebalances tokens between routers until ctx ends. It
// always returns nil.
func (m *ShareManager) Run(ctx context.Context) error {
	due := time.Now().Add(ReportInterval)
	for m.waitForReport(ctx, due) {
		if now := time.Now(); !now.Before(due) {
			due = now.Add(ReportInterval)
		}
		reportCtx, cancel := context.WithTimeout(ctx, reportTimeout)
		m.report(reportCtx, m.organisationsToReport())
		cancel()
		m.rebalance(ctx)
	}
	return nil
}

// waitForReport waits until a report is due or requested. It reports whether to go on.
func (m *ShareManager) waitForReport(ctx context.Context, due time.Time) bool {
	d := time.Until(due)
	if d <= 0 {
		return ctx.Err() == nil
	}
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-m.reportNow:
	case <-t.C:
	}
	return true
}

// organisationsToReport returns the organisations whose shares are due to be reported
// to control.
func (m *ShareManager) organisationsToReport() []string {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.rounds++
	now := time.Now()
	var out []string
	for name, s := range m.shares {
		if s.dirty || m.rounds%idleReportRounds == 0 || m.limitIsOld(s, now) {
			out = append(out, name)
		}
	}
	slices.Sort(out)
	return out
}

// report reports shares to control and applies the grants in its answer.
func (m *ShareManager) report(ctx context.Context, organisations []string) {
	if len(organisations) == 0 {
		return
	}
	c := &wire.ReportShares{Router: m.Address, Incarnation: m.Incarnation, HorizonMs: m.Horizon.Milliseconds()}
	m.mu.Lock()
	now := time.Now()
	if m.boot.ID == 0 && m.ReadBoot != nil {
		m.boot = m.ReadBoot()
	}
	c.Closing, c.Boot, c.StartedNs = m.closing, m.boot.ID, m.boot.ReadingNS
	for _, name := range organisations {
		s := m.share(name)
		r := s.report(name, now)
		r.Limit, r.Received = m.nextLimit(s, now), s.reportedReceived()
		c.Shares = append(c.Shares, r)
	}
	if m.unansweredSince.IsZero() {
		m.unansweredSince = now
	}
	m.mu.Unlock()
	results, err := m.Control.Execute(ctx, []*wire.Command{{Op: &wire.Command_ReportShares{ReportShares: c}}})
	if err != nil {
		m.mu.Lock()
		for _, name := range organisations {
			m.share(name).dirty = true
		}
		m.mu.Unlock()
		return
	}
	m.metrics.reports.Add(1)
	m.confirmLimits(c.GetShares())
	m.applyGrants(results[0].GetGrants())
}

// confirmLimits records that control has applied the limits of a report.
func (m *ShareManager) confirmLimits(reports []*wire.ShareReport) {
	m.mu.Lock()
	defer m.mu.Unlock()
	for _, r := range reports {
		m.share(r.GetOrganisation()).confirmLimit(r.GetLimit().GetSequence())
	}
}

func (s *share) report(name string, now time.Time) *wire.ShareReport {
	s.dirty = false
	return &wire.ShareReport{
		Organisation: name, Spent: s.spent, Returned: s.returned, Balance: s.balance(),
		Rate: int64(s.rate.perSecond(now)), Need: max(s.waiting-s.balance(), 0), Largest: s.largestBound,
	}
}

func (m *ShareManager) applyGrants(grants []*wire.ShareGrant) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.lastAnswer = time.Now()
	m.unansweredSince = time.Time{}
	for _, g := range grants {
		s := m.share(g.GetOrganisation())
		m.logEndedShares(g)
		s.grant(g.GetGranted())
		s.free = g.GetFree()
		s.account = account{total: g.GetTotal(), spent: g.GetSpent(), held: g.GetHeld(), largestBound: g.GetLargest()}
		switch {
		case g.GetRecalled():
			s.giveBack(s.balance())
		case !m.closing && s.waiting == 0 && s.balance()*surplusDivisor > (surplusDivisor+1)*g.GetTarget():
			s.giveBack(s.balance() - g.GetTarget())
		}
	}
}

// logEndedShares logs what control has taken back of this router's earlier processes.
func (m *ShareManager) logEndedShares(g *wire.ShareGrant) {
	for _, e := range g.GetEnded() {
		reason, _ := strings.CutPrefix(e.GetReason().String(), "END_REASON_")
		m.Log.Info().Str("organisation", g.GetOrganisation()).Int64("incarnation", e.GetIncarnation()).Int64("held", e.GetHeld()).
			Int64("taken_back", e.GetTakenBack()).Str("reason", strings.ToLower(reason)).Int64("free", g.GetFree()).Int64("total", g.GetTotal()).
			Msg("share of an earlier process has ended")
	}
}

// rebalance asks another router for a part of its balance before this router's own
// balance is spent, so that later requests find enough tokens here.
func (m *ShareManager) rebalance(ctx context.Context) {
	m.mu.Lock()
	type loan struct {
		name string
		s    *share
		from lender
	}
	var loans []loan
	now := time.Now()
	for name, s := range m.shares {
		lowBalance := int64(s.rate.perSecond(now) * lowBalanceTime.Seconds())
		if m.closing || s.balance() >= lowBalance {
			continue
		}
		if lenders := s.lendersByBalance(now, maxBalanceAge); len(lenders) > 0 && lenders[0].tokens > rebalanceFactor*max(s.balance(), 1) {
			loans = append(loans, loan{name: name, s: s, from: lenders[0]})
		}
	}
	m.mu.Unlock()
	for _, l := range loans {
		m.borrow(ctx, l.name, l.s, l.from.address, l.from.tokens)
	}
}
