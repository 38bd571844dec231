package ledger

import "buckthornpin"

// Kind classifies the errors of this package.
type Kind string

const (
	// KindCorrupt is a snapshot that can't be decoded.
	KindCorrupt Kind = "corrupt"
	// KindInvariant is a state that breaks an invariant.
	KindInvariant Kind = "invariant"
)

// Error is the error type of this package.
type Error = buckthornpin.OpError[Kind]
