// Package event keeps the time line: a hybrid logical clock, a bounded ring of
// events, and the merge over processes.
package event

import (
	"sync"
	"time"

	"buckthornpin"
)

// counterBits is the width of a stamp's counter.
const counterBits = 16

// maxAhead bounds how far a stamp from another process may move the clock.
const maxAhead = time.Minute

// Clock is a hybrid logical clock. Its zero value is ready for use.
type Clock struct {
	// Now returns the wall clock; time.Now if nil.
	Now func() time.Time

	mu   sync.Mutex
	last buckthornpin.Stamp
}

// Next returns a stamp after all that the clock has given and seen.
func (c *Clock) Next() buckthornpin.Stamp {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.last = max(c.last+1, c.wall())
	return c.last
}

// Observe takes a stamp that came with a message. Stamps that lie far in the
// future are ignored, so that one bad clock can't spoil all others.
func (c *Clock) Observe(s buckthornpin.Stamp) {
	c.mu.Lock()
	defer c.mu.Unlock()
	limit := c.wall() + buckthornpin.Stamp(maxAhead.Milliseconds())<<counterBits
	if s <= limit {
		c.last = max(c.last, s)
	}
}

func (c *Clock) wall() buckthornpin.Stamp {
	now := time.Now
	if c.Now != nil {
		now = c.Now
	}
	return buckthornpin.Stamp(now().UnixMilli()) << counterBits
}
