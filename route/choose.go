// Package route decides which endpoint runs a request. It uses no clock, network or
// source of randomness: its inputs are passed in.
package route

import (
	"time"

	"buckthornpin"
)

// Candidate is an endpoint with what one router knows of it.
type Candidate struct {
	Endpoint *buckthornpin.Endpoint
	// InFlight is the number of this router's own requests in progress at the endpoint.
	InFlight int
	// OpenUntil is the time until which the circuit breaker is open.
	OpenUntil time.Time
	// Tried is true if an attempt of the request has failed at the endpoint.
	Tried bool
	// Limited is true if this router's share of the endpoint's limit is used up.
	Limited bool
}

// Query holds the inputs of a decision other than the candidates.
type Query struct {
	Target buckthornpin.Target
	Zone   string
	Now    time.Time
	// Denied holds the ids of endpoints that must not be chosen.
	Denied []string
	// Seed breaks ties, so that routers spread their requests over equal endpoints.
	Seed uint64
}

// Verdict is the outcome of Choose.
type Verdict int

const (
	// Chosen means that an endpoint was found.
	Chosen Verdict = iota
	// Busy means that all endpoints that could run the request are full.
	Busy
	// Unserved means that no usable endpoint serves the target.
	Unserved
	// Limited means that the limits of all endpoints that could run the request are used
	// up.
	Limited
)

const (
	// fullLoad is the load of a full endpoint in a score. It sets the score's resolution.
	fullLoad = 1 << 10
	// otherZonePenalty is the difference in load up to which an endpoint in the router's
	// zone is preferred to one in another zone.
	otherZonePenalty = fullLoad / 20
	// triedPenalty exceeds all other scores, so that a tried endpoint is the last resort.
	triedPenalty = 1 << 30
)

// Choose returns the index of the least loaded candidate that can run the request, or -1
// and the reason. It prefers candidates in the router's zone if the load is nearly equal, and
// returns a tried candidate only if there is no other.
func Choose(cs []Candidate, q Query) (int, Verdict) {
	best, bestScore := -1, 0
	verdict := Unserved
	for i := range cs {
		c := &cs[i]
		if !usable(c, &q) {
			continue
		}
		if c.Limited {
			if verdict == Unserved {
				verdict = Limited
			}
			continue
		}
		verdict = Busy
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
	s := c.InFlight * fullLoad / max(c.Endpoint.Capacity, 1) * 4
	if c.Endpoint.Zone != q.Zone {
		s += otherZonePenalty * 4
	}
	if c.Tried {
		s += triedPenalty
	}
	return s + int(mix(q.Seed+uint64(i))&3)
}

// mix hashes x so that similar inputs give unrelated results.
func mix(x uint64) uint64 {
	x ^= x >> 33
	x *= 0xff51afd7ed558ccd
	x ^= x >> 33
	return x
}
