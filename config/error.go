package config

import "buckthornpin"

// Kind classifies the errors of this package.
type Kind string

const (
	// KindRead means that a file can't be read.
	KindRead Kind = "read"
	// KindInvalid means that a file isn't valid JSON or that a setting has a wrong value.
	KindInvalid Kind = "invalid"
)

// Error is the error type of this package.
type Error = buckthornpin.OpError[Kind]
