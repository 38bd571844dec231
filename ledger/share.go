package ledger

import (
	"cmp"
	"slices"

	"buckthornpin/wire"
)

const (
	// silentHorizons is for how many horizons a silent router counts in the division
	// of a budget: through a cut its demand goes on, and what is handed out to those
	// that report first must not be divided by them alone.
	silentHorizons = 3
	// grantDivisor bounds one grant to this part of what is free, so that routers
	// which report later find something left.
	grantDivisor = 4
	// leastRouters is the number of routers that a budget without demand is divided
	// by at least: the first ones to report after a start don't know of the others.
	leastRouters = 16
	// outDivisor is the part of what no router has spent that is handed out. Where a
	// budget nears its end, tokens that stay at control are only spent later, while
	// those that a lost router held are spent never.
	outDivisor = 2
	// idleDivisor is the part of a budget without demand that is handed out.
	idleDivisor = 4
	// fewRequests is how many of the largest requests all routers together hold at
	// least: one may come at each of a few zones in a cut.
	fewRequests = 4
	// ownSpanMS is the time for which a router holds its own demand: a few reports
	// to control, and what borrowing from another router takes.
	ownSpanMS = 1_500
)

// shareKey names one router process.
type shareKey struct {
	router      string
	incarnation int64
}

// allowance is a prepaid total and the shares of it that router processes hold.
// The sum of what was granted and not given back never passes the total at the
// time of a grant.
type allowance struct {
	total  int64
	shares map[shareKey]*wire.ShareState
	// out is the sum of what was granted and not given back.
	out int64
}

// Site returns the site's configuration in force, nil before the first.
func (l *Ledger) Site() *wire.SiteState { return l.site }

// putSite puts a configuration in force if its version is the highest.
func (l *Ledger) putSite(c *wire.PutSite) *wire.Result {
	if c.GetVersion() <= l.site.GetVersion() {
		return &wire.Result{Kind: wire.ResultKind_RESULT_KIND_OK, Version: l.site.GetVersion()}
	}
	l.site = &wire.SiteState{Version: c.GetVersion(), Document: c.GetDocument(), Format: c.GetFormat()}
	for _, t := range c.GetTotals() {
		l.allowance(t.GetOrganisation()).total = t.GetTokens()
	}
	l.nextRevision()
	return &wire.Result{Kind: wire.ResultKind_RESULT_KIND_OK, Version: c.GetVersion()}
}

func (l *Ledger) allowance(organisation string) *allowance {
	a := l.allowances[organisation]
	if a == nil {
		a = &allowance{shares: map[shareKey]*wire.ShareState{}}
		l.allowances[organisation] = a
	}
	return a
}

// reportShares takes what a router process says of its shares and hands out
// more.
func (l *Ledger) reportShares(c *wire.ReportShares) *wire.Result {
	out := &wire.Result{Kind: wire.ResultKind_RESULT_KIND_OK}
	k := shareKey{router: c.GetRouter(), incarnation: c.GetIncarnation()}
	for _, r := range c.GetShares() {
		out.Grants = append(out.Grants, l.reportShare(k, r, c))
	}
	return out
}

func (l *Ledger) reportShare(k shareKey, r *wire.ShareReport, c *wire.ReportShares) *wire.ShareGrant {
	a := l.allowance(r.GetOrganisation())
	s := a.shares[k]
	if s == nil {
		s = &wire.ShareState{Organisation: r.GetOrganisation(), Router: k.router, Incarnation: k.incarnation}
		a.succeed(k)
		a.shares[k] = s
	}
	if r.GetReturned() > s.GetReturned() {
		a.out -= r.GetReturned() - s.GetReturned()
		s.Returned = r.GetReturned()
	}
	s.Spent = max(s.GetSpent(), r.GetSpent())
	s.Balance, s.Rate, s.AtMs = r.GetBalance(), r.GetRate(), l.nowMS
	if c.GetClosing() {
		s.Rate, s.AtMs = 0, 0
		return &wire.ShareGrant{Organisation: r.GetOrganisation(), Granted: s.GetGranted()}
	}
	target := a.target(s, r.GetLargest(), c.GetHorizonMs(), l.nowMS)
	tokens := a.grant(s, target, r.GetNeed())
	s.Granted += tokens
	s.Balance += tokens
	a.out += tokens
	return &wire.ShareGrant{
		Organisation: r.GetOrganisation(), Granted: s.GetGranted(), Recalled: a.out > a.total,
		Free: max(a.total-a.out, 0), Target: target,
	}
}

