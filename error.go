package buckthornpin

import (
	"fmt"

	"github.com/go-faster/errors"
)

// OpError is the shape of each package's error: the operation that failed, the
// kind of the failure and its cause.
type OpError[K ~string] struct {
	Op   string
	Kind K
	Err  error
}

// Error describes the failure in one line.
func (e *OpError[K]) Error() string {
	if e.Err == nil {
		return fmt.Sprintf("%s: %s", e.Op, e.Kind)
	}
	return fmt.Sprintf("%s: %s: %v", e.Op, e.Kind, e.Err)
}

// Unwrap returns the cause.
func (e *OpError[K]) Unwrap() error { return e.Err }

// Is reports whether target is an OpError of the same kind; an empty operation
// in target matches each operation.
func (e *OpError[K]) Is(target error) bool {
	t, ok := target.(*OpError[K])
	if !ok {
		return false
	}
	return t.Kind == e.Kind && (t.Op == "" || t.Op == e.Op)
}

// WrapIf adds a message to an error and keeps nil as it is.
func WrapIf(err error, message string) error {
	if err == nil {
		return nil
	}
	return errors.Wrap(err, message)
}
