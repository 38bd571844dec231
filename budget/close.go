package budget

import (
	"context"
	"maps"
	"slices"
	"sync"
	"time"

	"buckthornpin"
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
	if len(successors) > 0 {
		m.endLimits(ctx, names)
	}
	var wg sync.WaitGroup
	for i, name := range names {
		if len(successors) > 0 {
			wg.Go(func() { m.handOver(ctx, name, successors[i%len(successors)]) })
		}
	}
	wg.Wait()
	m.report(ctx, names)
}

// endLimits reports to control that the limits on the use of the shares no longer hold,
// unless control is known to be unreachable.
func (m *ShareManager) endLimits(ctx context.Context, names []string) {
	m.mu.Lock()
	reachable := time.Since(m.lastAnswer) <= maxControlSilence
	m.mu.Unlock()
	if m.boot.ID == 0 || !reachable {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, urgentTimeout)
	defer cancel()
	m.report(ctx, names)
}

// handOver transfers a share to another router, retrying until it answers or ctx
// ends. Tokens that a limit keeps back follow when it has ended.
func (m *ShareManager) handOver(ctx context.Context, name, successor string) {
	acknowledged := int64(0)
	for ctx.Err() == nil {
		total, remaining, limitedFor := m.donateAll(name, successor)
		if total > acknowledged {
			if m.sendHandOver(ctx, name, successor, total) {
				acknowledged = total
			}
			continue
		}
		if remaining <= 0 {
			return
		}
		buckthornpin.Wait(ctx, limitedFor)
	}
}

// donateAll donates what is available of a share. It returns the number of tokens
// donated in total, those still held and for how long a limit keeps them back.
func (m *ShareManager) donateAll(name, successor string) (total, remaining int64, limitedFor time.Duration) {
	m.mu.Lock()
	defer m.mu.Unlock()
	s := m.share(name)
	now := time.Now()
	// The successor's incarnation isn't known before it answers, and isn't needed:
	// this process is ending and makes no further transfers.
	total = s.donate(peerKey{address: successor}, s.balance(), now)
	return total, s.balance(), s.limitedFor(now)
}

func (m *ShareManager) sendHandOver(ctx context.Context, name, successor string, total int64) bool {
	ctx, cancel := context.WithTimeout(ctx, transferTimeout)
	defer cancel()
	r := &wire.GiveRequest{Vm: m.Address, Incarnation: m.Incarnation, Organisation: name, Transferred: total}
	err := m.Lenders.HandOver(ctx, successor, r)
	if err != nil {
		m.Log.Warn().Str("organisation", name).Str("router", successor).Int64("tokens", total).Err(err).Msg("share wasn't handed over")
	}
	return err == nil
}
