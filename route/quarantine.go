package route

import (
	"maps"
	"slices"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
)

// A request that crashes each endpoint which runs it must not reach all of them. The cause
// may be the request as a whole or a part of its prompt. Either is held responsible if it
// was among the suspects of several crashes and their version has never completed an answer
// with it: what crashes each endpoint is never answered. Sound requests that are alike, and
// parts that sound requests share, are answered all the time. A part also has to be a suspect
// at different moments and in different requests.

const (
	// requestCrashes is the number of endpoints that have to crash under a request before
	// it is quarantined.
	requestCrashes = 3
	// partCrashes is the number of moments at which endpoints have to crash under a part.
	partCrashes = 4
	// remainingCrashes is the number of these moments that have to remain when the crashes of
	// any single request are left out.
	remainingCrashes = 2
	// inseparableCrashes is the number of moments after which parts that only occur
	// together are quarantined together.
	inseparableCrashes = 5
	// momentGap separates two moments: a fault of a rack or a zone ends many endpoints at
	// once.
	momentGap = 100 * time.Millisecond
	// minQuarantine is the length of a subject's first quarantine; it doubles with each
	// further one, up to maxQuarantine.
	minQuarantine = 10 * time.Minute
	maxQuarantine = 8 * time.Hour
	// trialTime is how long a request that is let through on trial may take until the next
	// one is.
	trialTime = 10 * time.Second
	// maxQuarantined bounds the quarantined subjects.
	maxQuarantined = 64
)

// Hold is the quarantine of a subject.
type Hold struct {
	Subject Subject
	// Version is the version of the endpoint that crashed last.
	Version string
	// Crashes is the number of crashes on which the quarantine is based, 0 if another router
	// has decided on it.
	Crashes int
	// Generation counts the quarantines of the subject.
	Generation int
	Until      time.Time
}

// Clearance says that an answer to a suspected request, or with a suspected part, was
// completed.
type Clearance struct {
	Subject    Subject
	Version    string
	AnsweredAt time.Time
}

// hold is a quarantine and what follows it: until it is forgotten, one request at a time is
// let through on trial, and a single crash renews the quarantine.
type hold struct {
	Hold
	// trialsFrom is when this router lets a request through. Routers begin at different
	// times, so that the first one can tell the others how its trial ended.
	trialsFrom time.Time
	forgetAt   time.Time
	trialUntil time.Time
}

// clearance is a clearance with the time until which it is reported to other routers.
type clearance struct {
	Clearance
	reportUntil time.Time
}

// Quarantine keeps requests and parts of prompts that crash endpoints from further ones. It
// is safe for concurrent use, and its zero value is ready to use.
type Quarantine struct {
	// Self names this router. It spreads the trials of the routers over time.
	Self string

	mu sync.Mutex
	// since is when this router began to record answers. Whether a subject was answered
	// before that isn't known, so that earlier crashes prove nothing here.
	since    time.Time
	crashes  crashLog
	answered answers
	holds    map[Subject]*hold
	cleared  map[Subject]clearance
}

// RecordCrash records a crash, seen here or reported by another router. It returns the
// quarantines that begin with it, and whether it was news.
func (q *Quarantine) RecordCrash(c Crash, now time.Time) (begun []Hold, isNew bool) {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.start(now)
	record, added := q.crashes.add(c, now)
	if len(added) == 0 {
		return nil, false
	}
	open, explained := evidence{}, q.explanations()
	for _, s := range record.Suspects {
		for _, p := range s.Parts {
			if _, ok := open[p]; !ok {
				open[p] = q.unanswered(p, explained)
			}
		}
	}
	for _, s := range added {
		q.reportAnswered(record, s.Request, now)
		begun = q.judgeRequest(begun, s.Request, explained, now)
		for _, p := range s.Parts {
			q.reportAnswered(record, p, now)
			begun = q.judgePart(begun, p, open, now)
		}
	}
	return begun, true
}

// RecordAnswer records that an answer to a request was completed. It returns the subjects
// whose quarantine ends with it.
func (q *Quarantine) RecordAnswer(version string, s Suspect, now time.Time) []Subject {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.start(now)
	var released []Subject
	if q.clear(&q.answered.requests, Clearance{Subject: s.Request, Version: version, AnsweredAt: now}, now) {
		released = append(released, s.Request)
	}
	for _, p := range s.Parts {
		if q.clear(&q.answered.parts, Clearance{Subject: p, Version: version, AnsweredAt: now}, now) {
			released = append(released, p)
		}
	}
	return released
}

// Merge merges what another router has reported. It returns the quarantines that begin or
// end with it.
func (q *Quarantine) Merge(holds []Hold, clearances []Clearance, now time.Time) (begun []Hold, released []Subject) {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.start(now)
	for _, c := range clearances {
		if q.clear(&q.answered.parts, c, now) {
			released = append(released, c.Subject)
		}
	}
	for _, h := range holds {
		old := q.holds[h.Subject]
		if old != nil && old.Generation >= h.Generation || !now.Before(h.Until) {
			continue
		}
		if at := q.lastAnswer(h.Version, h.Subject); !at.IsZero() {
			q.report(Clearance{Subject: h.Subject, Version: h.Version, AnsweredAt: at}, now)
			continue
		}
		h.Crashes = 0
		begun = q.begin(begun, h, now)
	}
	return begun, released
}