// succeed takes the earlier processes of a router out of the division.
func (a *allowance) succeed(k shareKey) {
	for old, s := range a.shares {
		if old.router == k.router {
			s.Rate, s.AtMs, s.Balance = 0, 0, 0
		}
	}
}

// target returns how many unspent tokens a router should hold. All routers
// together hold what the demand takes over the horizon, but no more than a part
// of what no router has spent: what isn't handed out can't be lost with a router.
// Each holds what its own demand takes for a moment, and an even part of the
// rest, whose owner borrows it in a cut: so a lost router takes little with it
// even if one organisation calls only there. As long as there is enough, a few
// requests of the largest size seen are covered by all together, however low the
// demand.
func (a *allowance) target(s *wire.ShareState, largest, horizonMS, nowMS int64) int64 {
	pool, rates, n := max(a.total-a.out, 0), int64(0), int64(0)
	for _, o := range a.shares {
		if o.GetAtMs() > 0 && nowMS-o.GetAtMs() <= silentHorizons*horizonMS {
			pool += max(o.GetBalance(), 0)
			rates += o.GetRate()
			n++
		}
	}
	if rates == 0 {
		return pool / (max(n, leastRouters) * idleDivisor)
	}
	span := min(ownSpanMS, horizonMS)
	own := float64(s.GetRate()) * float64(span) / 1000
	common := float64(rates) * float64(horizonMS-span) / 1000 / float64(n)
	all := float64(rates) * float64(horizonMS) / 1000
	scale := min(1, float64(pool)/outDivisor/all)
	few := min(float64(pool)/idleDivisor, fewRequests*float64(largest)) / float64(n)
	return int64(max(scale*(own+common), few))
}

// grant returns how many tokens a router gets now: what lacks to its target, and
// at least what a waiting request lacks.
func (a *allowance) grant(s *wire.ShareState, target, need int64) int64 {
	free := a.total - a.out
	if free <= 0 {
		return 0
	}
	part := min(target-s.GetBalance(), free/grantDivisor)
	return max(part, min(need, free), 0)
}

// Shares returns the shares of all router processes, ordered by organisation,
// router and incarnation.
func (l *Ledger) Shares() []*wire.ShareState {
	var out []*wire.ShareState
	for _, a := range l.allowances {
		for _, s := range a.shares {
			out = append(out, s)
		}
	}
	slices.SortFunc(out, func(a, b *wire.ShareState) int {
		return cmp.Or(
			cmp.Compare(a.GetOrganisation(), b.GetOrganisation()),
			cmp.Compare(a.GetRouter(), b.GetRouter()),
			cmp.Compare(a.GetIncarnation(), b.GetIncarnation()),
		)
	})
	return out
}

// Totals returns the prepaid totals, ordered by organisation.
func (l *Ledger) Totals() []*wire.OrganisationTotal {
	var out []*wire.OrganisationTotal
	for name, a := range l.allowances {
		out = append(out, &wire.OrganisationTotal{Organisation: name, Tokens: a.total})
	}
	slices.SortFunc(out, func(a, b *wire.OrganisationTotal) int { return cmp.Compare(a.GetOrganisation(), b.GetOrganisation()) })
	return out
}

func (l *Ledger) restoreShares(totals []*wire.OrganisationTotal, shares []*wire.ShareState) {
	for _, t := range totals {
		l.allowance(t.GetOrganisation()).total = t.GetTokens()
	}
	for _, s := range shares {
		a := l.allowance(s.GetOrganisation())
		a.shares[shareKey{router: s.GetRouter(), incarnation: s.GetIncarnation()}] = s
		a.out += s.GetGranted() - s.GetReturned()
	}
}
