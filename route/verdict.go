package route

import (
	"slices"
	"time"
)

// judgeRequest quarantines a request under which enough endpoints have crashed.
func (q *Quarantine) judgeRequest(begun []Hold, request Subject, now time.Time) []Hold {
	records := q.crashes.with(request)
	if len(records) < requestCrashes && !q.onTrial(request, now) {
		return begun
	}
	return q.begin(begun, q.nextHold(request, records, now), now)
}

// evidence holds the crashes under parts of prompts since the last answer with the part, for
// the suspects of one crash.
type evidence map[Subject]openCrashes

// openCrashes are crashes in order of time that no answer has explained.
type openCrashes struct {
	records []*crashRecord
	moments int
	// version is the version of the endpoint that crashed last.
	version string
	// known reports whether an answer with the part was ever completed by that version.
	known bool
}

// unanswered returns the crashes under a part since the last answer with it.
func (q *Quarantine) unanswered(part Subject) openCrashes {
	o := openCrashes{}
	o.records = slices.DeleteFunc(q.crashes.with(part), func(r *crashRecord) bool {
		return q.answered.last(r.Version, part).After(r.At)
	})
	o.moments = moments(o.records)
	if o.moments > 0 {
		o.version = o.records[len(o.records)-1].Version
		o.known = !q.answered.last(o.version, part).IsZero()
	}
	return o
}

// judgePart quarantines a part if it is the one that the crashes have in common.
func (q *Quarantine) judgePart(begun []Hold, part Subject, open evidence, now time.Time) []Hold {
	if open[part].moments == 0 || !q.onTrial(part, now) && !open.blames(part) {
		return begun
	}
	return q.begin(begun, q.nextHold(part, open[part].records, now), now)
}

// blames reports whether a part explains the crashes better than all other parts.
func (e evidence) blames(part Subject) bool {
	own := e[part]
	if own.moments < partCrashes || !severalRequests(own.records, part) {
		return false
	}
	for rival, other := range e {
		switch {
		case rival == part || other.moments < own.moments:
		case other.known && !own.known:
		case own.moments >= inseparableCrashes && own.known == other.known && onlyTogether(other.records, rival, part):
		default:
			return false
		}
	}
	return true
}

// moments counts the moments of crashes that are in order of time.
func moments(records []*crashRecord) int {
	n := 0
	var last time.Time
	for _, r := range records {
		if n == 0 || r.At.Sub(last) >= momentGap {
			n++
			last = r.At
		}
	}
	return n
}

// severalRequests reports whether a part is a suspect in different requests.
func severalRequests(records []*crashRecord, part Subject) bool {
	first, found := Subject(0), false
	for _, r := range records {
		for _, s := range r.Suspects {
			switch {
			case !slices.Contains(s.Parts, part):
			case !found:
				first, found = s.Request, true
			case s.Request != first:
				return true
			}
		}
	}
	return false
}

// onlyTogether reports whether a part is a suspect only in requests that have another part
// too.
func onlyTogether(records []*crashRecord, part, other Subject) bool {
	for _, r := range records {
		for _, s := range r.Suspects {
			if slices.Contains(s.Parts, part) && !slices.Contains(s.Parts, other) {
				return false
			}
		}
	}
	return true
}
