package ledger

import (
	"fmt"

	"buckthornpin/wire"
)

// organisation holds a budget and the services that may be paid from it.
type organisation struct {
	state *wire.OrganisationState
}

// free returns the paid tokens that are neither settled nor held nor leased.
func (o *organisation) free() int64 {
	s := o.state
	return s.GetPaid() - s.GetSettled() - s.GetHeld() - s.GetLeased()
}

func (l *Ledger) putOrganisation(c *wire.PutOrganisation) *wire.Result {
	id := c.GetOrganisation()
	if !validName(id) {
		return failed(wire.ResultKind_RESULT_KIND_INVALID, fmt.Sprintf("organisation %q: expected 1 to %d printable characters without space or slash", id, maxNameBytes))
	}
	o, ok := l.organisations[id]
	if !ok {
		o = &organisation{state: &wire.OrganisationState{Organisation: id}}
		l.organisations[id] = o
	}
	o.state.Services = append([]string(nil), c.GetServices()...)
	o.state.Revision = l.nextRevision()
	return &wire.Result{Kind: wire.ResultKind_RESULT_KIND_OK, Free: o.free()}
}

func (l *Ledger) topUp(c *wire.TopUp) *wire.Result {
	o, ok := l.organisations[c.GetOrganisation()]
	if !ok {
		return unknownOrganisation(c.GetOrganisation())
	}
	tokens := c.GetTokens()
	if tokens <= 0 || tokens > MaxTopUp {
		return failed(wire.ResultKind_RESULT_KIND_INVALID, fmt.Sprintf("tokens %d: expected 1 to %d", tokens, MaxTopUp))
	}
	if o.state.GetPaid() > MaxTopUp*1024-tokens {
		return failed(wire.ResultKind_RESULT_KIND_INVALID, "budget would pass its largest size")
	}
	o.state.Paid += tokens
	if o.state.GetRecallBound() > 0 {
		o.state.RecallBound = 0
		o.state.Revision = l.nextRevision()
	}
	return &wire.Result{Kind: wire.ResultKind_RESULT_KIND_OK, Free: o.free()}
}

func (l *Ledger) putKey(c *wire.PutKey) *wire.Result {
	if len(c.GetHash()) != 64 {
		return failed(wire.ResultKind_RESULT_KIND_INVALID, "hash: expected 64 hexadecimal digits")
	}
	id := c.GetOrganisation()
	if _, ok := l.organisations[id]; id != "" && !ok {
		return unknownOrganisation(id)
	}
	if k, ok := l.keys[c.GetHash()]; ok && k.GetOrganisation() != id {
		return failed(wire.ResultKind_RESULT_KIND_CONFLICT, "hash belongs to another organisation")
	}
	l.keys[c.GetHash()] = &wire.KeyState{
		Hash:         c.GetHash(),
		Organisation: id,
		Revoked:      c.GetRevoked(),
		Revision:     l.nextRevision(),
	}
	return succeeded()
}

func unknownOrganisation(id string) *wire.Result {
	r := failed(wire.ResultKind_RESULT_KIND_NOT_FOUND, fmt.Sprintf("organisation %q isn't known", id))
	r.NotRun = true
	return r
}
