package budget

import (
	"context"
	"time"

	"buckthornpin"
	"buckthornpin/wire"
)

// waitForTokens acquires tokens from control and other routers until the request
// is covered or no more tokens are available.
func (m *ShareManager) waitForTokens(ctx context.Context, organisation string, s *share, tokens int64) buckthornpin.Coverage {
	attempted := false
	for {
		m.mu.Lock()
		if s.reserve(tokens, time.Now()) {
			m.mu.Unlock()
			return buckthornpin.Covered
		}
		changed, mustAcquire := s.changed, !s.acquiring
		if mustAcquire && (attempted || time.Since(s.failedAt) < acquireBackoff) {
			refusal := m.refusal(s, tokens)
			m.mu.Unlock()
			return refusal
		}
		s.acquiring = s.acquiring || mustAcquire
		m.mu.Unlock()
		if mustAcquire {
			m.acquire(ctx, organisation, s, tokens)
			attempted = true
			continue
		}
		select {
		case <-changed:
		case <-ctx.Done():
			return buckthornpin.MaybeCoveredElsewhere
		}
	}
}

// refusal returns BudgetSpent if the whole budget is known to be too small for a
// request, and MaybeCoveredElsewhere otherwise. The caller holds mu.
func (m *ShareManager) refusal(s *share, tokens int64) buckthornpin.Coverage {
	if time.Since(m.lastAnswer) > maxControlSilence || s.reserved > 0 || s.balance()+s.free+s.peerTokens() >= tokens {
		return buckthornpin.MaybeCoveredElsewhere
	}
	return buckthornpin.BudgetSpent
}

// acquire asks control for tokens, and then the other routers. It has failed if they don't
// cover a request of the given tokens.
func (m *ShareManager) acquire(ctx context.Context, organisation string, s *share, tokens int64) {
	defer m.endAcquisition(s, tokens)
	reportCtx, cancel := context.WithTimeout(ctx, urgentTimeout)
	answered := m.askControl(reportCtx, organisation)
	defer func() {
		cancel()
		<-answered
	}()
	select {
	case <-answered:
	case <-time.After(controlWait(ctx)):
	}
	m.borrowShortfall(ctx, organisation, s)
	if m.shortfall(s) > 0 {
		<-answered
	}
}

// endAcquisition lets the requests that wait for tokens check again.
func (m *ShareManager) endAcquisition(s *share, tokens int64) {
	m.mu.Lock()
	defer m.mu.Unlock()
	s.acquiring = false
	if s.available(time.Now()) < tokens {
		s.failedAt = time.Now()
	}
	s.notifyWaiters()
}

// borrowShortfall asks other routers one after the other until nothing lacks.
func (m *ShareManager) borrowShortfall(ctx context.Context, organisation string, s *share) {
	for _, l := range m.lenders(s) {
		shortfall := m.shortfall(s)
		if shortfall <= 0 || ctx.Err() != nil {
			return
		}
		m.borrow(ctx, organisation, s, l.address, shortfall+m.expectedDemand(s))
	}
}

// askControl reports a share at once, unless control has left an earlier report unanswered. The
// returned channel is closed when the report has ended.
func (m *ShareManager) askControl(ctx context.Context, organisation string) <-chan struct{} {
	ended := make(chan struct{})
	m.mu.Lock()
	silent := m.controlIsSilent()
	m.mu.Unlock()
	if silent {
		close(ended)
		return ended
	}
	go func() {
		defer close(ended)
		m.report(ctx, []string{organisation})
	}()
	return ended
}

// controlWait returns how long a request waits for control before it asks other routers.
func controlWait(ctx context.Context) time.Duration {
	deadline, ok := ctx.Deadline()
	if !ok {
		return urgentTimeout
	}
	return min(time.Until(deadline)/controlWaitDivisor, urgentTimeout)
}

// controlIsSilent reports whether control has left a report unanswered for some time. The caller
// holds mu.
func (m *ShareManager) controlIsSilent() bool {
	return !m.unansweredSince.IsZero() && time.Since(m.unansweredSince) > urgentTimeout
}

