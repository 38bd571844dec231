package route

import (
	"math"
	"time"
)

const (
	// errorWeight is the weight of the newest answer in an endpoint's error rate:
	// three failures in a row make a further one more likely than not.
	errorWeight = 0.25
	// errorHalfLife is the time in which an error rate falls by half without any
	// answer: an endpoint that nobody asks any more is asked again after some
	// seconds, about as long as disruptions last.
	errorHalfLife = 2 * time.Second
)

// errorRate is the part of an endpoint's answers that are failures of its own, the
// newest ones counting most. Its zero value is an endpoint without failures.
type errorRate struct {
	rate  float64
	noted time.Time
}

// at returns the rate, which falls with the time since the last answer.
func (e *errorRate) at(now time.Time) float64 {
	if e.rate == 0 {
		return 0
	}
	return e.rate * math.Exp2(-now.Sub(e.noted).Seconds()/errorHalfLife.Seconds())
}

// note takes an answer.
func (e *errorRate) note(failed bool, now time.Time) {
	e.rate = e.at(now) * (1 - errorWeight)
	if failed {
		e.rate += errorWeight
	}
	e.noted = now
}
