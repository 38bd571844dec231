package budget

import (
	"context"
	"time"

	"buckthornpin"
	"buckthornpin/wire"
)

// waitForTokens acquires tokens from control and other routers until the request
// is covered or no more tokens are available.
func (w *ShareManager) waitForTokens(ctx context.Context, organisation string, s *share, tokens int64) buckthornpin.Cover {
	hasAcquired := false
	for {
		w.mu.Lock()
		if s.reserve(tokens, time.Now()) {
			w.mu.Unlock()
			return buckthornpin.Covered
		}
		changed, mustAcquire := s.changed, !s.acquiring
		if mustAcquire && (hasAcquired || time.Since(s.failedAt) < acquireBackoff) {
			refusal := w.refusal(s, tokens)
			w.mu.Unlock()
			return refusal
		}
		s.acquiring = s.acquiring || mustAcquire
		w.mu.Unlock()
		if mustAcquire {
			w.acquire(ctx, organisation, s)
			hasAcquired = true
			continue
		}
		select {
		case <-changed:
		case <-ctx.Done():
			return buckthornpin.CoveredElsewhere
		}
	}
}

// refusal returns BudgetSpent if the whole budget is known to be too small for a
// request, and CoveredElsewhere otherwise. The caller holds mu.
func (w *ShareManager) refusal(s *share, tokens int64) buckthornpin.Cover {
	if time.Since(w.lastAnswer) > maxControlSilence || s.reserved > 0 || s.balance()+s.free+s.peerTokens() >= tokens {
		return buckthornpin.CoveredElsewhere
	}
	return buckthornpin.BudgetSpent
}

// acquire asks control for tokens if it has answered recently, and then the other
// routers in descending order of balance.
func (w *ShareManager) acquire(ctx context.Context, organisation string, s *share) {
	defer func() {
		w.mu.Lock()
		s.acquiring = false
		if s.waiting > s.balance() {
			s.failedAt = time.Now()
		}
		s.notifyWaiters()
		w.mu.Unlock()
	}()
	w.mu.Lock()
	askControl := time.Since(w.lastAnswer) <= maxControlSilence
	w.mu.Unlock()
	if askControl {
		controlCtx, cancel := context.WithTimeout(ctx, urgentTimeout)
		w.report(controlCtx, []string{organisation})
		cancel()
	}
	for _, l := range w.lenders(s) {
		shortfall := w.shortfall(s)
		if shortfall <= 0 || ctx.Err() != nil {
			return
		}
		w.borrow(ctx, organisation, s, l.address, shortfall)
	}
}

// shortfall returns the number of tokens that the waiting requests need beyond the
// balance.
func (w *ShareManager) shortfall(s *share) int64 {
	w.mu.Lock()
	defer w.mu.Unlock()
	return s.waiting - s.balance()
}

// lenders returns the routers to ask for tokens on behalf of one request.
func (w *ShareManager) lenders(s *share) []lender {
	w.mu.Lock()
	defer w.mu.Unlock()
	all := s.lendersByBalance(time.Now())
	return all[:min(len(all), maxLenders)]
}

// borrow asks another router to transfer tokens to this one.
func (w *ShareManager) borrow(ctx context.Context, organisation string, s *share, address string, tokens int64) {
	w.mu.Lock()
	r := &wire.TransferRequest{
		Vm: w.Address, Incarnation: w.Incarnation, Organisation: organisation, Tokens: tokens, Rate: int64(s.rate.perSecond(time.Now())),
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
func (w *ShareManager) Balances() []*wire.BalanceState {
	w.mu.Lock()
	defer w.mu.Unlock()
	out := make([]*wire.BalanceState, 0, len(w.shares))
	for name, s := range w.shares {
		out = append(out, &wire.BalanceState{Organisation: name, Tokens: s.balance()})
	}
	return out
}

// TakeBalances implements peer.Budgets.
func (w *ShareManager) TakeBalances(address string, all []*wire.BalanceState) {
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, b := range all {
		w.share(b.GetOrganisation()).peers[address] = peerBalance{tokens: b.GetTokens(), at: time.Now()}
	}
}

// Donate implements peer.Budgets.
func (w *ShareManager) Donate(r *wire.TransferRequest) *wire.TransferReply {
	w.mu.Lock()
	defer w.mu.Unlock()
	s := w.share(r.GetOrganisation())
	tokens := donation(s.balance(), r.GetTokens(), s.rate.perSecond(time.Now()), float64(r.GetRate()))
	total := s.donate(peerKey{address: r.GetVm(), incarnation: r.GetIncarnation()}, tokens)
	return &wire.TransferReply{Incarnation: w.Incarnation, Transferred: total, Balance: s.balance()}
}

// Accept implements peer.Budgets.
func (w *ShareManager) Accept(r *wire.GiveRequest) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.share(r.GetOrganisation()).receive(peerKey{address: r.GetVm(), incarnation: r.GetIncarnation()}, r.GetTransferred())
}
