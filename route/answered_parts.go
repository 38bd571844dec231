package route

import (
	"time"

	"github.com/cespare/xxhash/v2"
)

const (
	// answerMemory is how long answered parts are remembered at least, if there are no more
	// than maxAnswered of them.
	answerMemory = 10 * time.Minute
	maxAnswered  = 8192
)

// answeredParts remembers when a part of prompts last ran to a complete answer, by the
// version of the endpoint that gave it.
type answeredParts struct {
	// current and previous are two generations, so that old entries go without a search.
	current, previous map[answeredKey]time.Time
	startedAt         time.Time
}

// answeredKey hashes a version together with a part.
type answeredKey uint64

func newAnsweredKey(version string, s Subject) answeredKey {
	return answeredKey(mix(xxhash.Sum64String(version) ^ mix(uint64(s))))
}

// add remembers an answer at a time.
func (a *answeredParts) add(version string, s Subject, at, now time.Time) {
	if a.current == nil || len(a.current) >= maxAnswered || now.Sub(a.startedAt) > answerMemory {
		a.current, a.previous, a.startedAt = map[answeredKey]time.Time{}, a.current, now
	}
	if at.After(a.last(version, s)) {
		a.current[newAnsweredKey(version, s)] = at
	}
}

// last returns the time of the last answer, or zero if none is known.
func (a *answeredParts) last(version string, s Subject) time.Time {
	k := newAnsweredKey(version, s)
	if at, ok := a.current[k]; ok {
		return at
	}
	return a.previous[k]
}
