package ledger

import (
	"cmp"
	"container/heap"
	"maps"
	"slices"

	"google.golang.org/protobuf/proto"

	"buckthornpin"
	"buckthornpin/wire"
)

// Snapshot encodes the whole state. Equal states give equal encodings.
func (l *Ledger) Snapshot() ([]byte, error) {
	s := &wire.LedgerState{
		Revision:       l.revision,
		NowMs:          l.nowMS,
		Organisations:  l.Organisations(),
		Routers:        l.Routers(),
		Leases:         l.Leases(),
		Configurations: l.configurations,
		Replies:        l.replyOrder,
		Site:           l.site,
		Totals:         l.Totals(),
		Shares:         l.Shares(),
	}
	for _, h := range slices.Sorted(maps.Keys(l.keys)) {
		s.Keys = append(s.Keys, l.keys[h])
	}
	for _, k := range slices.SortedFunc(maps.Keys(l.reservations), compareKeys) {
		s.Reservations = append(s.Reservations, l.reservations[k].state)
	}
	return proto.MarshalOptions{Deterministic: true}.Marshal(s)
}

// Restore decodes a snapshot and checks its invariants. It returns an Error of
// KindCorrupt or KindInvariant.
func Restore(data []byte) (*Ledger, error) {
	s := &wire.LedgerState{}
	if err := proto.Unmarshal(data, s); err != nil {
		return nil, &Error{Op: "restore", Kind: KindCorrupt, Err: err}
	}
	l := Empty()
	l.revision = s.GetRevision()
	l.nowMS = s.GetNowMs()
	l.configurations = s.GetConfigurations()
	l.replyOrder = s.GetReplies()
	for _, o := range s.GetOrganisations() {
		l.organisations[o.GetOrganisation()] = &organisation{state: o}
	}
	for _, k := range s.GetKeys() {
		l.keys[k.GetHash()] = k
	}
	for _, r := range s.GetRouters() {
		l.routers[r.GetRouter()] = r
	}
	for _, e := range s.GetLeases() {
		l.leases[leaseKey{organisation: e.GetOrganisation(), router: e.GetRouter(), incarnation: e.GetIncarnation()}] = e
	}
	for _, r := range s.GetReplies() {
		l.replies[r.GetId()] = r
	}
	for _, r := range s.GetReservations() {
		l.restoreReservation(r)
	}
	l.site = s.GetSite()
	l.restoreShares(s.GetTotals(), s.GetShares())
	heap.Init(&l.expiries)
	return l, l.CheckInvariants()
}

func (l *Ledger) restoreReservation(s *wire.ReservationState) {
	k := buckthornpin.RequestKey{Organisation: s.GetOrganisation(), Key: s.GetKey()}
	l.reservations[k] = &reservation{state: s}
	l.expiries = append(l.expiries, expiry{atMS: s.GetEndMs(), key: k})
	if s.GetPhase() == phaseHeld {
		l.openCount++
		l.indexByRouter(s.GetRouter(), k)
	}
}

// Organisations returns the organisations, ordered by name. The values belong to
// the ledger and must not be modified.
func (l *Ledger) Organisations() []*wire.OrganisationState {
	out := make([]*wire.OrganisationState, 0, len(l.organisations))
	for _, id := range slices.Sorted(maps.Keys(l.organisations)) {
		out = append(out, l.organisations[id].state)
	}
	return out
}

// Routers returns the registered routers, ordered by name.
func (l *Ledger) Routers() []*wire.RouterState {
	out := make([]*wire.RouterState, 0, len(l.routers))
	for _, id := range slices.Sorted(maps.Keys(l.routers)) {
		out = append(out, l.routers[id])
	}
	return out
}

// Leases returns the open leases, ordered by organisation, router and
// incarnation.
func (l *Ledger) Leases() []*wire.LeaseState {
	out := slices.Collect(maps.Values(l.leases))
	slices.SortFunc(out, func(a, b *wire.LeaseState) int {
		return cmp.Or(
			cmp.Compare(a.GetOrganisation(), b.GetOrganisation()),
			cmp.Compare(a.GetRouter(), b.GetRouter()),
			cmp.Compare(a.GetIncarnation(), b.GetIncarnation()),
		)
	})
	return out
}

// Configurations returns the accepted configurations that are kept, the oldest
// first.
func (l *Ledger) Configurations() []*wire.ConfigurationState { return l.configurations }

// ChangedSince returns what has changed since the given revision, for routers to
// synchronise with.
func (l *Ledger) ChangedSince(revision int64) *wire.SyncReply {
	out := &wire.SyncReply{Revision: l.revision}
	if revision >= l.revision {
		return out
	}
	for _, o := range l.Organisations() {
		if o.GetRevision() > revision {
			out.Organisations = append(out.Organisations, o)
		}
	}
	for _, k := range l.keys {
		if k.GetRevision() > revision {
			out.Keys = append(out.Keys, k)
		}
	}
	for _, r := range l.Routers() {
		if r.GetRevision() > revision {
			out.Routers = append(out.Routers, r)
		}
	}
	out.Configuration = l.Configuration()
	return out
}

func compareKeys(a, b buckthornpin.RequestKey) int {
	return cmp.Or(cmp.Compare(a.Organisation, b.Organisation), cmp.Compare(a.Key, b.Key))
}
