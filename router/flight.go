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
	// ctx ends at the request's deadline, or when the request is cancelled because its
	// caller is gone.
	ctx      context.Context
	cancel   context.CancelFunc
	answer   *stream.Answer
	id       string
	dispatch int32
	// holder is the router that has the answer under the key, in progress or kept.
	holder string
	// admission is how the cost is covered.
	admission *admission
	// delivered counts the output tokens in the answer so far.
	delivered int
	attempts  int
	tried     map[string]bool
	usage     *endpt.Usage
	// finalFrame is the frame that ends the answer.
	finalFrame []byte
	// mayHaveRun reports whether an endpoint may have run the request.
	mayHaveRun bool
}

// run handles the request until it has its final answer.
func (f *flight) run() {
	defer f.cancel()
	f.finish(f.execute(f.ctx))
}

// execute reserves the cost, runs the request and bills it.
func (f *flight) execute(ctx context.Context) *buckthornpin.Refusal {
	runCtx, cancel := context.WithCancel(ctx)
	defer cancel()
	f.admit(ctx, cancel)
	refusal := f.runAttempts(runCtx)
	if refused := f.waitForAdmission(); refused != nil {
		return f.answerFromHolder(ctx, refused)
	}
	if refusal != nil {
		return f.giveUp(refusal)
	}
	return f.settle(true)
}

// answerFromHolder copies the answer from the router that works or has worked on the key.
// That router bills the request.
func (f *flight) answerFromHolder(ctx context.Context, refused *buckthornpin.Refusal) *buckthornpin.Refusal {
	if f.holder == "" || f.holder == f.router.VM {
		return refused
	}
	err := f.router.Holders.CopyAnswer(ctx, f.holder, f.request.Key, f.request.Digest, func(frame stream.Frame) {
		f.delivered = frame.EndOffset
		f.answer.Append(frame.EndOffset, frame.Data)
	})
	if err != nil && f.delivered > 0 {
		return unknownOutcome(CodeBroken, "the answer of another router broke", retrySoon)
	}
	if err != nil {
		return refused
	}
	return nil
}

// finish records the outcome and ends the answer, with a refusal if there is one.
func (f *flight) finish(refusal *buckthornpin.Refusal) {
	r := f.router
	if refusal != nil {
		r.metrics.refused.Add(1)
		r.metrics.refusals.Add(refusal.Code, 1)
		r.record(buckthornpin.EventRefused, f.request, "", refusal.Error())
		f.log(r.Log.Info()).Str("code", refusal.Code).Str("outcome", string(refusal.Outcome)).Msg("refused")
		r.remove(f, false)
		f.answer.End(refusal)
		return
	}
	r.metrics.answered.Add(1)
	r.record(buckthornpin.EventAnswered, f.request, "", "")
	f.log(r.Log.Debug()).Int("attempts", f.attempts).Msg("answered")
	r.remove(f, true)
	f.answer.End(nil)
}

// log adds the organisation and the request's key to a log entry.
func (f *flight) log(e *zerolog.Event) *zerolog.Event {
	return e.Str("organisation", f.request.Key.Organisation).Str("request", f.request.Key.Key)
}

// abandoned cancels the request when nobody reads its answer any more. A caller that chose
// its key has ReconnectGrace to reconnect. A non-idempotent request always runs to its
// end.
func (f *flight) abandoned() {
	switch {
	case f.request.NonIdempotent:
	case f.request.KeyGenerated:
		f.cancelAbandoned()
	default:
		time.AfterFunc(f.router.ReconnectGrace, func() {
			if f.answer.ReaderCount() == 0 {
				f.cancelAbandoned()
			}
		})
	}
}

// cancelAbandoned cancels the request unless its answer has ended.
func (f *flight) cancelAbandoned() {
	if ended, _ := f.answer.Err(); ended {
		return
	}
	f.router.record(buckthornpin.EventCallerGone, f.request, "", "")
	f.cancel()
}

