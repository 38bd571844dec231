package route

import (
	"math"
	"time"
)

const (
	// errorWeight is the weight of the newest answer in an endpoint's error rate. After
	// three failures in a row, a further one is considered more likely than not.
	errorWeight = 0.25
	// errorHalfLife is the time in which an error rate halves while no answers arrive.
	// An endpoint that no longer gets requests is tried again after some seconds, about
	// as long as disruptions last.
	errorHalfLife = 2 * time.Second
)

// errorRate is the fraction of an endpoint's answers that are its own failures, as a mean
// that gives the newest answers the most weight. The zero value stands for an endpoint
// without failures.
type errorRate struct {
	rate      float64
	updatedAt time.Time
}

// at returns the rate, which decays with the time since the last answer.
func (e *errorRate) at(now time.Time) float64 {
	if e.rate == 0 {
		return 0
	}
	return e.rate * math.Exp2(-now.Sub(e.updatedAt).Seconds()/errorHalfLife.Seconds())
}

// record adds an answer to the rate.
func (e *errorRate) record(failed bool, now time.Time) {
	e.rate = e.at(now) * (1 - errorWeight)
	if failed {
		e.rate += errorWeight
	}
	e.updatedAt = now
}
