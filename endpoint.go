package buckthornpin

import (
	"slices"
	"time"
)

// Endpoint is one announced model engine or plain service. It is immutable;
// the With methods return changed copies.
type Endpoint struct {
	ID      string
	Address string
	Zone    string
	Models  []string
	// Adapters are the adapters that an engine has loaded.
	Adapters    []string
	Services    []string
	Capacity    int
	Incarnation int64
	Sequence    int64
	Leaving     bool
	// Dead says that a router that watched the endpoint heard nothing for long.
	Dead bool
	// SeenAt is the time of the newest announcement that came to this process;
	// zero where only other routers hear the endpoint.
	SeenAt time.Time
}

// WithDead returns a copy that counts as dead, or as living again.
func (e Endpoint) WithDead(dead bool) Endpoint {
	e.Dead = dead
	return e
}

// WithLeaving returns a copy that takes no new work.
func (e Endpoint) WithLeaving() Endpoint {
	e.Leaving = true
	return e
}

// Newer reports whether e replaces o: a higher incarnation wins, then a higher
// sequence; at the same announcement the worse news wins.
func (e Endpoint) Newer(o Endpoint) bool {
	if e.Incarnation != o.Incarnation {
		return e.Incarnation > o.Incarnation
	}
	if e.Sequence != o.Sequence {
		return e.Sequence > o.Sequence
	}
	return e.Leaving && !o.Leaving || e.Dead && !o.Dead
}

// SameNews reports whether e says nothing that other routers must hear after o.
func (e Endpoint) SameNews(o Endpoint) bool {
	return e.Incarnation == o.Incarnation && e.Leaving == o.Leaving && e.Dead == o.Dead &&
		e.Address == o.Address && e.Zone == o.Zone && e.Capacity == o.Capacity &&
		slices.Equal(e.Models, o.Models) && slices.Equal(e.Adapters, o.Adapters) && slices.Equal(e.Services, o.Services)
}

// Serves reports whether the endpoint offers the target.
func (e Endpoint) Serves(t Target) bool {
	if t.Service != "" {
		return slices.Contains(e.Services, t.Service)
	}
	return slices.Contains(e.Models, t.Model)
}

// Target is what a request asks for: a model, or a plain service.
type Target struct {
	Model   string
	Service string
}

// Name returns the name of the model or service.
func (t Target) Name() string {
	if t.Service != "" {
		return t.Service
	}
	return t.Model
}
