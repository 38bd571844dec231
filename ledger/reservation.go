package ledger

import (
	"container/heap"

	"buckthornpin"
	"buckthornpin/wire"
)

// Phases of a reservation.
const (
	// phaseHeld means that a dispatch is open and its bound is held.
	phaseHeld int32 = iota + 1
	// phaseSettled means that the request has been billed and won't run again.
	phaseSettled
	// phaseTombstone means that the key must not run under its attempt number.
	phaseTombstone
	// phaseReleased means that an idempotent request ended without a complete
	// answer. It may run again, and the new bill then replaces the old one.
	phaseReleased
)

// reservation holds the ledger's record of one request key.
type reservation struct {
	state *wire.ReservationState
}

func (l *Ledger) reserve(id string, c *wire.Reserve) *wire.Result {
	o, ok := l.organisations[c.GetOrganisation()]
	if !ok {
		return unknownOrganisation(c.GetOrganisation())
	}
	if c.GetBound() <= 0 || !validName(c.GetKey()) {
		return failed(wire.ResultKind_RESULT_KIND_INVALID, "reservation needs a key and a bound above 0")
	}
	if l.routers[c.GetRouter()].GetIncarnation() != c.GetIncarnation() {
		return failed(wire.ResultKind_RESULT_KIND_STALE_ROUTER, "router isn't registered under this incarnation")
	}
	k := buckthornpin.RequestKey{Organisation: c.GetOrganisation(), Key: c.GetKey()}
	if r, ok := l.reservations[k]; ok {
		return l.reserveAgain(id, o, k, r, c)
	}
	if o.free() < c.GetBound() {
		if refusalLeavesTombstone(c) {
			l.addReservation(k, newReservation(id, c, phaseTombstone, 0))
			l.scheduleExpiry(k, l.nowMS+KeyRetention.Milliseconds())
		}
		return l.insufficient(o, c.GetBound(), refusalLeavesTombstone(c) || c.GetFresh())
	}
	r := newReservation(id, c, phaseHeld, 1)
	l.addReservation(k, r)
	return l.hold(o, k, r, c)
}

// refusalLeavesTombstone reports whether refusing c leaves a tombstone. An
// idempotent request from a caller that doesn't number its attempts leaves none,
// because a retry under the same key must be accepted; the refusal then doesn't
// claim that the key can't run.
func refusalLeavesTombstone(c *wire.Reserve) bool {
	return !c.GetFresh() && (c.GetNonIdempotent() || c.GetAttempt() > 0)
}

// reserveAgain handles a reservation under a key that the ledger already has.
func (l *Ledger) reserveAgain(id string, o *organisation, k buckthornpin.RequestKey, r *reservation, c *wire.Reserve) *wire.Result {
	s := r.state
	if s.GetDigest() != c.GetDigest() {
		return failed(wire.ResultKind_RESULT_KIND_CONFLICT, "key was used for another request")
	}
	switch s.GetPhase() {
	case phaseSettled:
		return &wire.Result{Kind: wire.ResultKind_RESULT_KIND_ALREADY_RAN, Tokens: s.GetTokens(), Router: s.GetRouter(), Message: "request was billed before"}
	case phaseTombstone:
		return l.reserveAfterTombstone(id, o, k, r, c)
	case phaseReleased:
		return l.reserveReleased(id, o, k, r, c)
	}
	if s.GetChange() == id && s.GetIncarnation() == c.GetIncarnation() {
		return l.reserved(o, r)
	}
	return l.reserveHeld(id, o, k, r, c)
}

// reserveAfterTombstone accepts only a later attempt of the caller, and none if the
// request isn't idempotent and may have run.
func (l *Ledger) reserveAfterTombstone(id string, o *organisation, k buckthornpin.RequestKey, r *reservation, c *wire.Reserve) *wire.Result {
	s := r.state
	if c.GetAttempt() <= s.GetAttempt() || (s.GetMayHaveRun() && s.GetNonIdempotent()) {
		refusal := failed(wire.ResultKind_RESULT_KIND_TOMBSTONE, "key was refused before; send a higher attempt number or a new key")
		refusal.NotRun = !s.GetMayHaveRun()
		return refusal
	}
	if o.free() < c.GetBound() {
		s.Attempt = c.GetAttempt()
		return l.insufficient(o, c.GetBound(), !s.GetMayHaveRun())
	}
	next := newReservation(id, c, phaseHeld, s.GetDispatch()+1)
	next.state.MayHaveRun = s.GetMayHaveRun()
	l.addReservation(k, next)
	return l.hold(o, k, next, c)
}

// reserveReleased lets an idempotent request run again. The bill of the incomplete
// answer is reversed, because each key has at most one bill.
func (l *Ledger) reserveReleased(id string, o *organisation, k buckthornpin.RequestKey, r *reservation, c *wire.Reserve) *wire.Result {
	s := r.state
	if s.GetChange() == id {
		return failed(wire.ResultKind_RESULT_KIND_SUPERSEDED, "reservation has ended")
	}
	if o.free()+s.GetTokens() < c.GetBound() {
		return l.insufficient(o, c.GetBound(), false)
	}
	o.state.Settled -= s.GetTokens()
	next := newReservation(id, c, phaseHeld, s.GetDispatch()+1)
	next.state.MayHaveRun = true
	l.addReservation(k, next)
	return l.hold(o, k, next, c)
}

