package budget

import (
	"context"
	"maps"
	"slices"
	"sync"

	"buckthornpin/wire"
)

// Close gives the shares back at a stop. Other routers come first: they answer in
// a cut from control too, and return what they don't need. Only without any the
// shares go straight back to the budgets.
func (w *Wallet) Close(ctx context.Context, heirs []string) {
	w.mu.Lock()
	w.closing = true
	names := slices.Sorted(maps.Keys(w.shares))
	for _, s := range w.shares {
		if len(heirs) == 0 {
			s.giveBack(s.balance())
		}
	}
	w.mu.Unlock()
	var all sync.WaitGroup
	for i, name := range names {
		if len(heirs) > 0 {
			all.Go(func() { w.handOver(ctx, name, heirs[i%len(heirs)]) })
		}
	}
	all.Wait()
	w.report(ctx, names)
}

// handOver gives a share to another router, again and again until it answers or
// ctx ends.
func (w *Wallet) handOver(ctx context.Context, name, heir string) {
	w.mu.Lock()
	s := w.share(name)
	// The heir's incarnation isn't known before it answers, and doesn't matter:
	// this process ends and exchanges nothing else.
	total := s.donate(peerKey{address: heir}, s.balance())
	w.mu.Unlock()
	r := &wire.GiveRequest{Vm: w.Address, Incarnation: w.Incarnation, Organisation: name, Transferred: total}
	for total > 0 && ctx.Err() == nil {
		try, cancel := context.WithTimeout(ctx, transferTimeout)
		err := w.Lenders.HandOver(try, heir, r)
		cancel()
		if err == nil {
			return
		}
		w.Log.Warn().Str("organisation", name).Str("router", heir).Int64("tokens", total).Err(err).Msg("share wasn't handed over")
	}
}
