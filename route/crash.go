package route

import (
	"cmp"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
)

// Subject identifies what may crash endpoints: a whole request, or a part of prompts for a
// model of a service.
type Subject uint64

// PartSubject returns the subject of a part of prompts.
func PartSubject(service, model, part string) Subject {
	h := xxhash.New()
	for _, s := range []string{service, model, part} {
		_, _ = h.WriteString(s)
		_, _ = h.Write([]byte{0})
	}
	return Subject(h.Sum64())
}

// Suspect is a request that an endpoint was running when it crashed.
type Suspect struct {
	// Request identifies what stays the same when the request is sent again.
	Request Subject
	// Parts are the parts of its prompt that other requests may share.
	Parts []Subject
}

// Crash is an endpoint's crash with the requests that it was running. Routers only know
// their own requests; crashes of the same incarnation of an endpoint are merged.
type Crash struct {
	Endpoint    string
	Incarnation int64
	// Version is the version of the endpoint's software and models.
	Version  string
	At       time.Time
	Suspects []Suspect
}

const (
	// maxSuspects bounds the suspects of one crash.
	maxSuspects = 64
	// maxCrashes bounds the crashes that are remembered.
	maxCrashes = 256
	// crashMemory is how long a crash is remembered.
	crashMemory = 10 * time.Minute
	// crashReportTime is how long a crash is reported to other routers.
	crashReportTime = 5 * time.Second
	// maxReported bounds the crashes in one message, and the clearances.
	maxReported = 16
)

// crashRecord is a remembered crash.
type crashRecord struct {
	Crash
	// heardAt is when the record last changed, reportedAt when it was last reported.
	heardAt, reportedAt time.Time
}

// sameCrash reports whether a record is of the same crash.
func (r *crashRecord) sameCrash(c Crash) bool {
	return r.Endpoint == c.Endpoint && r.Incarnation == c.Incarnation
}

// merge adds the suspects of another report of the same crash, and returns those that are
// new.
func (r *crashRecord) merge(c Crash) []Suspect {
	var added []Suspect
	for _, s := range c.Suspects {
		i := slices.IndexFunc(r.Suspects, func(k Suspect) bool { return k.Request == s.Request })
		switch {
		case i >= 0 && len(s.Parts) > len(r.Suspects[i].Parts):
			r.Suspects[i] = s
			added = append(added, s)
		case i < 0 && len(r.Suspects) < maxSuspects:
			r.Suspects = append(r.Suspects, s)
			added = append(added, s)
		}
	}
	if c.At.Before(r.At) {
		r.At = c.At
	}
	return added
}

// subjects returns the request and the parts of a suspect.
func (s Suspect) subjects() []Subject { return append([]Subject{s.Request}, s.Parts...) }

// crashLog holds the latest crashes of endpoints.
type crashLog struct {
	records []*crashRecord
	// bySubject holds the crashes with a subject among their suspects.
	bySubject map[Subject][]*crashRecord
}

// add adds a crash or merges it with the record of the same crash. It returns the record and
// its new suspects.
func (l *crashLog) add(c Crash, now time.Time) (r *crashRecord, added []Suspect) {
	l.dropOld(now)
	i := slices.IndexFunc(l.records, func(r *crashRecord) bool { return r.sameCrash(c) })
	if i >= 0 {
		r = l.records[i]
	} else {
		r = &crashRecord{Crash: Crash{Endpoint: c.Endpoint, Incarnation: c.Incarnation, Version: c.Version, At: c.At}}
		l.records = append(l.records, r)
	}
	added = r.merge(c)
	if len(added) > 0 {
		r.heardAt = now
	}
	if l.bySubject == nil {
		l.bySubject = map[Subject][]*crashRecord{}
	}
	for _, s := range added {
		for _, k := range s.subjects() {
			if !slices.Contains(l.bySubject[k], r) {
				l.bySubject[k] = append(l.bySubject[k], r)
			}
		}
	}
	return r, added
}

// dropOld drops crashes that are too old or too many.
func (l *crashLog) dropOld(now time.Time) {
	for len(l.records) > 0 && (len(l.records) >= maxCrashes || now.Sub(l.records[0].heardAt) > crashMemory) {
		l.drop(l.records[0])
		l.records = l.records[1:]
	}
}

func (l *crashLog) drop(r *crashRecord) {
	for _, s := range r.Suspects {
		for _, k := range s.subjects() {
			left := slices.DeleteFunc(l.bySubject[k], func(other *crashRecord) bool { return other == r })
			if len(left) == 0 {
				delete(l.bySubject, k)
			} else {
				l.bySubject[k] = left
			}
		}
	}
}

// with returns the crashes that have a subject among their suspects, in order of time.
func (l *crashLog) with(s Subject) []*crashRecord {
	out := slices.Clone(l.bySubject[s])
	slices.SortFunc(out, func(a, b *crashRecord) int { return a.At.Compare(b.At) })
	return out
}

// nextReports returns the recent crashes to report in one message. Those that were reported
// the longest ago come first.
func (l *crashLog) nextReports(now time.Time) []Crash {
	var recent []*crashRecord
	for _, r := range l.records {
		if now.Sub(r.heardAt) <= crashReportTime {
			recent = append(recent, r)
		}
	}
	slices.SortFunc(recent, func(a, b *crashRecord) int {
		return cmp.Or(a.reportedAt.Compare(b.reportedAt), a.heardAt.Compare(b.heardAt))
	})
	var out []Crash
	for _, r := range recent[:min(len(recent), maxReported)] {
		r.reportedAt = now
		c := r.Crash
		c.Suspects = slices.Clone(r.Suspects)
		out = append(out, c)
	}
	return out
}
