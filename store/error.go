package store

import "buckthornpin"

// Kind classifies the errors of this package.
type Kind string

const (
	// KindCorrupt is a file whose content can't be trusted.
	KindCorrupt Kind = "corrupt"
	// KindIO is a failed call to the file system.
	KindIO Kind = "io"
	// KindEmpty is a data folder that hasn't been initialised.
	KindEmpty Kind = "empty"
	// KindExists is a data folder that isn't empty or that another process has open.
	KindExists Kind = "exists"
)

// Error is the error type of this package.
type Error = buckthornpin.OpError[Kind]

// ioError returns err as an error of KindIO, or nil if err is nil.
func ioError(op string, err error) error {
	if err == nil {
		return nil
	}
	return &Error{Op: op, Kind: KindIO, Err: err}
}
