package ctrl

import "time"

// ledgerClock provides the ledger's time. In each term it continues from the newest time
// in the ledger at the pace of the leader's monotonic clock, so that a jump of a wall
// clock ends reservations neither early nor late. An empty ledger starts at the wall
// clock's time.
type ledgerClock struct {
	term    uint64
	baseMS  int64
	started time.Time
}

// next returns the time, in milliseconds, for commands proposed in the given term.
func (c *ledgerClock) next(term uint64, ledgerMS int64) int64 {
	if c.term != term || c.started.IsZero() {
		c.term = term
		c.started = time.Now()
		c.baseMS = ledgerMS
		if c.baseMS == 0 {
			c.baseMS = c.started.UnixMilli()
		}
	}
	return c.baseMS + time.Since(c.started).Milliseconds()
}
