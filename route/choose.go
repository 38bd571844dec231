// Package route decides which endpoint runs a request. It uses no clock, network or
// source of randomness: its inputs are passed in.
package route

import (
	"slices"
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
	// PausedUntil is the time until which the endpoint wants no requests from this router.
	PausedUntil time.Time
	// LimitWait is how long the endpoint's limit keeps requests of this router away; 0 if it
	// doesn't.
	LimitWait time.Duration
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
	// Paused means that all endpoints that could run the request want none for a time.
	Paused
)

// Outcome is the result of Choose.
type Outcome struct {
	// Index is the index of the chosen candidate, or -1.
	Index   int
	Verdict Verdict
	// FirstEnd is when the first obstacle to the request ends; zero if that isn't known.
	FirstEnd time.Time
}

const (
	// fullLoad is the load of a full endpoint in a score. It sets the score's resolution.
	fullLoad = 1 << 10
	// otherZonePenalty is the difference in load up to which an endpoint in the router's
	// zone is preferred to one in another zone.
	otherZonePenalty = fullLoad / 20
	// triedPenalty exceeds all other scores, so that a tried endpoint is the last resort.
	triedPenalty = 1 << 30
)

// Choose chooses the least loaded candidate that can run the request. It prefers candidates in the router's zone if the load is nearly equal, and
// returns a tried candidate only if there is no other.
func Choose(cs []Candidate, q Query) Outcome {
	best, bestScore := -1, 0
	var obstacles Obstacles
	for i := range cs {
		c := &cs[i]
		if !c.Endpoint.Serves(q.Target) {
			continue
		}
		if a := availability(c, &q); a.Obstacle != NoObstacle {
			obstacles.add(a)
			continue
		}
		s := score(c, &q, i)
		if best < 0 || s < bestScore {
			best, bestScore = i, s
		}
	}
	out := Outcome{Index: best, Verdict: Unserved, FirstEnd: obstacles.FirstEnd}
	switch {
	case best >= 0:
		out.Verdict = Chosen
	case obstacles.Count(ObstacleFull) > 0:
		out.Verdict = Busy
	case obstacles.Count(ObstacleLimited) > 0:
		out.Verdict = Limited
	case obstacles.Count(ObstaclePaused) > 0:
		out.Verdict = Paused
	}
	return out
}

// availability leaves Tried out of the signals: a tried candidate is the last resort.
func availability(c *Candidate, q *Query) Availability {
	signals := Signals{
		Endpoint: c.Endpoint, Denied: slices.Contains(q.Denied, c.Endpoint.ID), Full: c.InFlight >= c.Endpoint.Capacity,
		PausedUntil: c.PausedUntil, FailingUntil: c.OpenUntil, LimitWait: c.LimitWait,
	}
	return signals.Availability(q.Now)
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
