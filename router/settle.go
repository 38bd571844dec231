package router

import (
	"context"

	"buckthornpin"
	"buckthornpin/wire"
)

// giveUp ends the reservation of a request that gets no whole answer. If no endpoint can
// have run the request, the reservation is cancelled; only then may the caller be told that
// the key has not run.
func (f *flight) giveUp(refusal *buckthornpin.Refusal) *buckthornpin.Refusal {
	if f.mayHaveRun {
		_ = f.settle(false)
		return refusal
	}
	if f.admission.onLease {
		f.router.Leases.Return(f.request.Key.Organisation, f.request.CostBound)
		if f.request.KeyGenerated {
			return refusal.WithOutcome(buckthornpin.OutcomeNotRun)
		}
		return refusal
	}
	ctx, cancel := context.WithTimeout(f.router.ctx, f.router.ReserveTimeout)
	defer cancel()
	c := f.cancelCommand(f.refusalIsFinal())
	res, err := f.router.Control.Execute(ctx, c)
	f.router.record(buckthornpin.EventCancelled, f.request, "", "")
	if err != nil {
		f.router.Leases.Defer(c)
	}
	if err != nil || !res.GetNotRun() {
		return refusal
	}
	return refusal.WithOutcome(buckthornpin.OutcomeNotRun).WithNextAttempt(f.nextAttempt(f.request.Attempt + 1))
}

// settle bills the request: a whole answer, or the delivered part of a broken one, whose
// bill is replaced by that of a later run under the same key. A whole answer is completed
// only once it has been billed. Thus a caller never gets a whole answer that wasn't billed,
// and of two routers that work on a key only one completes the answer.
func (f *flight) settle(whole bool) *buckthornpin.Refusal {
	tokens := f.cost(whole)
	refusal := f.charge(tokens, whole)
	if refusal != nil {
		return refusal
	}
	f.router.record(buckthornpin.EventSettled, f.request, "", "")
	if whole {
		f.deliverFinalFrame()
	}
	return nil
}

// charge bills tokens on the lease or the reservation. If control can't be reached, the
// lease pays for a reserved request; if it can't either, the delivered part is billed
// later and the request refused.
func (f *flight) charge(tokens buckthornpin.Tokens, whole bool) *buckthornpin.Refusal {
	if f.admission.onLease {
		f.chargeLease(tokens)
		return nil
	}
	res, err := f.settleReservation(tokens, whole)
	if err != nil && f.payFromLease(tokens) {
		return nil
	}
	if err != nil {
		f.router.Leases.Defer(f.settleCommand(f.cost(false), false))
		return unknownOutcome(CodeCutOff, "the bill can't be booked now", retrySoon)
	}
	if res.GetKind() != wire.ResultKind_RESULT_KIND_OK {
		return unknownOutcome(CodeBroken, "another router took the request over: "+res.GetMessage(), retrySoon)
	}
	return nil
}

// settleReservation settles the reservation at control, with a short timeout if control is
// known to be unreachable.
func (f *flight) settleReservation(tokens buckthornpin.Tokens, whole bool) (*wire.Result, error) {
	timeout := f.router.SettleTimeout
	if f.router.Leases.ControlUnreachable() {
		timeout = cutOffTimeout
	}
	ctx, cancel := context.WithTimeout(f.router.ctx, timeout)
	defer cancel()
	return f.router.Control.Execute(ctx, f.settleCommand(tokens, whole))
}

// payFromLease pays for a reserved request from the lease if control can't be reached to
// settle it. The reservation is held until control is informed. A non-idempotent request
// can't be paid this way, since its reservation identifies its only run.
func (f *flight) payFromLease(tokens buckthornpin.Tokens) bool {
	if f.request.NonIdempotent || !f.router.Leases.Take(f.request.Key.Organisation, tokens) {
		return false
	}
	f.router.Leases.Spend(f.request.Key, tokens)
	return true
}

// chargeLease bills a request that ran on the lease: at control if it answers in time,
// otherwise by a record in Leases, which is reported to control later.
func (f *flight) chargeLease(tokens buckthornpin.Tokens) {
	leases := f.router.Leases
	leases.Return(f.request.Key.Organisation, f.request.CostBound-tokens)
	if tokens == 0 {
		return
	}
	if !leases.ControlUnreachable() {
		ctx, cancel := context.WithTimeout(f.router.ctx, f.router.ReserveTimeout)
		defer cancel()
		if _, err := leases.Bill(ctx, f.request.Key, tokens); err == nil {
			return
		}
	}
	leases.Spend(f.request.Key, tokens)
}

// cost returns what the request costs in tokens, at most its bound. For a broken answer it
// is the number of tokens that were delivered. A request to a plain service costs its bound.
func (f *flight) cost(whole bool) buckthornpin.Tokens {
	if f.request.Target.Service != "" {
		return f.request.CostBound
	}
	delivered := buckthornpin.Tokens(f.delivered)
	if !whole {
		return min(delivered, f.request.CostBound)
	}
	prompt := f.stated(f.usage.PromptTokens)
	output := max(f.stated(f.usage.CompletionTokens), delivered)
	return min(prompt+output, f.request.CostBound)
}

// stated returns a count that an endpoint has stated, within the request's bound.
func (f *flight) stated(tokens int64) buckthornpin.Tokens {
	return min(max(buckthornpin.Tokens(tokens), 0), f.request.CostBound)
}

func (f *flight) settleCommand(tokens buckthornpin.Tokens, whole bool) *wire.Command {
	return &wire.Command{Op: &wire.Command_Settle{Settle: &wire.Settle{
		Organisation: f.request.Key.Organisation, Key: f.request.Key.Key,
		Dispatch: f.dispatch, Tokens: int64(tokens), Whole: whole,
	}}}
}

func (f *flight) cancelCommand(tombstone bool) *wire.Command {
	return &wire.Command{Op: &wire.Command_Cancel{Cancel: &wire.Cancel{
		Organisation: f.request.Key.Organisation, Key: f.request.Key.Key, Dispatch: f.dispatch,
		Tombstone: tombstone, Fresh: f.request.KeyGenerated, Attempt: int32(f.request.Attempt), Digest: f.request.Digest,
	}}}
}

// refusalIsFinal reports whether a refusal states for good that the key has not run. An
// idempotent request of a caller that doesn't number its attempts must still be accepted
// under the same key later.
func (f *flight) refusalIsFinal() bool {
	return f.request.KeyGenerated || f.request.NonIdempotent || f.request.Attempt > 0
}
