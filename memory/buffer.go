package memory

import (
	"container/list"
	"io"
	"net"
	"time"

	"github.com/go-faster/errors"
)

// Buffer is the content of a body or an answer. It has one holder, who may lend it to others. Its
// room is given back when the holder has released it and all loans have ended. A nil buffer is
// empty.
type Buffer struct {
	account *Account
	use     Use
	owner   string
	// stated is the length that was stated in advance, -1 if none was. limit is the largest
	// length that the content may have. Both are in bytes.
	stated, limit int64
	began         time.Time
	// pieces are the content. They don't change once it has been read.
	pieces [][]byte
	length int64
	// backed is the size of the pieces.
	backed int64

	// The following fields are guarded by the account's mutex.

	// size is the room that is taken; large tells whether it counts as a large body's.
	size  int64
	large bool
	// released is set when the holder has released the buffer, or its content was dropped.
	released bool
	loans    int
	// mayDrop is set while the holder can do without the content. spare is the buffer's place
	// among the spares; nil if it isn't one.
	mayDrop bool
	spare   *list.Element
}

// NewBody returns a buffer for the body of a request, or ErrFull. length is the stated length in
// bytes, or -1. The room for a stated length is taken at once, so that a body that has begun to
// arrive isn't refused for want of room. A body without one takes room as it arrives.
func (a *Account) NewBody(owner string, length, limit int64) (*Buffer, error) {
	b := a.newBuffer(UseBody, limit)
	b.owner, b.stated = owner, length
	if length > 0 && !b.ensure(roomFor(length), length > SmallBytes) {
		return nil, &Error{Op: "take", Kind: KindFull}
	}
	return b, nil
}

// NewAnswer returns a buffer for an answer of at most limit bytes.
func (a *Account) NewAnswer(limit int64) *Buffer { return a.newBuffer(UseAnswer, limit) }

func (a *Account) newBuffer(u Use, limit int64) *Buffer {
	if a == nil {
		a = &Account{}
	}
	return &Buffer{account: a, use: u, stated: -1, limit: limit, began: time.Now()}
}

// ReadFrom reads the content to its end. It implements io.ReaderFrom. Errors are ErrFull,
// ErrTooLong and those of r.
func (b *Buffer) ReadFrom(r io.Reader) (int64, error) {
	start := b.length
	for {
		to, err := b.free()
		if err != nil {
			return b.length - start, err
		}
		n, err := r.Read(to)
		b.extend(n)
		switch {
		case b.length > b.limit:
			return b.length - start, &Error{Op: "read", Kind: KindTooLong}
		case errors.Is(err, io.EOF):
			b.trim()
			return b.length - start, nil
		case err != nil:
			return b.length - start, err
		}
	}
}

// free returns memory into which the content can be read. Behind the stated length that is a
// byte of which no content may come.
func (b *Buffer) free() ([]byte, error) {
	if b.length == b.stated {
		b.limit = min(b.limit, b.length)
		return make([]byte, 1), nil
	}
	if n := len(b.pieces); n > 0 && len(b.pieces[n-1]) < cap(b.pieces[n-1]) {
		return freePart(b.pieces[n-1]), nil
	}
	index := sizeIndex(b.length + 1)
	if b.stated > 0 {
		index = sizeIndex(b.stated - b.length)
	}
	next := b.backed + int64(pieceSizes[index])
	if !b.ensure(next, next > SmallBytes) {
		return nil, &Error{Op: "take", Kind: KindFull}
	}
	b.pieces = append(b.pieces, newPiece(index))
	b.backed = next
	return freePart(b.pieces[len(b.pieces)-1]), nil
}

func freePart(p []byte) []byte { return p[len(p):cap(p)] }

// extend adds n bytes that were read into the memory that free returned.
func (b *Buffer) extend(n int) {
	if b.length != b.stated && n > 0 {
		last := &b.pieces[len(b.pieces)-1]
		*last = (*last)[:len(*last)+n]
	}
	b.length += int64(n)
}

// ensure takes the room that the buffer lacks of the given size. A body that turns out to be
// large takes room in steps that double, so that it is refused early if it is.
func (b *Buffer) ensure(size int64, large bool) bool {
	a := b.account
	a.mu.Lock()
	defer a.mu.Unlock()
	if size <= b.size {
		return true
	}
	large = large && b.use == UseBody
	if large && b.stated < 0 {
		size = max(size, min(2*b.size, roomFor(b.limit)))
	}
	if !b.resize(size, large) {
		return false
	}
	b.size, b.large = size, large
	return true
}

// resize takes the room between the buffer's size and a larger one. What a small body has moves to
// the part of large ones when it becomes large. The caller holds the account's mutex.
func (b *Buffer) resize(size int64, large bool) bool {
	a := b.account
	if large == b.large {
		r := b.room(size - b.size)
		r.own = b.size
		return a.take(r)
	}
	a.add(b.room(-b.size))
	if !a.take(request{use: b.use, bytes: size, large: true, owner: b.owner}) {
		a.add(b.room(b.size))
		return false
	}
	return true
}

// room describes a part of the buffer's room.
func (b *Buffer) room(bytes int64) request {
	return request{use: b.use, bytes: bytes, large: b.large, owner: b.owner}
}

// trim gives back the room that no piece needs.
func (b *Buffer) trim() {
	b.account.mu.Lock()
	defer b.account.mu.Unlock()
	b.account.add(b.room(b.backed - b.size))
	b.size = b.backed
}

// Len returns the length of the content in bytes.
func (b *Buffer) Len() int64 {
	if b == nil {
		return 0
	}
	return b.length
}

// Pieces returns the content. It must not be changed, nor used after the release.
func (b *Buffer) Pieces() [][]byte {
	if b == nil {
		return nil
	}
	return b.pieces
}

// Lend returns the content for one use, and the function that ends the loan.
func (b *Buffer) Lend() (content net.Buffers, end func()) {
	if b == nil {
		return nil, func() {}
	}
	b.account.mu.Lock()
	defer b.account.mu.Unlock()
	b.loans++
	return append(net.Buffers(nil), b.pieces...), b.endLoan
}

func (b *Buffer) endLoan() {
	b.account.mu.Lock()
	defer b.account.mu.Unlock()
	b.loans--
	b.update()
}

// Release ends the holder's use of the buffer. Further calls have no effect.
func (b *Buffer) Release() {
	if b == nil {
		return
	}
	b.account.mu.Lock()
	defer b.account.mu.Unlock()
	b.released = true
	b.update()
}

// update gives the room back if nobody needs it, and makes the buffer a spare, or not, as its
// holder has allowed. The caller holds the account's mutex.
func (b *Buffer) update() {
	isSpare := b.mayDrop && !b.released && b.loans == 0
	switch {
	case isSpare && b.spare == nil:
		b.account.addSpare(b)
	case !isSpare && b.spare != nil:
		b.account.removeSpare(b)
	}
	if !b.released || b.loans > 0 || b.size == 0 {
		return
	}
	if b.large {
		b.account.recordHold(time.Since(b.began))
	}
	b.account.add(b.room(-b.size))
	recycle(b.pieces)
	b.pieces, b.size, b.backed = nil, 0, 0
}
