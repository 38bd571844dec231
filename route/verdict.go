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

// explanations holds the parts in quarantine, and those on probation, that were suspects of a
// crash.
type explanations struct {
	quarantined, onProbation map[*crashRecord][]Subject
}

// explanations returns the crashes that quarantines and probations of parts explain. That of a
// whole request explains nothing: the request may have crashed endpoints because of one of its
// parts.
func (q *Quarantine) explanations() explanations {
	out := explanations{quarantined: map[*crashRecord][]Subject{}, onProbation: map[*crashRecord][]Subject{}}
	for s, h := range q.holds {
		by := out.quarantined
		if h.OnProbation() {
			by = out.onProbation
		}
		for _, r := range q.crashes.bySubject[s] {
			if slices.ContainsFunc(r.Suspects, func(k Suspect) bool { return slices.Contains(k.Parts, s) }) {
				by[r] = append(by[r], s)
			}
		}
	}
	return out
}

// explainedByOther reports whether another subject than s explains a crash.
func explainedByOther(by map[*crashRecord][]Subject, r *crashRecord, s Subject) bool {
	return slices.ContainsFunc(by[r], func(k Subject) bool { return k != s })
}

// evidence holds the crashes under parts of prompts since the last answer with the part, for
// the suspects of one crash.
type evidence map[Subject]openCrashes

// openCrashes are crashes in order of time that no answer has explained.
type openCrashes struct {
	records []*crashRecord
	// unexplained are those that no other part on probation may explain. If the subject is on
	// probation itself, they are all.
	unexplained []*crashRecord
	// known reports whether the version of the endpoint that crashed last has ever completed
	// an answer with the subject.
	known bool
}

// unanswered returns the crashes under a subject since the last answer with it, as far as this
// router can know of answers. Those under another part in quarantine are explained by that.
func (q *Quarantine) unanswered(s Subject, explained explanations) openCrashes {
	o := openCrashes{}
	o.records = slices.DeleteFunc(q.crashes.with(s), func(r *crashRecord) bool {
		return r.At.Before(q.since) || q.lastAnswer(r.Version, s).After(r.At) || explainedByOther(explained.quarantined, r, s)
	})
	o.unexplained = o.records
	if h := q.holds[s]; h == nil || !h.OnProbation() {
		o.unexplained = slices.DeleteFunc(slices.Clone(o.records), func(r *crashRecord) bool { return explainedByOther(explained.onProbation, r, s) })
	}
	if len(o.records) > 0 {
		o.known = !q.lastAnswer(o.records[len(o.records)-1].Version, s).IsZero()
	}
	return o
}

// judgePart quarantines a part if it is the one that the crashes have in common, or puts it on
// probation if it may be, unless an answer with it was ever completed by their version.
func (q *Quarantine) judgePart(begun []Hold, part Subject, open evidence, now time.Time) []Hold {
	o := open[part]
	switch {
	case len(o.records) == 0 || o.known:
		return begun
	case q.onTrial(part, now) || q.failsProbation(part, o) || open.blames(part):
		return q.begin(begun, q.nextHold(part, o.records, now), now)
	case now.Sub(q.since) >= learningTime && mayCrash(part, o):
		return q.begin(begun, probation(part, o.records), now)
	}
	return begun
}

// failsProbation reports whether an endpoint crashed under a part that was on probation
// already.
func (q *Quarantine) failsProbation(part Subject, o openCrashes) bool {
	h := q.holds[part]
	return h != nil && h.OnProbation() && o.records[len(o.records)-1].At.Sub(h.begunAt()) >= momentGap
}

// mayCrash reports whether so many endpoints crashed under a part that was never answered that
// it may be to blame, however few the moments, and whatever else ran there.
func mayCrash(part Subject, o openCrashes) bool {
	return len(o.records) >= provenCrashes && severalRequests(o.records, part, crashCount)
}

// blames reports whether a part that was never answered explains the crashes better than all
// other parts.
func (e evidence) blames(part Subject) bool {
	own := moments(e[part].unexplained)
	if own < partCrashes {
		return false
	}
	for rival, other := range e {
		switch {
		case rival == part || other.known || moments(other.unexplained) < own:
		case own >= inseparableCrashes && onlyTogether(other.unexplained, rival, part):
		default:
			return false
		}
	}
	return severalRequests(e[part].unexplained, part, moments)
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

func crashCount(records []*crashRecord) int { return len(records) }

// severalRequests reports whether crashes that count for remainingCrashes remain when those of
// any single request that has the part are left out. Otherwise that request may be to blame. A
// suspect of one crash only can't explain more than one.
func severalRequests(records []*crashRecord, part Subject, count func([]*crashRecord) int) bool {
	crashes := map[Subject]int{}
	for _, r := range records {
		for _, s := range r.Suspects {
			if slices.Contains(s.Parts, part) {
				crashes[s.Request]++
			}
		}
	}
	for request, n := range crashes {
		if n > 1 && count(without(records, request)) < remainingCrashes {
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
