package budget

import (
	"math"
	"slices"
	"time"

	"buckthornpin/ledger"
	"buckthornpin/wire"
)

// A router process tells control with each report how many tokens it will have used at
// most until its VM's boot clock reaches a reading, and keeps to that. If the process
// ends, the next one on the VM reads the clock when it starts. A reading before the end
// of the limit proves that the earlier process never went beyond it, so that control takes
// the rest of its share back. Only the order of readings of one clock counts, not its rate.

// maxUnanswered is how long control may leave reports unanswered before a router stops
// setting itself new limits. The last ones then end, and the router may use its whole
// share.
const maxUnanswered = ReportInterval

// limitReserve is the time for which a limit exceeds the demand that is expected until the
// next report.
const limitReserve = 2 * ReportInterval

// BootClock is the boot clock of the process's VM.
type BootClock struct {
	// Boot identifies the boot of the VM. If it is 0, no limits are set.
	Boot uint64
	// ReadingNS returns the reading of the clock in nanoseconds.
	ReadingNS func() int64
}

// reading returns the reading of the clock, or 0 if there is no clock.
func (c BootClock) reading() int64 {
	if c.Boot == 0 {
		return 0
	}
	return c.ReadingNS()
}

// used returns the number of tokens that the share has used or may still use for
// requests in progress, including those given to other routers.
func (s *share) used() int64 { return s.spent + s.reserved + s.donatedTotal }

// available returns the number of tokens that can be used at a reading of the clock.
func (s *share) available(readingNS int64) int64 {
	room := int64(math.MaxInt64)
	for _, l := range s.limits {
		if readingNS < l.GetUntilNs() {
			room = min(room, ledger.LimitAt(l, readingNS)-s.used())
		}
	}
	return max(min(s.balance(), room), 0)
}

// nextLimit returns the limit to send with a report. A limit binds from the moment it is
// sent, because its report may be applied even if no answer arrives.
func (m *ShareManager) nextLimit(s *share, now time.Time) *wire.UseLimit {
	if m.Clock.Boot == 0 {
		return nil
	}
	reading := m.Clock.ReadingNS()
	s.dropEndedLimits(reading)
	if m.closing {
		return s.addLimit(&wire.UseLimit{})
	}
	if !m.unansweredSince.IsZero() && now.Sub(m.unansweredSince) > maxUnanswered {
		return s.lastLimit()
	}
	// Other routers may borrow the whole share within the horizon, and at once where no
	// request of the organisation has arrived.
	rate := max(s.rate.perSecond(now), float64(s.balance())/m.Horizon.Seconds())
	request := s.largestBound
	if request == 0 {
		request = s.balance()
	}
	return s.addLimit(&wire.UseLimit{
		Tokens: s.used() + s.waiting + request + int64(rate*limitReserve.Seconds()), TokensPerSecond: int64(rate),
		FromNs: reading, UntilNs: reading + m.LimitTime.Nanoseconds(),
	})
}

func (s *share) addLimit(l *wire.UseLimit) *wire.UseLimit {
	s.limitSequence++
	l.Sequence = s.limitSequence
	s.limits = append(s.limits, l)
	return l
}

// dropEndedLimits drops the limits that have ended, except for the newest one, which is
// sent again until control answers.
func (s *share) dropEndedLimits(readingNS int64) {
	newest := s.lastLimit()
	s.limits = slices.DeleteFunc(s.limits, func(l *wire.UseLimit) bool { return l != newest && l.GetUntilNs() <= readingNS })
}

// limitedFor returns for how long a limit keeps a part of the balance from being used.
func (s *share) limitedFor(readingNS int64) time.Duration {
	d := time.Duration(0)
	for _, l := range s.limits {
		if ledger.LimitAt(l, readingNS)-s.used() < s.balance() {
			d = max(d, time.Duration(l.GetUntilNs()-readingNS))
		}
	}
	return d
}

// lastLimit returns the newest limit, or nil.
func (s *share) lastLimit() *wire.UseLimit {
	if len(s.limits) == 0 {
		return nil
	}
	return s.limits[len(s.limits)-1]
}

// confirmLimit drops the limits before the one that control has confirmed.
func (s *share) confirmLimit(l *wire.UseLimit) {
	for len(s.limits) > 0 && s.limits[0].GetSequence() < l.GetSequence() {
		s.limits = s.limits[1:]
	}
}
