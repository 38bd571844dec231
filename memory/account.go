// Package memory divides the memory of a process among what it holds for others: the bodies of
// requests, answers, events of streams and messages of other processes. Whoever holds something
// takes room from the process's Account before it reads, and gives it back when it is done.
package memory

import (
	"container/list"
	"sync"
	"time"
)

// SmallBytes is the size in bytes up to which a body counts as small. Most are.
const SmallBytes = 128 << 10

// The parts of the account that uses may take, as divisors of its size.
const (
	// smallDivisor sets the part that is kept for requests and their small bodies.
	smallDivisor = 4
	// answerDivisor, eventDivisor and callDivisor set the largest parts of their uses. Calls leave
	// room for the messages that they need.
	answerDivisor = 2
	eventDivisor  = 8
	callDivisor   = 4
	// spareDivisor sets the largest part of bodies that are kept in case a stream has to be
	// resumed.
	spareDivisor = 4
	// largeFreeFactor and smallFreeFactor bound what the requests of one owner take to a multiple
	// of what they leave free, so that there is room for other owners at any time.
	largeFreeFactor = 2
	smallFreeFactor = 4
)

// Account bounds the memory that a process holds for others. Its exported field is set before
// first use. It is safe for concurrent use. A nil account has no bound.
type Account struct {
	// Size is the bound in bytes; 0 is none.
	Size int64

	mu sync.Mutex
	// held is all room that is taken, used the part of each use.
	held int64
	used [useCount]int64
	// owned is the room that requests and their bodies take, owners that of each organisation.
	owned  ownedRoom
	owners map[string]*ownedRoom
	// spares are the buffers whose content may be dropped, oldest first.
	spares list.List
	// holdTime is the time for which large bodies were held lately.
	holdTime time.Duration
	// peak is the most room that was taken at a time.
	peak int64
	// refused and dropped count the takers that found no room and the spares that were dropped.
	refused, dropped int64
}

// ownedRoom is the room that requests and their bodies take.
type ownedRoom struct {
	// held is all of it, large the part of large bodies.
	held, large int64
	// spare and spareLarge are the parts of these that can be dropped.
	spare, spareLarge int64
}

// withoutSpares returns the room that is left if all spares are dropped.
func (r ownedRoom) withoutSpares() ownedRoom {
	return ownedRoom{held: r.held - r.spare, large: r.large - r.spareLarge}
}

// request is a demand for room.
type request struct {
	use   Use
	bytes int64
	// owner is the organisation of a request or body.
	owner string
	// large describes a body; own is the room that it has already.
	large bool
	own   int64
}

// take takes room, and drops spares for it where necessary. The caller holds mu.
func (a *Account) take(r request) bool {
	if !a.fits(r, true) {
		a.refused++
		return false
	}
	for !a.fits(r, false) {
		a.drop(a.spares.Front().Value.(*Buffer))
	}
	a.add(r)
	return true
}

// add books room that is taken, or given back if it is negative. The caller holds mu.
func (a *Account) add(r request) {
	a.held += r.bytes
	a.used[r.use] += r.bytes
	a.peak = max(a.peak, a.held)
	if !r.use.isOwned() || r.bytes == 0 {
		return
	}
	if a.owners == nil {
		a.owners = map[string]*ownedRoom{}
	}
	o := a.owners[r.owner]
	if o == nil {
		o = &ownedRoom{}
		a.owners[r.owner] = o
	}
	for _, room := range []*ownedRoom{&a.owned, o} {
		room.held += r.bytes
		if r.large {
			room.large += r.bytes
		}
	}
	if o.held == 0 {
		delete(a.owners, r.owner)
	}
}

// fits reports whether there is room for a request, as things are or if all spares were dropped.
// The caller holds mu.
func (a *Account) fits(r request, droppingSpares bool) bool {
	if a.Size == 0 || r.bytes <= 0 {
		return true
	}
	held, owned, owner := a.held, a.owned, ownedRoom{}
	if o := a.owners[r.owner]; o != nil {
		owner = *o
	}
	if droppingSpares {
		held, owned, owner = held-owned.spare, owned.withoutSpares(), owner.withoutSpares()
	}
	free := a.Size - held - r.bytes
	// sharedFree is what is left outside the part for requests and small bodies.
	sharedFree := a.Size - a.Size/smallDivisor - (held - owned.held + owned.large) - r.bytes
	switch {
	case free < 0:
		return false
	case r.use.isOwned() && !r.large:
		return owner.held == r.own || owner.held+r.bytes <= smallFreeFactor*free
	case sharedFree < 0:
		return false
	case r.use == UseBody:
		return owner.large == r.own || owner.large+r.bytes <= largeFreeFactor*sharedFree
	case r.use == UseCall && a.used[UseCall] == r.own:
		// A single call may take more, so that none is too large at any time.
		return true
	}
	return a.used[r.use]+r.bytes <= a.Size/largestPart[r.use]
}

// largestPart holds the largest part of each use without an owner, as a divisor of the size.
var largestPart = [useCount]int64{UseAnswer: answerDivisor, UseEvent: eventDivisor, UseMessage: 1, UseCall: callDivisor}

// holdTimeWeight is the weight of the latest value in the mean time that large bodies are held.
const holdTimeWeight = 0.125

// recordHold records how long a large body was held. The caller holds mu.
func (a *Account) recordHold(held time.Duration) {
	if a.holdTime == 0 {
		a.holdTime = held
		return
	}
	a.holdTime += time.Duration(holdTimeWeight * float64(held-a.holdTime))
}

const (
	// unknownWait is the answer of Wait before any large body has been given back.
	unknownWait = time.Second
	// minWait is the shortest answer of Wait.
	minWait = 50 * time.Millisecond
)

// Wait returns the time after which room of the given size is likely to be free: large bodies
// give back what they hold within the time for which they were held lately.
func (a *Account) Wait(bytes int64) time.Duration {
	if a == nil {
		return minWait
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.holdTime == 0 || a.owned.large == 0 {
		return unknownWait
	}
	share := min(float64(bytes)/float64(a.owned.large), 1)
	return max(time.Duration(share*float64(a.holdTime)), minWait)
}
