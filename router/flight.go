package router

import (
	"context"
	"net/http"
	"time"

	"github.com/go-faster/errors"
	"github.com/rs/zerolog"

	"buckthornpin"
	"buckthornpin/endpt"
	"buckthornpin/route"
	"buckthornpin/stream"
)

// flight is one request in progress in this router.
type flight struct {
	router  *Router
	request buckthornpin.Request
	// ctx ends at the request's deadline, or when its caller is gone.
	ctx      context.Context
	cancel   context.CancelFunc
	answer   *stream.Answer
	id       string
	dispatch int32
	// holder is the router that has the key's answer, in progress or kept.
	holder string
	// admission says how the cost is covered.
	admission *admission
	// delivered counts the output tokens in the answer so far.
	delivered int
	attempts  int
	tried     map[string]bool
	usage     *endpt.Usage
	// last is the frame that ends the answer.
	last []byte
	// sent says that an attempt may have run.
	sent bool
}

// run carries the request to its end.
func (f *flight) run() {
	defer f.cancel()
	f.end(f.carry(f.ctx))
}

// carry reserves, runs and bills the request.
func (f *flight) carry(ctx context.Context) *buckthornpin.Refusal {
	runCtx, cancel := context.WithCancel(ctx)
	defer cancel()
	f.admit(ctx, cancel)
	refusal := f.runAttempts(runCtx)
	if refused := f.admitted(); refused != nil {
		return f.fromHolder(ctx, refused)
	}
	if refusal != nil {
		return f.giveUp(refusal)
	}
	return f.settle(true)
}

// fromHolder gives the caller the answer of the router that works on the key, or
// has worked on it. The bill is that router's.
func (f *flight) fromHolder(ctx context.Context, refused *buckthornpin.Refusal) *buckthornpin.Refusal {
	if f.holder == "" || f.holder == f.router.VM {
		return refused
	}
	err := f.router.Holders.CopyAnswer(ctx, f.holder, f.request.Key, f.request.Digest, func(frame stream.Frame) {
		f.delivered = frame.To
		f.answer.Append(frame.To, frame.Data)
	})
	if err != nil && f.delivered > 0 {
		return unknown(CodeBroken, "the answer of another router broke", retrySoon)
	}
	if err != nil {
		return refused
	}
	return nil
}

// end gives the final answer at once.
func (f *flight) end(refusal *buckthornpin.Refusal) {
	r := f.router
	if refusal != nil {
		r.metrics.refused.Add(1)
		r.metrics.refusals.Add(refusal.Code, 1)
		r.record(buckthornpin.EventRefused, f.request, "", refusal.Error())
		f.log(r.Log.Info()).Str("code", refusal.Code).Str("outcome", string(refusal.Outcome)).Msg("refused")
		r.finished(f, false)
		f.answer.End(refusal)
		return
	}
	r.metrics.answered.Add(1)
	r.record(buckthornpin.EventAnswered, f.request, "", "")
	f.log(r.Log.Debug()).Int("attempts", f.attempts).Msg("answered")
	r.finished(f, true)
	f.answer.End(nil)
}

// log adds the request to a log entry.
func (f *flight) log(e *zerolog.Event) *zerolog.Event {
	return e.Str("organisation", f.request.Key.Organisation).Str("request", f.request.Key.Key)
}

// abandoned ends the request when nobody reads its answer any more. Under a
// caller's own key the caller has a while to come again; a non-idempotent
// request goes on to its end.
func (f *flight) abandoned() {
	switch {
	case f.request.NonIdempotent:
	case f.request.Fresh:
		f.callerGone()
	default:
		time.AfterFunc(f.router.ReconnectGrace, func() {
			if f.answer.Readers() == 0 {
				f.callerGone()
			}
		})
	}
}

func (f *flight) callerGone() {
	if ended, _ := f.answer.Err(); ended {
		return
	}
	f.router.record(buckthornpin.EventCallerGone, f.request, "", "")
	f.cancel()
}

// runAttempts runs the request until the answer is whole.
func (f *flight) runAttempts(ctx context.Context) *buckthornpin.Refusal {
	f.tried = map[string]bool{}
	if f.refusedAlready() {
		return f.admission.refusal
	}
	var last error
	for f.attempts < f.router.MaxAttempts {
		s, verdict := f.router.slots.acquire(ctx, f.request, f.tried)
		if verdict != route.Chosen {
			return f.noSlot(ctx, verdict, last)
		}
		f.attempts++
		last = f.attempt(ctx, s)
		if last == nil {
			return nil
		}
		f.tried[s.endpoint.ID] = true
		if ctx.Err() != nil {
			return f.stopped(ctx)
		}
		if refusal := f.final(last); refusal != nil {
			return refusal
		}
		f.router.metrics.retried.Add(1)
		f.router.record(buckthornpin.EventRetried, f.request, s.endpoint.ID, last.Error())
	}
	return unknown(CodeBroken, "the answer broke on each endpoint that was tried", retrySoon)
}

// refusedAlready reports whether the admission has ended with a refusal.
func (f *flight) refusedAlready() bool {
	select {
	case <-f.admission.done:
		return f.admission.refusal != nil
	default:
		return false
	}
}

