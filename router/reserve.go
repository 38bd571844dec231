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
