package relay

import (
	"bytes"
	"context"
	"io"
	"strconv"
	"strings"
	"time"

	"github.com/go-faster/errors"

	"buckthornpin"
)

const (
	contentType = "Content-Type"
	// eventStream is the media type of streams (WHATWG HTML, section 9.2).
	eventStream = "text/event-stream"
	// maxEventBytes bounds one event of a stream.
	maxEventBytes = 1 << 20
)

func isStream(a *Answer) bool {
	return strings.HasPrefix(a.Header.Get(contentType), eventStream)
}

// stream passes events on as they come, whole ones only. A stream that breaks
// goes on at another endpoint where the route allows it, and else the caller's
// connection is broken, so that the answer doesn't look complete.
func (f *flight) stream(ctx context.Context, e *buckthornpin.Endpoint, a *Answer, begun func()) bool {
	err := f.pass(a, begun)
	if err == nil {
		f.router.tracker.Answered(e.ID, a.Status, time.Now())
		f.done("answered", e)
		return true
	}
	if errors.Is(err, errCaller) {
		f.done("caller_gone", e)
		return true
	}
	if ctx.Err() != nil {
		f.breakOff("timeout_or_gone", e, err)
		return true
	}
	f.router.tracker.Failed(e.ID, time.Now())
	f.router.suspects.Look(f.request, e)
	if f.route.Resumable && f.sent < f.route.MaxAttempts {
		f.log("resuming").Str("endpoint", e.ID).Str("last_event", f.events.lastID).Err(err).Msg("stream broke off")
		return false
	}
	if !f.begun() {
		f.sent = max(f.sent, f.route.MaxAttempts)
		return false
	}
	f.breakOff("broken", e, err)
	return true
}

func (f *flight) begun() bool { return f.events.begun }

// breakOff ends a stream that can't go on: with a status if nothing was sent yet.
func (f *flight) breakOff(outcome string, e *buckthornpin.Endpoint, err error) {
	f.outcome = outcome
	f.log(outcome).Str("endpoint", e.ID).Int64("events", f.events.delivered).Err(err).Msg("stream was broken off")
	if !f.begun() {
		f.refuse(ReasonNoAnswer, 0)
		return
	}
	f.reply.Break()
}

// errCaller is a caller that no longer takes its answer.
var errCaller = errors.New("caller is gone")

// pass passes the whole events of one run on.
func (f *flight) pass(a *Answer, begun func()) error {
	buf := make([]byte, 0, bodyBuffer)
	part := make([]byte, bodyBuffer)
	after := f.events.lastID
	for {
		n, err := a.Body.Read(part)
		buf = append(buf, part[:n]...)
		end := bytes.LastIndex(buf, eventEnd) + len(eventEnd)
		if end >= len(eventEnd) {
			if !follows(buf[:end], after) {
				return errRepeated
			}
			begun()
			if err := f.passEvents(a, buf[:end]); err != nil {
				return err
			}
			after = ""
			buf = append(buf[:0], buf[end:]...)
		}
		switch {
		case errors.Is(err, io.EOF) && len(buf) > 0:
			return errPartial
		case errors.Is(err, io.EOF):
			f.beginOnce(a)
			return nil
		case err != nil:
			return err
		case len(buf) > maxEventBytes:
			return errors.New("event is too long")
		}
	}
}

// eventEnd is the empty line behind each event.
var eventEnd = []byte("\n\n")

func (f *flight) beginOnce(a *Answer) {
	if !f.events.begun {
		f.events.begun = true
		f.firstAt = time.Now()
		f.reply.Begin(a.Status, a.Header, a.Length)
	}
}

// passEvents passes whole events on.
func (f *flight) passEvents(a *Answer, events []byte) error {
	f.beginOnce(a)
	f.events.delivered += int64(bytes.Count(events, eventEnd))
	if id, ok := lastID(events); ok {
		f.events.lastID = id
	}
	if err := f.reply.Write(events); err != nil {
		return errors.Join(errCaller, err)
	}
	return nil
}

// errRepeated is a run that begins with events that the caller has already.
var errRepeated = errors.New("resumed stream doesn't go on behind the last event")

// follows reports whether events go on behind the one with an id; "" is the start
// of a stream. Ids rise; those that aren't numbers only have to differ.
func follows(events []byte, after string) bool {
	first, ok := firstID(events)
	if after == "" || !ok {
		return true
	}
	a, err := strconv.ParseInt(after, 10, 64)
	b, err2 := strconv.ParseInt(first, 10, 64)
	if err != nil || err2 != nil {
		return first != after
	}
	return b > a
}

// idField begins the line of an event that holds its id.
var idField = []byte("\nid:")

// firstID returns the oldest id among events.
func firstID(events []byte) (string, bool) {
	if bytes.HasPrefix(events, idField[1:]) {
		return idAt(events, len(idField)-1), true
	}
	at := bytes.Index(events, idField)
	if at < 0 {
		return "", false
	}
	return idAt(events, at+len(idField)), true
}

// lastID returns the newest id among events.
func lastID(events []byte) (string, bool) {
	at := bytes.LastIndex(events, idField)
	if at < 0 {
		return firstID(events)
	}
	return idAt(events, at+len(idField)), true
}

// idAt returns the id whose line goes on at start.
func idAt(events []byte, start int) string {
	line, _, _ := bytes.Cut(events[start:], []byte("\n"))
	return string(bytes.TrimSpace(line))
}
