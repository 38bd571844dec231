package peer

import (
	"sync"
	"time"
)

// roundTripTimer measures one round of the mesh, from its start to the first reply. Only
// the shortest round trip is reported, since the link of this process is the part that
// all round trips have in common.
type roundTripTimer struct {
	// observer is nil if the round contacts no process or Mesh.RoundTrips is nil.
	observer RoundTripObserver
	began    time.Time
	first    sync.Once
}

// startRoundTrip starts the measurement of a round. A round without messages reports
// nothing.
func (m *Mesh) startRoundTrip(hasTargets bool) *roundTripTimer {
	t := &roundTripTimer{began: time.Now()}
	if hasTargets && m.RoundTrips != nil {
		t.observer = m.RoundTrips
		t.observer.ObserveRound(t.began)
	}
	return t
}

// replied records a reply. The first one is the shortest round trip.
func (t *roundTripTimer) replied() {
	if t.observer == nil {
		return
	}
	t.first.Do(func() {
		now := time.Now()
		t.observer.ObserveRoundTrip(now.Sub(t.began), now)
	})
}

// ended records that no more replies can come. If there was none until then, the
// messages were refused, or the round is too old to show anything about the link.
func (t *roundTripTimer) ended() {
	if t.observer == nil {
		return
	}
	t.first.Do(func() { t.observer.ForgetRound(t.began) })
}
