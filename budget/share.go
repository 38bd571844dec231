package budget

import (
	"cmp"
	"math"
	"slices"
	"time"

	"buckthornpin"
)

// peerKey identifies a router process that tokens were exchanged with.
type peerKey struct {
	address     string
	incarnation int64
}

// share is a router process's part of one budget. It is stored as cumulative counts
// that never decrease: the tokens granted by control, returned to the budget,
// received from and donated to each other router, and spent. A message that is
// duplicated, delayed or lost therefore has no effect that the next one doesn't
// correct, and no token is ever held by two processes.
type share struct {
	granted  int64
	returned int64
	spent    int64
	// reserved is the number of tokens held for requests in progress.
	reserved      int64
	received      map[peerKey]int64
	donated       map[peerKey]int64
	receivedTotal int64
	donatedTotal  int64
	rate          rate
	// largestBound is the largest bound of a request so far, in tokens.
	largestBound int64
	// free is the number of tokens that no router holds, as last reported by control.
	free int64
	// account is control's view of the whole budget, as of its last answer.
	account account
	// waiting is the sum of the bounds of the requests that wait for tokens.
	waiting int64
	// peers holds the last known balances of other routers by address.
	peers map[string]peerBalance
	// changed is closed and replaced when waiting requests should check again.
	changed chan struct{}
	// limits are the limits on the share's use that control may act on: the last one that
	// it has confirmed, and later ones.
	limits        []*useLimit
	limitSequence int64
	// dirty is true if the newest counts haven't been reported to control.
	dirty bool
	// failedAt is when acquiring tokens last failed.
	failedAt time.Time
	// acquiring is true while a request acquires tokens for all waiting ones.
	acquiring bool
}

// account is control's view of a whole budget, in tokens.
type account struct {
	total int64
	// spent is what all processes have reported as spent, held what the living ones
	// hold unspent.
	spent, held int64
	// largestBound is the largest bound of a request that any process has seen.
	largestBound int64
}

type peerBalance struct {
	tokens int64
	at     time.Time
}

func newShare() *share {
	return &share{received: map[peerKey]int64{}, donated: map[peerKey]int64{}, peers: map[string]peerBalance{}, changed: make(chan struct{})}
}

// balance returns the number of tokens that are held and not reserved.
func (s *share) balance() int64 {
	return s.granted + s.receivedTotal - s.returned - s.used()
}

// reserve reserves tokens for a request if that many are available.
func (s *share) reserve(tokens int64, now time.Time) bool {
	if tokens < 0 || s.available(now) < tokens {
		return false
	}
	s.reserved += tokens
	s.largestBound = max(s.largestBound, tokens)
	s.rate.add(tokens, now)
	return true
}

// settle ends a reservation, which costs no more than was reserved. The demand rate counts
// the tokens that were spent, not those that were reserved.
func (s *share) settle(reserved, spent int64, now time.Time) {
	reserved = min(max(reserved, 0), s.reserved)
	spent = min(max(spent, 0), reserved)
	s.rate.add(spent-reserved, now)
	s.reserved -= reserved
	s.spent += spent
	s.dirty = true
	s.notifyWaiters()
}

// grant updates the cumulative count of tokens granted by control.
func (s *share) grant(total int64) {
	if total > s.granted {
		s.granted = total
		s.dirty = true
		s.notifyWaiters()
	}
}

// receive updates the cumulative count of tokens received from another process.
func (s *share) receive(from peerKey, total int64) {
	if total <= s.received[from] || !buckthornpin.IsTokenCount(total-s.received[from]) {
		return
	}
	s.receivedTotal += total - s.received[from]
	s.received[from] = total
	s.dirty = true
	s.notifyWaiters()
}

// donate hands tokens that are available to another process and returns the cumulative
// count of tokens donated to it.
func (s *share) donate(to peerKey, tokens int64, now time.Time) int64 {
	tokens = max(min(tokens, s.available(now)), 0)
	s.donated[to] += tokens
	s.donatedTotal += tokens
	s.dirty = s.dirty || tokens > 0
	return s.donated[to]
}

// giveBack returns tokens to the budget, at most the balance.
func (s *share) giveBack(tokens int64) {
	if tokens = min(tokens, s.balance()); tokens > 0 {
		s.returned += tokens
		s.dirty = true
	}
}

// peerTokens returns the sum of the last known balances of other routers.
func (s *share) peerTokens() int64 {
	sum := int64(0)
	for _, p := range s.peers {
		sum += max(p.tokens, 0)
	}
	return sum
}

// lender is another router with its last known balance.
type lender struct {
	address string
	tokens  int64
	// recent is false if the balance is older than maxBalanceAge.
	recent bool
}

// lendersByBalance returns the routers with a positive balance that is no older than maxAge:
// first those whose balance is recent, then the others, each in descending order of balance.
func (s *share) lendersByBalance(now time.Time, maxAge time.Duration) []lender {
	var out []lender
	for address, p := range s.peers {
		if age := now.Sub(p.at); p.tokens > 0 && age <= maxAge {
			out = append(out, lender{address: address, tokens: p.tokens, recent: age <= maxBalanceAge})
		}
	}
	slices.SortFunc(out, func(a, b lender) int {
		switch {
		case a.recent == b.recent:
			return cmp.Compare(b.tokens, a.tokens)
		case a.recent:
			return -1
		}
		return 1
	})
	return out
}

func (s *share) notifyWaiters() {
	close(s.changed)
	s.changed = make(chan struct{})
}

// rateTimeConstant is the time over which demand is averaged. It is long compared
// with the gaps between an organisation's requests at one router, and short compared
// with the time in which its load changes.
const rateTimeConstant = 4 * time.Second

// rate is an exponentially decaying mean of demand, in tokens per second. At first it
// is the mean over the time since the first request.
type rate struct {
	value     float64
	updatedAt time.Time
	firstAt   time.Time
}

// minRateAge is the shortest time over which a rate is averaged, so that a single
// first request isn't mistaken for high demand.
const minRateAge = time.Second

func (r *rate) add(tokens int64, now time.Time) {
	if r.firstAt.IsZero() {
		r.firstAt = now
	}
	r.value = r.decayed(now) + float64(tokens)/rateTimeConstant.Seconds()
	r.updatedAt = now
}

func (r *rate) decayed(now time.Time) float64 {
	return max(r.value*math.Exp(-now.Sub(r.updatedAt).Seconds()/rateTimeConstant.Seconds()), 0)
}

func (r *rate) perSecond(now time.Time) float64 {
	if r.updatedAt.IsZero() {
		return 0
	}
	age := max(now.Sub(r.firstAt), minRateAge)
	return r.decayed(now) / (1 - math.Exp(-age.Seconds()/rateTimeConstant.Seconds()))
}

// donation returns how many of a router's tokens go to another one that asks for
// some: the number asked for, but at most half of the balance or the asker's part of
// it in proportion to demand, whichever is larger.
func donation(balance, asked int64, ownRate, askerRate float64) int64 {
	if balance <= 0 {
		return 0
	}
	limit := float64(balance) / 2
	if sum := ownRate + askerRate; sum > 0 {
		limit = max(float64(balance)*askerRate/sum, limit)
	}
	return min(asked, int64(limit))
}
