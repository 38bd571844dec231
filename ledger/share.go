package ledger

import (
	"cmp"
	"fmt"
	"slices"

	"buckthornpin"
	"buckthornpin/wire"
)

const (
	// silentHorizons is the number of horizons for which a router that doesn't report
	// still counts when a budget is divided. Its demand continues during a network
	// partition, and the routers that report first must not divide the budget among
	// themselves alone.
	silentHorizons = 3
	// grantDivisor limits one grant to the free tokens divided by it, so that some are
	// left for routers that report later.
	grantDivisor = 4
	// minRouters is the smallest number of routers by which a budget without demand
	// is divided, because when the first ones report after a start the others aren't
	// known yet.
	minRouters = 16
	// outstandingDivisor limits the tokens handed out for the demand to the unspent
	// ones divided by it. When a budget is nearly used up, tokens kept at control are
	// merely spent later, while those held by a lost router are never spent.
	outstandingDivisor = 2
	// lastOutstandingDivisor takes its place when less than the total divided by
	// lastDivisor is unspent. Routers then hold less than they would lose in a kill, and
	// ask control more often.
	lastOutstandingDivisor = 8
	lastDivisor            = 5
	// idleDivisor limits the tokens handed out without demand to the unspent ones
	// divided by it.
	idleDivisor = 4
	// minLargestRequests is the number of requests of the largest size that all
	// routers together must be able to cover: during a network partition one may
	// arrive in each of a few zones.
	minLargestRequests = 4
	// ownDemandSpanMS is the time for which a router holds tokens for its own demand.
	// It covers a few reports to control and borrowing from another router.
	ownDemandSpanMS = 1_500
)

// shareKey identifies one router process.
type shareKey struct {
	router      string
	incarnation int64
}

// allowance holds a prepaid total and the shares of it that router processes hold.
// A grant never raises the tokens granted and not returned above the total at that
// time.
type allowance struct {
	total  int64
	shares map[shareKey]*wire.ShareState
	// outstanding is the number of tokens granted and not returned.
	outstanding int64
}

// Site returns the site configuration in force, or nil if there is none yet.
func (l *Ledger) Site() *wire.SiteState { return l.site }

// putSite puts a site configuration in force if its version is higher than that of
// the current one.
func (l *Ledger) putSite(c *wire.PutSite) *wire.Result {
	if l.HasSite(c.GetVersion()) {
		return &wire.Result{Kind: wire.ResultKind_RESULT_KIND_OK, Version: l.site.GetVersion()}
	}
	for _, t := range c.GetTotals() {
		if !buckthornpin.IsTokenCount(t.GetTokens()) {
			return failed(wire.ResultKind_RESULT_KIND_INVALID, fmt.Sprintf("organisation %q: total %d: expected 0 to %d tokens", t.GetOrganisation(), t.GetTokens(), buckthornpin.MaxTokens))
		}
	}
	l.site = &wire.SiteState{Version: c.GetVersion(), Document: c.GetDocument(), Format: c.GetFormat()}
	for _, t := range c.GetTotals() {
		l.getOrCreateAllowance(t.GetOrganisation()).total = t.GetTokens()
	}
	l.nextRevision()
	return &wire.Result{Kind: wire.ResultKind_RESULT_KIND_OK, Version: c.GetVersion()}
}

// HasSite reports whether the site has a configuration of a version, or a higher one. To put that
// version again changes nothing.
func (l *Ledger) HasSite(version int64) bool { return version <= l.site.GetVersion() }

func (l *Ledger) getOrCreateAllowance(organisation string) *allowance {
	a := l.allowances[organisation]
	if a == nil {
		a = &allowance{shares: map[shareKey]*wire.ShareState{}}
		l.allowances[organisation] = a
	}
	return a
}

// reportShares records a router process's report on its shares and grants it more
// tokens.
func (l *Ledger) reportShares(c *wire.ReportShares) *wire.Result {
	out := &wire.Result{Kind: wire.ResultKind_RESULT_KIND_OK}
	k := shareKey{router: c.GetRouter(), incarnation: c.GetIncarnation()}
	for _, r := range c.GetShares() {
		out.Grants = append(out.Grants, l.reportShare(k, r, c))
	}
	return out
}

