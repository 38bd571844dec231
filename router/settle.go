package router

import (
	"context"

	"buckthornpin"
	"buckthornpin/wire"
)

// giveUp ends the reservation of a request that gets no whole answer. Where
// nothing was sent it is cancelled, and only then the caller may be told that
// the key has not run.
func (f *flight) giveUp(refusal *buckthornpin.Refusal) *buckthornpin.Refusal {
	if f.sent {
		_ = f.settle(false)
		return refusal
	}
	if f.admission.leased {
		f.router.Purse.Return(f.request.Key.Organisation, f.request.Bound)
		if f.request.Fresh {
			return refusal.WithOutcome(buckthornpin.OutcomeNotRun)
		}
		return refusal
	}
	ctx, cancel := context.WithTimeout(f.router.ctx, f.router.ReserveTimeout)
	defer cancel()
	c := f.cancelCommand(f.strict())
	res, err := f.router.Control.Execute(ctx, c)
	f.router.record(buckthornpin.EventCancelled, f.request, "", "")
	if err != nil {
		f.router.Purse.Later(c)
	}
	if err != nil || !res.GetNotRun() {
		return refusal
	}
	return refusal.WithOutcome(buckthornpin.OutcomeNotRun).WithNextAttempt(f.nextAttempt(f.request.Attempt + 1))
}

// settle bills the request: a whole answer, or what was delivered of an answer
// that broke, whose bill a later run under the same key replaces. A whole answer
// is completed only once its bill is booked: a caller never holds a whole answer
// that wasn't billed, and of two routers at work on a key only one completes it.
func (f *flight) settle(whole bool) *buckthornpin.Refusal {
	tokens := f.bill(whole)
	refusal := f.book(tokens, whole)
	if refusal != nil {
		return refusal
	}
	f.router.record(buckthornpin.EventSettled, f.request, "", "")
	if whole {
		f.deliverLast()
	}
	return nil
}

func (f *flight) book(tokens buckthornpin.Tokens, whole bool) *buckthornpin.Refusal {
	if f.admission.leased {
		f.bookOnLease(tokens)
		return nil
	}
	res, err := f.bookReservation(tokens, whole)
	if err != nil && f.payFromLease(tokens) {
		return nil
	}
	if err != nil {
		f.router.Purse.Later(f.settleCommand(f.bill(false), false))
		return unknown(CodeCutOff, "the bill can't be booked now", retrySoon)
	}
	if res.GetKind() != wire.ResultKind_RESULT_KIND_OK {
		return unknown(CodeBroken, "another router took the request over: "+res.GetMessage(), retrySoon)
	}
	return nil
}

// bookReservation settles at control. A router that knows that it is cut off
// doesn't wait long.
func (f *flight) bookReservation(tokens buckthornpin.Tokens, whole bool) (*wire.Result, error) {
	timeout := f.router.SettleTimeout
	if f.router.Purse.Cut() {
		timeout = cutTimeout
	}
	ctx, cancel := context.WithTimeout(f.router.ctx, timeout)
	defer cancel()
	return f.router.Control.Execute(ctx, f.settleCommand(tokens, whole))
}

// payFromLease pays a reserved request from the lease where control can't be
// reached to settle it. The reservation stays held until control hears of it.
// A non-idempotent request isn't paid so: its reservation names its one run.
func (f *flight) payFromLease(tokens buckthornpin.Tokens) bool {
	if f.request.NonIdempotent || !f.router.Purse.Take(f.request.Key.Organisation, tokens) {
		return false
	}
	f.router.Purse.Spend(f.request.Key, tokens)
	return true
}

// bookOnLease bills a request that ran on the lease: at control if it answers
// soon, else in the journal.
func (f *flight) bookOnLease(tokens buckthornpin.Tokens) {
	p := f.router.Purse
	p.Return(f.request.Key.Organisation, f.request.Bound-tokens)
	if tokens == 0 {
		return
	}
	if !p.Cut() {
		ctx, cancel := context.WithTimeout(f.router.ctx, f.router.ReserveTimeout)
		defer cancel()
		if _, err := p.Book(ctx, f.request.Key, tokens); err == nil {
			return
		}
	}
	p.Spend(f.request.Key, tokens)
}

// bill returns what the request costs, never more than its bound. Of an answer
// that broke only what was delivered is billed.
func (f *flight) bill(whole bool) buckthornpin.Tokens {
	if f.request.Target.Service != "" {
		return f.request.Bound
	}
	delivered := buckthornpin.Tokens(f.delivered)
	if !whole {
		return min(delivered, f.request.Bound)
	}
	prompt := buckthornpin.Tokens(f.usage.PromptTokens)
	output := max(buckthornpin.Tokens(f.usage.CompletionTokens), delivered)
	return min(prompt+output, f.request.Bound)
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
		Tombstone: tombstone, Fresh: f.request.Fresh, Attempt: int32(f.request.Attempt), Digest: f.request.Digest,
	}}}
}

// strict reports whether a refusal says for good that the key has not run. An
// idempotent request of a caller that doesn't count its attempts has to pass
// under the same key later.
func (f *flight) strict() bool {
	return f.request.Fresh || f.request.NonIdempotent || f.request.Attempt > 0
}
