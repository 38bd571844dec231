package relay

import (
	"io"
	"sync/atomic"

	"github.com/go-faster/errors"
)

const (
	// maxPlainBytes is the maximum size of an answer that isn't a stream.
	maxPlainBytes = 16 << 20
	// maxBufferedBytes bounds the memory of all answers that are read before they are
	// forwarded.
	maxBufferedBytes = 2 * maxPlainBytes
	// firstBufferBytes is the first size of a buffer; it doubles as it fills up.
	firstBufferBytes = 4 << 10
)

var (
	errAnswerTooLong = errors.New("answer is too long")
	errBuffersFull   = errors.New("too many long answers at once")
)

// buffers counts the memory of answers that are read before they are forwarded. Its zero
// value is ready to use.
type buffers struct {
	used atomic.Int64
}

// take reports whether n more bytes may be used, and counts them if so.
func (b *buffers) take(n int64) bool {
	if b.used.Add(n) <= maxBufferedBytes {
		return true
	}
	b.used.Add(-n)
	return false
}

// buffered is the memory of one answer.
type buffered struct {
	all  *buffers
	size int64
}

// readAll reads an answer to its end.
func (b *buffered) readAll(r io.Reader) ([]byte, error) {
	var data []byte
	for {
		if len(data) == cap(data) {
			if len(data) > maxPlainBytes {
				return nil, errAnswerTooLong
			}
			next := min(max(2*cap(data), firstBufferBytes), maxPlainBytes+1)
			if !b.all.take(int64(next) - b.size) {
				return nil, errBuffersFull
			}
			b.size = int64(next)
			data = append(make([]byte, 0, next), data...)
		}
		n, err := r.Read(data[len(data):cap(data)])
		data = data[:len(data)+n]
		switch {
		case len(data) > maxPlainBytes:
			return nil, errAnswerTooLong
		case err == io.EOF:
			return data, nil
		case err != nil:
			return nil, err
		}
	}
}

// release gives the memory back.
func (b *buffered) release() {
	b.all.used.Add(-b.size)
	b.size = 0
}
