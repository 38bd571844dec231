package budget

import (
	"cmp"
	"math"
	"slices"
	"time"
)

// peerKey names a router process that tokens were exchanged with.
type peerKey struct {
	address     string
	incarnation int64
}

// share is a router process's part of one budget. It is kept as counts that only
// rise: what control has granted, what was given back, what came from and went
// to each other router, and what was spent. A message that comes twice, late or
// not at all changes nothing that the next one doesn't repair, and no token is
// ever held by two processes.
type share struct {
	granted  int64
	returned int64
	spent    int64
	// reserved are tokens held for requests under way.
	reserved int64
	in       map[peerKey]int64
	out      map[peerKey]int64
	inSum    int64
	outSum   int64
	rate     rate
	// largest is the largest bound of a request so far.
	largest int64
	// free is what control last said that no router holds.
	free int64
	// waiting are tokens that waiting requests lack.
	waiting int64
	// peers are the balances that other routers have told.
	peers map[string]peerBalance
	// changed is closed when tokens come in.
	changed chan struct{}
	// dirty says that control hasn't heard of the newest counts.
	dirty bool
	// failedAt is when tokens were last looked for in vain.
	failedAt time.Time
	// acquiring says that somebody looks for tokens already.
	acquiring bool
}

type peerBalance struct {
	tokens int64
	at     time.Time
}

func newShare() *share {
	return &share{in: map[peerKey]int64{}, out: map[peerKey]int64{}, peers: map[string]peerBalance{}, changed: make(chan struct{})}
}

// balance is what may still be reserved.
func (s *share) balance() int64 {
	return s.granted + s.inSum - s.returned - s.outSum - s.spent - s.reserved
}

func (s *share) reserve(tokens int64, now time.Time) bool {
	if s.balance() < tokens {
		return false
	}
	s.reserved += tokens
	s.largest = max(s.largest, tokens)
	s.rate.add(tokens, now)
	return true
}

// settle ends a reservation. Demand counts what was spent, not what was held.
func (s *share) settle(reserved, spent int64, now time.Time) {
	s.rate.add(spent-reserved, now)
	s.reserved -= reserved
	s.spent += spent
	s.dirty = true
	s.wake()
}

// grant takes the count of what control has granted.
func (s *share) grant(total int64) {
	if total > s.granted {
		s.granted = total
		s.dirty = true
		s.wake()
	}
}

// receive takes the count of what another process has ever handed over.
func (s *share) receive(from peerKey, total int64) {
	if total <= s.in[from] {
		return
	}
	s.inSum += total - s.in[from]
	s.in[from] = total
	s.dirty = true
	s.wake()
}

// donate hands tokens to another process and returns the count of all that it
// was ever handed.
func (s *share) donate(to peerKey, tokens int64) int64 {
	tokens = max(min(tokens, s.balance()), 0)
	s.out[to] += tokens
	s.outSum += tokens
	s.dirty = s.dirty || tokens > 0
	return s.out[to]
}

// giveBack returns tokens to the budget.
func (s *share) giveBack(tokens int64) {
	if tokens = min(tokens, s.balance()); tokens > 0 {
		s.returned += tokens
		s.dirty = true
	}
}

// others returns what other routers have told to hold.
func (s *share) others() int64 {
	sum := int64(0)
	for _, p := range s.peers {
		sum += max(p.tokens, 0)
	}
	return sum
}

// lender is another router and what it has told to hold.
type lender struct {
	address string
	tokens  int64
}

// richest returns the routers that have lately told of a balance, the largest first.
func (s *share) richest(now time.Time) []lender {
	var out []lender
	for address, p := range s.peers {
		if p.tokens > 0 && now.Sub(p.at) <= balanceLasts {
			out = append(out, lender{address: address, tokens: p.tokens})
		}
	}
	slices.SortFunc(out, func(a, b lender) int { return cmp.Compare(b.tokens, a.tokens) })
	return out
}

func (s *share) wake() {
	close(s.changed)
	s.changed = make(chan struct{})
}

// rateSpan is the time over which demand is averaged: long against the gaps
// between an organisation's requests at one router, short against a change of
// its load.
const rateSpan = 4 * time.Second

// rate is an exponentially decaying mean of demand, in tokens per second. At its
// beginning it is the mean over the time that it has seen.
type rate struct {
	value float64
	at    time.Time
	since time.Time
}

// leastSeen bounds the time over which a young rate is averaged from below, so
// that a first request alone isn't taken for a high demand.
const leastSeen = time.Second

func (r *rate) add(tokens int64, now time.Time) {
	if r.since.IsZero() {
		r.since = now
	}
	r.value = r.decayed(now) + float64(tokens)/rateSpan.Seconds()
	r.at = now
}

func (r *rate) decayed(now time.Time) float64 {
	return max(r.value*math.Exp(-now.Sub(r.at).Seconds()/rateSpan.Seconds()), 0)
}

func (r *rate) now(now time.Time) float64 {
	if r.at.IsZero() {
		return 0
	}
	seen := max(now.Sub(r.since), leastSeen)
	return r.decayed(now) / (1 - math.Exp(-seen.Seconds()/rateSpan.Seconds()))
}

// donation returns how many of a router's tokens go to another one that asks:
// what is asked for, but no more than the asker's part by demand.
func donation(balance, asked int64, ownRate, askerRate float64) int64 {
	if balance <= 0 {
		return 0
	}
	part := float64(balance) / 2
	if sum := ownRate + askerRate; sum > 0 {
		part = max(float64(balance)*askerRate/sum, part)
	}
	return min(asked, int64(part))
}
