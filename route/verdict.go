package route

import (
	"slices"
	"time"
)

// judgeRequest quarantines a request under which enough endpoints have crashed, unless an
// answer to it was ever completed by their version.
func (q *Quarantine) judgeRequest(begun []Hold, request Subject, explained explanations, now time.Time) []Hold {
	open := q.unanswered(request, explained)
	enough := len(open.records) >= requestCrashes || len(open.records) > 0 && q.onTrial(request, now)
	if open.known || !enough {
		return begun
	}
	return q.begin(begun, q.nextHold(request, open.records, now), now)
}

// explanations holds the parts in quarantine that were suspects of a crash.
type explanations map[*crashRecord][]Subject

// explanations returns the crashes that quarantines of parts explain. That of a whole request
// explains nothing: the request may have crashed endpoints because of one of its parts.
func (q *Quarantine) explanations() explanations {
	out := explanations{}
	for s := range q.holds {
		for _, r := range q.crashes.bySubject[s] {
			if slices.ContainsFunc(r.Suspects, func(k Suspect) bool { return slices.Contains(k.Parts, s) }) {
				out[r] = append(out[r], s)
			}
		}
	}
	return out
}

// byOther reports whether another subject than s explains a crash.
func (e explanations) byOther(r *crashRecord, s Subject) bool {
	return slices.ContainsFunc(e[r], func(k Subject) bool { return k != s })
}

// evidence holds the crashes under parts of prompts since the last answer with the part, for
// the suspects of one crash.
type evidence map[Subject]openCrashes

// openCrashes are crashes in order of time that no answer has explained.
type openCrashes struct {
	records []*crashRecord
	moments int
	// known reports whether the version of the endpoint that crashed last has ever completed
	// an answer with the subject.
	known bool
}

// unanswered returns the crashes under a subject since the last answer with it, as far as this
// router can know of answers. Those under another part in quarantine are explained by that.
func (q *Quarantine) unanswered(s Subject, explained explanations) openCrashes {
	o := openCrashes{}
	o.records = slices.DeleteFunc(q.crashes.with(s), func(r *crashRecord) bool {
		return r.At.Before(q.since) || q.lastAnswer(r.Version, s).After(r.At) || explained.byOther(r, s)
	})
	o.moments = moments(o.records)
	if o.moments > 0 {
		o.known = !q.lastAnswer(o.records[len(o.records)-1].Version, s).IsZero()
	}
	return o
}

// judgePart quarantines a part if it is the one that the crashes have in common, unless an
// answer with it was ever completed by their version.
func (q *Quarantine) judgePart(begun []Hold, part Subject, open evidence, now time.Time) []Hold {
	if open[part].moments == 0 || open[part].known || !q.onTrial(part, now) && !open.blames(part) {
		return begun
	}
	return q.begin(begun, q.nextHold(part, open[part].records, now), now)
}

// blames reports whether a part that was never answered explains the crashes better than all
// other parts.
func (e evidence) blames(part Subject) bool {
	own := e[part]
	if own.moments < partCrashes {
		return false
	}
	for rival, other := range e {
		switch {
		case rival == part || other.known || other.moments < own.moments:
		case own.moments >= inseparableCrashes && onlyTogether(other.records, rival, part):
		default:
			return false
		}
	}
	return severalRequests(own.records, part)
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

// severalRequests reports whether crashes at remainingCrashes moments remain when those of any
// single request that has the part are left out. Otherwise that request may be to blame. A
// suspect of one crash only can't explain more than one moment.
func severalRequests(records []*crashRecord, part Subject) bool {
	crashes := map[Subject]int{}
	for _, r := range records {
		for _, s := range r.Suspects {
			if slices.Contains(s.Parts, part) {
				crashes[s.Request]++
			}
		}
	}
	for request, n := range crashes {
		if n > 1 && moments(without(records, request)) < remainingCrashes {
			return false
		}
	}
	return true
}

// without returns the crashes that don't have a request among their suspects.
func without(records []*crashRecord, request Subject) []*crashRecord {
	return slices.DeleteFunc(slices.Clone(records), func(r *crashRecord) bool {
		return slices.ContainsFunc(r.Suspects, func(s Suspect) bool { return s.Request == request })
	})
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
