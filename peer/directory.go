// Package peer is what processes tell each other: who lives, the endpoints they
// know, what routers have under way and the keys they work on. An endpoint announces itself to a few routers, which watch
// it; the others hear of changes only, so that a heartbeat costs nothing beyond
// those few.
package peer

import (
	"cmp"
	"fmt"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"buckthornpin"
)

// forgetAfter is how long a dead or leaving endpoint is remembered, so that old
// news can't bring it back.
const forgetAfter = 5 * time.Minute

// Directory is what one router knows of the endpoints. Its exported fields are
// set before first use.
type Directory struct {
	Events buckthornpin.Recorder
	// DeadAfter is the silence after which a watched endpoint counts as dead.
	DeadAfter time.Duration
	// Addresses returns the routers that take announcements.
	Addresses func() []string

	mu      sync.Mutex
	entries map[string]*entry
	index   atomic.Pointer[directoryIndex]
}

// entry is an endpoint and how often its news still has to be told.
type entry struct {
	endpoint buckthornpin.Endpoint
	// newestSequence is that of the newest announcement heard directly.
	newestSequence int64
	tellings       int
	endedAt        time.Time
}

type directoryIndex struct {
	all      []*buckthornpin.Endpoint
	byTarget map[buckthornpin.Target][]*buckthornpin.Endpoint
}

// Put takes an announcement of the endpoint itself.
func (d *Directory) Put(e buckthornpin.Endpoint) {
	d.mu.Lock()
	defer d.mu.Unlock()
	old := d.entries[e.ID]
	if old == nil {
		d.set(e, nil)
		d.replaceAt(e)
		return
	}
	if !e.Newer(old.endpoint) && e.Sequence <= old.newestSequence {
		return
	}
	if old.endpoint.Incarnation > e.Incarnation {
		return
	}
	e.Leaving = e.Leaving || old.endpoint.Leaving && old.endpoint.Incarnation == e.Incarnation
	if e.SameNews(old.endpoint) {
		old.newestSequence = e.Sequence
		old.endpoint.SeenAt = e.SeenAt
		return
	}
	d.set(e, old)
}

// Tell takes what another router says of an endpoint.
func (d *Directory) Tell(e buckthornpin.Endpoint) {
	d.mu.Lock()
	defer d.mu.Unlock()
	old := d.entries[e.ID]
	if old == nil {
		d.set(e, nil)
		return
	}
	if !e.Newer(old.endpoint) {
		return
	}
	e.SeenAt = old.endpoint.SeenAt
	if e.Incarnation != old.endpoint.Incarnation {
		e.SeenAt = time.Time{}
	}
	if d.refutes(old, e) {
		living := old.endpoint.WithDead(false)
		living.Sequence = old.newestSequence
		d.set(living, old)
		return
	}
	d.set(e, old)
}

// refutes reports whether this router has heard an endpoint itself, later than
// the router that counts it as dead.
func (d *Directory) refutes(old *entry, e buckthornpin.Endpoint) bool {
	return e.Dead && e.Incarnation == old.endpoint.Incarnation && old.newestSequence > e.Sequence &&
		time.Since(old.endpoint.SeenAt) <= d.DeadAfter
}

// MarkLeaving takes an endpoint's own word, given to a request, that it leaves.
func (d *Directory) MarkLeaving(id string, incarnation int64) {
	d.mu.Lock()
	defer d.mu.Unlock()
	old := d.entries[id]
	if old == nil || old.endpoint.Incarnation != incarnation || old.endpoint.Leaving {
		return
	}
	d.set(old.endpoint.WithLeaving(), old)
}

// Leave takes an endpoint's word that it leaves. An endpoint that isn't known is
// noted too, so that a late heartbeat doesn't bring it back.
func (d *Directory) Leave(id string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	old := d.entries[id]
	if old == nil {
		d.set(buckthornpin.Endpoint{ID: id, Leaving: true}, nil)
		return
	}
	if !old.endpoint.Leaving {
		left := old.endpoint.WithLeaving()
		left.Sequence = old.newestSequence
		d.set(left, old)
	}
}

// replaceAt ends the entries of earlier processes at an endpoint's address. The
// caller holds mu.
func (d *Directory) replaceAt(e buckthornpin.Endpoint) {
	for id, old := range d.entries {
		o := old.endpoint
		if id != e.ID && o.Address == e.Address && !o.Leaving && o.Incarnation > 0 && o.Incarnation < e.Incarnation {
			d.set(o.WithLeaving(), old)
		}
	}
}

// set stores news and tells others of it. The caller holds mu.
func (d *Directory) set(e buckthornpin.Endpoint, old *entry) {
	if d.entries == nil {
		d.entries = map[string]*entry{}
	}
	next := &entry{endpoint: e, newestSequence: e.Sequence, tellings: d.tellings()}
	if old != nil && old.endpoint.Incarnation == e.Incarnation {
		next.newestSequence = max(old.newestSequence, e.Sequence)
	}
	if e.Leaving || e.Dead {
		next.endedAt = time.Now()
	}
	d.entries[e.ID] = next
	d.index.Store(nil)
	d.record(old, e)
}

func (d *Directory) record(old *entry, e buckthornpin.Endpoint) {
	kind := buckthornpin.EventEndpointNew
	switch {
	case e.Leaving:
		kind = buckthornpin.EventEndpointLeave
	case e.Dead:
		kind = buckthornpin.EventEndpointDead
	}
	if old == nil || !e.SameNews(old.endpoint) {
		detail := fmt.Sprintf("%s of %v, started %d, announcement %d", e.Address, e.Services, e.Incarnation, e.Sequence)
		d.Events.Record(buckthornpin.Event{Kind: kind, Endpoint: e.ID, Detail: detail})
	}
}

// Sweep counts watched endpoints as dead that have been silent for long, and
// forgets what ended long ago.
func (d *Directory) Sweep(now time.Time) {
	d.mu.Lock()
	defer d.mu.Unlock()
	for id, old := range d.entries {
		e := old.endpoint
		silent := !e.SeenAt.IsZero() && now.Sub(e.SeenAt) > d.DeadAfter
		if silent && !e.Dead && !e.Leaving {
			dead := e.WithDead(true)
			dead.Sequence = old.newestSequence
			d.set(dead, old)
		}
		if !old.endedAt.IsZero() && now.Sub(old.endedAt) > forgetAfter {
			delete(d.entries, id)
			d.index.Store(nil)
		}
	}
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
		if t.Model != "" && slices.ContainsFunc(es, alive) {
			out = append(out, t.Model)
		}
	}
	slices.Sort(out)
	return out
}

func alive(e *buckthornpin.Endpoint) bool { return !e.Leaving && !e.Dead }

func (d *Directory) current() *directoryIndex {
	if ix := d.index.Load(); ix != nil {
		return ix
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	ix := &directoryIndex{byTarget: map[buckthornpin.Target][]*buckthornpin.Endpoint{}}
	for _, old := range d.entries {
		e := old.endpoint
		ix.all = append(ix.all, &e)
	}
	slices.SortFunc(ix.all, func(a, b *buckthornpin.Endpoint) int { return cmp.Compare(a.ID, b.ID) })
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
