package budget

import (
	"context"
	"time"

	"buckthornpin"
	"buckthornpin/wire"
)

// wait looks for tokens elsewhere until the request is covered or nothing more
// can be had.
func (w *Wallet) wait(ctx context.Context, organisation string, s *share, tokens int64) buckthornpin.Cover {
	tried := false
	for {
		w.mu.Lock()
		if s.reserve(tokens, time.Now()) {
			w.mu.Unlock()
			return buckthornpin.Covered
		}
		changed, leads := s.changed, !s.acquiring
		if leads && (tried || time.Since(s.failedAt) < acquirePause) {
			verdict := w.verdict(s, tokens)
			w.mu.Unlock()
			return verdict
		}
		s.acquiring = s.acquiring || leads
		w.mu.Unlock()
		if leads {
			w.acquire(ctx, organisation, s)
			tried = true
			continue
		}
		select {
		case <-changed:
		case <-ctx.Done():
			return buckthornpin.CoveredElsewhere
		}
	}
}

// verdict says whether the whole budget is known to be too small for a request.
// The caller holds mu.
func (w *Wallet) verdict(s *share, tokens int64) buckthornpin.Cover {
	if time.Since(w.heardAt) > heardWithin || s.reserved > 0 || s.balance()+s.free+s.others() >= tokens {
		return buckthornpin.CoveredElsewhere
	}
	return buckthornpin.BudgetSpent
}

// acquire asks control, where it was heard lately, and then the other routers,
// the richest first.
func (w *Wallet) acquire(ctx context.Context, organisation string, s *share) {
	defer func() {
		w.mu.Lock()
		s.acquiring = false
		if s.waiting > s.balance() {
			s.failedAt = time.Now()
		}
		s.wake()
		w.mu.Unlock()
	}()
	w.mu.Lock()
	ask := time.Since(w.heardAt) <= heardWithin
	w.mu.Unlock()
	if ask {
		controlCtx, cancel := context.WithTimeout(ctx, urgentTimeout)
		w.report(controlCtx, []string{organisation})
		cancel()
	}
	for _, l := range w.lenders(s) {
		lack := w.lack(s)
		if lack <= 0 || ctx.Err() != nil {
			return
		}
		w.borrow(ctx, organisation, s, l.address, lack)
	}
}

// lack returns what waiting requests lack.
func (w *Wallet) lack(s *share) int64 {
	w.mu.Lock()
	defer w.mu.Unlock()
	return s.waiting - s.balance()
}

// lenders returns the routers that are asked for one request.
func (w *Wallet) lenders(s *share) []lender {
	w.mu.Lock()
	defer w.mu.Unlock()
	all := s.richest(time.Now())
	return all[:min(len(all), maxLenders)]
}

// borrow asks another router for tokens.
func (w *Wallet) borrow(ctx context.Context, organisation string, s *share, address string, tokens int64) {
	w.mu.Lock()
	r := &wire.TransferRequest{
		Vm: w.Address, Incarnation: w.Incarnation, Organisation: organisation, Tokens: tokens, Rate: int64(s.rate.now(time.Now())),
	}
	w.mu.Unlock()
	ctx, cancel := context.WithTimeout(ctx, transferTimeout)
	defer cancel()
	reply, err := w.Lenders.AskTransfer(ctx, address, r)
	if err != nil {
		w.Log.Info().Str("organisation", organisation).Str("router", address).Int64("tokens", tokens).Err(err).Msg("transfer failed")
		return
	}
	w.metrics.transfers.Add(1)
	w.mu.Lock()
	defer w.mu.Unlock()
	s.receive(peerKey{address: address, incarnation: reply.GetIncarnation()}, reply.GetTransferred())
	s.peers[address] = peerBalance{tokens: reply.GetBalance(), at: time.Now()}
}

// Balances implements peer.Budgets.
func (w *Wallet) Balances() []*wire.BalanceState {
	w.mu.Lock()
	defer w.mu.Unlock()
	out := make([]*wire.BalanceState, 0, len(w.shares))
	for name, s := range w.shares {
		out = append(out, &wire.BalanceState{Organisation: name, Tokens: s.balance()})
	}
	return out
}

// TakeBalances implements peer.Budgets.
func (w *Wallet) TakeBalances(address string, all []*wire.BalanceState) {
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, b := range all {
		w.share(b.GetOrganisation()).peers[address] = peerBalance{tokens: b.GetTokens(), at: time.Now()}
	}
}

// Donate implements peer.Budgets.
func (w *Wallet) Donate(r *wire.TransferRequest) *wire.TransferReply {
	w.mu.Lock()
	defer w.mu.Unlock()
	s := w.share(r.GetOrganisation())
	tokens := donation(s.balance(), r.GetTokens(), s.rate.now(time.Now()), float64(r.GetRate()))
	total := s.donate(peerKey{address: r.GetVm(), incarnation: r.GetIncarnation()}, tokens)
	return &wire.TransferReply{Incarnation: w.Incarnation, Transferred: total, Balance: s.balance()}
}

// Accept implements peer.Budgets.
func (w *Wallet) Accept(r *wire.GiveRequest) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.share(r.GetOrganisation()).receive(peerKey{address: r.GetVm(), incarnation: r.GetIncarnation()}, r.GetTransferred())
}
