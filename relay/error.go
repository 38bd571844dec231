package relay

import (
	"github.com/go-faster/errors"

	"buckthornpin"
)

// Kind classifies the errors of this package.
type Kind string

const (
	// KindNotSent is a request of which no byte has left.
	KindNotSent Kind = "not_sent"
	// KindBroken is a request that was sent and whose answer can't be used.
	KindBroken Kind = "broken"
)

// Error is the error type of this package.
type Error = buckthornpin.OpError[Kind]

func notSent(err error) bool { return errors.Is(err, &Error{Kind: KindNotSent}) }
