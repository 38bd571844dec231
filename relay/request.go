// Package relay carries a caller's request to an endpoint of the site's
// configuration and the answer back: which route and organisation it belongs to,
// whether the budget covers it, which endpoint runs it, what may be tried again,
// and which final answer a request gets that can't be served.
package relay

import (
	"context"
	"io"
	"net/http"
	"time"

	"buckthornpin"
	"buckthornpin/route"
)

// Request is one attempt of a caller.
type Request struct {
	// ID is the caller's name for this attempt; no two attempts share one.
	ID     string
	Method string
	// Host and Path choose the route; Target is the path and query as sent.
	Host, Path, Target string
	// Header is what is passed on to an endpoint.
	Header http.Header
	Body   []byte
	Key    string
	Prompt Prompt
	// LastEvent is the id of the event behind which the caller goes on; "" at a
	// stream's start.
	LastEvent string
	// Arrived is when the request's age begins: when its headers were read, less what
	// it and its answer wait on the VM's link.
	Arrived time.Time
	// HeadRead and BodyRead are when the process had read the headers and the body.
	HeadRead, BodyRead time.Time
	// Nth counts the requests of the caller's connection, this one included.
	Nth int64
	// Deadline is when the caller stops waiting; zero where it doesn't say.
	Deadline time.Time
}

// Prompt is what a request for a model says of its size.
type Prompt struct {
	// Tokens is the length of the prompt, MaxOutput the most tokens of output.
	Tokens, MaxOutput int64
	// Parts are the prompt's parts in order; other requests share all but the
	// last one.
	Parts []route.Part
}

// Dispatch is a request on its way to one endpoint.
type Dispatch struct {
	Request      *Request
	Endpoint     *buckthornpin.Endpoint
	Organisation string
	// Deadline is when the endpoint has to stop.
	Deadline time.Time
	// LastEvent is the id of the event behind which a stream goes on.
	LastEvent string
}

// Answer is an endpoint's answer to a dispatch.
type Answer struct {
	Status int
	// Header is what is passed on to the caller.
	Header http.Header
	// Length of the body in bytes; -1 where it isn't told.
	Length int64
	Body   io.ReadCloser
	// NotRun is the endpoint's word that it didn't run the request.
	NotRun bool
	// OtherEndpoint says that another endpoint has the address.
	OtherEndpoint bool
	// Signed says that the answer bears an endpoint's signature.
	Signed bool
}

// Endpoints sends requests to endpoints. An error of KindNotSent says that
// nothing has left; any other one that the request may have run.
type Endpoints interface {
	Send(ctx context.Context, d Dispatch) (*Answer, error)
	// Refuses reports whether nothing serves an address any more.
	Refuses(ctx context.Context, address string) bool
}

// Reply is the way back to the caller.
type Reply interface {
	// Refuse sends a final answer of the system's own.
	Refuse(r Refusal)
	// Begin sends the head of an endpoint's answer.
	Begin(status int, header http.Header, length int64)
	// Write sends a part of the body at once.
	Write(p []byte) error
	// Break ends the connection, so that the answer doesn't look complete.
	Break()
}

// Reason tells why a request gets an answer of the system's own.
type Reason string

// Reasons of refusals. NotRun ones promise that the request hasn't run and never
// will.
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
	// ReasonQuarantined is a request that has crashed several endpoints.
	ReasonQuarantined Reason = "quarantined"
	// ReasonOverload is a request that this VM can't carry in time; others can.
	ReasonOverload Reason = "overload"
	// ReasonSlowBody is a request whose body wasn't there when its time had passed.
	ReasonSlowBody Reason = "slow_body"
	// ReasonTimeout is a request whose time has passed before it was sent.
	ReasonTimeout Reason = "timeout"
	// ReasonNoAnswer is a request that was sent and got no answer in time.
	ReasonNoAnswer Reason = "no_answer"
	// ReasonBroken is a request that was sent and whose answer broke.
	ReasonBroken Reason = "broken"
)

// Admission is what is decided on a request before its body is read.
type Admission struct {
	// Refused says that the request can't be carried, and Refusal why.
	Refused bool
	Refusal Refusal
	// Arrived is when the request's age begins, see Request.
	Arrived time.Time
	// BodyBy is when the body has to be there; zero if nothing bounds it.
	BodyBy time.Time
}

// Refusal is a final answer of the system's own.
type Refusal struct {
	Reason Reason
	// RetryAfter tells when to come back; 0 says nothing.
	RetryAfter time.Duration
}
