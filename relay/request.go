// Package relay forwards callers' requests to the endpoints of the site's configuration
// and returns the answers. For each request it finds the route and organisation, reserves
// budget, chooses endpoints, retries where that is allowed, and refuses the request if it
// can't be served.
package relay

import (
	"context"
	"io"
	"net/http"
	"time"

	"buckthornpin"
	"buckthornpin/memory"
	"buckthornpin/route"
)

// Request is one attempt of a caller to get an answer.
type Request struct {
	// ID is the caller's unique id of this attempt.
	ID     string
	Method string
	// Host and Path select the route; Target is the path and query as sent.
	Host, Path, Target string
	// Header holds the header fields that are forwarded to an endpoint.
	Header http.Header
	// Body is nil if there is none. Serve releases it.
	Body *memory.Buffer
	// Room is what the request takes besides its body; nil if nobody counts it. Serve releases it.
	Room   *memory.Claim
	Key    string
	Prompt Prompt
	// LastEvent is the id of the last event that the caller has received of a resumed
	// stream; "" for a new stream.
	LastEvent string
	// Arrived is the start of the request's age: when its headers were read, minus the
	// time that it and its answer wait on the VM's link.
	Arrived time.Time
	// HeaderRead and BodyRead are when the process had read all headers and the whole body.
	HeaderRead, BodyRead time.Time
	// ConnectionRequests is the number of requests on the caller's connection so far, this
	// one included.
	ConnectionRequests int64
	// Deadline is when the caller stops waiting; zero if the caller doesn't say.
	Deadline time.Time
}

// Release gives back what the request holds.
func (q *Request) Release() {
	q.Body.Release()
	q.Room.Release()
}

// Prompt is the size of a request for a model, as the request states it.
type Prompt struct {
	// Model is the name of the model; "" if the request doesn't say.
	Model string
	// Tokens is the length of the prompt, MaxOutput the maximum length of the output, both
	// in tokens as the caller states them; see Bound.
	Tokens, MaxOutput int64
	// Parts are the prompt's parts in order. Other requests may share all but the last.
	Parts []route.PromptPart
}

// Bound returns the most tokens that the request can cost. ok is false if that is more than
// any budget can hold, or not a token count.
func (p Prompt) Bound() (tokens int64, ok bool) {
	if !buckthornpin.IsTokenCount(p.Tokens) || !buckthornpin.IsTokenCount(p.MaxOutput) {
		return 0, false
	}
	tokens = p.Tokens + p.MaxOutput
	return tokens, buckthornpin.IsTokenCount(tokens)
}

// Dispatch is a request that is sent to one endpoint.
type Dispatch struct {
	Request      *Request
	Endpoint     *buckthornpin.Endpoint
	Organisation string
	// Deadline is when the endpoint has to stop working on the request.
	Deadline time.Time
	// LastEvent is the id of the event after which a stream is resumed; "" for a new
	// stream.
	LastEvent string
}

// Answer is an endpoint's answer to a dispatch.
type Answer struct {
	Status int
	// Header holds the header fields that are forwarded to the caller.
	Header http.Header
	// Length is the size of the body in bytes; -1 if unknown.
	Length int64
	// Unframed is set if the body ends with its connection. A body that was cut off by the
	// end of the endpoint's process looks whole then.
	Unframed bool
	Body     io.ReadCloser
	// NotRun is set if the endpoint states that it didn't run the request.
	NotRun bool
	// Misdirected is set if another endpoint now has the address.
	Misdirected bool
	// Leaving is set if the endpoint says that it is leaving. The answer itself counts.
	Leaving bool
	// Signed is set if the answer has an endpoint's signature.
	Signed bool
	Limit  buckthornpin.StatedLimit
	// Pause is for how long the endpoint wants no requests from this router.
	Pause buckthornpin.StatedPause
}

// Endpoints sends requests to endpoints. An error of KindNotSent or KindUnsendable means that
// nothing was sent; after any other error the request may have run.
type Endpoints interface {
	Send(ctx context.Context, d Dispatch) (*Answer, error)
	// RefusesConnections reports whether nothing listens on the address any more.
	RefusesConnections(ctx context.Context, address string) bool
}

// Reply sends the answer to the caller.
type Reply interface {
	// SetDeadline sets when the caller has to have taken the whole answer.
	SetDeadline(t time.Time)
	// Refuse sends a refusal as the final answer.
	Refuse(r Refusal)
	// Begin sends the status and header of an endpoint's answer. The length of the body is
	// in bytes, or -1 if unknown.
	Begin(status int, header http.Header, length int64)
	// Write sends a part of the body immediately.
	Write(p []byte) error
	// Abort closes the connection, so that the caller can tell that the answer is
	// incomplete.
	Abort()
}

// Reason is why a request was refused.
type Reason string

// Reasons for refusals. All but ReasonNoAnswer and ReasonBroken promise that the request
// hasn't run and never will.
const (
	ReasonNoConfiguration Reason = "no_configuration"
	ReasonNoRoute         Reason = "no_route"
	ReasonUnknownKey      Reason = "unknown_key"
	ReasonBadRequest      Reason = "bad_request"
	ReasonTooLarge        Reason = "too_large"
	ReasonBudgetSpent     Reason = "budget_spent"
	ReasonBudgetElsewhere Reason = "budget_elsewhere"
	ReasonNoEndpoint      Reason = "no_endpoint"
	ReasonFull            Reason = "full"
	// ReasonLimited means that the endpoints have named limits which are used up.
	ReasonLimited Reason = "limited"
	// ReasonPaused means that the endpoints want no requests from this router for a time.
	ReasonPaused Reason = "paused"
	// ReasonQuarantined means that the request has crashed several endpoints.
	ReasonQuarantined Reason = "quarantined"
	// ReasonOverload means that this VM can't handle the request in time; another one can.
	ReasonOverload Reason = "overload"
	// ReasonMemory means that this process has no room for the body.
	ReasonMemory Reason = "memory"
	// ReasonStopping means that the request may not end before this process does.
	ReasonStopping Reason = "stopping"
	// ReasonSlowBody means that the body hadn't arrived by its deadline.
	ReasonSlowBody Reason = "slow_body"
	// ReasonTimeout means that the deadline passed before the request was sent.
	ReasonTimeout Reason = "timeout"
	// ReasonNoAnswer means that the request was sent and got no answer in time.
	ReasonNoAnswer Reason = "no_answer"
	// ReasonBroken means that the request was sent and its answer broke off.
	ReasonBroken Reason = "broken"
)

// Refusal is a final answer that the router itself gives instead of an endpoint's.
type Refusal struct {
	Reason Reason
	// RetryAfter is how long the caller should wait before it retries; 0 if unspecified.
	RetryAfter time.Duration
}