// reserveHeld handles a reservation while an earlier dispatch of the key is open.
// Only an idempotent request is dispatched again, and only if the earlier router
// process has been replaced or the command asks for a takeover.
func (l *Ledger) reserveHeld(id string, o *organisation, k buckthornpin.RequestKey, r *reservation, c *wire.Reserve) *wire.Result {
	s := r.state
	routerRestarted := l.routers[s.GetRouter()].GetIncarnation() != s.GetIncarnation()
	if s.GetNonIdempotent() || !routerRestarted && !c.GetTakeover() {
		return &wire.Result{Kind: wire.ResultKind_RESULT_KIND_IN_PROGRESS, Router: s.GetRouter(), Message: "an earlier attempt may be running"}
	}
	l.releaseBound(o, k, r)
	if o.free() < c.GetBound() {
		l.holdBound(o, k, r)
		return l.insufficient(o, c.GetBound(), false)
	}
	next := newReservation(id, c, phaseHeld, s.GetDispatch()+1)
	next.state.MayHaveRun = true
	l.addReservation(k, next)
	return l.hold(o, k, next, c)
}

func (l *Ledger) settle(c *wire.Settle) *wire.Result {
	k := buckthornpin.RequestKey{Organisation: c.GetOrganisation(), Key: c.GetKey()}
	r, ok := l.reservations[k]
	if !ok {
		return failed(wire.ResultKind_RESULT_KIND_NOT_FOUND, "no reservation under this key")
	}
	s := r.state
	if s.GetDispatch() != c.GetDispatch() {
		return failed(wire.ResultKind_RESULT_KIND_SUPERSEDED, "a later dispatch holds the key")
	}
	if s.GetPhase() == phaseSettled || s.GetPhase() == phaseReleased && !c.GetWhole() {
		return &wire.Result{Kind: wire.ResultKind_RESULT_KIND_OK, Tokens: s.GetTokens()}
	}
	if s.GetPhase() != phaseHeld {
		return failed(wire.ResultKind_RESULT_KIND_SUPERSEDED, "reservation has ended")
	}
	if c.GetTokens() < 0 || c.GetTokens() > s.GetBound() {
		return failed(wire.ResultKind_RESULT_KIND_INVALID, "tokens are beyond the reservation's bound")
	}
	o := l.organisations[c.GetOrganisation()]
	l.bill(o, k, r, c.GetTokens())
	if !c.GetWhole() && !s.GetNonIdempotent() {
		s.Phase = phaseReleased
	}
	return &wire.Result{Kind: wire.ResultKind_RESULT_KIND_OK, Tokens: c.GetTokens(), Free: o.free()}
}

func (l *Ledger) cancel(c *wire.Cancel) *wire.Result {
	k := buckthornpin.RequestKey{Organisation: c.GetOrganisation(), Key: c.GetKey()}
	o, ok := l.organisations[c.GetOrganisation()]
	if !ok {
		return unknownOrganisation(c.GetOrganisation())
	}
	r, ok := l.reservations[k]
	if !ok {
		return l.cancelUnknown(o, k, c)
	}
	s := r.state
	if !cancelMatches(c, s) || s.GetPhase() == phaseSettled {
		return failed(wire.ResultKind_RESULT_KIND_SUPERSEDED, "a later dispatch holds the key")
	}
	if s.GetPhase() == phaseHeld {
		l.releaseBound(o, k, r)
		s.Phase = phaseReleased
		if c.GetTombstone() {
			s.Phase = phaseTombstone
		}
		l.scheduleExpiry(k, l.nowMS+retention(s))
	}
	return &wire.Result{Kind: wire.ResultKind_RESULT_KIND_OK, NotRun: s.GetPhase() == phaseTombstone && !s.GetMayHaveRun(), Free: o.free()}
}

// cancelUnknown cancels a reservation that hasn't arrived yet. If c asks for a
// tombstone, one is added, so that the late reservation is refused.
func (l *Ledger) cancelUnknown(o *organisation, k buckthornpin.RequestKey, c *wire.Cancel) *wire.Result {
	if !c.GetTombstone() || !validName(c.GetKey()) {
		return failed(wire.ResultKind_RESULT_KIND_NOT_FOUND, "no reservation under this key")
	}
	r := &reservation{state: &wire.ReservationState{
		Organisation: c.GetOrganisation(), Key: c.GetKey(), Phase: phaseTombstone,
		Attempt: c.GetAttempt(), Fresh: c.GetFresh(), Digest: c.GetDigest(),
	}}
	l.addReservation(k, r)
	l.scheduleExpiry(k, l.nowMS+retention(r.state))
	return &wire.Result{Kind: wire.ResultKind_RESULT_KIND_OK, NotRun: true, Free: o.free()}
}

