// Package peer is what routers tell each other: the endpoints they know, by
// periodic anti-entropy, and the keys they work on.
package peer

import (
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"buckthornpin"
	"buckthornpin/wire"
)

const (
	// forgetAfter is how long a silent or leaving endpoint is remembered, so
	// that an old announcement can't bring it back.
	forgetAfter = time.Minute
)

// Directory is what one router knows of the endpoints. Its exported fields are
// set before first use.
type Directory struct {
	Events buckthornpin.Recorder
	// DeadAfter is the age of an announcement beyond which an endpoint counts
	// as dead.
	DeadAfter time.Duration
	// Addresses returns the routers that take announcements.
	Addresses func() []string

	mu        sync.Mutex
	endpoints map[string]*buckthornpin.Endpoint
	dead      map[string]bool
	index     atomic.Pointer[directoryIndex]
}

type directoryIndex struct {
	all      []*buckthornpin.Endpoint
	byTarget map[buckthornpin.Target][]*buckthornpin.Endpoint
}

// Put takes an announcement. An older one changes nothing; one that is leaving
// stays so until a new incarnation.
func (d *Directory) Put(e buckthornpin.Endpoint) {
	d.mu.Lock()
	defer d.mu.Unlock()
	old := d.endpoints[e.ID]
	if old != nil && !e.Newer(*old) {
		return
	}
	if old != nil && old.Leaving && old.Incarnation == e.Incarnation {
		e = e.WithLeaving()
	}
	d.recordChange(old, e)
	d.set(e)
}

func (d *Directory) recordChange(old *buckthornpin.Endpoint, e buckthornpin.Endpoint) {
	if e.Leaving && (old == nil || !old.Leaving) {
		d.Events.Record(buckthornpin.Event{Kind: buckthornpin.EventEndpointLeave, Endpoint: e.ID})
		return
	}
	if !e.Leaving && (old == nil || old.Incarnation != e.Incarnation || d.dead[e.ID]) {
		d.Events.Record(buckthornpin.Event{Kind: buckthornpin.EventEndpointNew, Endpoint: e.ID})
	}
}

// set stores e. The index is rebuilt only where the targets or the members
// change. The caller holds mu.
func (d *Directory) set(e buckthornpin.Endpoint) {
	if d.endpoints == nil {
		d.endpoints = map[string]*buckthornpin.Endpoint{}
		d.dead = map[string]bool{}
	}
	d.endpoints[e.ID] = &e
	delete(d.dead, e.ID)
	d.index.Store(nil)
}

// MarkLeaving takes an endpoint's own word that it is leaving.
func (d *Directory) MarkLeaving(id string, incarnation int64) {
	d.mu.Lock()
	defer d.mu.Unlock()
	old := d.endpoints[id]
	if old == nil || old.Incarnation != incarnation || old.Leaving {
		return
	}
	d.recordChange(old, old.WithLeaving())
	d.set(old.WithLeaving())
}

// AnnounceAddresses returns the routers that take announcements.
func (d *Directory) AnnounceAddresses() []string { return d.Addresses() }

// Endpoints returns all known endpoints, ordered by name.
func (d *Directory) Endpoints() []*buckthornpin.Endpoint { return d.current().all }

// Serving returns the endpoints that offer a target.
func (d *Directory) Serving(t buckthornpin.Target) []*buckthornpin.Endpoint {
	return d.current().byTarget[t]
}

// Models returns the names of the models that a living endpoint offers.
func (d *Directory) Models() []string {
	var out []string
	for t, es := range d.current().byTarget {
		if t.Model != "" && slices.ContainsFunc(es, d.alive) {
			out = append(out, t.Model)
		}
	}
	slices.Sort(out)
	return out
}

func (d *Directory) alive(e *buckthornpin.Endpoint) bool {
	return !e.Leaving && time.Since(e.SeenAt) <= d.DeadAfter
}

func (d *Directory) current() *directoryIndex {
	if ix := d.index.Load(); ix != nil {
		return ix
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	ix := &directoryIndex{byTarget: map[buckthornpin.Target][]*buckthornpin.Endpoint{}}
	for _, e := range d.endpoints {
		ix.all = append(ix.all, e)
	}
	slices.SortFunc(ix.all, func(a, b *buckthornpin.Endpoint) int {
		if a.ID < b.ID {
			return -1
		}
		return 1
	})
	for _, e := range ix.all {
		ix.add(e)
	}
	d.index.Store(ix)
	return ix
}

func (ix *directoryIndex) add(e *buckthornpin.Endpoint) {
	for _, m := range e.Models {
		t := buckthornpin.Target{Model: m}
		ix.byTarget[t] = append(ix.byTarget[t], e)
	}
	for _, s := range e.Services {
		t := buckthornpin.Target{Service: s}
		ix.byTarget[t] = append(ix.byTarget[t], e)
	}
}

// Sweep notes the endpoints that have died and forgets the long silent ones.
func (d *Directory) Sweep(now time.Time) {
	d.mu.Lock()
	defer d.mu.Unlock()
	for id, e := range d.endpoints {
		age := now.Sub(e.SeenAt)
		if age > d.DeadAfter && !d.dead[id] {
			d.dead[id] = true
			d.Events.Record(buckthornpin.Event{Kind: buckthornpin.EventEndpointDead, Endpoint: id})
		}
		if age > d.DeadAfter+forgetAfter {
			delete(d.endpoints, id)
			delete(d.dead, id)
			d.index.Store(nil)
		}
	}
}

// States returns what the router tells others.
func (d *Directory) States(now time.Time) []*wire.EndpointState {
	all := d.Endpoints()
	out := make([]*wire.EndpointState, 0, len(all))
	for _, e := range all {
		out = append(out, &wire.EndpointState{
			Endpoint: e.ID, Address: e.Address, Zone: e.Zone, Models: e.Models, Services: e.Services,
			Capacity: int32(e.Capacity), Incarnation: e.Incarnation, Sequence: e.Sequence,
			Leaving: e.Leaving, Running: int32(e.Running), AgeMs: now.Sub(e.SeenAt).Milliseconds(),
		})
	}
	return out
}

// Merge takes what another router knows. Ages travel in place of times, so that
// clocks need not agree.
func (d *Directory) Merge(states []*wire.EndpointState, now time.Time) {
	for _, s := range states {
		age := time.Duration(max(s.GetAgeMs(), 0)) * time.Millisecond
		if age > d.DeadAfter+forgetAfter {
			continue
		}
		d.Put(buckthornpin.Endpoint{
			ID: s.GetEndpoint(), Address: s.GetAddress(), Zone: s.GetZone(), Models: s.GetModels(), Services: s.GetServices(),
			Capacity: int(s.GetCapacity()), Incarnation: s.GetIncarnation(), Sequence: s.GetSequence(),
			Leaving: s.GetLeaving(), Running: int(s.GetRunning()), SeenAt: now.Add(-age),
		})
	}
}
