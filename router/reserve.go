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
	// holdMargin is how long a reservation is held beyond the request's deadline, so that
	// the bill has time to arrive.
	holdMargin = 30 * time.Second
	// takeoverCheckTimeout bounds the query to another router whether it works on a key.
	takeoverCheckTimeout = 500 * time.Millisecond
	// cutOffTimeout bounds calls to control while it is known to be unreachable.
	cutOffTimeout = 300 * time.Millisecond
	// recallTimeout is how long a request waits for leases that are being recalled.
	recallTimeout = 1500 * time.Millisecond
	// recallPollInterval is the pause between two attempts to reserve during that wait.
	recallPollInterval = 50 * time.Millisecond
)

// reserve reserves the request's bound at the control group. If the free budget is too
// small because of leases, and the router's own lease doesn't cover the request, it waits
// until leases have been returned.
func (f *flight) reserve(ctx context.Context, leaseCovers bool) *buckthornpin.Refusal {
	res, refusal := f.tryReserve(ctx, false)
	if !leaseCovers && f.recallMayCover(res) {
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

// recallMayCover reports whether the leases that routers now return may cover a bound for
// which the free budget was too small.
func (f *flight) recallMayCover(res *wire.Result) bool {
	return res.GetKind() == wire.ResultKind_RESULT_KIND_INSUFFICIENT && res.GetFree()+res.GetLeased() >= int64(f.request.CostBound) && !f.refusalIsFinal()
}

// reserveAfterRecall repeats the reservation while leases are being returned.
func (f *flight) reserveAfterRecall(ctx context.Context) (res *wire.Result, refusal *buckthornpin.Refusal) {
	deadline := time.Now().Add(recallTimeout)
	for {
		timer := time.NewTimer(recallPollInterval)
		select {
		case <-timer.C:
		case <-ctx.Done():
			timer.Stop()
			return nil, f.cutOffRefusal()
		}
		res, refusal = f.tryReserve(ctx, false)
		if refusal != nil || !f.recallMayCover(res) || time.Now().After(deadline) {
			return res, refusal
		}
	}
}

// tryReserve sends one reservation to control.
func (f *flight) tryReserve(ctx context.Context, takeover bool) (*wire.Result, *buckthornpin.Refusal) {
	timeout := f.router.ReserveTimeout
	if f.router.Leases.ControlUnreachable() {
		timeout = cutOffTimeout
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
		return nil, f.cutOffRefusal()
	}
	return res, nil
}

// cutOffRefusal returns the refusal for a request whose reservation control didn't answer.
// A generated key is known not to have run: it has no earlier attempt, and this one won't be
// dispatched any more.
func (f *flight) cutOffRefusal() *buckthornpin.Refusal {
	return NewRefusal(http.StatusServiceUnavailable, CodeCutOff, "the budget can't be reached now", f.request.KeyGenerated, retrySoon)
}

// abandonReservation cancels a reservation whose reply was lost, or which is still on its
// way to control, however long control stays unreachable.
func (f *flight) abandonReservation(change string) {
	c := f.cancelCommand(f.request.KeyGenerated)
	c.GetCancel().Change = change
	f.router.Leases.Defer(c)
}

func (f *flight) reserveCommand(takeover bool) *wire.Reserve {
	req := f.request
	c := &wire.Reserve{
		Organisation:  req.Key.Organisation,
		Key:           req.Key.Key,
		Bound:         int64(req.CostBound),
		NonIdempotent: req.NonIdempotent,
		Router:        f.router.VM,
		Incarnation:   f.router.Incarnation(),
		Fresh:         req.KeyGenerated,
		Attempt:       int32(req.Attempt),
		Digest:        req.Digest,
		Takeover:      takeover,
		HoldMs:        (time.Until(req.Deadline) + holdMargin).Milliseconds(),
	}
	if f.router.ChargeOrphans {
		c.OrphanTokens = int64(req.CostBound)
	}
	return c
}

// mayTakeOver reports whether the router that holds the key has stopped working on it or
// can't be reached. If that router continues nevertheless, it can neither bill nor
// complete the request once the key has been taken over.
func (f *flight) mayTakeOver(ctx context.Context, holder string) bool {
	if f.request.NonIdempotent {
		return false
	}
	if holder == f.router.VM {
		return true
	}
	ctx, cancel := context.WithTimeout(ctx, takeoverCheckTimeout)
	defer cancel()
	holds, err := f.router.Holders.AskHolds(ctx, holder, f.request.Key)
	return err != nil || !holds
}

// refusedBy translates a refusal by the ledger into one for the caller.
func (f *flight) refusedBy(res *wire.Result) *buckthornpin.Refusal {
	next := f.request.Attempt + 1
	outcome := buckthornpin.OutcomeUnknown
	if res.GetNotRun() {
		outcome = buckthornpin.OutcomeNotRun
	}
	refuse := func(status int, code string, retry time.Duration) *buckthornpin.Refusal {
		return NewRefusal(status, code, res.GetMessage(), false, retry).WithOutcome(outcome)
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

// nextAttempt returns the attempt number that the caller is told to send next; 0 for a
// generated key, which the caller doesn't know.
func (f *flight) nextAttempt(n int) int {
	if f.request.KeyGenerated {
		return 0
	}
	return n
}
