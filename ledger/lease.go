package ledger

import (
	"buckthornpin"
	"buckthornpin/wire"
)

// leaseKey identifies the lease of one router process on one budget.
type leaseKey struct {
	organisation string
	router       string
	incarnation  int64
}

// registerRouter records a new router process and assigns its incarnation, which
// is returned as the version of the result.
func (l *Ledger) registerRouter(c *wire.RegisterRouter) *wire.Result {
	if !validName(c.GetRouter()) {
		return failed(wire.ResultKind_RESULT_KIND_INVALID, "router needs a name")
	}
	known := l.routers[c.GetRouter()]
	incarnation := known.GetIncarnation() + 1
	l.routers[c.GetRouter()] = &wire.RouterState{
		Router:       c.GetRouter(),
		Incarnation:  incarnation,
		OperAddress:  c.GetOperAddress(),
		PeerAddress:  c.GetPeerAddress(),
		EndptAddress: c.GetEndptAddress(),
		Zone:         c.GetZone(),
		Revision:     l.nextRevision(),
	}
	l.shortenOrphanedHolds(c.GetRouter(), incarnation)
	l.dropEmptyLeases(c.GetRouter(), incarnation)
	return &wire.Result{Kind: wire.ResultKind_RESULT_KIND_OK, Version: incarnation}
}

// shortenOrphanedHolds makes the reservations that earlier processes of the
// router left open expire after OrphanGrace at the latest.
func (l *Ledger) shortenOrphanedHolds(router string, incarnation int64) {
	endMS := l.nowMS + OrphanGrace.Milliseconds()
	for k := range l.heldByRouter[router] {
		s := l.reservations[k].state
		if s.GetIncarnation() < incarnation && s.GetEndMs() > endMS {
			l.scheduleExpiry(k, endMS)
		}
	}
}

func (l *Ledger) grantLease(c *wire.GrantLease) *wire.Result {
	o, ok := l.organisations[c.GetOrganisation()]
	if !ok {
		return unknownOrganisation(c.GetOrganisation())
	}
	if l.routers[c.GetRouter()].GetIncarnation() != c.GetIncarnation() {
		return failed(wire.ResultKind_RESULT_KIND_STALE_ROUTER, "router isn't registered under this incarnation")
	}
	s := l.getOrCreateLease(c.GetOrganisation(), c.GetRouter(), c.GetIncarnation())
	if c.GetSequence() <= s.GetSequence() {
		return repeatedLeaseChange(s, c.GetSequence())
	}
	tokens := l.grantableTokens(o, c)
	s.Sequence, s.Moved = c.GetSequence(), tokens
	s.Tokens += tokens
	o.state.Leased += tokens
	return &wire.Result{Kind: wire.ResultKind_RESULT_KIND_OK, Tokens: tokens, Free: o.free()}
}

// regrantFactor is the multiple of the refused bound that must be free in a budget
// before leases on it are granted again after a recall.
const regrantFactor = 10

// grantableTokens returns how many tokens a lease request gets: none if the
// leases of the budget were recalled and too few of its tokens are free again.
func (l *Ledger) grantableTokens(o *organisation, c *wire.GrantLease) int64 {
	if recall := o.state.GetRecallBound(); recall > 0 {
		if o.free()/regrantFactor < recall {
			return 0
		}
		o.state.RecallBound = 0
		o.state.Revision = l.nextRevision()
	}
	limit := o.free() / 100 * int64(min(max(c.GetMaxPercent(), 0), 100))
	tokens := min(c.GetTokens(), limit)
	if tokens < max(c.GetMinTokens(), 1) {
		return 0
	}
	return tokens
}

// recallLeases asks the routers to return their leases on a budget after a
// reservation of bound tokens was refused.
func (l *Ledger) recallLeases(o *organisation, bound int64) {
	if o.state.GetLeased() == 0 || o.state.GetRecallBound() >= bound {
		return
	}
	o.state.RecallBound = bound
	o.state.Revision = l.nextRevision()
}

// getOrCreateLease returns a router's lease on a budget and creates an empty one
// if there is none.
func (l *Ledger) getOrCreateLease(organisation, router string, incarnation int64) *wire.LeaseState {
	k := leaseKey{organisation: organisation, router: router, incarnation: incarnation}
	s, ok := l.leases[k]
	if !ok {
		s = &wire.LeaseState{Organisation: organisation, Router: router, Incarnation: incarnation}
		l.leases[k] = s
	}
	return s
}

