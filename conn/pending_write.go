package conn

import (
	"sync"
	"time"

	"github.com/go-faster/errors"
)

// resetTimeout bounds the wait for the reset of a connection that the other side may have closed
// while a request is being written to it. A closed connection is reset as soon as more of the
// request arrives; a half-closed one isn't.
const resetTimeout = 500 * time.Millisecond

// errRequestCutOff is returned if a connection ended before the other side took the whole request.
var errRequestCutOff = errors.New("connection ended while the request was being written")

// pendingWrite is the write of a request to a connection that is read at the same time. A nil
// pendingWrite has succeeded.
type pendingWrite struct {
	// ended is closed when the write has ended; err is set before.
	ended chan struct{}
	err   error
	once  sync.Once
	// abandoned is set once the reader no longer waits for the end of the write.
	abandoned bool
}

func newPendingWrite() *pendingWrite { return &pendingWrite{ended: make(chan struct{})} }

// end sets the result of the write. Further calls have no effect.
func (w *pendingWrite) end(err error) {
	w.once.Do(func() {
		w.err = err
		close(w.ended)
	})
}

func (w *pendingWrite) hasEnded() bool {
	select {
	case <-w.ended:
		return true
	default:
		return false
	}
}

func (w *pendingWrite) hasSucceeded() bool { return w == nil || w.hasEnded() && w.err == nil }

// checkEnd is called when a read has returned EOF. It returns an error if the connection was reset
// or closed, and not just half-closed. The kernel reports a reset once: if the write gets it, the
// next read returns EOF.
func (w *pendingWrite) checkEnd() error {
	if w == nil || !w.wait() || w.err == nil {
		return nil
	}
	return errors.Join(errRequestCutOff, w.err)
}

// wait waits for the end of the write, once. It returns false if the write goes on, which means that
// the other side still has the connection open.
func (w *pendingWrite) wait() bool {
	if w.abandoned {
		return false
	}
	timer := time.NewTimer(resetTimeout)
	defer timer.Stop()
	select {
	case <-w.ended:
	case <-timer.C:
		w.abandoned = !w.hasEnded()
	}
	return !w.abandoned
}
