package ledger

import (
	"container/heap"

	"buckthornpin"
	"buckthornpin/wire"
)

// Phases of a reservation.
const (
	// phaseHeld is an open dispatch.
	phaseHeld int32 = iota + 1
	// phaseSettled is a request that has its bill and won't run again.
	phaseSettled
	// phaseTombstone is a key that must not run under its attempt number.
	phaseTombstone
	// phaseReleased is an idempotent request without a whole answer. It may run
	// again; its bill is replaced then.
	phaseReleased
)

// reservation is what the ledger knows of one key.
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
		if strict(c) {
			l.add(k, newReservation(id, c, phaseTombstone, 0))
			l.endLater(k, l.nowMS+KeyRetention.Milliseconds())
		}
		return l.insufficient(o, c.GetBound(), strict(c) || c.GetFresh())
	}
	r := newReservation(id, c, phaseHeld, 1)
	l.add(k, r)
	return l.hold(o, k, r, c)
}

// strict reports whether a refusal leaves a tombstone. An idempotent request of
// a caller that doesn't count its attempts leaves none: its retry under the same
// key has to pass, and it isn't told that the key can't run.
func strict(c *wire.Reserve) bool {
	return !c.GetFresh() && (c.GetNonIdempotent() || c.GetAttempt() > 0)
}

// reserveAgain answers for a key that the ledger knows already.
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

// reserveAfterTombstone lets only a later attempt of the caller pass.
func (l *Ledger) reserveAfterTombstone(id string, o *organisation, k buckthornpin.RequestKey, r *reservation, c *wire.Reserve) *wire.Result {
	s := r.state
	if c.GetAttempt() <= s.GetAttempt() || (s.GetMayHaveRun() && s.GetNonIdempotent()) {
		t := failed(wire.ResultKind_RESULT_KIND_TOMBSTONE, "key was refused before; send a higher attempt number or a new key")
		t.NotRun = !s.GetMayHaveRun()
		return t
	}
	if o.free() < c.GetBound() {
		s.Attempt = c.GetAttempt()
		return l.insufficient(o, c.GetBound(), !s.GetMayHaveRun())
	}
	next := newReservation(id, c, phaseHeld, s.GetDispatch()+1)
	next.state.MayHaveRun = s.GetMayHaveRun()
	l.add(k, next)
	return l.hold(o, k, next, c)
}

// reserveReleased lets an idempotent request run again. The bill of the broken
// answer is taken back: each key has one bill.
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
	l.add(k, next)
	return l.hold(o, k, next, c)
}

// reserveHeld answers while an earlier dispatch is open.
func (l *Ledger) reserveHeld(id string, o *organisation, k buckthornpin.RequestKey, r *reservation, c *wire.Reserve) *wire.Result {
	s := r.state
	ended := l.routers[s.GetRouter()].GetIncarnation() != s.GetIncarnation()
	if s.GetNonIdempotent() || !ended && !c.GetTakeover() {
		return &wire.Result{Kind: wire.ResultKind_RESULT_KIND_IN_PROGRESS, Router: s.GetRouter(), Message: "an earlier attempt may be running"}
	}
	l.release(o, k, r)
	if o.free() < c.GetBound() {
		l.rehold(o, k, r)
		return l.insufficient(o, c.GetBound(), false)
	}
	next := newReservation(id, c, phaseHeld, s.GetDispatch()+1)
	next.state.MayHaveRun = true
	l.add(k, next)
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
		return l.cancelUnseen(o, k, c)
	}
	s := r.state
	if !names(c, s) || s.GetPhase() == phaseSettled {
		return failed(wire.ResultKind_RESULT_KIND_SUPERSEDED, "a later dispatch holds the key")
	}
	if s.GetPhase() == phaseHeld {
		l.release(o, k, r)
		s.Phase = phaseReleased
		if c.GetTombstone() {
			s.Phase = phaseTombstone
		}
		l.endLater(k, l.nowMS+retention(s))
	}
	return &wire.Result{Kind: wire.ResultKind_RESULT_KIND_OK, NotRun: s.GetPhase() == phaseTombstone && !s.GetMayHaveRun(), Free: o.free()}
}