func (l *Ledger) reportShare(k shareKey, r *wire.ShareReport, c *wire.ReportShares) *wire.ShareGrant {
	a := l.getOrCreateAllowance(r.GetOrganisation())
	s := a.shares[k]
	var ended []*wire.EndedShare
	if s == nil {
		s = &wire.ShareState{Organisation: r.GetOrganisation(), Router: k.router, Incarnation: k.incarnation, Boot: c.GetBoot()}
		ended = a.endEarlierProcesses(k.router, c.GetBoot(), c.GetStartedNs())
		a.shares[k] = s
	}
	if s.GetEnded() || !a.isPlausible(s, r) {
		return &wire.ShareGrant{Organisation: r.GetOrganisation(), Granted: s.GetGranted()}
	}
	if r.GetReturned() > s.GetReturned() {
		a.outstanding -= r.GetReturned() - s.GetReturned()
		s.Returned = r.GetReturned()
	}
	s.Spent = max(s.GetSpent(), r.GetSpent())
	s.Received = max(s.GetReceived(), r.GetReceived())
	s.Largest = max(s.GetLargest(), r.GetLargest())
	if r.GetLimit().GetSequence() > s.GetLimit().GetSequence() {
		s.Limit = r.GetLimit()
	}
	s.Balance, s.Rate, s.AtMs = r.GetBalance(), r.GetRate(), l.nowMS
	if c.GetClosing() {
		s.Rate, s.AtMs = 0, 0
		return &wire.ShareGrant{Organisation: r.GetOrganisation(), Granted: s.GetGranted()}
	}
	d := a.division(c.GetHorizonMs(), l.nowMS)
	target := a.target(s, d, r.GetLargest(), c.GetHorizonMs())
	tokens := a.tokensToGrant(s, target, r.GetNeed())
	s.Granted += tokens
	s.Balance += tokens
	a.outstanding += tokens
	return &wire.ShareGrant{
		Organisation: r.GetOrganisation(), Granted: s.GetGranted(), Recalled: a.outstanding > a.total,
		Free: max(a.total-a.outstanding, 0), Target: target,
		Total: a.total, Spent: d.spent, Held: d.held + tokens, Largest: d.largest, Ended: ended,
	}
}

// isPlausible reports whether a process can have counted what it reports. It can't have
// returned more tokens than all processes hold, and no count is negative. What it received
// from others may be more than it has reported, see budget.share.
func (a *allowance) isPlausible(s *wire.ShareState, r *wire.ShareReport) bool {
	counts := min(r.GetSpent(), r.GetReturned(), r.GetReceived(), r.GetRate(), r.GetNeed(), r.GetLargest())
	sizes := max(r.GetBalance(), r.GetRate(), r.GetNeed(), r.GetLargest(), r.GetLimit().GetTokensPerSecond())
	return counts >= 0 && sizes <= buckthornpin.MaxTokens && r.GetReturned()-s.GetReturned() <= a.outstanding
}

// division is what the division of a total is based on, in tokens and tokens per second.
type division struct {
	// spent is what all processes have reported as spent. held, rate and routers are the
	// unspent tokens, the demand and the number of the processes that are counted. largest is
	// the largest bound of a request that any process has reported.
	spent, held, rate, routers, largest int64
}

// division counts the processes that have reported within silentHorizons.
func (a *allowance) division(horizonMS, nowMS int64) division {
	d := division{}
	for _, s := range a.shares {
		d.spent += s.GetSpent()
		d.largest = max(d.largest, s.GetLargest())
		if s.GetAtMs() > 0 && nowMS-s.GetAtMs() <= silentHorizons*horizonMS {
			d.held += max(s.GetBalance(), 0)
			d.rate += s.GetRate()
			d.routers++
		}
	}
	return d
}

// target returns how many unspent tokens a router should hold. All routers
// together hold the demand over the horizon, but no more than a fraction of the
// unspent tokens, because tokens that aren't handed out can't be lost with a
// router. Each router holds its own demand for ownDemandSpanMS and an even part of
// the rest, which a router that needs it borrows from the others during a network
// partition. A lost router therefore holds few tokens, even if an organisation
// calls only that router. If there are enough tokens, all routers together cover
// minLargestRequests requests of the largest size seen, however low the demand.
func (a *allowance) target(s *wire.ShareState, d division, largest, horizonMS int64) int64 {
	unspent := max(a.total-a.outstanding, 0) + d.held
	if d.rate == 0 {
		return unspent / (max(d.routers, minRouters) * idleDivisor)
	}
	span := min(ownDemandSpanMS, horizonMS)
	ownDemand := float64(s.GetRate()) * float64(span) / 1000
	evenPart := float64(d.rate) * float64(horizonMS-span) / 1000 / float64(d.routers)
	demand := float64(d.rate) * float64(horizonMS) / 1000
	divisor := int64(outstandingDivisor)
	if unspent < a.total/lastDivisor {
		divisor = lastOutstandingDivisor
	}
	scale := min(1, float64(unspent/divisor)/demand)
	minShare := min(float64(unspent)/idleDivisor, minLargestRequests*float64(largest)) / float64(d.routers)
	return int64(max(scale*(ownDemand+evenPart), minShare))
}

// tokensToGrant returns how many tokens a router gets now: those missing to reach
// its target, up to a fraction of the free ones, and at least as many as a waiting
// request needs, as far as they are free.
func (a *allowance) tokensToGrant(s *wire.ShareState, target, need int64) int64 {
	free := a.total - a.outstanding
	if free <= 0 {
		return 0
	}
	towardTarget := min(target-s.GetBalance(), free/grantDivisor)
	return max(towardTarget, min(need, free), 0)
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
		l.getOrCreateAllowance(t.GetOrganisation()).total = t.GetTokens()
	}
	for _, s := range shares {
		a := l.getOrCreateAllowance(s.GetOrganisation())
		a.shares[shareKey{router: s.GetRouter(), incarnation: s.GetIncarnation()}] = s
		a.outstanding += s.GetGranted() - s.GetReturned()
	}
}
