package event

import (
	"cmp"
	"slices"
	"sync"

	"buckthornpin"
)

// DefaultCapacity is the number of events that a process keeps.
const DefaultCapacity = 8192

// Line is the time line of one process: a bounded ring. Its exported fields are
// set before first use.
type Line struct {
	VM       string
	Role     string
	Clock    *Clock
	Capacity int

	mu     sync.Mutex
	events []buckthornpin.Event
	next   int
}

// Record stamps an event and keeps it; the oldest one makes room.
func (l *Line) Record(e buckthornpin.Event) {
	e.At = l.Clock.Next()
	e.VM = l.VM
	e.Role = l.Role
	l.mu.Lock()
	defer l.mu.Unlock()
	if len(l.events) < l.capacity() {
		l.events = append(l.events, e)
		return
	}
	l.events[l.next] = e
	l.next = (l.next + 1) % len(l.events)
}

// Events returns the kept events that f selects, the oldest first.
func (l *Line) Events(f Filter) []buckthornpin.Event {
	l.mu.Lock()
	all := slices.Concat(l.events[l.next:], l.events[:l.next])
	l.mu.Unlock()
	return slices.DeleteFunc(all, func(e buckthornpin.Event) bool { return !f.Selects(e) })
}

func (l *Line) capacity() int {
	if l.Capacity > 0 {
		return l.Capacity
	}
	return DefaultCapacity
}

// Filter selects events; an empty field selects all.
type Filter struct {
	Request      string
	Organisation string
	VM           string
}

// Selects reports whether the filter selects e.
func (f Filter) Selects(e buckthornpin.Event) bool {
	return (f.Request == "" || f.Request == e.Request) &&
		(f.Organisation == "" || f.Organisation == e.Organisation) &&
		(f.VM == "" || f.VM == e.VM)
}

// Merge orders the time lines of several processes causally.
func Merge(lines ...[]buckthornpin.Event) []buckthornpin.Event {
	all := slices.Concat(lines...)
	slices.SortStableFunc(all, func(a, b buckthornpin.Event) int {
		return cmp.Or(cmp.Compare(a.At, b.At), cmp.Compare(a.VM, b.VM))
	})
	return all
}