// runAttempts tries the request on one endpoint after another until the answer is whole,
// and returns a refusal if it doesn't get there.
func (f *flight) runAttempts(ctx context.Context) *buckthornpin.Refusal {
	f.tried = map[string]bool{}
	if f.refusedAlready() {
		return f.admission.refusal
	}
	var lastErr error
	for f.attempts < f.router.MaxAttempts {
		s, outcome := f.router.slots.acquire(ctx, f.request, f.tried)
		if outcome.Verdict != route.Chosen {
			return f.noSlotRefusal(ctx, outcome, lastErr)
		}
		f.attempts++
		lastErr = f.attempt(ctx, s)
		if lastErr == nil {
			return nil
		}
		f.tried[s.endpoint.ID] = true
		if ctx.Err() != nil {
			return f.stoppedRefusal(ctx)
		}
		if refusal := f.finalRefusal(lastErr); refusal != nil {
			return refusal
		}
		f.router.metrics.retried.Add(1)
		f.router.record(buckthornpin.EventRetried, f.request, s.endpoint.ID, lastErr.Error())
	}
	return unknownOutcome(CodeBroken, "the answer broke on each endpoint that was tried", retrySoon)
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

// attempt runs the request on the endpoint of the slot and releases the slot.
func (f *flight) attempt(ctx context.Context, s slot) error {
	a := endpt.Attempt{Endpoint: *s.endpoint, Request: f.request, RequestID: f.id, Number: f.attempts, Offset: f.delivered}
	f.router.record(buckthornpin.EventDispatched, f.request, a.Endpoint.ID, "")
	if f.delivered > 0 {
		f.router.metrics.resumed.Add(1)
		f.router.record(buckthornpin.EventResumed, f.request, a.Endpoint.ID, "")
	}
	err := f.exchange(ctx, a)
	f.noteMayHaveRun(err)
	healthy := err == nil || ctx.Err() != nil || isKind(err, endpt.KindRejected) || isKind(err, endpt.KindLeaving)
	s.release(healthy)
	return err
}

func (f *flight) exchange(ctx context.Context, a endpt.Attempt) error {
	if f.request.Target.Service != "" {
		return f.callService(ctx, a)
	}
	return f.chat(ctx, a)
}

// noteMayHaveRun records whether the request may have run, after an attempt that ended with
// err.
func (f *flight) noteMayHaveRun(err error) {
	if isKind(err, endpt.KindNotSent) || isKind(err, endpt.KindRefused) || isKind(err, endpt.KindLeaving) {
		return
	}
	f.mayHaveRun = true
}

// callService runs the request on an endpoint of a plain service.
func (f *flight) callService(ctx context.Context, a endpt.Attempt) error {
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

// chat runs the request on an engine and appends the frames of its answer.
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
		if err := f.acceptFrame(frame); err != nil {
			return err
		}
	}
}

// checkEnd accepts an end mark only after a frame that states the usage.
func (f *flight) checkEnd() error {
	if f.usage == nil {
		return &endpt.Error{Op: "read", Kind: endpt.KindBroken, Err: errors.New("end mark without usage")}
	}
	return nil
}

// acceptFrame appends a frame that continues the answer. A repeated frame is dropped; a gap
// or an overlap fails the attempt.
func (f *flight) acceptFrame(frame endpt.Frame) error {
	if frame.EndOffset > frame.StartOffset && frame.EndOffset <= f.delivered {
		return nil
	}
	if frame.StartOffset != f.delivered {
		return &endpt.Error{Op: "read", Kind: endpt.KindBroken, Err: errors.Errorf("frame %d-%d: expected it to start at %d", frame.StartOffset, frame.EndOffset, f.delivered)}
	}
	if frame.EndOffset > f.request.MaxTokens {
		return &endpt.Error{Op: "read", Kind: endpt.KindRejected, Err: errors.Errorf("endpoint went on beyond %d tokens", f.request.MaxTokens)}
	}
	if err := f.mayDeliver(); err != nil {
		return err
	}
	if frame.EndOffset == frame.StartOffset {
		return f.acceptEmptyFrame(frame)
	}
	f.delivered = frame.EndOffset
	f.router.metrics.tokens.Add(int64(frame.EndOffset - frame.StartOffset))
	f.answer.Append(frame.EndOffset, frame.Data)
	return nil
}

