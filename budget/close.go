package budget

import (
	"context"
	"maps"
	"slices"
	"sync"

	"buckthornpin/wire"
)

// Close gives up all shares when the process stops. They are handed to other
// routers, which can be reached even while control can't, and which return what
// they don't need. If there are no successors, the shares go straight back to the
// budgets.
func (m *ShareManager) Close(ctx context.Context, successors []string) {
	m.mu.Lock()
	m.closing = true
	names := slices.Sorted(maps.Keys(m.shares))
	for _, s := range m.shares {
		if len(successors) == 0 {
			s.giveBack(s.balance())
		}
	}
	m.mu.Unlock()
	var wg sync.WaitGroup
	for i, name := range names {
		if len(successors) > 0 {
			wg.Go(func() { m.handOver(ctx, name, successors[i%len(successors)]) })
		}
	}
	wg.Wait()
	m.report(ctx, names)
}

// handOver transfers a share to another router, retrying until it answers or ctx
// ends.
func (m *ShareManager) handOver(ctx context.Context, name, successor string) {
	m.mu.Lock()
	s := m.share(name)
	// The successor's incarnation isn't known before it answers, and isn't needed:
	// this process is ending and makes no further transfers.
	total := s.donate(peerKey{address: successor}, s.balance())
	m.mu.Unlock()
	r := &wire.GiveRequest{Vm: m.Address, Incarnation: m.Incarnation, Organisation: name, Transferred: total}
	for total > 0 && ctx.Err() == nil {
		attemptCtx, cancel := context.WithTimeout(ctx, transferTimeout)
		err := m.Lenders.HandOver(attemptCtx, successor, r)
		cancel()
		if err == nil {
			return
		}
		m.Log.Warn().Str("organisation", name).Str("router", successor).Int64("tokens", total).Err(err).Msg("share wasn't handed over")
	}
}