// cancelUnseen stops a reservation that is still on its way.
func (l *Ledger) cancelUnseen(o *organisation, k buckthornpin.RequestKey, c *wire.Cancel) *wire.Result {
	if !c.GetTombstone() || !validName(c.GetKey()) {
		return failed(wire.ResultKind_RESULT_KIND_NOT_FOUND, "no reservation under this key")
	}
	r := &reservation{state: &wire.ReservationState{
		Organisation: c.GetOrganisation(), Key: c.GetKey(), Phase: phaseTombstone,
		Attempt: c.GetAttempt(), Fresh: c.GetFresh(), Digest: c.GetDigest(),
	}}
	l.add(k, r)
	l.endLater(k, l.nowMS+retention(r.state))
	return &wire.Result{Kind: wire.ResultKind_RESULT_KIND_OK, NotRun: true, Free: o.free()}
}

// names reports whether c means the reservation s.
func names(c *wire.Cancel, s *wire.ReservationState) bool {
	if c.GetChange() != "" {
		return c.GetChange() == s.GetChange()
	}
	return c.GetDispatch() == s.GetDispatch()
}

// hold books the bound of a reservation that was just added.
func (l *Ledger) hold(o *organisation, k buckthornpin.RequestKey, r *reservation, c *wire.Reserve) *wire.Result {
	holdMS := c.GetHoldMs()
	if holdMS <= 0 {
		holdMS = DefaultHold.Milliseconds()
	}
	r.state.EndMs = l.nowMS + holdMS
	l.rehold(o, k, r)
	l.endLater(k, r.state.GetEndMs())
	return l.reserved(o, r)
}

func (l *Ledger) rehold(o *organisation, k buckthornpin.RequestKey, r *reservation) {
	o.state.Held += r.state.GetBound()
	l.openCount++
	l.index(r.state.GetRouter(), k)
}

// release gives the bound of a held reservation back.
func (l *Ledger) release(o *organisation, k buckthornpin.RequestKey, r *reservation) {
	o.state.Held -= r.state.GetBound()
	l.openCount--
	delete(l.byRouter[r.state.GetRouter()], k)
}

// bill ends a held reservation with a bill.
func (l *Ledger) bill(o *organisation, k buckthornpin.RequestKey, r *reservation, tokens int64) {
	l.release(o, k, r)
	o.state.Settled += tokens
	r.state.Phase = phaseSettled
	r.state.Tokens = tokens
	l.endLater(k, l.nowMS+retention(r.state))
}

func (l *Ledger) add(k buckthornpin.RequestKey, r *reservation) {
	r.state.AtMs = l.nowMS
	l.reservations[k] = r
}

func (l *Ledger) index(router string, k buckthornpin.RequestKey) {
	if l.byRouter[router] == nil {
		l.byRouter[router] = map[buckthornpin.RequestKey]bool{}
	}
	l.byRouter[router][k] = true
}

// insufficient refuses a bound that the free tokens don't cover, and calls back
// what routers hold of the budget.
func (l *Ledger) insufficient(o *organisation, bound int64, notRun bool) *wire.Result {
	l.recall(o, bound)
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
		return FreshRetention.Milliseconds()
	}
	return KeyRetention.Milliseconds()
}

// endReservations bills the held reservations whose time has passed, and
// forgets the ended ones. A router that settles too late is told so before it
// completes the answer, so no clock has to agree with another.
func (l *Ledger) endReservations() {
	for len(l.ends) > 0 && l.ends[0].atMS <= l.nowMS {
		e := heap.Pop(&l.ends).(end)
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

func (l *Ledger) endLater(k buckthornpin.RequestKey, atMS int64) {
	l.reservations[k].state.EndMs = atMS
	heap.Push(&l.ends, end{atMS: atMS, key: k})
}
