package budget

import (
	"math"
	"slices"
	"time"

	"buckthornpin/clock"
	"buckthornpin/ledger"
	"buckthornpin/wire"
)

// A router process tells control with each report how many tokens it will have used at
// most until its VM's boot clock reaches a reading, and keeps to that. If the process
// ends, the next one on the VM reads the clock when it starts. A reading before the end
// of the limit proves that the earlier process never went beyond it, so that control takes
// the rest of its share back. Only the order of readings of one clock counts, not its rate.

const (
	// maxUnanswered is how long control may leave reports unanswered before a router stops
	// setting itself new limits. The last ones then end, and the router may use its whole
	// share.
	maxUnanswered = ReportInterval
	// limitReserve is the time for which a limit exceeds the demand that is expected until
	// the next report.
	limitReserve = ReportInterval / 2
	// maxLimitingRouters is the number of other routers from which on shares that are no larger
	// than the largest request aren't limited.
	maxLimitingRouters = 16
	// maxLimitAgeDivisor divides the time for which a limit holds into the age at which it is
	// replaced although the share isn't used.
	maxLimitAgeDivisor = 3
)

// useLimit bounds the tokens of a share that may have been used, from one time to another.
// The bound rises evenly. What other routers hand over later may be used besides, because
// control knows nothing of it when it takes back the rest of the share.
type useLimit struct {
	sequence, tokens, tokensPerSecond int64
	// received is the number of tokens received from other routers when the limit was set.
	received int64
	// until is zero if the use isn't limited.
	from, until time.Time
}

// state returns the limit as it is reported to control, with readings of the boot clock.
func (l *useLimit) state(b clock.Boot) *wire.UseLimit {
	if l.until.IsZero() {
		return &wire.UseLimit{Sequence: l.sequence}
	}
	return &wire.UseLimit{
		Sequence: l.sequence, Tokens: l.tokens, TokensPerSecond: l.tokensPerSecond, FromNs: b.ReadingAt(l.from), UntilNs: b.ReadingAt(l.until),
	}
}

// limitRoom returns how many tokens beyond those used a limit allows.
func (s *share) limitRoom(l *useLimit, now time.Time) int64 {
	if !now.Before(l.until) {
		return math.MaxInt64
	}
	return ledger.AllowedUse(l.tokens, l.tokensPerSecond, now.Sub(l.from)) + s.receivedTotal - l.received - s.used()
}

// reportedReceived returns the tokens received from other routers as control may know them:
// as of the newest limit, which allows the use of those received later.
func (s *share) reportedReceived() int64 {
	if len(s.limits) == 0 {
		return s.receivedTotal
	}
	return s.limits[len(s.limits)-1].received
}

// used returns the number of tokens that the share has used or may still use for
// requests in progress, including those given to other routers.
func (s *share) used() int64 { return s.spent + s.reserved + s.donatedTotal }

// available returns the number of tokens that can be used now.
func (s *share) available(now time.Time) int64 {
	tokens := s.balance()
	for _, l := range s.limits {
		tokens = min(tokens, s.limitRoom(l, now))
	}
	return max(tokens, 0)
}

// limitedFor returns for how long a limit keeps a part of the balance from being used.
func (s *share) limitedFor(now time.Time) time.Duration {
	d := time.Duration(0)
	for _, l := range s.limits {
		if s.limitRoom(l, now) < s.balance() {
			d = max(d, l.until.Sub(now))
		}
	}
	return d
}

// nextLimit returns the limit to send with a report, or nil if there is none to set or end,
// or if the VM's boot isn't known. A limit binds from the moment it is sent, because its
// report may be applied even if no answer arrives.
func (m *ShareManager) nextLimit(s *share, now time.Time) *wire.UseLimit {
	if m.boot.ID == 0 {
		return nil
	}
	s.dropEndedLimits(now)
	unanswered := !m.unansweredSince.IsZero() && now.Sub(m.unansweredSince) > maxUnanswered
	if !unanswered || m.closing {
		s.addLimit(m.newLimit(s, now))
	}
	if len(s.limits) == 0 {
		return nil
	}
	return s.limits[len(s.limits)-1].state(m.boot)
}

// limitIsOld reports whether the newest limit of a share should be replaced, so that it still
// holds for most of LimitTime whenever the process is killed.
func (m *ShareManager) limitIsOld(s *share, now time.Time) bool {
	if len(s.limits) == 0 {
		return false
	}
	newest := s.limits[len(s.limits)-1]
	return !newest.until.IsZero() && now.Sub(newest.from) >= m.LimitTime/maxLimitAgeDivisor
}

// newLimit returns a limit that allows the demand until control's next answer. What it
// allows beyond that is lost if the process is killed, so that a large request has to wait
// for a report. A share that is handed over isn't limited, nor one of an organisation that
// has sent no request to any router, nor, in a large fleet, one too small for a request of the
// largest size.
func (m *ShareManager) newLimit(s *share, now time.Time) *useLimit {
	largest := max(s.largestBound, s.account.largestBound)
	if m.closing || largest == 0 || s.inLargeFleet() && s.balance() <= largest {
		return &useLimit{}
	}
	// Other routers may borrow the whole share within the horizon.
	rate := max(s.rate.perSecond(now), float64(s.balance())/m.Horizon.Seconds())
	room := s.waiting + int64(rate*limitReserve.Seconds())
	return &useLimit{tokens: s.used() + room, tokensPerSecond: int64(rate), from: now, until: now.Add(m.LimitTime)}
}

// inLargeFleet reports whether so many routers divide a total that nearly each request would
// exceed the limit on a small share.
func (s *share) inLargeFleet() bool { return len(s.peers) >= maxLimitingRouters }

// addLimit adds a limit, unless the use of the share isn't limited already and stays so.
func (s *share) addLimit(l *useLimit) {
	if l.until.IsZero() && len(s.limits) == 0 {
		return
	}
	s.limitSequence++
	l.sequence, l.received = s.limitSequence, s.receivedTotal
	s.limits = append(s.limits, l)
}

// dropEndedLimits drops the limits that have ended, except for the newest one, which is
// sent again until control answers.
func (s *share) dropEndedLimits(now time.Time) {
	s.limits = slices.DeleteFunc(s.limits, func(l *useLimit) bool { return l.sequence < s.limitSequence && !now.Before(l.until) })
}

// confirmLimit drops the limits before the one that control has confirmed, and that one too
// if it only ended them.
func (s *share) confirmLimit(sequence int64) {
	s.limits = slices.DeleteFunc(s.limits, func(l *useLimit) bool {
		return l.sequence < sequence || l.sequence == sequence && l.until.IsZero()
	})
}
