package ledger

import (
	"cmp"
	"slices"
	"time"

	"buckthornpin"
	"buckthornpin/wire"
)

// endEarlierProcesses stops counting a router's earlier processes when the total is
// divided, and takes back what they are known not to have used. They had ended when the
// clock of the given boot of their VM showed a reading. It returns what became of the shares
// that held tokens.
func (a *allowance) endEarlierProcesses(router string, boot uint64, readingNS int64) []*wire.EndedShare {
	var out []*wire.EndedShare
	for _, s := range a.shares {
		if s.GetRouter() != router || s.GetEnded() {
			continue
		}
		held := s.GetBalance()
		s.Rate, s.AtMs, s.Balance = 0, 0, 0
		reason := endReason(s, boot, readingNS)
		takenBack := int64(0)
		if reason == wire.EndReason_END_REASON_LIMITED {
			takenBack = a.takeBack(s, readingNS)
		}
		if held > 0 {
			out = append(out, &wire.EndedShare{Incarnation: s.GetIncarnation(), Held: held, TakenBack: takenBack, Reason: reason})
		}
	}
	slices.SortFunc(out, func(a, b *wire.EndedShare) int { return cmp.Compare(a.GetIncarnation(), b.GetIncarnation()) })
	return out
}

// endReason returns how far the use of a share is known whose process had ended at a reading.
func endReason(s *wire.ShareState, boot uint64, readingNS int64) wire.EndReason {
	l := s.GetLimit()
	switch {
	case boot == 0 || boot != s.GetBoot():
		return wire.EndReason_END_REASON_OTHER_BOOT
	case l.GetUntilNs() == 0:
		return wire.EndReason_END_REASON_UNLIMITED
	case readingNS <= l.GetFromNs() || readingNS >= l.GetUntilNs():
		return wire.EndReason_END_REASON_LIMIT_ENDED
	default:
		return wire.EndReason_END_REASON_LIMITED
	}
}

// takeBack returns the unused part of the share of an ended process to the budget. The
// process's last limit had begun and still held at the reading, so that it used no more
// tokens than that. What it received and returned after its last report isn't known, so that
// too few tokens are taken back rather than too many.
func (a *allowance) takeBack(s *wire.ShareState, readingNS int64) int64 {
	l := s.GetLimit()
	s.Ended = true
	used := AllowedUse(l.GetTokens(), l.GetTokensPerSecond(), time.Duration(readingNS-l.GetFromNs()))
	unused := max(s.GetGranted()+s.GetReceived()-s.GetReturned()-used, 0)
	s.Returned += unused
	a.outstanding -= unused
	return unused
}

// maxLimitTime bounds the time for which a limit rises.
const maxLimitTime = time.Hour

// AllowedUse returns the number of tokens that a limit allows a process to have used when
// a time has elapsed since the limit began.
func AllowedUse(tokens, tokensPerSecond int64, elapsed time.Duration) int64 {
	ms := min(max(elapsed, 0), maxLimitTime).Milliseconds()
	perSecond := min(max(tokensPerSecond, 0), buckthornpin.MaxTokens)
	return tokens + perSecond/1000*ms + perSecond%1000*ms/1000
}
