package peer

import "buckthornpin"

// Kind classifies the errors of this package.
type Kind string

const (
	// KindUnknown means that the router is not registered.
	KindUnknown Kind = "unknown_router"
	// KindUnreachable means that the router did not answer.
	KindUnreachable Kind = "unreachable"
)

// Error is the error type of this package.
type Error = buckthornpin.OpError[Kind]
