package endpt

import "buckthornpin"

// Kind classifies the errors of this package.
type Kind string

const (
	// KindNotSent is an attempt of which no byte reached the endpoint.
	KindNotSent Kind = "not_sent"
	// KindRefused is an attempt that the endpoint says it hasn't run.
	KindRefused Kind = "refused"
	// KindLeaving is a refusal by an endpoint that is leaving.
	KindLeaving Kind = "leaving"
	// KindRejected is an answer that a retry elsewhere wouldn't change.
	KindRejected Kind = "rejected"
	// KindBroken is an attempt that may have run and gave no whole answer.
	KindBroken Kind = "broken"
	// KindMismatch is a frame of another request or attempt.
	KindMismatch Kind = "mismatch"
)

// Error is the error type of this package.
type Error = buckthornpin.OpError[Kind]
