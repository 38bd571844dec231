// Package stream holds answers on their way: the frames that endpoints sent, to
// be read by one or more callers from any offset.
package stream

import (
	"context"
	"sync"
	"time"

	"github.com/go-faster/errors"
)

// ErrTick says that a reader was woken by its ticker.
var ErrTick = errors.New("no frame came before the tick")

// slabBytes is the size of the blocks that frames are copied into.
const slabBytes = 1 << 10

// Frame is one event of an answer as a caller gets it.
type Frame struct {
	// To counts the output tokens up to and with this frame.
	To   int
	Data []byte
}

// Answer is an answer on its way. Its exported fields are set before first use.
type Answer struct {
	// Keep holds all frames, so that readers can start at any offset.
	Keep bool
	// Abandoned is called when the last reader leaves before the end.
	Abandoned func()

	mu      sync.Mutex
	frames  []Frame
	dropped int
	slab    []byte
	bytes   int
	ended   bool
	err     error
	readers map[*Reader]bool
}

// Append adds a frame; data is copied.
func (a *Answer) Append(to int, data []byte) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.frames = append(a.frames, Frame{To: to, Data: a.copied(data)})
	a.bytes += len(data)
	a.wakeAll()
}

func (a *Answer) copied(data []byte) []byte {
	if len(data) > slabBytes/4 {
		return append([]byte(nil), data...)
	}
	if cap(a.slab)-len(a.slab) < len(data) {
		a.slab = make([]byte, 0, slabBytes)
	}
	start := len(a.slab)
	a.slab = append(a.slab, data...)
	return a.slab[start:len(a.slab):len(a.slab)]
}

// End says that the answer is whole (err is nil) or that nothing more comes.
func (a *Answer) End(err error) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.ended {
		return
	}
	a.ended, a.err = true, err
	a.wakeAll()
}

// Bytes returns the size of the frames that were appended.
func (a *Answer) Bytes() int {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.bytes
}

// Err returns how the answer ended; ended is false while it is on its way.
func (a *Answer) Err() (ended bool, err error) {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.ended, a.err
}

// Read returns a reader that starts after offset output tokens.
func (a *Answer) Read(offset int) *Reader {
	r := &Reader{answer: a, offset: offset, wake: make(chan struct{}, 1)}
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.readers == nil {
		a.readers = map[*Reader]bool{}
	}
	a.readers[r] = true
	return r
}

// Readers counts the readers.
func (a *Answer) Readers() int {
	a.mu.Lock()
	defer a.mu.Unlock()
	return len(a.readers)
}

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
	offset int
	at     int
	wake   chan struct{}
}

// Next waits for more frames and returns them; whole is true once all frames of
// a whole answer have been returned.
func (r *Reader) Next(ctx context.Context) (frames []Frame, whole bool, err error) {
	return r.NextOrTick(ctx, nil)
}

// NextOrTick is Next, but returns ErrTick where tick comes first.
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

// NextWhole waits until the answer is whole and returns all its frames.
func (r *Reader) NextWhole(ctx context.Context) (all []Frame, whole bool, err error) {
	for {
		frames, whole, err := r.Next(ctx)
		if err != nil || whole {
			return all, whole, err
		}
		all = append(all, frames...)
	}
}

func (r *Reader) take() (frames []Frame, ended bool, err error) {
	a := r.answer
	a.mu.Lock()
	defer a.mu.Unlock()
	frames = a.frames[max(r.at-a.dropped, 0):]
	r.at = a.dropped + len(a.frames)
	for len(frames) > 0 && r.offset > 0 && frames[0].To <= r.offset {
		frames = frames[1:]
	}
	if !a.Keep {
		a.dropped += len(a.frames)
		a.frames = nil
	}
	return frames, a.ended, a.err
}

// Close ends the reading.
func (r *Reader) Close() {
	a := r.answer
	a.mu.Lock()
	delete(a.readers, r)
	abandoned := len(a.readers) == 0 && !a.ended && a.Abandoned != nil
	a.mu.Unlock()
	if abandoned {
		a.Abandoned()
	}
}
