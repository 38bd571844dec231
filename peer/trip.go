package peer

import (
	"sync"
	"time"
)

// trip is the way of one round of the mesh to other processes and back. The shortest
// one counts: what all have in common is this process's own link.
type trip struct {
	began time.Time
	first sync.Once
	asked int
}

func (m *Mesh) beginTrip(asked int) *trip {
	t := &trip{began: time.Now(), asked: asked}
	if asked > 0 && m.RoundBegan != nil {
		m.RoundBegan(t.began)
	}
	return t
}

// replied notes a reply, the first of which is the shortest trip.
func (t *trip) replied(m *Mesh) {
	t.first.Do(func() {
		if m.ShortestTrip != nil {
			now := time.Now()
			m.ShortestTrip(now.Sub(t.began), now)
		}
	})
}

// ended notes that nothing more can come. A round that nobody has answered by then was
// refused, or is too old to tell anything.
func (t *trip) ended(m *Mesh) {
	t.first.Do(func() {
		if t.asked > 0 && m.RoundLost != nil {
			m.RoundLost(t.began)
		}
	})
}