// attempt runs the request on one endpoint.
func (f *flight) attempt(ctx context.Context, s slot) error {
	a := endpt.Attempt{Endpoint: *s.endpoint, Request: f.request, ID: f.id, Number: f.attempts, Offset: f.delivered}
	f.router.record(buckthornpin.EventDispatched, f.request, a.Endpoint.ID, "")
	if f.delivered > 0 {
		f.router.metrics.resumed.Add(1)
		f.router.record(buckthornpin.EventResumed, f.request, a.Endpoint.ID, "")
	}
	err := f.exchange(ctx, a)
	f.noteSent(err)
	if isKind(err, endpt.KindLeaving) {
		f.router.Directory.MarkLeaving(a.Endpoint.ID, a.Endpoint.Incarnation)
	}
	good := err == nil || ctx.Err() != nil || isKind(err, endpt.KindRejected) || isKind(err, endpt.KindLeaving)
	s.release(good)
	return err
}

func (f *flight) exchange(ctx context.Context, a endpt.Attempt) error {
	if f.request.Target.Service != "" {
		return f.call(ctx, a)
	}
	return f.chat(ctx, a)
}

// noteSent keeps in mind whether the request may have run anywhere.
func (f *flight) noteSent(err error) {
	if isKind(err, endpt.KindNotSent) || isKind(err, endpt.KindRefused) || isKind(err, endpt.KindLeaving) {
		return
	}
	f.sent = true
}

func (f *flight) call(ctx context.Context, a endpt.Attempt) error {
	out, err := f.router.Endpoints.Call(ctx, a)
	if err != nil {
		return err
	}
	if err := f.mayDeliver(); err != nil {
		return err
	}
	f.answer.Append(1, encodeServiceAnswer(out))
	return nil
}

// chat reads an engine's answer into the flight's.
func (f *flight) chat(ctx context.Context, a endpt.Attempt) error {
	s, err := f.router.Endpoints.Chat(ctx, a)
	if err != nil {
		return err
	}
	err = f.readFrames(s)
	s.Close()
	if err != nil {
		f.cancelOn(ctx, a)
	}
	return err
}

func (f *flight) readFrames(s *endpt.Stream) error {
	for {
		frame, err := s.Next()
		if err != nil {
			return err
		}
		if frame.End {
			return f.checkEnd()
		}
		if err := f.take(frame); err != nil {
			return err
		}
	}
}

// checkEnd takes an end mark only behind a frame that states the usage.
func (f *flight) checkEnd() error {
	if f.usage == nil {
		return &endpt.Error{Op: "read", Kind: endpt.KindBroken, Err: errors.New("end mark without usage")}
	}
	return nil
}

// take adds a frame that continues the answer. A repeated frame is dropped; a
// gap or an overlap breaks the attempt.
func (f *flight) take(frame endpt.Frame) error {
	if frame.To > frame.From && frame.To <= f.delivered {
		return nil
	}
	if frame.From != f.delivered {
		return &endpt.Error{Op: "read", Kind: endpt.KindBroken, Err: errors.Errorf("frame %d-%d: expected it to start at %d", frame.From, frame.To, f.delivered)}
	}
	if frame.To > f.request.MaxTokens {
		return &endpt.Error{Op: "read", Kind: endpt.KindRejected, Err: errors.Errorf("endpoint went on beyond %d tokens", f.request.MaxTokens)}
	}
	if err := f.mayDeliver(); err != nil {
		return err
	}
	if frame.To == frame.From {
		return f.takeLast(frame)
	}
	f.delivered = frame.To
	f.router.metrics.tokens.Add(int64(frame.To - frame.From))
	f.answer.Append(frame.To, frame.Data)
	return nil
}

// takeLast takes a frame without tokens; the one that states the usage ends the
// answer and is delivered only after the request has been billed.
func (f *flight) takeLast(frame endpt.Frame) error {
	c, err := endpt.DecodeChunk(frame.Data)
	if err != nil {
		return err
	}
	if c.Usage != nil {
		f.usage = c.Usage
		f.lastData(frame.Data)
		return nil
	}
	f.answer.Append(frame.To, frame.Data)
	return nil
}

// cancelOn tells the endpoint to stop a request that nobody reads any more.
func (f *flight) cancelOn(ctx context.Context, a endpt.Attempt) {
	if err := f.router.Endpoints.Cancel(context.WithoutCancel(ctx), a.Endpoint, a.ID); err != nil {
		f.router.Log.Debug().Err(err).Str("endpoint", a.Endpoint.ID).Msg("cancel failed")
	}
}

// final turns the failure of an attempt into a refusal where another attempt
// isn't allowed or can't help.
func (f *flight) final(err error) *buckthornpin.Refusal {
	if isKind(err, endpt.KindRejected) {
		return unknown(CodeRejected, err.Error(), 0).WithStatus(http.StatusBadGateway)
	}
	if f.request.NonIdempotent && f.sent {
		return unknown(CodeBroken, "the endpoint may have run the request", 0)
	}
	return nil
}

// noSlot is the refusal when no endpoint has a place in time.
func (f *flight) noSlot(ctx context.Context, v route.Verdict, last error) *buckthornpin.Refusal {
	if f.sent && ctx.Err() != nil {
		return f.stopped(ctx)
	}
	if v == route.Busy {
		return unknown(CodeOverload, "all endpoints are busy", retrySoon)
	}
	if last != nil {
		return unknown(CodeNoEndpoint, last.Error(), retrySoon)
	}
	return unknown(CodeNoEndpoint, "no endpoint serves "+f.request.Target.Name(), retrySoon)
}

func (f *flight) stopped(ctx context.Context) *buckthornpin.Refusal {
	if errors.Is(ctx.Err(), context.DeadlineExceeded) {
		return unknown(CodeDeadline, "the deadline has passed", retrySoon).WithStatus(http.StatusGatewayTimeout)
	}
	return unknown(CodeBroken, "the request was cancelled", retrySoon)
}

func isKind(err error, k endpt.Kind) bool {
	return errors.Is(err, &endpt.Error{Kind: k})
}
