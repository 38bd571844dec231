package ledger

import (
	"github.com/go-faster/errors"
)

// CheckInvariants verifies the invariants of every budget: the paid tokens cover
// the settled, held and leased ones, and the held and leased totals equal the sums
// over the reservations and leases. It returns an Error of KindInvariant.
func (l *Ledger) CheckInvariants() error {
	held := map[string]int64{}
	for k, r := range l.reservations {
		if r.state.GetPhase() == phaseHeld {
			held[k.Organisation] += r.state.GetBound()
		}
	}
	leased := map[string]int64{}
	for k, s := range l.leases {
		leased[k.organisation] += s.GetTokens()
	}
	for id := range held {
		if l.organisations[id] == nil {
			return &Error{Op: "check " + id, Kind: KindInvariant, Err: errors.New("reservation of an unknown organisation")}
		}
	}
	for id := range leased {
		if l.organisations[id] == nil {
			return &Error{Op: "check " + id, Kind: KindInvariant, Err: errors.New("lease of an unknown organisation")}
		}
	}
	for id, o := range l.organisations {
		if err := o.check(held[id], leased[id]); err != nil {
			return &Error{Op: "check " + id, Kind: KindInvariant, Err: err}
		}
	}
	return nil
}

func (o *organisation) check(held, leased int64) error {
	s := o.state
	if s.GetHeld() != held {
		return errors.Errorf("held %d tokens, reservations hold %d", s.GetHeld(), held)
	}
	if s.GetLeased() != leased {
		return errors.Errorf("leased %d tokens, leases hold %d", s.GetLeased(), leased)
	}
	if s.GetSettled() < 0 || o.free() < 0 {
		return errors.Errorf("paid %d < settled %d + held %d + leased %d", s.GetPaid(), s.GetSettled(), held, leased)
	}
	return nil
}