// acceptEmptyFrame accepts a frame without tokens. The frame that states the usage ends the
// answer and is delivered only after the request has been billed.
func (f *flight) acceptEmptyFrame(frame endpt.Frame) error {
	c, err := endpt.DecodeChunk(frame.Data)
	if err != nil {
		return err
	}
	if c.Usage != nil {
		f.usage = c.Usage
		f.keepFinalFrame(frame.Data)
		return nil
	}
	f.answer.Append(frame.EndOffset, frame.Data)
	return nil
}

// cancelOn tells the endpoint to stop an attempt whose answer isn't read any more.
func (f *flight) cancelOn(ctx context.Context, a endpt.Attempt) {
	if err := f.router.Endpoints.Cancel(context.WithoutCancel(ctx), a.Endpoint, a.RequestID); err != nil {
		f.router.Log.Debug().Err(err).Str("endpoint", a.Endpoint.ID).Msg("couldn't cancel the request on the endpoint")
	}
}

// finalRefusal turns the failure of an attempt into a refusal if another attempt isn't
// allowed or can't help; otherwise it returns nil.
func (f *flight) finalRefusal(err error) *buckthornpin.Refusal {
	if isKind(err, endpt.KindRejected) {
		return unknownOutcome(CodeRejected, err.Error(), 0).WithStatus(http.StatusBadGateway)
	}
	if f.request.NonIdempotent && f.mayHaveRun {
		return unknownOutcome(CodeBroken, "the endpoint may have run the request", 0)
	}
	return nil
}

// noSlotRefusal returns the refusal for a request that got no slot on any endpoint.
func (f *flight) noSlotRefusal(ctx context.Context, o route.Outcome, lastErr error) *buckthornpin.Refusal {
	if f.mayHaveRun && ctx.Err() != nil {
		return f.stoppedRefusal(ctx)
	}
	if o.Verdict == route.Limited {
		return unknownOutcome(CodeOverload, "the limits that the endpoints have named are used up", retryAfterObstacle(o))
	}
	if o.Verdict == route.Paused {
		return unknownOutcome(CodeOverload, "the endpoints want no requests for a time", retryAfterObstacle(o))
	}
	if o.Verdict == route.Busy {
		return unknownOutcome(CodeOverload, "all endpoints are busy", retrySoon)
	}
	if lastErr != nil {
		return unknownOutcome(CodeNoEndpoint, lastErr.Error(), retrySoon)
	}
	return unknownOutcome(CodeNoEndpoint, "no endpoint serves "+f.request.Target.Name(), retrySoon)
}

// retryAfterObstacle returns the wait until the first obstacle ends, as far as that is known.
func retryAfterObstacle(o route.Outcome) time.Duration {
	if o.FirstEnd.IsZero() {
		return retrySoon
	}
	return max(time.Until(o.FirstEnd), 0)
}

// stoppedRefusal returns the refusal for a request whose context has ended.
func (f *flight) stoppedRefusal(ctx context.Context) *buckthornpin.Refusal {
	if errors.Is(ctx.Err(), context.DeadlineExceeded) {
		return unknownOutcome(CodeDeadline, "the deadline has passed", retrySoon).WithStatus(http.StatusGatewayTimeout)
	}
	return unknownOutcome(CodeBroken, "the request was cancelled", retrySoon)
}

func isKind(err error, k endpt.Kind) bool {
	return errors.Is(err, &endpt.Error{Kind: k})
}
