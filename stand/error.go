package stand

import "buckthornpin"

// Kind classifies the errors of this package.
type Kind string

const (
	// KindFault is a fault directive that can't be read.
	KindFault Kind = "fault"
)

// Error is the error type of this package.
type Error = buckthornpin.OpError[Kind]