// cancelMatches reports whether c refers to the reservation s.
func cancelMatches(c *wire.Cancel, s *wire.ReservationState) bool {
	if c.GetChange() != "" {
		return c.GetChange() == s.GetChange()
	}
	return c.GetDispatch() == s.GetDispatch()
}

// hold books the bound of a newly added reservation and schedules its expiry.
func (l *Ledger) hold(o *organisation, k buckthornpin.RequestKey, r *reservation, c *wire.Reserve) *wire.Result {
	holdMS := c.GetHoldMs()
	if holdMS <= 0 {
		holdMS = DefaultHold.Milliseconds()
	}
	r.state.EndMs = l.nowMS + holdMS
	l.holdBound(o, k, r)
	l.scheduleExpiry(k, r.state.GetEndMs())
	return l.reserved(o, r)
}

func (l *Ledger) holdBound(o *organisation, k buckthornpin.RequestKey, r *reservation) {
	o.state.Held += r.state.GetBound()
	l.openCount++
	l.indexByRouter(r.state.GetRouter(), k)
}

// releaseBound returns the bound of a held reservation to the budget.
func (l *Ledger) releaseBound(o *organisation, k buckthornpin.RequestKey, r *reservation) {
	o.state.Held -= r.state.GetBound()
	l.openCount--
	delete(l.heldByRouter[r.state.GetRouter()], k)
}

// bill settles a held reservation with the given number of tokens.
func (l *Ledger) bill(o *organisation, k buckthornpin.RequestKey, r *reservation, tokens int64) {
	l.releaseBound(o, k, r)
	o.state.Settled += tokens
	r.state.Phase = phaseSettled
	r.state.Tokens = tokens
	l.scheduleExpiry(k, l.nowMS+retention(r.state))
}

func (l *Ledger) addReservation(k buckthornpin.RequestKey, r *reservation) {
	r.state.AtMs = l.nowMS
	l.reservations[k] = r
}

func (l *Ledger) indexByRouter(router string, k buckthornpin.RequestKey) {
	if l.heldByRouter[router] == nil {
		l.heldByRouter[router] = map[buckthornpin.RequestKey]bool{}
	}
	l.heldByRouter[router][k] = true
}

// insufficient refuses a bound that the free tokens don't cover, and recalls the
// leases that routers hold on the budget.
func (l *Ledger) insufficient(o *organisation, bound int64, notRun bool) *wire.Result {
	l.recallLeases(o, bound)
	return &wire.Result{
		Kind:    wire.ResultKind_RESULT_KIND_INSUFFICIENT,
		Message: "the prepaid budget has too few free tokens",
		NotRun:  notRun,
		Free:    o.free(),
		Leased:  o.state.GetLeased(),
	}
}

func (l *Ledger) reserved(o *organisation, r *reservation) *wire.Result {
	return &wire.Result{Kind: wire.ResultKind_RESULT_KIND_OK, Dispatch: r.state.GetDispatch(), Tokens: r.state.GetBound(), Free: o.free()}
}

func newReservation(id string, c *wire.Reserve, phase, dispatch int32) *reservation {
	return &reservation{state: &wire.ReservationState{
		Organisation:  c.GetOrganisation(),
		Key:           c.GetKey(),
		Bound:         c.GetBound(),
		NonIdempotent: c.GetNonIdempotent(),
		Router:        c.GetRouter(),
		Incarnation:   c.GetIncarnation(),
		Dispatch:      dispatch,
		Attempt:       c.GetAttempt(),
		Phase:         phase,
		Fresh:         c.GetFresh(),
		Digest:        c.GetDigest(),
		Change:        id,
		OrphanTokens:  min(c.GetOrphanTokens(), c.GetBound()),
	}}
}

// retention returns how long an ended reservation is kept, in milliseconds.
func retention(s *wire.ReservationState) int64 {
	if s.GetFresh() {
		return GeneratedKeyRetention.Milliseconds()
	}
	return KeyRetention.Milliseconds()
}

// expireReservations bills the held reservations whose time has passed and deletes
// the ended ones. A router that settles too late learns this before it completes
// the answer, so the clocks of different machines needn't agree.
func (l *Ledger) expireReservations() {
	for len(l.expiries) > 0 && l.expiries[0].atMS <= l.nowMS {
		e := heap.Pop(&l.expiries).(expiry)
		r, ok := l.reservations[e.key]
		if !ok || r.state.GetEndMs() != e.atMS {
			continue
		}
		if r.state.GetPhase() == phaseHeld {
			l.bill(l.organisations[e.key.Organisation], e.key, r, r.state.GetOrphanTokens())
			continue
		}
		delete(l.reservations, e.key)
	}
}

func (l *Ledger) scheduleExpiry(k buckthornpin.RequestKey, atMS int64) {
	l.reservations[k].state.EndMs = atMS
	heap.Push(&l.expiries, expiry{atMS: atMS, key: k})
}
