package ledger

import "buckthornpin"

// Kind classifies the errors of this package.
type Kind string

const (
	// KindCorrupt means that a snapshot can't be decoded.
	KindCorrupt Kind = "corrupt"
	// KindInvariant means that the state breaks an invariant of a budget.
	KindInvariant Kind = "invariant"
)

// Error is the error type of this package.
type Error = buckthornpin.OpError[Kind]
