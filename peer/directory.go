// Package peer implements the communication between processes: membership, the known
// endpoints, the requests in progress at each router and the request keys that routers
// work on. An endpoint announces itself to a few routers, which watch it. The other
// routers receive only changes, so heartbeats cause no traffic beyond those few.
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

// endedEndpointRetention is how long a dead or leaving endpoint is remembered, so that
// an outdated update cannot bring it back.
const endedEndpointRetention = 5 * time.Minute

// Directory holds the endpoints that one process has learned of, and their states. Its
// exported fields are set before first use.
type Directory struct {
	Events buckthornpin.Recorder
	// DeadAfter is the time without an announcement after which a watched endpoint is
	// considered dead.
	DeadAfter time.Duration
	// Addresses returns the addresses of the routers that take announcements.
	Addresses func() []string
	// SplitByService keeps what is announced under one id for different services apart.
	// It is set where anyone may announce endpoints, and each has one service: an
	// announcement for another service then doesn't affect the endpoint with that id.
	SplitByService bool

	mu sync.Mutex
	// entries is indexed by id, then as entryKey says.
	entries map[string]map[string]*entry
	index   atomic.Pointer[directoryIndex]
}

type directoryIndex struct {
	all      []*buckthornpin.Endpoint
	byTarget map[buckthornpin.Target][]*buckthornpin.Endpoint
}

// accepts reports whether an endpoint may be stored, and records why not. What reports it may
// be a process of a build that checks names less strictly.
func (d *Directory) accepts(e buckthornpin.Endpoint) bool {
	err := e.Check()
	if err != nil {
		d.Events.Record(buckthornpin.Event{Kind: buckthornpin.EventEndpointRefused, Detail: err.Error()})
	}
	return err == nil
}

// Put stores an announcement that came from the endpoint itself.
func (d *Directory) Put(e buckthornpin.Endpoint) {
	if !d.accepts(e) {
		return
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	old := d.known(e)
	if old == nil {
		d.store(e, nil)
		return
	}
	if old.endpoint.Incarnation > e.Incarnation || d.leftUnidentified(old, e) {
		return
	}
	if !e.Supersedes(old.endpoint) && e.Sequence <= old.newestSequence {
		d.mergeLeaving(old, e)
		return
	}
	e.Leaving = e.Leaving || old.endpoint.Leaving && old.endpoint.Incarnation == e.Incarnation
	if e.SameState(old.endpoint) {
		old.newestSequence = e.Sequence
		old.endpoint.SeenAt = e.SeenAt
		return
	}
	d.store(e, old)
}

// MergeEndpoint merges an endpoint state reported by another process. It returns what this
// process knows of later incarnations.
func (d *Directory) MergeEndpoint(e buckthornpin.Endpoint) (later []buckthornpin.Endpoint) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.entryKey(e) != "" || !d.mergeDeparture(e) {
		d.merge(d.known(e), e)
	}
	for key, k := range d.entries[e.ID] {
		related := key == d.entryKey(e) || key == "" || d.entryKey(e) == ""
		if related && k.endpoint.Incarnation > e.Incarnation {
			later = append(later, k.endpoint)
		}
	}
	return later
}

// mergeDeparture merges a report that says no more of an endpoint than that it left, with the
// entries of its services. It returns false if none of them is of that incarnation or a later
// one, so that the report has to be kept. The caller holds mu.
func (d *Directory) mergeDeparture(e buckthornpin.Endpoint) bool {
	merged := false
	for key, k := range d.entries[e.ID] {
		if key == "" {
			continue
		}
		if e.Leaving && !k.endpoint.Leaving && k.endpoint.Incarnation <= e.Incarnation {
			d.store(k.endpoint.WithLeaving(), k)
		}
		merged = merged || k.endpoint.Incarnation >= e.Incarnation
	}
	return merged
}

// merge merges a reported state with the entry that it is compared with, if there is one.
// The caller holds mu.
func (d *Directory) merge(old *entry, e buckthornpin.Endpoint) {
	if old == nil {
		d.store(e, nil)
		return
	}
	if !e.Supersedes(old.endpoint) {
		d.mergeLeaving(old, e)
		return
	}
	if e.Incarnation == old.endpoint.Incarnation {
		e.SeenAt = old.endpoint.SeenAt
		e.Leaving = e.Leaving || old.endpoint.Leaving
	} else {
		e.SeenAt = time.Time{}
	}
	if d.refutes(old, e) {
		living := old.endpoint.WithDead(false)
		living.Sequence = old.newestSequence
		living.Leaving = e.Leaving
		d.store(living, old)
		return
	}
	d.store(e, old)
}

// mergeLeaving takes over from an outdated announcement or report that the incarnation is
// leaving. An endpoint that is leaving never returns to service in the same incarnation,
// and the process that it told may have missed its latest announcements. The caller holds
// mu.
func (d *Directory) mergeLeaving(old *entry, e buckthornpin.Endpoint) {
	if e.Leaving && !old.endpoint.Leaving && e.Incarnation == old.endpoint.Incarnation {
		d.store(old.endpoint.WithLeaving(), old)
	}
}

// leftUnidentified reports whether e is probably a late announcement of an endpoint that
// has left before any incarnation of it was known.
func (d *Directory) leftUnidentified(old *entry, e buckthornpin.Endpoint) bool {
	return !old.identified() && !e.Leaving && time.Since(old.endedAt) < d.DeadAfter
}

