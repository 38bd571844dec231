package store

import "buckthornpin"

// Kind classifies the errors of this package.
type Kind string

const (
	// KindCorrupt is a file whose content can't be trusted.
	KindCorrupt Kind = "corrupt"
	// KindIO is a failed call to the file system.
	KindIO Kind = "io"
	// KindEmpty is a data folder that has not been initialised.
	KindEmpty Kind = "empty"
	// KindExists is a data folder that is in use already.
	KindExists Kind = "exists"
)

// Error is the error type of this package.
type Error = buckthornpin.OpError[Kind]

func ioError(op string, err error) error {
	if err == nil {
		return nil
	}
	return &Error{Op: op, Kind: KindIO, Err: err}
}
