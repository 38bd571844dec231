// Package event records the timeline: a hybrid logical clock, a ring buffer of the
// events of a process, and the merge of several processes' events.
package event

import (
	"sync"
	"time"

	"buckthornpin"
)

// counterBits is the width of the counter in a stamp.
const counterBits = 16

// maxClockSkew is how far a stamp from another process may be ahead of the wall
// clock.
const maxClockSkew = time.Minute

// Clock is a hybrid logical clock. Its zero value is ready for use.
type Clock struct {
	// Now returns the wall-clock time; nil means time.Now.
	Now func() time.Time

	mu   sync.Mutex
	last buckthornpin.Stamp
}

// Next returns a stamp that is later than all that the clock has issued or
// accepted from other processes.
func (c *Clock) Next() buckthornpin.Stamp {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.last = max(c.last+1, c.wallStamp())
	return c.last
}

// Observe advances the clock to a stamp that was received with a message. A stamp
// more than maxClockSkew ahead of the wall clock is ignored, so that one process
// with a wrong clock can't disturb the clocks of all others.
func (c *Clock) Observe(s buckthornpin.Stamp) {
	c.mu.Lock()
	defer c.mu.Unlock()
	limit := c.wallStamp() + buckthornpin.Stamp(maxClockSkew.Milliseconds())<<counterBits
	if s <= limit {
		c.last = max(c.last, s)
	}
}

// wallStamp returns the wall-clock time as a stamp whose counter is 0.
func (c *Clock) wallStamp() buckthornpin.Stamp {
	now := time.Now
	if c.Now != nil {
		now = c.Now
	}
	return buckthornpin.Stamp(now().UnixMilli()) << counterBits
}
