package peer

import (
	"time"

	"buckthornpin/route"
	"buckthornpin/wire"
)

// Crashes holds what a router knows of endpoints that crash.
type Crashes interface {
	// Reports returns what to report in one message.
	Reports(now time.Time) ([]route.Crash, []route.Clearance)
	// Restrictions returns the quarantines and the probations in force.
	Restrictions(now time.Time) []route.Hold
	// RecordCrash and Merge record what another router has reported.
	RecordCrash(c route.Crash, now time.Time)
	Merge(holds []route.Hold, clearances []route.Clearance, now time.Time)
}

// addCrashes adds what this router reports of crashes to a message.
func (m *Mesh) addCrashes(r *wire.TellRequest, now time.Time) {
	if m.Crashes == nil {
		return
	}
	crashes, clearances := m.Crashes.Reports(now)
	for _, c := range crashes {
		r.Crashes = append(r.Crashes, crashState(c, now))
	}
	for _, c := range clearances {
		r.Clearances = append(r.Clearances, &wire.ClearanceState{Part: uint64(c.Subject), Version: c.Version, AgeMs: now.Sub(c.AnsweredAt).Milliseconds()})
	}
	r.Holds = m.holdStates(now)
}

func crashState(c route.Crash, now time.Time) *wire.CrashState {
	out := &wire.CrashState{Endpoint: c.Endpoint, Incarnation: c.Incarnation, Version: c.Version, AgeMs: now.Sub(c.At).Milliseconds()}
	for _, s := range c.Suspects {
		suspect := &wire.SuspectState{Request: uint64(s.Request)}
		for _, p := range s.Parts {
			suspect.Parts = append(suspect.Parts, uint64(p))
		}
		out.Suspects = append(out.Suspects, suspect)
	}
	return out
}

// holdStates returns the quarantines and probations in force, as they are reported.
func (m *Mesh) holdStates(now time.Time) []*wire.HoldState {
	if m.Crashes == nil {
		return nil
	}
	var out []*wire.HoldState
	for _, h := range m.Crashes.Restrictions(now) {
		out = append(out, &wire.HoldState{
			Subject: uint64(h.Subject), Version: h.Version, Generation: int32(h.Generation), RemainingMs: h.Until.Sub(now).Milliseconds(),
		})
	}
	return out
}

// recordCrashes records what another router has reported of crashes.
func (m *Mesh) recordCrashes(r *wire.TellRequest, now time.Time) {
	if m.Crashes == nil {
		return
	}
	for _, s := range r.GetCrashes() {
		c := route.Crash{Endpoint: s.GetEndpoint(), Incarnation: s.GetIncarnation(), Version: s.GetVersion(), At: ago(now, s.GetAgeMs())}
		for _, k := range s.GetSuspects() {
			suspect := route.Suspect{Request: route.Subject(k.GetRequest())}
			for _, p := range k.GetParts() {
				suspect.Parts = append(suspect.Parts, route.Subject(p))
			}
			c.Suspects = append(c.Suspects, suspect)
		}
		m.Crashes.RecordCrash(c, now)
	}
	var clearances []route.Clearance
	for _, c := range r.GetClearances() {
		clearances = append(clearances, route.Clearance{Subject: route.Subject(c.GetPart()), Version: c.GetVersion(), AnsweredAt: ago(now, c.GetAgeMs())})
	}
	m.mergeHolds(r.GetHolds(), clearances, now)
}

func (m *Mesh) mergeHolds(states []*wire.HoldState, clearances []route.Clearance, now time.Time) {
	if m.Crashes == nil || len(states)+len(clearances) == 0 {
		return
	}
	var holds []route.Hold
	for _, h := range states {
		holds = append(holds, route.Hold{
			Subject: route.Subject(h.GetSubject()), Version: h.GetVersion(), Generation: int(h.GetGeneration()),
			Until: now.Add(time.Duration(h.GetRemainingMs()) * time.Millisecond),
		})
	}
	m.Crashes.Merge(holds, clearances, now)
}

func ago(now time.Time, ms int64) time.Time {
	return now.Add(-time.Duration(max(ms, 0)) * time.Millisecond)
}
