package endpt

import "buckthornpin"

// Kind classifies the errors of this package.
type Kind string

const (
	// KindNotSent means that no byte of the attempt reached the endpoint.
	KindNotSent Kind = "not_sent"
	// KindRefused means that the endpoint states that it hasn't run the attempt.
	KindRefused Kind = "refused"
	// KindLeaving means that the endpoint refused because it takes no new work.
	KindLeaving Kind = "leaving"
	// KindRejected means that the endpoint found the request invalid; other
	// endpoints would answer the same.
	KindRejected Kind = "rejected"
	// KindBroken means that the attempt may have run and gave no complete answer.
	KindBroken Kind = "broken"
	// KindMismatch means that a frame is malformed, or that a frame or an answer belongs
	// to another request or attempt. The attempt may have run.
	KindMismatch Kind = "mismatch"
)

// Error is the error type of this package.
type Error = buckthornpin.OpError[Kind]
