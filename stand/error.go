package stand

import "buckthornpin"

// Kind classifies the errors of this package.
type Kind string

const (
	// KindFault means that a fault directive can't be parsed.
	KindFault Kind = "fault"
	// KindServe means that an endpoint can't listen.
	KindServe Kind = "serve"
)

// Error is the error type of this package.
type Error = buckthornpin.OpError[Kind]
