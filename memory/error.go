package memory

import "buckthornpin"

// Kind classifies the errors of this package.
type Kind string

const (
	// KindFull means that the account has no room.
	KindFull Kind = "full"
	// KindTooLong means that the content is longer than its limit.
	KindTooLong Kind = "too_long"
)

// Error is the error type of this package.
type Error = buckthornpin.OpError[Kind]

// Errors that match all errors of their kind, for errors.Is.
var (
	ErrFull    = &Error{Kind: KindFull}
	ErrTooLong = &Error{Kind: KindTooLong}
)
