package route

import (
	"cmp"
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
// at different moments and in different requests. Where many endpoints have crashed under it at
// few moments, it may be to blame, or a rack may have failed: it is then on probation, until
// one more request with it is answered or crashes an endpoint too.

const (
	// requestCrashes is the number of endpoints that have to crash under a request before
	// it is quarantined.
	requestCrashes = 3
	// partCrashes is the number of moments at which endpoints have to crash under a part.
	partCrashes = 4
	// remainingCrashes is the number of these moments, or of provenCrashes, that have to remain
	// when the crashes of any single request are left out.
	remainingCrashes = 2
	// inseparableCrashes is the number of moments after which parts that only occur
	// together are quarantined together.
	inseparableCrashes = 5
	// provenCrashes is the number of crashes, at whatever moments, after which a part is on
	// probation.
	provenCrashes = 5
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
	// learningTime is how long a router records answers before it puts parts on probation:
	// until then it doesn't know which parts are answered all the time.
	learningTime = 3 * time.Second
	// probationDelay is the time after the last crash in which an answer to another request with
	// the part still averts its probation.
	probationDelay = 1500 * time.Millisecond
	// probationTurn is how long one router after the other may send a request with a part
	// on probation.
	probationTurn = 3 * time.Second
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
	// Generation counts the quarantines of the subject. It is 0 while a part is on probation.
	Generation int
	Until      time.Time
}

// OnProbation reports whether the subject isn't in quarantine, but sent by one router at a
// time.
func (h Hold) OnProbation() bool { return h.Generation == 0 }

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
	// Routers returns the names of the other living routers, if set.
	Routers func(now time.Time) []string

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
		if t == nil || now.Before(t.begunAt()) {
			continue
		}
		if retry || now.Before(t.trialUntil) || !q.mayTry(t, now) {
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
	return slices.DeleteFunc(q.Restrictions(now), Hold.OnProbation)
}

// Restrictions returns the quarantines and the probations in force.
func (q *Quarantine) Restrictions(now time.Time) []Hold {
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
	return h != nil && !h.OnProbation() && !now.Before(h.Until)
}

// nextHold returns a subject's next quarantine.
func (q *Quarantine) nextHold(s Subject, records []*crashRecord, now time.Time) Hold {
	next := Hold{Subject: s, Crashes: len(records), Generation: 1}
	if len(records) > 0 {
		next.Version = records[len(records)-1].Version
	}
	if h := q.holds[s]; h != nil && !h.OnProbation() {
		next.Generation = h.Generation
		if !now.Before(h.Until) {
			next.Generation++
		}
	}
	next.Until = now.Add(quarantineTime(next.Generation))
	return next
}

// probation returns a part's probation. It begins some time after the last crash, so that what
// is answered again after the fault of a rack is never refused.
func probation(part Subject, records []*crashRecord) Hold {
	last := records[len(records)-1]
	return Hold{Subject: part, Crashes: len(records), Version: last.Version, Until: last.At.Add(probationDelay + quarantineTime(0))}
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
	h := &hold{Hold: next, trialsFrom: next.Until.Add(time.Duration(float64(span) * q.fraction(next.Subject))), forgetAt: next.Until.Add(2 * span)}
	if h.OnProbation() {
		h.forgetAt = next.Until
	}
	q.holds[next.Subject] = h
	return append(begun, next)
}

func (q *Quarantine) forget(now time.Time) {
	maps.DeleteFunc(q.holds, func(_ Subject, h *hold) bool { return now.After(h.forgetAt) })
}

// mayTry reports whether this router may send a request on trial.
func (q *Quarantine) mayTry(h *hold, now time.Time) bool {
	if !h.OnProbation() {
		return !now.Before(h.trialsFrom)
	}
	return q.hasTurn(h, now)
}

// hasTurn reports whether this router is the one that may send a request with a subject on
// probation. The routers take turns in an order that follows from the subject.
func (q *Quarantine) hasTurn(h *hold, now time.Time) bool {
	if q.Routers == nil {
		return true
	}
	routers := append(q.Routers(now), q.Self)
	slices.SortFunc(routers, func(a, b string) int {
		return cmp.Or(cmp.Compare(turnOrder(h.Subject, a), turnOrder(h.Subject, b)), cmp.Compare(a, b))
	})
	turn := max(0, int(now.Sub(h.begunAt())/probationTurn))
	return routers[turn%len(routers)] == q.Self
}

func turnOrder(s Subject, router string) uint64 { return mix(xxhash.Sum64String(router) ^ uint64(s)) }

// begunAt returns when a hold began.
func (h *hold) begunAt() time.Time { return h.Until.Add(-quarantineTime(h.Generation)) }

// fraction returns a number from 0 (inclusive) to 1 (exclusive) that differs between the
// routers.
func (q *Quarantine) fraction(s Subject) float64 {
	return float64(turnOrder(s, q.Self)>>11) / (1 << 53)
}
