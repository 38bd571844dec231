package router

import (
	"context"
	"net/http"
	"time"

	"github.com/google/uuid"

	"buckthornpin"
	"buckthornpin/wire"
)

const (
	// holdMargin is how much longer than its deadline a request is held, so
	// that its bill has time to arrive.
	holdMargin = 30 * time.Second
	// takeoverCheck bounds how long another router is asked about a key.
	takeoverCheck = 500 * time.Millisecond
	// cutTimeout bounds calls to control while it is known to be out of reach.
	cutTimeout = 300 * time.Millisecond
	// recallWait is how long a request waits for leases that are called back.
	recallWait = 1500 * time.Millisecond
	// recallPoll is the pause between two tries meanwhile.
	recallPoll = 50 * time.Millisecond
)

// reserve holds the request's bound at the control group before dispatch.
// Where the budget is short because of leases, it waits for them to come back if
// the router's own lease doesn't cover the request.
func (f *flight) reserve(ctx context.Context, covered bool) *buckthornpin.Refusal {
	res, refusal := f.tryReserve(ctx, false)
	if !covered && f.leasesAreOut(res) {
		res, refusal = f.reserveAfterRecall(ctx)
	}
	if refusal == nil && res.GetKind() == wire.ResultKind_RESULT_KIND_IN_PROGRESS && f.mayTakeOver(ctx, res.GetRouter()) {
		res, refusal = f.tryReserve(ctx, true)
	}
	if refusal != nil {
		return refusal
	}
	if res.GetKind() != wire.ResultKind_RESULT_KIND_OK {
		f.holder = res.GetRouter()
		return f.refusedBy(res)
	}
	f.dispatch = res.GetDispatch()
	f.router.record(buckthornpin.EventReserved, f.request, "", "")
	return nil
}

// leasesAreOut reports whether a refused bound may be covered by what routers
// hold of the budget and now give back.
func (f *flight) leasesAreOut(res *wire.Result) bool {
	return res.GetKind() == wire.ResultKind_RESULT_KIND_INSUFFICIENT && res.GetFree()+res.GetLeased() >= int64(f.request.Bound) && !f.strict()
}

// reserveAfterRecall tries again while leases come back.
func (f *flight) reserveAfterRecall(ctx context.Context) (res *wire.Result, refusal *buckthornpin.Refusal) {
	deadline := time.Now().Add(recallWait)
	for {
		timer := time.NewTimer(recallPoll)
		select {
		case <-timer.C:
		case <-ctx.Done():
			timer.Stop()
			return nil, f.cutOff()
		}
		res, refusal = f.tryReserve(ctx, false)
		if refusal != nil || !f.leasesAreOut(res) || time.Now().After(deadline) {
			return res, refusal
		}
	}
}

func (f *flight) tryReserve(ctx context.Context, takeover bool) (*wire.Result, *buckthornpin.Refusal) {
	timeout := f.router.ReserveTimeout
	if f.router.Purse.Cut() {
		timeout = cutTimeout
	}
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	id := uuid.NewString()
	res, err := f.router.Control.Execute(ctx, &wire.Command{
		Id: id,
		Op: &wire.Command_Reserve{Reserve: f.reserveCommand(takeover)},
	})
	if err != nil {
		f.abandonReservation(id)
		return nil, f.cutOff()
	}
	return res, nil
}

// cutOff is the refusal when control doesn't answer. A key that the router made
// has no earlier attempt, and this one isn't dispatched any more.
func (f *flight) cutOff() *buckthornpin.Refusal {
	return Refuse(http.StatusServiceUnavailable, CodeCutOff, "the budget can't be reached now", f.request.Fresh, retrySoon)
}

// abandonReservation takes back a reservation whose reply was lost, or that is
// still on its way, however long control stays out of reach.
func (f *flight) abandonReservation(change string) {
	c := f.cancelCommand(f.request.Fresh)
	c.GetCancel().Change = change
	f.router.Purse.Later(c)
}

func (f *flight) reserveCommand(takeover bool) *wire.Reserve {
	req := f.request
	c := &wire.Reserve{
		Organisation:  req.Key.Organisation,
		Key:           req.Key.Key,
		Bound:         int64(req.Bound),
		NonIdempotent: req.NonIdempotent,
		Router:        f.router.VM,
		Incarnation:   f.router.Incarnation(),
		Fresh:         req.Fresh,
		Attempt:       int32(req.Attempt),
		Digest:        req.Digest,
		Takeover:      takeover,
		HoldMs:        (time.Until(req.Deadline) + holdMargin).Milliseconds(),
	}
	if f.router.ChargeOrphans {
		c.OrphanTokens = int64(req.Bound)
	}
	return c
}

// mayTakeOver reports whether the router that holds the key has stopped working
// on it, or can't be reached. What it may still do, it can't bill or complete
// once the key has been taken over.
func (f *flight) mayTakeOver(ctx context.Context, holder string) bool {
	if f.request.NonIdempotent {
		return false
	}
	if holder == f.router.VM {
		return true
	}
	ctx, cancel := context.WithTimeout(ctx, takeoverCheck)
	defer cancel()
	holds, err := f.router.Holders.AskHolds(ctx, holder, f.request.Key)
	return err != nil || !holds
}

// refusedBy translates the ledger's refusal.
func (f *flight) refusedBy(res *wire.Result) *buckthornpin.Refusal {
	next := f.request.Attempt + 1
	outcome := buckthornpin.OutcomeUnknown
	if res.GetNotRun() {
		outcome = buckthornpin.OutcomeNotRun
	}
	refuse := func(status int, code string, retry time.Duration) *buckthornpin.Refusal {
		return Refuse(status, code, res.GetMessage(), false, retry).WithOutcome(outcome)
	}
	switch res.GetKind() {
	case wire.ResultKind_RESULT_KIND_INSUFFICIENT:
		return refuse(http.StatusPaymentRequired, CodeInsufficient, retryLater).WithNextAttempt(f.nextAttempt(next))
	case wire.ResultKind_RESULT_KIND_IN_PROGRESS:
		return refuse(http.StatusConflict, CodeInProgress, retrySoon)
	case wire.ResultKind_RESULT_KIND_ALREADY_RAN:
		return refuse(http.StatusConflict, CodeAlreadyRan, 0).WithOutcome(buckthornpin.OutcomeRan)
	case wire.ResultKind_RESULT_KIND_TOMBSTONE:
		return refuse(http.StatusConflict, CodeTombstone, retrySoon).WithNextAttempt(next)
	case wire.ResultKind_RESULT_KIND_CONFLICT:
		return refuse(http.StatusConflict, CodeKeyReused, 0)
	case wire.ResultKind_RESULT_KIND_NOT_FOUND:
		return refuse(http.StatusForbidden, CodeForbidden, 0)
	case wire.ResultKind_RESULT_KIND_STALE_ROUTER:
		return refuse(http.StatusServiceUnavailable, CodeCutOff, retrySoon)
	}
	return refuse(http.StatusBadRequest, CodeInvalid, 0)
}

func (f *flight) nextAttempt(n int) int {
	if f.request.Fresh {
		return 0
	}
	return n
}

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
