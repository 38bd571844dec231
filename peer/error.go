package peer

import "buckthornpin"

// Kind classifies the errors of this package.
type Kind string

const (
	// KindUnknown is a router that isn't registered.
	KindUnknown Kind = "unknown_router"
	// KindUnreachable is a router that doesn't answer.
	KindUnreachable Kind = "unreachable"
)

// Error is the error type of this package.
type Error = buckthornpin.OpError[Kind]
