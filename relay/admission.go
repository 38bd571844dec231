package relay

import (
	"os"
	"time"

	"github.com/go-faster/errors"
	"github.com/rs/zerolog"

	"buckthornpin/memory"
	"buckthornpin/site"
)

// Arrival is a request whose headers have been read and whose body hasn't.
type Arrival struct {
	Request *Request
	// ContentLength is the size of the body in bytes, -1 if it is unknown.
	ContentLength int64
	// MaxBodyBytes is the largest size of a body.
	MaxBodyBytes int64
	// At is when the headers were read.
	At time.Time
}

// Admission is the decision about a request before its body is read.
type Admission struct {
	// Refused is set if the request is turned away; Refusal says why.
	Refused bool
	Refusal Refusal
	// Elsewhere is set if the connection is closed, so that the caller's next request reaches
	// another router.
	Elsewhere bool
	// BodyDeadline is the deadline for reading the body; zero if there is none.
	BodyDeadline time.Time
	// Pace is the pace at which the body has to arrive.
	Pace Pace
}

// Pace is the pace of a body that holds room from its start: this many bytes in each interval.
// An interval of 0 demands none.
type Pace struct {
	Bytes    int64
	Interval time.Duration
}

// bodyPace is the pace of large bodies. It is far below what a route's timeout allows, and frees
// the room of a caller that sends nothing.
var bodyPace = Pace{Bytes: 64 << 10, Interval: 2 * time.Second}

// Admit decides before a request's body is read whether the request can be handled, takes the
// room for it and sets its body's deadline: a request whose route's timeout has passed isn't served
// any more. It moves the start of the request's age and its deadline back by the time that the
// request has waited on the VM's link.
func (r *Router) Admit(v Arrival) Admission {
	q := v.Request
	q.Arrived, q.HeaderRead = v.At, v.At
	if r.Guard != nil {
		q.Arrived = v.At.Add(-r.Guard.LinkDelay(v.At))
	}
	if !q.Deadline.IsZero() {
		q.Deadline = q.Deadline.Add(q.Arrived.Sub(v.At))
	}
	t := r.Site()
	if t == nil {
		return r.sendElsewhere(v, Refusal{Reason: ReasonNoConfiguration, RetryAfter: defaultRetryAfter}, r.Log.Info())
	}
	matched := t.Route(q.Host, q.Path)
	if matched == nil {
		return r.turnAway(v, Refusal{Reason: ReasonNoRoute}, r.Log.Info().Int64("version", t.Version))
	}
	line := func() *zerolog.Event { return r.Log.Info().Int64("version", t.Version).Str("route", matched.Name) }
	owner, known := keyOwner(t, matched, q.Key)
	switch {
	case !known:
		return r.turnAway(v, Refusal{Reason: ReasonUnknownKey}, line())
	case v.ContentLength > v.MaxBodyBytes:
		return r.sendElsewhere(v, Refusal{Reason: ReasonTooLarge}, line().Int64("limit", v.MaxBodyBytes))
	case r.Guard != nil && !r.Guard.Admits(v.ContentLength, matched.Objective, v.At):
		return r.sendElsewhere(v, Refusal{Reason: ReasonOverload, RetryAfter: retryElsewhereAfter},
			line().Dur("lag_ms", r.Guard.SchedulingDelay()).Dur("link_ms", v.At.Sub(q.Arrived)))
	}
	if err := r.takeRoom(v, ownerName(owner)); err != nil {
		return r.sendElsewhere(v, r.memoryRefusal(q, v.ContentLength), r.logMemory(line().Str("organisation", ownerName(owner))))
	}
	a := Admission{BodyDeadline: q.Arrived.Add(matched.Timeout)}
	if v.ContentLength > memory.SmallBytes {
		a.Pace = bodyPace
	}
	return a
}

// requestBytes is what a request in progress takes besides its body: two connections with their
// buffers and goroutines, its headers and the buffer of its answer.
const requestBytes = 32 << 10

// takeRoom takes the room for a request and its body.
func (r *Router) takeRoom(v Arrival, owner string) error {
	q := v.Request
	var err error
	if q.Room, err = r.Memory.ClaimRequest(owner, requestBytes); err != nil || v.ContentLength == 0 {
		return err
	}
	if q.Body, err = r.Memory.NewBody(owner, v.ContentLength, v.MaxBodyBytes); err != nil {
		q.Room.Release()
	}
	return err
}

// keyOwner returns the organisation that holds a request's key; nil if the route needs none. known
// is false if the route needs one and nobody holds the key.
func keyOwner(t *site.Table, matched *site.Route, key string) (owner *site.Organisation, known bool) {
	if matched.Anonymous || !t.HasOrganisations() {
		return nil, true
	}
	owner = t.KeyOwner(key)
	return owner, owner != nil
}

func ownerName(o *site.Organisation) string {
	if o == nil {
		return ""
	}
	return o.Name
}

// sendElsewhere turns a request away whose caller should go to another router.
func (r *Router) sendElsewhere(v Arrival, f Refusal, line *zerolog.Event) Admission {
	a := r.turnAway(v, f, line)
	a.Elsewhere = true
	return a
}

// turnAway refuses a request before its body is read.
func (r *Router) turnAway(v Arrival, f Refusal, line *zerolog.Event) Admission {
	r.logTurnedAway(line.Int64("bytes", v.ContentLength), v.Request, f)
	return Admission{Refused: true, Refusal: f}
}

// logTurnedAway counts a request that is refused before it has been read, and ends its log line.
func (r *Router) logTurnedAway(line *zerolog.Event, q *Request, f Refusal) {
	line.Str("request", q.ID).Str("outcome", string(f.Reason)).Dur("retry_after_ms", f.RetryAfter).Msg("request was turned away")
	r.metrics.count(f.Reason)
}

// retryElsewhereAfter is when a caller that was turned away should retry. It reaches
// another router then, so the pause only has to spread out many callers that retry.
const retryElsewhereAfter = 50 * time.Millisecond

// memoryRefusal refuses a request for whose body there is no room. Others may be in the same
// state, so that the caller should wait until there is room again.
func (r *Router) memoryRefusal(q *Request, bytes int64) Refusal {
	wait := r.Memory.Wait(bytes)
	if !q.Deadline.IsZero() {
		wait = min(wait, max(time.Until(q.Deadline)/retryAfterDivisor, 0))
	}
	return Refusal{Reason: ReasonMemory, RetryAfter: wait}
}

// logMemory adds the state of the process's memory to a log line.
func (r *Router) logMemory(line *zerolog.Event) *zerolog.Event {
	u := r.Memory.Usage()
	return line.Int64("held", u.Held).Int64("large", u.Large).Int64("limit", u.Size)
}

// RefuseBody returns the refusal of an admitted request whose body couldn't be read. All its
// reasons promise that the request hasn't run.
func (r *Router) RefuseBody(q *Request, err error) Refusal {
	line := r.Log.Info().Err(err)
	f := Refusal{Reason: ReasonBadRequest}
	switch {
	case errors.Is(err, memory.ErrTooLong):
		f.Reason = ReasonTooLarge
	case errors.Is(err, memory.ErrFull):
		f = r.memoryRefusal(q, memory.SmallBytes)
		line = r.logMemory(line)
	case errors.Is(err, os.ErrDeadlineExceeded):
		f.Reason = ReasonSlowBody
	}
	r.logTurnedAway(line, q, f)
	return f
}
