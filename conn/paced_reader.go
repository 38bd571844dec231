package conn

import (
	"io"
	"time"
)

// PacedReader reads the body of a request that has to arrive by a deadline and at a pace. Its
// exported fields are set before use.
type PacedReader struct {
	io.Reader
	// SetDeadline sets the deadline of the connection's reads.
	SetDeadline func(t time.Time) error
	// Deadline is when the whole body has to be there; zero if there is no deadline.
	Deadline time.Time
	// Bytes have to arrive in each Interval. An Interval of 0 demands no pace.
	Bytes    int64
	Interval time.Duration

	begun bool
	// left is the number of bytes that are due at the end of the current interval.
	left int64
}

// Read implements io.Reader.
func (r *PacedReader) Read(p []byte) (int, error) {
	if !r.begun || r.Interval > 0 && r.left <= 0 {
		r.begun, r.left = true, r.Bytes
		if err := r.SetDeadline(r.nextDeadline(time.Now())); err != nil {
			return 0, err
		}
	}
	n, err := r.Reader.Read(p)
	r.left -= int64(n)
	return n, err
}

func (r *PacedReader) nextDeadline(now time.Time) time.Time {
	due := now.Add(r.Interval)
	if r.Interval == 0 || !r.Deadline.IsZero() && r.Deadline.Before(due) {
		return r.Deadline
	}
	return due
}
