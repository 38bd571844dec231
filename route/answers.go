package route

import (
	"time"

	"github.com/cespare/xxhash/v2"
)

const (
	// answerMemory is how long answered subjects are remembered at least, if there are no more
	// than maxAnswered of them.
	answerMemory = 10 * time.Minute
	maxAnswered  = 8192
)

// answers remembers when a request, or a part of prompts, last ran to a complete answer, by
// the version of the endpoint that gave it. Requests and parts are apart, since most requests
// come only once and would displace the parts.
type answers struct {
	requests, parts answerTimes
}

// last returns the time of the last answer, or zero if none is known.
func (a *answers) last(k answerKey) time.Time {
	part, request := a.parts.last(k), a.requests.last(k)
	if request.After(part) {
		return request
	}
	return part
}

// answerKey hashes a version together with a subject.
type answerKey uint64

func newAnswerKey(version string, s Subject) answerKey {
	return answerKey(mix(xxhash.Sum64String(version) ^ mix(uint64(s))))
}

// answerTimes are the times of the last answers of a bounded number of subjects.
type answerTimes struct {
	// current and previous are two generations, so that old entries go without a search.
	current, previous map[answerKey]time.Time
	startedAt         time.Time
}

// add remembers an answer at a time.
func (a *answerTimes) add(k answerKey, at, now time.Time) {
	if a.current == nil || len(a.current) >= maxAnswered || now.Sub(a.startedAt) > answerMemory {
		a.rotate(now)
	}
	if at.After(a.last(k)) {
		a.current[k] = at
	}
}

// rotate begins a generation in the memory of the one before the last.
func (a *answerTimes) rotate(now time.Time) {
	oldest := a.previous
	if oldest == nil {
		oldest = map[answerKey]time.Time{}
	}
	clear(oldest)
	a.current, a.previous, a.startedAt = oldest, a.current, now
}

func (a *answerTimes) last(k answerKey) time.Time {
	if at, ok := a.current[k]; ok {
		return at
	}
	return a.previous[k]
}
