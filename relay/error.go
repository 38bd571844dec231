package relay

import (
	"github.com/go-faster/errors"

	"buckthornpin"
)

// Kind classifies the errors of this package.
type Kind string

const (
	// KindNotSent means that no byte of the request was sent.
	KindNotSent Kind = "not_sent"
	// KindUnsendable means that the request can't be sent to any endpoint, and nothing of it was
	// sent to this one.
	KindUnsendable Kind = "unsendable"
	// KindBroken means that the request was sent but its answer can't be used.
	KindBroken Kind = "broken"
)

// Error is the error type of this package.
type Error = buckthornpin.OpError[Kind]

func notSent(err error) bool { return errors.Is(err, &Error{Kind: KindNotSent}) }

func unsendable(err error) bool { return errors.Is(err, &Error{Kind: KindUnsendable}) }
