package relay

import (
	"context"
	"io"
	"time"

	"github.com/go-faster/errors"
	"github.com/rs/zerolog"

	"buckthornpin"
	"buckthornpin/route"
)

// attempt sends the request to one endpoint. It reports whether the request has
// its final answer.
func (f *flight) attempt(ctx context.Context, c route.Choice) bool {
	e := c.Endpoint
	run := f.router.tracker.Start(c, f.work(), time.Now())
	defer run.End()
	f.current = run
	f.others = f.router.Loads.Others(e.ID)
	heavy := f.heavy(c.Missing)
	if heavy {
		f.router.Loads.LoadChanged()
	}
	begun := func() {
		if run.Begun() && heavy {
			f.router.Loads.LoadChanged()
		}
	}
	sendCtx, cancel := context.WithCancel(ctx)
	defer cancel()
	f.sentAt, f.headAt = time.Now(), time.Time{}
	a, err := f.router.Endpoints.Send(sendCtx, f.dispatch(e))
	f.headAt = time.Now()
	if err != nil {
		f.failed(ctx, e, err)
		return false
	}
	defer func() { _ = a.Body.Close() }()
	f.sent++
	if a.OtherEndpoint {
		f.router.Directory.MarkLeaving(e.ID, e.Incarnation)
	}
	if a.NotRun || a.OtherEndpoint {
		f.log("not_run").Str("endpoint", e.ID).Int("status", a.Status).Msg("endpoint didn't run the request")
		return false
	}
	f.ran = true
	if !a.Signed {
		return f.unsigned(e, a)
	}
	if a.Status >= 500 && f.route.Repeatable() && f.mayRepeat() {
		f.router.tracker.Answered(e.ID, a.Status, time.Now())
		f.log("endpoint_error").Str("endpoint", e.ID).Int("status", a.Status).Msg("endpoint failed, trying another one")
		return false
	}
	return f.deliver(ctx, e, a, begun)
}

// heavyDivisor is the part of a slot's even share of an endpoint's memory from
// which on a prompt delays others noticeably.
const heavyDivisor = 2

// heavy reports whether other routers should know of a prompt at once: the
// rounds of the mesh are too slow to keep two such prompts apart.
func (f *flight) heavy(missing int64) bool {
	e := f.service.Engine
	return e != nil && missing*int64(e.Slots)*heavyDivisor >= e.MemoryTokens
}

// mayRepeat reports whether another attempt is allowed, without taking it from
// the retry budget.
func (f *flight) mayRepeat() bool {
	return f.sent < f.route.MaxAttempts && f.router.Retries.Has(f.service.Name) && time.Until(f.deadline) > f.route.Objective/coverWait
}

func (f *flight) dispatch(e *buckthornpin.Endpoint) Dispatch {
	d := Dispatch{Request: f.request, Endpoint: e, Deadline: f.deadline, LastEvent: f.request.LastEvent}
	if f.owner != nil {
		d.Organisation = f.owner.Name
	}
	if f.events.lastID != "" {
		d.LastEvent = f.events.lastID
	}
	return d
}

// failed notes an attempt without an answer.
func (f *flight) failed(ctx context.Context, e *buckthornpin.Endpoint, err error) {
	if ctx.Err() == nil {
		f.router.tracker.Failed(e.ID, time.Now())
	}
	if !notSent(err) {
		f.sent++
		f.ran = true
		if !f.route.Repeatable() {
			f.sent = max(f.sent, f.route.MaxAttempts)
		}
		if ctx.Err() == nil {
			f.router.suspects.Look(f.request, e)
		}
	}
	f.log("attempt_failed").Str("endpoint", e.ID).Err(err).Msg("attempt got no answer")
}

// unsigned handles an answer that isn't an endpoint's: it never reaches the
// caller.
func (f *flight) unsigned(e *buckthornpin.Endpoint, a *Answer) bool {
	f.log("unsigned").Str("endpoint", e.ID).Int("status", a.Status).Msg("answer bears no signature")
	if !f.route.Repeatable() {
		f.sent = max(f.sent, f.route.MaxAttempts)
	}
	return false
}

// bodyBuffer is the size of the buffer by which an answer is passed on.
const bodyBuffer = 8 << 10

// deliver passes an answer on. Streams are passed on event by event, plain
// answers as a whole, so that one that breaks can be tried elsewhere.
func (f *flight) deliver(ctx context.Context, e *buckthornpin.Endpoint, a *Answer, begun func()) bool {
	if isStream(a) {
		return f.stream(ctx, e, a, begun)
	}
	if f.begun() {
		f.breakOff("not_resumed", e, errors.Errorf("endpoint answered %d where a stream should go on", a.Status))
		return true
	}
	body, err := io.ReadAll(io.LimitReader(a.Body, maxPlainBytes))
	if err != nil {
		f.router.tracker.Failed(e.ID, time.Now())
		f.log("broken").Str("endpoint", e.ID).Err(err).Msg("answer broke off")
		if !f.route.Repeatable() {
			f.sent = max(f.sent, f.route.MaxAttempts)
		}
		return false
	}
	f.firstAt = time.Now()
	begun()
	f.router.tracker.Answered(e.ID, a.Status, time.Now())
	f.reply.Begin(a.Status, a.Header, int64(len(body)))
	if err := f.reply.Write(body); err != nil {
		f.done("caller_gone", e)
		return true
	}
	f.done("answered", e)
	return true
}

// maxPlainBytes bounds an answer that isn't a stream.
const maxPlainBytes = 16 << 20

func (f *flight) done(outcome string, e *buckthornpin.Endpoint) {
	f.outcome = outcome
	f.log(outcome).Str("endpoint", e.ID).Int64("events", f.events.delivered).Int64("first_ms", f.firstAt.Sub(f.request.Arrived).Milliseconds()).
		Int64("prompt", f.request.Prompt.Tokens).Int64("missing", f.current.Missing).
		Int64("own_tokens", f.current.Before.PromptTokens).Int("own_running", f.current.Before.Running).
		Int64("other_tokens", f.others.PromptTokens).Int("other_running", f.others.Running).Msg("request has ended")
}

// log begins a line on a decision about the request.
func (f *flight) log(outcome string) *zerolog.Event {
	l := f.stages(f.router.Log.Info().Str("request", f.request.ID).Str("outcome", outcome).
		Int64("age_ms", time.Since(f.request.Arrived).Milliseconds()).Int("sent", f.sent))
	if f.table != nil {
		l = l.Int64("version", f.table.Version)
	}
	if f.route != nil {
		l = l.Str("route", f.route.Name)
	}
	if f.owner != nil {
		l = l.Str("organisation", f.owner.Name)
	}
	return l
}

// stages adds where the request's time went: on the link as far as it is known, until
// the body was read, until the newest attempt began, and until its answer began or it
// failed.
func (f *flight) stages(l *zerolog.Event) *zerolog.Event {
	q := f.request
	if q.HeadRead.IsZero() {
		return l
	}
	l = l.Int64("link_ms", q.HeadRead.Sub(q.Arrived).Milliseconds()).Int64("body_ms", q.BodyRead.Sub(q.HeadRead).Milliseconds()).
		Int64("nth", q.Nth)
	if !f.sentAt.IsZero() {
		l = l.Int64("cover_ms", f.sentAt.Sub(q.BodyRead).Milliseconds())
	}
	if !f.headAt.IsZero() {
		l = l.Int64("endpoint_ms", f.headAt.Sub(f.sentAt).Milliseconds())
	}
	return l
}

// errPartial is a stream that ended within an event.
var errPartial = errors.New("stream ended within an event")