// repeatedLeaseChange answers a lease change whose sequence number isn't newer than
// the last one carried out.
func repeatedLeaseChange(s *wire.LeaseState, sequence int64) *wire.Result {
	if sequence < s.GetSequence() {
		return failed(wire.ResultKind_RESULT_KIND_SUPERSEDED, "a later change to the lease was carried out")
	}
	return &wire.Result{Kind: wire.ResultKind_RESULT_KIND_OK, Tokens: s.GetMoved()}
}

// settleLease bills a request that ran on a lease. A key that was billed before is
// not charged again: the tokens return to the budget.
func (l *Ledger) settleLease(c *wire.SettleLease) *wire.Result {
	s, ok := l.leases[leaseKey{organisation: c.GetOrganisation(), router: c.GetRouter(), incarnation: c.GetIncarnation()}]
	if !ok {
		return failed(wire.ResultKind_RESULT_KIND_NOT_FOUND, "no such lease")
	}
	k := buckthornpin.RequestKey{Organisation: c.GetOrganisation(), Key: c.GetKey()}
	if r, ok := l.reservations[k]; ok && r.state.GetPhase() == phaseSettled && r.state.GetChange() == leaseChangeID(c) {
		return &wire.Result{Kind: wire.ResultKind_RESULT_KIND_OK, Tokens: r.state.GetTokens()}
	}
	if c.GetTokens() < 0 || c.GetTokens() > s.GetTokens() {
		return failed(wire.ResultKind_RESULT_KIND_INVALID, "tokens are beyond the lease")
	}
	o := l.organisations[c.GetOrganisation()]
	s.Tokens -= c.GetTokens()
	o.state.Leased -= c.GetTokens()
	r, known := l.reservations[k]
	if known && r.state.GetPhase() == phaseSettled {
		return &wire.Result{Kind: wire.ResultKind_RESULT_KIND_ALREADY_RAN, Tokens: r.state.GetTokens()}
	}
	if known && r.state.GetPhase() == phaseHeld {
		l.releaseBound(o, k, r)
	}
	if known && r.state.GetPhase() == phaseReleased {
		o.state.Settled -= r.state.GetTokens()
	}
	o.state.Settled += c.GetTokens()
	l.addReservation(k, &reservation{state: &wire.ReservationState{
		Organisation: k.Organisation, Key: k.Key, Bound: c.GetTokens(), Router: c.GetRouter(), Incarnation: c.GetIncarnation(),
		Dispatch: r.dispatch() + 1, Phase: phaseSettled, Tokens: c.GetTokens(), MayHaveRun: true, Change: leaseChangeID(c), Digest: r.digest(),
	}})
	l.scheduleExpiry(k, l.nowMS+KeyRetention.Milliseconds())
	return &wire.Result{Kind: wire.ResultKind_RESULT_KIND_OK, Tokens: c.GetTokens(), Free: o.free()}
}

func (l *Ledger) closeLease(c *wire.CloseLease) *wire.Result {
	k := leaseKey{organisation: c.GetOrganisation(), router: c.GetRouter(), incarnation: c.GetIncarnation()}
	s, ok := l.leases[k]
	if !ok {
		return failed(wire.ResultKind_RESULT_KIND_NOT_FOUND, "no such lease")
	}
	if c.GetSequence() <= s.GetSequence() {
		return repeatedLeaseChange(s, c.GetSequence())
	}
	if c.GetTokens() < 0 || c.GetTokens() > s.GetTokens() {
		return failed(wire.ResultKind_RESULT_KIND_INVALID, "tokens are beyond the lease")
	}
	o := l.organisations[c.GetOrganisation()]
	s.Sequence, s.Moved = c.GetSequence(), c.GetTokens()
	s.Tokens -= c.GetTokens()
	o.state.Leased -= c.GetTokens()
	return &wire.Result{Kind: wire.ResultKind_RESULT_KIND_OK, Tokens: c.GetTokens(), Free: o.free()}
}

// dropEmptyLeases deletes the empty leases of a router's earlier processes.
func (l *Ledger) dropEmptyLeases(router string, incarnation int64) {
	for k, s := range l.leases {
		if k.router == router && k.incarnation < incarnation && s.GetTokens() == 0 {
			delete(l.leases, k)
		}
	}
}

func (r *reservation) dispatch() int32 {
	if r == nil {
		return 0
	}
	return r.state.GetDispatch()
}

func (r *reservation) digest() string {
	if r == nil {
		return ""
	}
	return r.state.GetDigest()
}

func leaseChangeID(c *wire.SettleLease) string {
	return "lease:" + c.GetRouter() + ":" + c.GetKey()
}
