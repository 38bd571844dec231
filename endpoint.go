package buckthornpin

import (
	"slices"
	"time"
)

// Endpoint is one announced model engine or plain service. It is immutable;
// the With methods return changed copies.
type Endpoint struct {
	ID          string
	Address     string
	Zone        string
	Models      []string
	Services    []string
	Capacity    int
	Incarnation int64
	Sequence    int64
	Leaving     bool
	Running     int
	// SeenAt is the time of the newest announcement on this process's clock.
	SeenAt time.Time
}

// WithSeenAt returns a copy whose newest announcement came at t.
func (e Endpoint) WithSeenAt(t time.Time) Endpoint {
	e.SeenAt = t
	return e
}

// WithLeaving returns a copy that takes no new work.
func (e Endpoint) WithLeaving() Endpoint {
	e.Leaving = true
	return e
}

// Newer reports whether e replaces o: a higher incarnation wins, then a higher
// sequence.
func (e Endpoint) Newer(o Endpoint) bool {
	if e.Incarnation != o.Incarnation {
		return e.Incarnation > o.Incarnation
	}
	return e.Sequence > o.Sequence
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
