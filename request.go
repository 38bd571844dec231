package buckthornpin

import "time"

// Tokens is a number of prepaid tokens.
type Tokens int64

// RequestKey identifies a request of one organisation. It is the idempotency key
// under which the request is reserved and billed.
type RequestKey struct {
	Organisation string
	Key          string
}

// String returns the key as ORGANISATION/KEY, for logs and the timeline.
func (k RequestKey) String() string { return k.Organisation + "/" + k.Key }

// Outcome states whether a request without a complete answer ran. It is sent to the
// caller.
type Outcome string

const (
	// OutcomeNotRun says that the request hasn't run and never will.
	OutcomeNotRun Outcome = "not_run"
	// OutcomeRan says that the request ran to completion.
	OutcomeRan Outcome = "ran"
	// OutcomeUnknown says that the request may have run.
	OutcomeUnknown Outcome = "unknown"
)

// Request is one call by a caller. It is immutable; the With methods return
// changed copies.
type Request struct {
	Key RequestKey
	// KeyGenerated says that a router generated the key, so that no earlier attempt
	// exists.
	KeyGenerated bool
	// Attempt is the caller's own number of its attempt under this key, from 1;
	// 0 if the caller states none.
	Attempt int
	// NonIdempotent says that the request runs at most once.
	NonIdempotent bool
	Target        Target
	// Method, Path and ContentType describe a call to a plain service.
	Method      string
	Path        string
	ContentType string
	Body        []byte
	// Digest identifies the content. A key must not be reused for another content.
	Digest string
	// CostBound is the highest possible cost of the request.
	CostBound Tokens
	// MaxTokens is the output cap that is passed to the endpoint.
	MaxTokens int
	Deadline  time.Time
	// Priority orders waiting requests; higher values go first.
	Priority int
}

// WithLimits returns a copy with a cost bound and an output cap.
func (r Request) WithLimits(costBound Tokens, maxTokens int) Request {
	r.CostBound = costBound
	r.MaxTokens = maxTokens
	return r
}

// Refusal is the error returned to a caller whose request gets no complete
// answer.
type Refusal struct {
	// Status is the HTTP status code.
	Status int
	// Code is the machine-readable reason.
	Code    string
	Message string
	Outcome Outcome
	// RetryAfter is the time after which a retry may succeed; 0 if none will.
	RetryAfter time.Duration
	// NextAttempt is the attempt number that a retry under the same key must
	// send; 0 if it needs none.
	NextAttempt int
}

// Error returns the code, the message and the outcome.
func (r *Refusal) Error() string {
	return r.Code + ": " + r.Message + " (" + string(r.Outcome) + ")"
}

// WithStatus returns a copy with another HTTP status.
func (r Refusal) WithStatus(status int) *Refusal {
	r.Status = status
	return &r
}

// WithOutcome returns a copy with another outcome.
func (r Refusal) WithOutcome(outcome Outcome) *Refusal {
	r.Outcome = outcome
	return &r
}

// WithNextAttempt returns a copy with the attempt number that a retry must send.
func (r Refusal) WithNextAttempt(n int) *Refusal {
	r.NextAttempt = n
	return &r
}
