// Package stream buffers the frames of answers while endpoints send them, so that
// one or more readers can read an answer from any offset.
package stream

import (
	"context"
	"sync"
	"time"

	"github.com/go-faster/errors"
)

// ErrTick is returned by Reader.NextOrTick if the tick comes before a frame.
var ErrTick = errors.New("no frame came before the tick")

// blockBytes is the size of the memory blocks into which small frames are copied.
const blockBytes = 1 << 10

// Frame is one event of an answer in the form that is sent to callers.
type Frame struct {
	// EndOffset is the number of output tokens up to and including this frame.
	EndOffset int
	Data      []byte
}

// Answer is an answer that is being received. It is safe for concurrent use. Its
// exported fields must be set before first use.
type Answer struct {
	// RetainFrames keeps all frames after they have been read, so that later readers
	// can start at any offset. Without it, each frame is returned to one reader only.
	RetainFrames bool
	// OnAbandoned is called when the last reader is closed before the answer has
	// ended. It may be nil.
	OnAbandoned func()

	mu     sync.Mutex
	frames []Frame
	// dropped is the number of frames that were removed before frames[0].
	dropped int
	// block is the memory block into which the next small frame is copied.
	block []byte
	// bytes is the size of all appended frames.
	bytes   int
	ended   bool
	err     error
	readers map[*Reader]bool
}

// Append adds a frame that ends at endOffset, counted in output tokens from the
// start of the answer. It copies data.
func (a *Answer) Append(endOffset int, data []byte) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.frames = append(a.frames, Frame{EndOffset: endOffset, Data: a.copyData(data)})
	a.bytes += len(data)
	a.wakeAll()
}

// copyData copies the data of a frame. Small frames share blocks of memory.
func (a *Answer) copyData(data []byte) []byte {
	if len(data) > blockBytes/4 {
		return append([]byte(nil), data...)
	}
	if cap(a.block)-len(a.block) < len(data) {
		a.block = make([]byte, 0, blockBytes)
	}
	start := len(a.block)
	a.block = append(a.block, data...)
	return a.block[start:len(a.block):len(a.block)]
}

// End ends the answer: it is complete if err is nil, and broken off otherwise.
// Further calls have no effect.
func (a *Answer) End(err error) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.ended {
		return
	}
	a.ended, a.err = true, err
	a.wakeAll()
}

// Bytes returns the total size of the appended frames.
func (a *Answer) Bytes() int {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.bytes
}

// Err reports whether the answer has ended, and the error with which it was broken
// off; err is nil for a complete answer.
func (a *Answer) Err() (ended bool, err error) {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.ended, a.err
}

// NewReader returns a reader that starts after offset output tokens. The reader
// must be closed.
func (a *Answer) NewReader(offset int) *Reader {
	r := &Reader{answer: a, offset: offset, wake: make(chan struct{}, 1)}
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.readers == nil {
		a.readers = map[*Reader]bool{}
	}
	a.readers[r] = true
	return r
}

// ReaderCount returns the number of open readers.
func (a *Answer) ReaderCount() int {
	a.mu.Lock()
	defer a.mu.Unlock()
	return len(a.readers)
}

// wakeAll wakes all readers that wait for a frame. The caller holds mu.
func (a *Answer) wakeAll() {
	for r := range a.readers {
		select {
		case r.wake <- struct{}{}:
		default:
		}
	}
}

// Reader reads an answer for one caller.
type Reader struct {
	answer *Answer
	// offset is the number of output tokens to skip.
	offset int
	// next is the index of the next frame, counted from the start of the answer.
	next int
	wake chan struct{}
}

// Next waits for more frames and returns them. Once all frames have been returned,
// whole is true if the answer is complete, and err is set if it was broken off.
func (r *Reader) Next(ctx context.Context) (frames []Frame, whole bool, err error) {
	return r.NextOrTick(ctx, nil)
}

// NextOrTick is like Next, but returns ErrTick if tick fires first.
func (r *Reader) NextOrTick(ctx context.Context, tick <-chan time.Time) (frames []Frame, whole bool, err error) {
	for {
		frames, ended, err := r.take()
		if len(frames) > 0 {
			return frames, false, nil
		}
		if ended {
			return nil, err == nil, err
		}
		select {
		case <-r.wake:
		case <-tick:
			return nil, false, ErrTick
		case <-ctx.Done():
			return nil, false, ctx.Err()
		}
	}
}

// ReadAll waits until the answer has ended and returns all its frames. whole is true
// if the answer is complete; otherwise err is set.
func (r *Reader) ReadAll(ctx context.Context) (all []Frame, whole bool, err error) {
	for {
		frames, whole, err := r.Next(ctx)
		if err != nil || whole {
			return all, whole, err
		}
		all = append(all, frames...)
	}
}

// take returns the available frames without waiting.
func (r *Reader) take() (frames []Frame, ended bool, err error) {
	a := r.answer
	a.mu.Lock()
	defer a.mu.Unlock()
	frames = a.frames[max(r.next-a.dropped, 0):]
	r.next = a.dropped + len(a.frames)
	for len(frames) > 0 && r.offset > 0 && frames[0].EndOffset <= r.offset {
		frames = frames[1:]
	}
	if !a.RetainFrames {
		a.dropped += len(a.frames)
		a.frames = nil
	}
	return frames, a.ended, a.err
}

// Close removes the reader from its answer.
func (r *Reader) Close() {
	a := r.answer
	a.mu.Lock()
	delete(a.readers, r)
	abandoned := len(a.readers) == 0 && !a.ended && a.OnAbandoned != nil
	a.mu.Unlock()
	if abandoned {
		a.OnAbandoned()
	}
}
