package oper

import "buckthornpin"

// Kind classifies the errors of this package.
type Kind string

const (
	// KindInvalid is a change that can't be understood.
	KindInvalid Kind = "invalid"
	// KindRefused is a change that the system refuses.
	KindRefused Kind = "refused"
	// KindNotFound is something that there isn't.
	KindNotFound Kind = "not_found"
	// KindUnauthorised is a call without a valid operator's key.
	KindUnauthorised Kind = "unauthorised"
	// KindUnavailable is a process or a control group that can't be reached.
	KindUnavailable Kind = "unavailable"
)

// Error is the error type of this package.
type Error = buckthornpin.OpError[Kind]