// Check returns the quarantine that keeps a request from being sent to an endpoint, if any.
// If held is false, it returns the quarantine that has ended and on whose trial the request
// is sent. A retry is never sent on trial.
func (q *Quarantine) Check(s Suspect, retry bool, now time.Time) (h Hold, held bool) {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.start(now)
	if len(q.holds) == 0 {
		return Hold{}, false
	}
	q.forget(now)
	var trials []*hold
	for _, subject := range s.subjects() {
		t := q.holds[subject]
		if t == nil {
			continue
		}
		if retry || now.Before(t.trialsFrom) || now.Before(t.trialUntil) {
			return t.Hold, true
		}
		trials = append(trials, t)
	}
	for _, t := range trials {
		t.trialUntil = now.Add(trialTime)
		h = t.Hold
	}
	return h, false
}

// Reports returns what to report to another router in one message.
func (q *Quarantine) Reports(now time.Time) ([]Crash, []Clearance) {
	q.mu.Lock()
	defer q.mu.Unlock()
	var clearances []Clearance
	for p, c := range q.cleared {
		if now.After(c.reportUntil) {
			delete(q.cleared, p)
		} else if len(clearances) < maxReported {
			clearances = append(clearances, c.Clearance)
		}
	}
	return q.crashes.nextReports(now), clearances
}

// Holds returns the quarantines in force.
func (q *Quarantine) Holds(now time.Time) []Hold {
	q.mu.Lock()
	defer q.mu.Unlock()
	var out []Hold
	for _, h := range q.holds {
		if now.Before(h.Until) {
			out = append(out, h.Hold)
		}
	}
	return out
}

// start sets the time from which on answers are recorded, once.
func (q *Quarantine) start(now time.Time) {
	if q.since.IsZero() {
		q.since = now
	}
}

// lastAnswer returns the time of the last answer with a subject, or zero if none is known.
func (q *Quarantine) lastAnswer(version string, s Subject) time.Time {
	return q.answered.last(newAnswerKey(version, s))
}

// clear records an answer in known. It is passed on to other routers if it clears a suspect.
// clear reports whether it ends a quarantine.
func (q *Quarantine) clear(known *answerTimes, c Clearance, now time.Time) bool {
	k := newAnswerKey(c.Version, c.Subject)
	before := q.answered.last(k)
	known.add(k, c.AnsweredAt, now)
	if slices.ContainsFunc(q.crashes.bySubject[c.Subject], func(r *crashRecord) bool {
		return r.Version == c.Version && r.At.After(before) && c.AnsweredAt.After(r.At)
	}) {
		q.report(c, now)
	}
	h := q.holds[c.Subject]
	if h == nil || h.Version != c.Version {
		return false
	}
	delete(q.holds, c.Subject)
	return true
}

// reportAnswered tells the other routers if an answer with a suspect was ever completed here.
func (q *Quarantine) reportAnswered(r *crashRecord, s Subject, now time.Time) {
	if at := q.lastAnswer(r.Version, s); !at.IsZero() {
		q.report(Clearance{Subject: s, Version: r.Version, AnsweredAt: at}, now)
	}
}

func (q *Quarantine) report(c Clearance, now time.Time) {
	if q.cleared == nil {
		q.cleared = map[Subject]clearance{}
	}
	if len(q.cleared) < maxSuspects {
		q.cleared[c.Subject] = clearance{Clearance: c, reportUntil: now.Add(crashReportTime)}
	}
}

// onTrial reports whether a subject's quarantine has ended and isn't forgotten.
func (q *Quarantine) onTrial(s Subject, now time.Time) bool {
	h := q.holds[s]
	return h != nil && !now.Before(h.Until)
}

// nextHold returns a subject's next quarantine.
func (q *Quarantine) nextHold(s Subject, records []*crashRecord, now time.Time) Hold {
	next := Hold{Subject: s, Crashes: len(records), Generation: 1}
	if len(records) > 0 {
		next.Version = records[len(records)-1].Version
	}
	if h := q.holds[s]; h != nil {
		next.Generation = h.Generation
		if !now.Before(h.Until) {
			next.Generation++
		}
	}
	next.Until = now.Add(quarantineTime(next.Generation))
	return next
}

func quarantineTime(generation int) time.Duration {
	return min(minQuarantine<<min(max(generation-1, 0), 10), maxQuarantine)
}

// begin begins a quarantine, unless one of the same generation is in force.
func (q *Quarantine) begin(begun []Hold, next Hold, now time.Time) []Hold {
	q.forget(now)
	if h := q.holds[next.Subject]; h != nil && h.Generation >= next.Generation {
		return begun
	}
	if q.holds == nil {
		q.holds = map[Subject]*hold{}
	}
	if q.holds[next.Subject] == nil && len(q.holds) >= maxQuarantined {
		return begun
	}
	span := quarantineTime(next.Generation)
	q.holds[next.Subject] = &hold{
		Hold: next, trialsFrom: next.Until.Add(time.Duration(float64(span) * q.fraction(next.Subject))), forgetAt: next.Until.Add(2 * span),
	}
	return append(begun, next)
}

func (q *Quarantine) forget(now time.Time) {
	maps.DeleteFunc(q.holds, func(_ Subject, h *hold) bool { return now.After(h.forgetAt) })
}

// fraction returns a number from 0 (inclusive) to 1 (exclusive) that differs between the
// routers.
func (q *Quarantine) fraction(s Subject) float64 {
	return float64(mix(xxhash.Sum64String(q.Self)^uint64(s))>>11) / (1 << 53)
}
