package router

import (
	"context"

	"buckthornpin"
	"buckthornpin/endpt"
	"buckthornpin/wire"
)

// Purse is the router's leases.
type Purse interface {
	// Cut reports whether control can't be reached for long.
	Cut() bool
	// Take sets tokens aside for a request; false where the lease lacks them.
	Take(organisation string, tokens buckthornpin.Tokens) bool
	Return(organisation string, tokens buckthornpin.Tokens)
	// Spend books taken tokens for a request; control hears of it later.
	Spend(k buckthornpin.RequestKey, tokens buckthornpin.Tokens)
	// Later sends an idempotent command once control can be reached.
	Later(c *wire.Command)
	// Book bills a request that ran on a lease at control, now.
	Book(ctx context.Context, k buckthornpin.RequestKey, tokens buckthornpin.Tokens) (*wire.Result, error)
}

// admission is the way in which a request's cost is covered. Its other fields
// are valid once done is closed.
type admission struct {
	done chan struct{}
	// leased says that the request runs on the router's lease.
	leased  bool
	refusal *buckthornpin.Refusal
}

// admit covers the request's cost. A non-idempotent request waits for its
// reservation. An idempotent one that the lease covers starts at once: its
// reservation travels while the endpoint reads the prompt, and the lease pays
// where control can't.
func (f *flight) admit(ctx context.Context, cancel context.CancelFunc) {
	f.admission = &admission{done: make(chan struct{})}
	if f.request.NonIdempotent || !f.router.Purse.Take(f.request.Key.Organisation, f.request.Bound) {
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

func (f *flight) admitOnLease(ctx context.Context) {
	a := f.admission
	if f.router.Purse.Cut() {
		a.leased = true
		return
	}
	refusal := f.reserve(ctx, true)
	switch {
	case refusal == nil:
		f.router.Purse.Return(f.request.Key.Organisation, f.request.Bound)
	case refusal.Code == CodeCutOff || refusal.Code == CodeInsufficient:
		a.leased = true
	default:
		f.router.Purse.Return(f.request.Key.Organisation, f.request.Bound)
		a.refusal = refusal
	}
}

// mayDeliver waits, under a caller's own key, until the request is admitted: the
// key may have run already, and its answer is that run's then.
func (f *flight) mayDeliver() error {
	if f.request.Fresh {
		return nil
	}
	if refusal := f.admitted(); refusal != nil {
		return &endpt.Error{Op: "deliver", Kind: endpt.KindRejected, Err: refusal}
	}
	return nil
}

// admitted waits for the admission and returns its refusal.
func (f *flight) admitted() *buckthornpin.Refusal {
	<-f.admission.done
	return f.admission.refusal
}
