package relay

import (
	"bytes"
	"context"
	"io"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/go-faster/errors"

	"buckthornpin"
	"buckthornpin/memory"
)

const (
	contentType = "Content-Type"
	// eventStream is the media type of streams (WHATWG HTML, section 9.2).
	eventStream = "text/event-stream"
	// maxEventBytes is the maximum size of one event of a stream.
	maxEventBytes = 1 << 20
)

// isStream reports whether an answer is a stream of events. An error isn't, whatever its
// content type: its text must not become a part of another endpoint's stream.
func isStream(a *Answer) bool {
	return a.Status == http.StatusOK && strings.HasPrefix(a.Header.Get(contentType), eventStream)
}

// stream forwards events to the caller as they arrive, whole events only. A stream that
// breaks off is resumed on another endpoint if the route allows it. Otherwise the caller's
// connection is closed, so that the caller can tell that the answer is incomplete.
func (f *flight) stream(ctx context.Context, e *buckthornpin.Endpoint, a *Answer, onBegin func()) bool {
	before := f.progress.delivered
	err := f.forwardEvents(a, onBegin)
	if err == nil {
		err = f.checkEnd(ctx, e, a, f.progress.delivered == before)
	}
	if err == nil {
		f.beginAnswer(a)
		f.recordAnswer(e, a)
		f.finish(outcomeAnswered, e)
		return true
	}
	if errors.Is(err, errCallerGone) {
		f.finish("caller_gone", e)
		return true
	}
	if ctx.Err() != nil {
		f.breakOff("timeout_or_gone", e, err)
		return true
	}
	f.recordBreak(ctx, e)
	mayResume := f.route.Resumable && !f.progress.unidentified && f.sentCount < f.route.MaxAttempts
	if mayResume && !f.request.Body.Reclaim() {
		mayResume = false
		f.log("body_dropped").Str("endpoint", e.ID).Int64("bytes", f.request.Body.Len()).Msg("stream isn't resumed: others needed the room of its request's body")
	}
	if mayResume {
		f.log("resuming").Str("endpoint", e.ID).Str("last_event", f.progress.lastID).Err(err).Msg("stream broke off")
		return false
	}
	if !f.answerBegun() {
		f.sentCount = max(f.sentCount, f.route.MaxAttempts)
		return false
	}
	f.breakOff("broken", e, err)
	return true
}

func (f *flight) answerBegun() bool { return f.progress.headerSent }

// breakOff ends a stream that can't be continued: with a refusal if nothing has been sent
// yet, otherwise by closing the caller's connection.
func (f *flight) breakOff(outcome string, e *buckthornpin.Endpoint, err error) {
	f.outcome = outcome
	f.log(outcome).Str("endpoint", e.ID).Int64("events", f.progress.delivered).Err(err).Msg("stream was broken off")
	if !f.answerBegun() {
		f.refuse(ReasonNoAnswer, 0)
		return
	}
	f.reply.Abort()
}

// errCallerGone is returned if the caller no longer accepts its answer.
var errCallerGone = errors.New("caller is gone")

// forwardEvents forwards the whole events of one endpoint's answer to the caller.
func (f *flight) forwardEvents(a *Answer, onBegin func()) error {
	buf := make([]byte, 0, bodyBuffer)
	claim := f.router.Memory.Claim(memory.UseEvent)
	defer claim.Release()
	previousID := f.progress.lastID
	for {
		buf = slices.Grow(buf, minEventRead)
		if !claim.Resize(int64(cap(buf) - bodyBuffer)) {
			return &memory.Error{Op: "take", Kind: memory.KindFull}
		}
		n, err := a.Body.Read(buf[len(buf):cap(buf)])
		// The bytes before hold no end of an event, but may hold a part of one.
		unsearched := max(len(buf)-len(eventEnd)+1, 0)
		buf = buf[:len(buf)+n]
		if at := bytes.LastIndex(buf[unsearched:], eventEnd); at >= 0 {
			end := unsearched + at + len(eventEnd)
			if !continuesAfter(buf[:end], previousID) {
				return errRepeatedEvents
			}
			onBegin()
			if err := f.writeEvents(a, buf[:end]); err != nil {
				return err
			}
			previousID = ""
			buf = withoutFirst(buf, end)
		}
		switch {
		case errors.Is(err, io.EOF) && len(buf) > 0:
			return errPartialEvent
		case errors.Is(err, io.EOF):
			return nil
		case err != nil:
			return err
		case len(buf) > maxEventBytes:
			return errEventTooLong
		}
	}
}

// withoutFirst removes n bytes from the start of a buffer. A buffer that had to grow for a
// long event is given up.
func withoutFirst(buf []byte, n int) []byte {
	if cap(buf) > bodyBuffer && len(buf)-n <= bodyBuffer {
		return append(make([]byte, 0, bodyBuffer), buf[n:]...)
	}
	return append(buf[:0], buf[n:]...)
}

var errEventTooLong = errors.New("event is too long")

// eventEnd ends each event: the end of its last line and an empty line.
var eventEnd = []byte("\n\n")

func (f *flight) beginAnswer(a *Answer) {
	if !f.progress.headerSent {
		f.progress.headerSent = true
		f.firstPartAt = time.Now()
		f.reply.Begin(a.Status, a.Header, a.Length)
	}
}

// writeEvents writes whole events to the caller.
func (f *flight) writeEvents(a *Answer, events []byte) error {
	f.beginAnswer(a)
	f.progress.delivered += int64(bytes.Count(events, eventEnd))
	if id, ok := lastID(events); ok {
		// An id that can't be sent back names no event to go on from.
		f.progress.lastID, f.progress.unidentified = id, buckthornpin.CheckName(id) != nil
	}
	f.progress.unidentified = f.progress.unidentified || hasDataAfterLastID(events)
	if err := f.reply.Write(events); err != nil {
		return errors.Join(errCallerGone, err)
	}
	return nil
}

// errRepeatedEvents is returned if a resumed stream begins with events that the caller
// already has.
var errRepeatedEvents = errors.New("resumed stream doesn't go on behind the last event")

// continuesAfter reports whether the first of the events comes after the one with the
// previous id; "" is the start of a stream. Numeric ids must increase; other ids only have
// to differ.
func continuesAfter(events []byte, previousID string) bool {
	first, ok := firstID(events)
	if previousID == "" || !ok {
		return true
	}
	a, err := strconv.ParseInt(previousID, 10, 64)
	b, err2 := strconv.ParseInt(first, 10, 64)
	if err != nil || err2 != nil {
		return first != previousID
	}
	return b > a
}

// idField precedes the id of an event: a line break and the name of the field.
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

// dataField precedes the data of an event: a line break and the name of the field.
var dataField = []byte("\ndata")

// hasDataAfterLastID reports whether an event with data and without an id follows the last id
// among whole events. A stream can't be resumed after such an event.
func hasDataAfterLastID(events []byte) bool {
	if at := bytes.LastIndex(events, idField); at >= 0 || bytes.HasPrefix(events, idField[1:]) {
		_, events, _ = bytes.Cut(events[max(at, 0):], eventEnd)
	}
	return bytes.HasPrefix(events, dataField[1:]) || bytes.Contains(events, dataField)
}

// idAt returns the id that begins at start and ends with its line.
func idAt(events []byte, start int) string {
	line, _, _ := bytes.Cut(events[start:], []byte("\n"))
	return string(bytes.TrimSpace(line))
}
