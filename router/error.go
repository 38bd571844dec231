package router

import (
	"net/http"
	"time"

	"buckthornpin"
)

// Codes of refusals, as callers see them.
const (
	CodeInsufficient = "insufficient_budget"
	CodeNoEndpoint   = "no_endpoint"
	CodeOverload     = "overload"
	CodeCutOff       = "cut_off"
	CodeInProgress   = "in_progress"
	CodeAlreadyRan   = "already_ran"
	CodeTombstone    = "key_refused_before"
	CodeKeyReused    = "key_reused"
	CodeBroken       = "answer_broken"
	CodeDeadline     = "deadline_exceeded"
	CodeRejected     = "endpoint_rejected"
	CodeForbidden    = "forbidden"
	CodeInvalid      = "invalid_request"
	CodeUnknownModel = "unknown_model"
	CodeDraining     = "draining"
	CodeUnauthorised = "invalid_api_key"
	CodeTooLarge     = "request_too_large"
)

const (
	// retrySoon is the wait before a retry may help after a temporary shortage.
	retrySoon = time.Second
	// retryLater is the wait before a retry may help after a budget ran out.
	retryLater = 30 * time.Second
)

// NewRefusal returns a refusal of a request whose key hasn't been looked up. A key that the
// caller chose may have run before; only a fresh one, made by the router, is known not to
// have run.
func NewRefusal(status int, code, message string, fresh bool, retry time.Duration) *buckthornpin.Refusal {
	r := &buckthornpin.Refusal{Status: status, Code: code, Message: message, Outcome: buckthornpin.OutcomeUnknown, RetryAfter: retry}
	if fresh {
		r.Outcome = buckthornpin.OutcomeNotRun
	}
	return r
}

// unknownOutcome returns a refusal of a request that may or may not have run.
func unknownOutcome(code, message string, retry time.Duration) *buckthornpin.Refusal {
	return NewRefusal(http.StatusServiceUnavailable, code, message, false, retry)
}
