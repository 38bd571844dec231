package event

import (
	"cmp"
	"slices"
	"sync"

	"buckthornpin"
)

// DefaultCapacity is the number of events that a Timeline keeps by default.
const DefaultCapacity = 8192

// Timeline holds the events of one process in a ring buffer. Its exported fields
// must be set before first use.
type Timeline struct {
	// VM and Role are set in every recorded event.
	VM    string
	Role  string
	Clock *Clock
	// Capacity is the number of events to keep; 0 means DefaultCapacity.
	Capacity int

	mu     sync.Mutex
	events []buckthornpin.Event
	// oldest is the index of the event that the next one replaces once the ring is
	// full.
	oldest int
}

// Record stamps an event and stores it. A full ring drops its oldest event.
func (l *Timeline) Record(e buckthornpin.Event) {
	e.At = l.Clock.Next()
	e.VM = l.VM
	e.Role = l.Role
	l.mu.Lock()
	defer l.mu.Unlock()
	if len(l.events) < l.capacity() {
		l.events = append(l.events, e)
		return
	}
	l.events[l.oldest] = e
	l.oldest = (l.oldest + 1) % len(l.events)
}

// Events returns the stored events that match f, oldest first.
func (l *Timeline) Events(f Filter) []buckthornpin.Event {
	l.mu.Lock()
	all := slices.Concat(l.events[l.oldest:], l.events[:l.oldest])
	l.mu.Unlock()
	return slices.DeleteFunc(all, func(e buckthornpin.Event) bool { return !f.Matches(e) })
}

func (l *Timeline) capacity() int {
	if l.Capacity > 0 {
		return l.Capacity
	}
	return DefaultCapacity
}

// Filter selects events by their fields; an empty field matches any value.
type Filter struct {
	Request      string
	Organisation string
	VM           string
}

// Matches reports whether e matches the filter.
func (f Filter) Matches(e buckthornpin.Event) bool {
	return (f.Request == "" || f.Request == e.Request) &&
		(f.Organisation == "" || f.Organisation == e.Organisation) &&
		(f.VM == "" || f.VM == e.VM)
}

// Merge combines the events of several processes into one causally ordered list.
func Merge(timelines ...[]buckthornpin.Event) []buckthornpin.Event {
	all := slices.Concat(timelines...)
	slices.SortStableFunc(all, func(a, b buckthornpin.Event) int {
		return cmp.Or(cmp.Compare(a.At, b.At), cmp.Compare(a.VM, b.VM))
	})
	return all
}
