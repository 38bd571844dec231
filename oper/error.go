package oper

import "buckthornpin"

// Kind classifies the errors of this package.
type Kind string

const (
	// KindInvalid means that a request or a reply is malformed or has invalid content.
	KindInvalid Kind = "invalid"
	// KindRefused means that the system refuses a change.
	KindRefused Kind = "refused"
	// KindNotFound means that something doesn't exist.
	KindNotFound Kind = "not_found"
	// KindUnauthorised means that a call has no valid operator's key.
	KindUnauthorised Kind = "unauthorised"
	// KindUnavailable means that a process or the control group can't be reached.
	KindUnavailable Kind = "unavailable"
)

// Error is the error type of this package.
type Error = buckthornpin.OpError[Kind]
