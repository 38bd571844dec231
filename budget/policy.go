// Package budget manages a router's part of the token budgets: leases, which it may
// spend while control can't be reached or before control has answered, and shares, which
// cover requests without a message to control.
package budget

import (
	"math"
	"time"
)

// Policy decides how large a lease a router requests. It keeps no state.
type Policy struct {
	// Horizon is how long a lease should last at the current demand.
	Horizon time.Duration
	// IdleAfter is the time without demand after which a lease is given back.
	IdleAfter time.Duration
}

// Demand describes one router's use of one budget, as input to the policy.
type Demand struct {
	// Unspent is the unspent part of the lease, in tokens.
	Unspent int64
	// Rate is the demand in tokens per second.
	Rate float64
	// LargestBound is the largest bound of a request so far, in tokens.
	LargestBound int64
	// Idle is the time since the last request.
	Idle time.Duration
	// Recalled is true if control recalls the lease.
	Recalled bool
}

// minCoveredRequests is the number of requests of the largest bound that a lease
// covers at least.
const minCoveredRequests = 4

// Plan returns how many tokens to request and how many to give back. At most one of
// them is above 0.
func (p Policy) Plan(d Demand) (ask, giveBack int64) {
	target := p.target(d)
	switch {
	case d.Unspent > 2*target:
		return 0, d.Unspent - target
	case d.Unspent < target/2:
		return target - d.Unspent, 0
	}
	return 0, 0
}

func (p Policy) target(d Demand) int64 {
	if d.Recalled || d.LargestBound == 0 || d.Idle > p.IdleAfter {
		return 0
	}
	horizonTokens := int64(math.Ceil(d.Rate * p.Horizon.Seconds()))
	return max(horizonTokens, minCoveredRequests*d.LargestBound)
}
