package buckthornpin

import "time"

// Tokens counts prepaid tokens.
type Tokens int64

// RequestKey names a request of one organisation. It is the idempotency key
// under which the request is reserved and billed.
type RequestKey struct {
	Organisation string
	Key          string
}

// String returns the key for logs and the time line.
func (k RequestKey) String() string { return k.Organisation + "/" + k.Key }

// Outcome is what a caller is told about a request that got no whole answer.
type Outcome string

const (
	// OutcomeNotRun says that the request has not run and can't run any more.
	OutcomeNotRun Outcome = "not_run"
	// OutcomeRan says that the request ran to its end.
	OutcomeRan Outcome = "ran"
	// OutcomeUnknown says that the request may have run.
	OutcomeUnknown Outcome = "unknown"
)

// Request is one call of a caller. It is immutable; the With methods return
// changed copies.
type Request struct {
	Key RequestKey
	// Fresh says that a router made the key, so that no earlier attempt exists.
	Fresh bool
	// Attempt is the caller's own count of its tries under the key, from 1; 0
	// where it keeps none.
	Attempt int
	// NonIdempotent requests run at most once.
	NonIdempotent bool
	Target        Target
	// Method, Path and ContentType are those of a call to a plain service.
	Method      string
	Path        string
	ContentType string
	Body        []byte
	// Digest identifies the content: one key names one content.
	Digest string
	// Bound is the most that the request can cost.
	Bound Tokens
	// MaxTokens is the output cap that the endpoint is told.
	MaxTokens int
	Deadline  time.Time
	// Priority orders waiting requests, the highest first.
	Priority int
}

// WithBound returns a copy with a cost bound and an output cap.
func (r Request) WithBound(bound Tokens, maxTokens int) Request {
	r.Bound = bound
	r.MaxTokens = maxTokens
	return r
}

// Refusal is the final answer to a request that gets no whole answer.
type Refusal struct {
	// Status is the HTTP status.
	Status int
	// Code names the reason.
	Code    string
	Message string
	Outcome Outcome
	// RetryAfter tells when a retry may help; 0 if none will.
	RetryAfter time.Duration
	// NextAttempt is the attempt number that a retry under the same key has to
	// send; 0 if it needs none.
	NextAttempt int
}

// Error implements error.
func (r *Refusal) Error() string {
	return r.Code + ": " + r.Message + " (" + string(r.Outcome) + ")"
}

// WithStatus returns a copy with another HTTP status.
func (r Refusal) WithStatus(status int) *Refusal {
	r.Status = status
	return &r
}

// WithOutcome returns a copy with another outcome.
func (r Refusal) WithOutcome(o Outcome) *Refusal {
	r.Outcome = o
	return &r
}

// WithNextAttempt returns a copy that names the attempt number of a retry.
func (r Refusal) WithNextAttempt(n int) *Refusal {
	r.NextAttempt = n
	return &r
}
