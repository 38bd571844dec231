package relay

import (
	"context"
	"io"
	"net/http"
	"time"

	"github.com/go-faster/errors"
	"github.com/rs/zerolog"

	"buckthornpin"
	"buckthornpin/route"
)

// attempt sends the request to one endpoint and reports whether the caller has got
// its final answer.
func (f *flight) attempt(ctx context.Context, c route.Choice) bool {
	e := c.Endpoint
	run := f.router.tracker.Start(c, f.work(), time.Now())
	defer run.End()
	f.current = run
	f.otherLoad = f.router.Loads.Others(e.ID)
	heavy := f.isHeavyPrompt(c.UncachedTokens)
	if heavy {
		f.router.Loads.LoadChanged()
	}
	onBegin := func() {
		if run.MarkPromptRead() && heavy {
			f.router.Loads.LoadChanged()
		}
	}
	sendCtx, cancel := context.WithCancel(ctx)
	defer cancel()
	f.attemptStart, f.headerAt = time.Now(), time.Time{}
	a, err := f.router.Endpoints.Send(sendCtx, f.dispatch(e))
	f.headerAt = time.Now()
	if err != nil {
		f.recordFailure(ctx, e, err)
		return false
	}
	defer func() { _ = a.Body.Close() }()
	f.observeLimit(e, a)
	f.observePause(e, a)
	f.sentCount++
	if a.Misdirected || a.Leaving {
		f.router.Directory.MarkLeaving(e.ID, e.Incarnation)
	}
	if a.NotRun || a.Misdirected {
		// The body isn't read, so that the connection isn't used again: the endpoint may write
		// the refusal once more, and the caller may send its request again under the same id.
		f.log("not_run").Str("endpoint", e.ID).Int("status", a.Status).Msg("endpoint didn't run the request")
		return false
	}
	f.mayHaveRun = true
	if f.isUseless(e, a) {
		f.drop(sendCtx, cancel, e, a)
		return false
	}
	return f.deliver(ctx, e, a, onBegin)
}

// isUseless reports whether an answer of an endpoint that may have run the request isn't
// forwarded, and logs why.
func (f *flight) isUseless(e *buckthornpin.Endpoint, a *Answer) bool {
	switch {
	case !a.Signed:
		f.log("unsigned").Str("endpoint", e.ID).Int("status", a.Status).Msg("answer has no usable signature")
		f.forbidRepetition()
	case a.Status >= http.StatusInternalServerError && f.route.Repeatable() && f.mayRetry():
		f.router.tracker.RecordAnswer(e.ID, a.Status, time.Now())
		f.log("endpoint_error").Str("endpoint", e.ID).Int("status", a.Status).Msg("endpoint answered with a server error, trying another one")
	case f.answerBegun() && !isStream(a):
		f.log("not_resumed").Str("endpoint", e.ID).Int("status", a.Status).Msg("endpoint doesn't go on with the stream")
	default:
		return false
	}
	return true
}

// heavyPromptDivisor sets from which size on a prompt noticeably delays other requests:
// a slot's even share of the endpoint's memory, divided by this number.
const heavyPromptDivisor = 2

// isHeavyPrompt reports whether other routers have to be told of a prompt at once. The
// regular gossip rounds are too slow to keep two routers from sending such prompts to
// the same endpoint.
func (f *flight) isHeavyPrompt(uncachedTokens int64) bool {
	e := f.service.Engine
	return e != nil && float64(uncachedTokens)*float64(e.Slots)*heavyPromptDivisor >= float64(e.KVCacheTokens)
}

// mayRetry reports whether another attempt is allowed, without taking it from the
// retry budget.
func (f *flight) mayRetry() bool {
	return f.sentCount < f.route.MaxAttempts && f.router.Retries.CanRetry(f.service.Name) && time.Until(f.deadline) > f.route.Objective/budgetWaitDivisor
}

func (f *flight) dispatch(e *buckthornpin.Endpoint) Dispatch {
	d := Dispatch{Request: f.request, Endpoint: e, Deadline: f.deadline, LastEvent: f.request.LastEvent}
	if f.owner != nil {
		d.Organisation = f.owner.Name
	}
	if f.progress.lastID != "" {
		d.LastEvent = f.progress.lastID
	}
	return d
}

