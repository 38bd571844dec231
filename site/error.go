package site

import "buckthornpin"

// ErrorKind classifies the errors of this package.
type ErrorKind string

// KindInvalid marks a configuration that can't be put into force.
const KindInvalid ErrorKind = "invalid"

// Error is the error type of this package.
type Error = buckthornpin.OpError[ErrorKind]
