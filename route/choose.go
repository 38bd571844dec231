// Package route decides which endpoint runs a request. It has no clock, socket
// or random source of its own.
package route

import (
	"time"

	"buckthornpin"
)

// Candidate is an endpoint as one router sees it.
type Candidate struct {
	Endpoint *buckthornpin.Endpoint
	// InFlight counts this router's own requests on the endpoint.
	InFlight int
	// OpenUntil is the time until which the circuit is open.
	OpenUntil time.Time
	// Tried marks endpoints on which an attempt of the request has failed.
	Tried bool
}

// Query is what a decision depends on besides the candidates.
type Query struct {
	Target buckthornpin.Target
	Zone   string
	Now    time.Time
	Denied []string
	// Seed breaks ties, so that routers spread over equal endpoints.
	Seed uint64
}

// Verdict tells why there is no choice.
type Verdict int

const (
	// Chosen says that an endpoint was found.
	Chosen Verdict = iota
	// Busy says that all endpoints that could serve are full.
	Busy
	// Unserved says that no endpoint serves the target.
	Unserved
)

const (
	// scale is the resolution of a load score.
	scale = 1 << 10
	// otherZonePenalty is the load that a move to another zone is worth.
	otherZonePenalty = scale / 20
	// triedPenalty makes a tried endpoint the last resort.
	triedPenalty = 1 << 30
)

// Choose returns the index of the least loaded candidate that may take the
// request: in the own zone if the load is nearly equal, and a tried one only if
// there is no other.
func Choose(cs []Candidate, q Query) (int, Verdict) {
	best, bestScore := -1, 0
	verdict := Unserved
	for i := range cs {
		c := &cs[i]
		if !usable(c, &q) {
			continue
		}
		if verdict == Unserved {
			verdict = Busy
		}
		if c.InFlight >= c.Endpoint.Capacity {
			continue
		}
		s := score(c, &q, i)
		if best < 0 || s < bestScore {
			best, bestScore = i, s
		}
	}
	if best >= 0 {
		return best, Chosen
	}
	return -1, verdict
}

func usable(c *Candidate, q *Query) bool {
	e := c.Endpoint
	if e.Leaving || e.Dead || q.Now.Before(c.OpenUntil) || !e.Serves(q.Target) {
		return false
	}
	for _, d := range q.Denied {
		if d == e.ID {
			return false
		}
	}
	return true
}

func score(c *Candidate, q *Query, i int) int {
	s := c.InFlight * scale / max(c.Endpoint.Capacity, 1) * 4
	if c.Endpoint.Zone != q.Zone {
		s += otherZonePenalty * 4
	}
	if c.Tried {
		s += triedPenalty
	}
	return s + int(mix(q.Seed+uint64(i))&3)
}

// mix spreads seeds evenly.
func mix(x uint64) uint64 {
	x ^= x >> 33
	x *= 0xff51afd7ed558ccd
	x ^= x >> 33
	return x
}
