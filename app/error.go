package app

import "buckthornpin"

// Kind classifies the errors of this package.
type Kind string

const (
	// KindSetup is a process that can't be set up.
	KindSetup Kind = "setup"
	// KindDemo is a demonstration whose checks fail.
	KindDemo Kind = "demo"
	// KindUsage is a command line that can't be understood.
	KindUsage Kind = "usage"
)

// Error is the error type of this package.
type Error = buckthornpin.OpError[Kind]
