package peer

import (
	"sync"
	"time"
)

// trip is the way of one round of the mesh to other processes and back. The shortest
// one counts: what all have in common is this process's own link.
type trip struct {
	// trips is nil where nobody is told.
	trips Trips
	began time.Time
	first sync.Once
}

// beginTrip begins the trip of a round, which tells nothing if it asks nobody.
func (m *Mesh) beginTrip(asks bool) *trip {
	t := &trip{began: time.Now()}
	if asks && m.Trips != nil {
		t.trips = m.Trips
		t.trips.ObserveRound(t.began)
	}
	return t
}

// replied notes a reply, the first of which is the shortest trip.
func (t *trip) replied() {
	if t.trips == nil {
		return
	}
	t.first.Do(func() {
		now := time.Now()
		t.trips.ObserveTrip(now.Sub(t.began), now)
	})
}

// ended notes that nothing more can come. A round that nobody has answered by then was
// refused, or is too old to tell anything.
func (t *trip) ended() {
	if t.trips == nil {
		return
	}
	t.first.Do(func() { t.trips.ForgetRound(t.began) })
}
