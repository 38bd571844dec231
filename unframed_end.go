package buckthornpin

import (
	"context"
	"net/http"
	"time"

	"github.com/go-faster/errors"
)

// unframedCheckTimeout bounds the check whether an endpoint still accepts connections.
const unframedCheckTimeout = 500 * time.Millisecond

var (
	// ErrNoBody means that nothing came of the body of a success without a length.
	ErrNoBody = errors.New("answer without a length ended before its body")
	// ErrEndedWithEndpoint means that an answer without a length ended as its endpoint did.
	ErrEndedWithEndpoint = errors.New("answer without a length ended, and its endpoint refuses connections")
)

// UnframedEnd is the end of an answer that has neither a length nor chunks, so that only the end
// of its connection shows that it is whole.
type UnframedEnd struct {
	// Address is the endpoint's, IP:PORT.
	Address string
	Status  int
	// Empty is set if no byte of a body came.
	Empty bool
	// Leaving is set if the endpoint is known to be leaving. Its process may then end with
	// the answer.
	Leaving bool
}

// Check returns an error if the answer was cut off: nothing came of a success, or the
// endpoint's process has ended. refuses reports whether nothing listens on an address.
func (u UnframedEnd) Check(ctx context.Context, refuses func(ctx context.Context, address string) bool) error {
	if u.Empty && u.Status < http.StatusMultipleChoices {
		return ErrNoBody
	}
	if u.Leaving {
		return nil
	}
	ctx, cancel := context.WithTimeout(ctx, unframedCheckTimeout)
	defer cancel()
	if refuses(ctx, u.Address) {
		return ErrEndedWithEndpoint
	}
	return nil
}
