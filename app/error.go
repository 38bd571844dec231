package app

import "buckthornpin"

// Kind classifies the errors of this package.
type Kind string

const (
	// KindSetup reports a process that can't be set up.
	KindSetup Kind = "setup"
	// KindDemo reports a failed check of the demonstration.
	KindDemo Kind = "demo"
	// KindUsage reports an invalid command line or file.
	KindUsage Kind = "usage"
)

// Error is the error type of this package.
type Error = buckthornpin.OpError[Kind]