// shortfall returns the number of tokens that the waiting requests need beyond those
// that are available.
func (m *ShareManager) shortfall(s *share) int64 {
	m.mu.Lock()
	defer m.mu.Unlock()
	return s.waiting - s.available(time.Now())
}

// expectedDemand returns the number of tokens to borrow beyond a shortfall. While control is
// silent, all tokens come from other routers, and one transfer has to serve several requests.
func (m *ShareManager) expectedDemand(s *share) int64 {
	m.mu.Lock()
	defer m.mu.Unlock()
	if !m.controlIsSilent() {
		return 0
	}
	return int64(s.rate.perSecond(time.Now()) * lowBalanceTime.Seconds())
}

// lenders returns the routers to ask for tokens on behalf of one request. In a large fleet few
// balances are recent. While control is silent, routers are asked by older ones too.
func (m *ShareManager) lenders(s *share) []lender {
	m.mu.Lock()
	defer m.mu.Unlock()
	maxAge := maxBalanceAge
	if m.controlIsSilent() {
		maxAge = max(m.Horizon, maxBalanceAge)
	}
	all := s.lendersByBalance(time.Now(), maxAge)
	return all[:min(len(all), maxLenders)]
}

// borrow asks another router to transfer tokens to this one.
func (m *ShareManager) borrow(ctx context.Context, organisation string, s *share, address string, tokens int64) {
	m.mu.Lock()
	r := &wire.TransferRequest{
		Vm: m.Address, Incarnation: m.Incarnation, Organisation: organisation, Tokens: tokens, Rate: int64(s.rate.perSecond(time.Now())),
	}
	m.mu.Unlock()
	ctx, cancel := context.WithTimeout(ctx, transferTimeout)
	defer cancel()
	reply, err := m.Lenders.AskTransfer(ctx, address, r)
	if err != nil {
		m.Log.Info().Str("organisation", organisation).Str("router", address).Int64("tokens", tokens).Err(err).Msg("transfer failed")
		return
	}
	m.metrics.transfers.Add(1)
	m.mu.Lock()
	defer m.mu.Unlock()
	s.receive(peerKey{address: address, incarnation: reply.GetIncarnation()}, reply.GetTransferred())
	s.peers[address] = peerBalance{tokens: min(reply.GetBalance(), buckthornpin.MaxTokens), at: time.Now()}
}

// Balances implements peer.Budgets.
func (m *ShareManager) Balances() []*wire.BalanceState {
	m.mu.Lock()
	defer m.mu.Unlock()
	out := make([]*wire.BalanceState, 0, len(m.shares))
	now := time.Now()
	for name, s := range m.shares {
		out = append(out, &wire.BalanceState{Organisation: name, Tokens: s.available(now)})
	}
	return out
}

// RecordBalances implements peer.Budgets.
func (m *ShareManager) RecordBalances(address string, all []*wire.BalanceState) {
	m.mu.Lock()
	defer m.mu.Unlock()
	for _, b := range all {
		m.share(b.GetOrganisation()).peers[address] = peerBalance{tokens: min(b.GetTokens(), buckthornpin.MaxTokens), at: time.Now()}
	}
}

// Donate implements peer.Budgets.
func (m *ShareManager) Donate(r *wire.TransferRequest) *wire.TransferReply {
	m.mu.Lock()
	defer m.mu.Unlock()
	s := m.share(r.GetOrganisation())
	now := time.Now()
	tokens := donation(s.available(now), r.GetTokens(), s.rate.perSecond(now), float64(r.GetRate()))
	total := s.donate(peerKey{address: r.GetVm(), incarnation: r.GetIncarnation()}, tokens, now)
	return &wire.TransferReply{Incarnation: m.Incarnation, Transferred: total, Balance: s.available(now)}
}

// AcceptHandOver implements peer.Budgets.
func (m *ShareManager) AcceptHandOver(r *wire.GiveRequest) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.share(r.GetOrganisation()).receive(peerKey{address: r.GetVm(), incarnation: r.GetIncarnation()}, r.GetTransferred())
}
