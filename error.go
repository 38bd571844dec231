package buckthornpin

import (
	"fmt"

	"github.com/go-faster/errors"
)

// OpError is the common form of the packages' errors: the operation that failed,
// the kind of failure, and the cause if there is one. Each package defines its own
// kinds.
type OpError[K ~string] struct {
	Op   string
	Kind K
	Err  error
}

// Error returns the operation, the kind and the cause on one line.
func (e *OpError[K]) Error() string {
	if e.Err == nil {
		return fmt.Sprintf("%s: %s", e.Op, e.Kind)
	}
	return fmt.Sprintf("%s: %s: %v", e.Op, e.Kind, e.Err)
}

// Unwrap returns the cause.
func (e *OpError[K]) Unwrap() error { return e.Err }

// Is reports whether target is an OpError of the same kind and operation. An empty
// operation in target matches any operation.
func (e *OpError[K]) Is(target error) bool {
	t, ok := target.(*OpError[K])
	if !ok {
		return false
	}
	return t.Kind == e.Kind && (t.Op == "" || t.Op == e.Op)
}

// WrapIf wraps err with a message; it returns nil if err is nil.
func WrapIf(err error, message string) error {
	if err == nil {
		return nil
	}
	return errors.Wrap(err, message)
}
