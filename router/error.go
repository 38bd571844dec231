package router

import (
	"net/http"
	"time"

	"buckthornpin"
)

// Codes of refusals.
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
	// retrySoon is when a retry may help after a passing shortage.
	retrySoon = time.Second
	// retryLater is when a retry may help after a budget ran out.
	retryLater = 30 * time.Second
)

// Refuse returns a refusal before the request's key was looked at. A key that
// the caller gave may have run before, so only a fresh one is known not to
// have.
func Refuse(status int, code, message string, fresh bool, retry time.Duration) *buckthornpin.Refusal {
	r := &buckthornpin.Refusal{Status: status, Code: code, Message: message, Outcome: buckthornpin.OutcomeUnknown, RetryAfter: retry}
	if fresh {
		r.Outcome = buckthornpin.OutcomeNotRun
	}
	return r
}

func unknown(code, message string, retry time.Duration) *buckthornpin.Refusal {
	return Refuse(http.StatusServiceUnavailable, code, message, false, retry)
}
