package router

import (
	"context"

	"buckthornpin"
	"buckthornpin/endpt"
	"buckthornpin/wire"
)

// Leases holds the router's leases on the organisations' budgets.
type Leases interface {
	// ControlUnreachable reports whether control hasn't been reachable for a long time.
	ControlUnreachable() bool
	// Take sets tokens of a lease aside for a request; false if the lease has too few.
	Take(organisation string, tokens buckthornpin.Tokens) bool
	// Return gives back taken tokens that a request didn't spend.
	Return(organisation string, tokens buckthornpin.Tokens)
	// Spend charges taken tokens to a request; control is informed later.
	Spend(k buckthornpin.RequestKey, tokens buckthornpin.Tokens)
	// Defer queues an idempotent command until control can be reached.
	Defer(c *wire.Command)
	// Bill charges a request that ran on a lease, by an immediate call to control.
	Bill(ctx context.Context, k buckthornpin.RequestKey, tokens buckthornpin.Tokens) (*wire.Result, error)
}

// admission says how a request's cost is covered, or why it is refused. Its other fields
// are valid once done is closed.
type admission struct {
	done chan struct{}
	// onLease reports whether the router's lease covers the cost.
	onLease bool
	refusal *buckthornpin.Refusal
}

// admit covers the request's cost. A non-idempotent request waits for its reservation. An
// idempotent one that the lease covers starts at once: the reservation is made while the
// endpoint reads the prompt, and the lease covers the cost if control can't.
func (f *flight) admit(ctx context.Context, cancel context.CancelFunc) {
	f.admission = &admission{done: make(chan struct{})}
	if f.request.NonIdempotent || !f.router.Leases.Take(f.request.Key.Organisation, f.request.CostBound) {
		f.admission.refusal = f.reserve(ctx, false)
		close(f.admission.done)
		return
	}
	f.router.running.Go(func() {
		defer close(f.admission.done)
		f.admitOnLease(ctx)
		if f.admission.refusal != nil {
			cancel()
		}
	})
}

// admitOnLease tries to reserve the cost at control. It falls back to the tokens taken
// from the lease if control can't be reached or the free budget is too small.
func (f *flight) admitOnLease(ctx context.Context) {
	a := f.admission
	if f.router.Leases.ControlUnreachable() {
		a.onLease = true
		return
	}
	refusal := f.reserve(ctx, true)
	switch {
	case refusal == nil:
		f.router.Leases.Return(f.request.Key.Organisation, f.request.CostBound)
	case refusal.Code == CodeCutOff || refusal.Code == CodeInsufficient:
		a.onLease = true
	default:
		f.router.Leases.Return(f.request.Key.Organisation, f.request.CostBound)
		a.refusal = refusal
	}
}

// mayDeliver waits until the request is admitted if the caller chose its key: the key may
// have run already, and then the caller gets the answer of that run. The returned error
// wraps the refusal.
func (f *flight) mayDeliver() error {
	if f.request.KeyGenerated {
		return nil
	}
	if refusal := f.waitForAdmission(); refusal != nil {
		return &endpt.Error{Op: "deliver", Kind: endpt.KindRejected, Err: refusal}
	}
	return nil
}

// waitForAdmission waits until the request is admitted or refused, and returns the
// refusal.
func (f *flight) waitForAdmission() *buckthornpin.Refusal {
	<-f.admission.done
	return f.admission.refusal
}
