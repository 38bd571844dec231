package budget

import "buckthornpin"

// Kind classifies the errors of this package.
type Kind string

const (
	// KindLost means that the report of spent tokens got no answer.
	KindLost Kind = "lost"
)

// Error is the error type of this package.
type Error = buckthornpin.OpError[Kind]