// recordFailure handles an attempt that got no answer.
func (f *flight) recordFailure(ctx context.Context, e *buckthornpin.Endpoint, err error) {
	switch {
	case unsendable(err):
		// The endpoint has no part in it.
	case notSent(err):
		f.recordUnsent(ctx, e)
	default:
		f.sentCount++
		f.mayHaveRun = true
		f.forbidRepetition()
		f.recordBreak(ctx, e)
	}
	f.log("attempt_failed").Str("endpoint", e.ID).Err(err).Msg("attempt got no answer")
}

// recordUnsent records that a request couldn't be sent to an endpoint, unless it was given up.
func (f *flight) recordUnsent(ctx context.Context, e *buckthornpin.Endpoint) {
	if ctx.Err() == nil {
		f.router.tracker.RecordFailure(e.ID, time.Now())
	}
}

// recordBreak records that an endpoint's answer broke off, unless the request was given up, and
// has the endpoint checked for a crash.
func (f *flight) recordBreak(ctx context.Context, e *buckthornpin.Endpoint) {
	if ctx.Err() == nil {
		now := time.Now()
		f.router.tracker.RecordFailure(e.ID, now)
		f.router.Crashes.CheckEndpoint(e, f.suspect, now)
	}
}

// forbidRepetition ends the attempts of a request that may have run and may not be repeated.
func (f *flight) forbidRepetition() {
	if !f.route.Repeatable() {
		f.sentCount = max(f.sentCount, f.route.MaxAttempts)
	}
}

const (
	// bodyBuffer is the size in bytes of the buffer with which a stream is read.
	bodyBuffer = 4 << 10
	// minEventRead is the room in bytes that is left in it for each read.
	minEventRead = 512
)

// maxPlainBytes is the maximum size of an answer that isn't a stream.
const maxPlainBytes = 16 << 20

// keepBodyWhileNeeded releases the request's body once an endpoint has begun an answer that rules
// out another attempt. The body of a stream that may be resumed can be dropped if others need its
// room: most streams end without a break, and a caller can resume one itself.
func (f *flight) keepBodyWhileNeeded(a *Answer) {
	switch {
	case f.sentCount >= f.route.MaxAttempts || !f.route.Repeatable():
		f.request.Body.Release()
	case isStream(a):
		f.request.Body.MarkSpare()
	}
}

// deliver forwards an answer to the caller. Streams are forwarded event by event. Other
// answers are read completely first, so that the request can be retried on another
// endpoint if the answer breaks off.
func (f *flight) deliver(ctx context.Context, e *buckthornpin.Endpoint, a *Answer, onBegin func()) bool {
	f.keepBodyWhileNeeded(a)
	if isStream(a) {
		return f.stream(ctx, e, a, onBegin)
	}
	buffer := f.router.Memory.NewAnswer(maxPlainBytes)
	defer buffer.Release()
	_, err := buffer.ReadFrom(a.Body)
	if err == nil {
		err = f.checkEnd(ctx, e, a, buffer.Len() == 0)
	}
	if err != nil {
		f.recordBreak(ctx, e)
		f.log("broken").Str("endpoint", e.ID).Err(err).Msg("answer broke off")
		f.forbidRepetition()
		return false
	}
	f.firstPartAt = time.Now()
	onBegin()
	f.recordAnswer(e, a)
	if a.Status < http.StatusMultipleChoices {
		f.plainCost = f.costOfPlain(buffer.Len())
	}
	f.request.Body.Release()
	f.current.End()
	f.reply.Begin(a.Status, a.Header, buffer.Len())
	for _, piece := range buffer.Pieces() {
		if err := f.reply.Write(piece); err != nil {
			f.finish("caller_gone", e)
			return true
		}
	}
	f.finish(outcomeAnswered, e)
	return true
}

const (
	// maxDroppedBytes and dropTimeout bound what is read of an answer that isn't forwarded.
	maxDroppedBytes = 16 << 10
	dropTimeout     = 50 * time.Millisecond
)