// refutes reports whether e, a report that an endpoint is dead, is wrong: this process
// has received an announcement from the endpoint within DeadAfter, and a later one than
// the process that reports it dead.
func (d *Directory) refutes(old *entry, e buckthornpin.Endpoint) bool {
	return e.Dead && e.Incarnation == old.endpoint.Incarnation && old.newestSequence > e.Sequence &&
		time.Since(old.endpoint.SeenAt) <= d.DeadAfter
}

// MarkLeaving records that an endpoint has replied to a request that it is leaving.
func (d *Directory) MarkLeaving(id string, incarnation int64) {
	d.mu.Lock()
	defer d.mu.Unlock()
	for _, k := range d.entries[id] {
		if k.endpoint.Incarnation == incarnation && !k.endpoint.Leaving {
			d.store(k.endpoint.WithLeaving(), k)
		}
	}
}

// Leave records that an incarnation of an endpoint is leaving, or the newest known one if
// incarnation is 0, at all services of the id. An unknown endpoint is recorded too, so that a
// late heartbeat does not bring it back. If its incarnation isn't known either, every report of another process
// supersedes the record.
func (d *Directory) Leave(id string, incarnation int64) {
	left := buckthornpin.Endpoint{ID: id, Incarnation: incarnation, Leaving: true}
	if !d.accepts(left) {
		return
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	all := d.entries[id]
	if len(all) == 0 || incarnation > newestIncarnation(all) {
		d.store(left, all[""])
	}
	for _, k := range all {
		if k.endpoint.Leaving || incarnation != 0 && incarnation < k.endpoint.Incarnation {
			continue
		}
		leaving := k.endpoint.WithLeaving()
		leaving.Sequence = k.newestSequence
		d.store(leaving, k)
	}
}

// hasLeft reports whether an incarnation of an endpoint, or the newest known one if
// incarnation is 0, is leaving or gone. identified is false if all that is known of the
// endpoint is that it left.
func (d *Directory) hasLeft(id string, incarnation int64) (left, identified bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	all := d.entries[id]
	left = len(all) > 0
	for _, k := range all {
		left = left && (k.endpoint.Leaving || incarnation != 0 && incarnation < k.endpoint.Incarnation)
		identified = identified || k.identified()
	}
	return left, identified
}

// store stores a changed endpoint and schedules its update for the other processes. The
// caller holds mu.
func (d *Directory) store(e buckthornpin.Endpoint, old *entry) {
	if d.entries == nil {
		d.entries = map[string]map[string]*entry{}
	}
	if d.entries[e.ID] == nil {
		d.entries[e.ID] = map[string]*entry{}
	}
	next := &entry{endpoint: e, newestSequence: e.Sequence, remainingSends: d.RequiredSends()}
	if old != nil && old.endpoint.Incarnation == e.Incarnation {
		next.newestSequence = max(old.newestSequence, e.Sequence)
	}
	if e.Leaving || e.Dead {
		next.endedAt = time.Now()
	}
	d.entries[e.ID][d.entryKey(e)] = next
	d.index.Store(nil)
	d.recordEvent(old, e)
}

func (d *Directory) recordEvent(old *entry, e buckthornpin.Endpoint) {
	kind := buckthornpin.EventEndpointUpdated
	switch {
	case e.Leaving:
		kind = buckthornpin.EventEndpointLeaving
	case e.Dead:
		kind = buckthornpin.EventEndpointDead
	}
	if old == nil || !e.SameState(old.endpoint) {
		detail := fmt.Sprintf("%s of %v, started %d, announcement %d", e.Address, e.Services, e.Incarnation, e.Sequence)
		d.Events.Record(buckthornpin.Event{Kind: kind, Endpoint: e.ID, Detail: detail})
	}
}

// Sweep marks watched endpoints as dead after DeadAfter without an announcement, and
// removes endpoints that have been dead or leaving for endedEndpointRetention.
func (d *Directory) Sweep(now time.Time) {
	d.mu.Lock()
	defer d.mu.Unlock()
	for old := range d.each() {
		e := old.endpoint
		silent := !e.SeenAt.IsZero() && now.Sub(e.SeenAt) > d.DeadAfter
		if silent && !e.Dead && !e.Leaving {
			dead := e.WithDead(true)
			dead.Sequence = old.newestSequence
			d.store(dead, old)
		}
		if !old.endedAt.IsZero() && now.Sub(old.endedAt) > endedEndpointRetention {
			d.remove(e)
		}
	}
}

// Has reports whether an endpoint is known, be it serving or not.
func (d *Directory) Has(id string) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return len(d.entries[id]) > 0
}

// AnnounceAddresses returns the addresses of the routers that take announcements.
func (d *Directory) AnnounceAddresses() []string { return d.Addresses() }

// Endpoints returns all known endpoints, ordered by name.
func (d *Directory) Endpoints() []*buckthornpin.Endpoint { return d.current().all }

// Serving returns the endpoints that offer a target.
func (d *Directory) Serving(t buckthornpin.Target) []*buckthornpin.Endpoint {
	return d.current().byTarget[t]
}

// Models returns the names of the models that at least one living endpoint offers.
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
	for old := range d.each() {
		e := old.endpoint
		ix.all = append(ix.all, &e)
	}
	slices.SortFunc(ix.all, func(a, b *buckthornpin.Endpoint) int {
		return cmp.Or(cmp.Compare(a.ID, b.ID), slices.Compare(a.Services, b.Services))
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
