package caller

import "buckthornpin"

// Kind classifies the errors of this package.
type Kind string

const (
	// KindInvalid marks a request that can't be decoded.
	KindInvalid Kind = "invalid"
)

// Error is the error type of this package.
type Error = buckthornpin.OpError[Kind]
