package config

import "buckthornpin"

// Kind classifies the errors of this package.
type Kind string

const (
	// KindRead is a file that can't be read.
	KindRead Kind = "read"
	// KindInvalid is a setting with a wrong value.
	KindInvalid Kind = "invalid"
)

// Error is the error type of this package.
type Error = buckthornpin.OpError[Kind]