// drop reads the rest of an answer that isn't forwarded. It shows whether the endpoint has
// crashed in the midst of it. cancel ends ctx and with it the exchange.
func (f *flight) drop(ctx context.Context, cancel context.CancelFunc, e *buckthornpin.Endpoint, a *Answer) {
	timer := time.AfterFunc(dropTimeout, cancel)
	defer timer.Stop()
	_, err := io.CopyN(io.Discard, a.Body, maxDroppedBytes)
	whole := err == nil || errors.Is(err, io.EOF) && !a.Unframed
	if !whole && ctx.Err() == nil {
		f.router.Crashes.CheckEndpoint(e, f.suspect, time.Now())
	}
}

// checkEnd checks an answer that has been read to its end.
func (f *flight) checkEnd(ctx context.Context, e *buckthornpin.Endpoint, a *Answer, empty bool) error {
	if !a.Unframed {
		return nil
	}
	end := buckthornpin.UnframedEnd{Address: e.Address, Status: a.Status, Empty: empty, Leaving: a.Leaving || f.isLeaving(e)}
	return end.Check(ctx, f.router.Endpoints.RefusesConnections)
}

// isLeaving reports whether an endpoint has said by now that it is leaving.
func (f *flight) isLeaving(e *buckthornpin.Endpoint) bool {
	for _, k := range f.router.Directory.Serving(buckthornpin.Target{Service: f.service.Name}) {
		if k.ID == e.ID && k.Incarnation == e.Incarnation {
			return k.Leaving
		}
	}
	return false
}

// recordAnswer records a complete answer of an endpoint.
func (f *flight) recordAnswer(e *buckthornpin.Endpoint, a *Answer) {
	now := time.Now()
	f.router.tracker.RecordAnswer(e.ID, a.Status, now)
	if a.Status < http.StatusMultipleChoices {
		f.router.Crashes.RecordAnswer(e, f.suspect, now)
	}
}

// outcomeAnswered is the outcome of a request whose answer was forwarded whole.
const outcomeAnswered = "answered"

func (f *flight) finish(outcome string, e *buckthornpin.Endpoint) {
	f.outcome = outcome
	f.log(outcome).Str("endpoint", e.ID).Int64("events", f.progress.delivered).Int64("first_ms", f.firstPartAt.Sub(f.request.Arrived).Milliseconds()).
		Int64("prompt", f.request.Prompt.Tokens).Int64("missing", f.current.UncachedTokens).
		Int64("own_tokens", f.current.LoadAtStart.PromptTokens).Int("own_running", f.current.LoadAtStart.Running).
		Int64("other_tokens", f.otherLoad.PromptTokens).Int("other_running", f.otherLoad.Running).Msg("request has ended")
}

// log starts a log line about an outcome of the request.
func (f *flight) log(outcome string) *zerolog.Event {
	l := f.addTimings(f.router.Log.Info().Str("request", f.request.ID).Str("outcome", outcome).
		Int64("age_ms", time.Since(f.request.Arrived).Milliseconds()).Int("sent", f.sentCount))
	if f.table != nil {
		l = l.Int64("version", f.table.Version)
	}
	if f.route != nil {
		l = l.Str("route", f.route.Name)
	}
	if f.owner != nil {
		l = l.Str("organisation", f.owner.Name)
	}
	if notAsked := f.obstacles.String(); notAsked != "" {
		l = l.Str("not_asked", notAsked)
	}
	return l
}

// addTimings adds how long the stages of the request took: the wait on the link as far as
// it is known, reading the body, the time until the latest attempt began, and the time
// until the header of its answer arrived or it failed.
func (f *flight) addTimings(l *zerolog.Event) *zerolog.Event {
	q := f.request
	if q.HeaderRead.IsZero() {
		return l
	}
	l = l.Int64("link_ms", q.HeaderRead.Sub(q.Arrived).Milliseconds()).Int64("body_ms", q.BodyRead.Sub(q.HeaderRead).Milliseconds()).
		Int64("nth", q.ConnectionRequests)
	if !f.attemptStart.IsZero() {
		l = l.Int64("cover_ms", f.attemptStart.Sub(q.BodyRead).Milliseconds())
	}
	if !f.headerAt.IsZero() {
		l = l.Int64("endpoint_ms", f.headerAt.Sub(f.attemptStart).Milliseconds())
	}
	return l
}

// errPartialEvent is returned if a stream ends within an event.
var errPartialEvent = errors.New("stream ended within an event")
