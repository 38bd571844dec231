package ctrl

import "time"

// stamper gives the ledger's time: it goes on from the newest time in the
// ledger at the speed of the leader's monotonic clock, so that a jump of a wall
// clock neither ends reservations early nor keeps them.
type stamper struct {
	term    uint64
	startMS int64
	started time.Time
}

// next returns the time for a command proposed in the given term.
func (s *stamper) next(term uint64, ledgerMS int64) int64 {
	if s.term != term || s.started.IsZero() {
		s.term = term
		s.started = time.Now()
		s.startMS = ledgerMS
		if s.startMS == 0 {
			s.startMS = s.started.UnixMilli()
		}
	}
	return s.startMS + time.Since(s.started).Milliseconds()
}
