package peer

import (
	"iter"
	"time"

	"buckthornpin"
)

// entry holds an endpoint and the number of times its update still has to be sent.
type entry struct {
	endpoint buckthornpin.Endpoint
	// newestSequence is the sequence number of the newest announcement received from
	// the endpoint itself.
	newestSequence int64
	remainingSends int
	endedAt        time.Time
}

// identified reports whether the endpoint has been announced. Otherwise all that is known
// of it is that it left.
func (e *entry) identified() bool { return e.endpoint.Address != "" || e.endpoint.Incarnation != 0 }

// entryKey tells the entries under one id apart: the service with SplitByService, otherwise "".
// It is also "" for an endpoint of which all that is known is that it left, since that is
// reported without a service.
func (d *Directory) entryKey(e buckthornpin.Endpoint) string {
	if !d.SplitByService || len(e.Services) == 0 {
		return ""
	}
	return e.Services[0]
}

// known returns the entry that a state of an endpoint is compared with, or nil: the one with
// the same key, unless a later incarnation has left without being known. The caller holds mu.
func (d *Directory) known(e buckthornpin.Endpoint) *entry {
	same, departed := d.entries[e.ID][d.entryKey(e)], d.entries[e.ID][""]
	if same == nil || departed != nil && departed.endpoint.Incarnation > same.endpoint.Incarnation {
		return departed
	}
	return same
}

// each iterates over all entries, which may be stored and removed meanwhile. The caller holds mu.
func (d *Directory) each() iter.Seq[*entry] {
	return func(yield func(*entry) bool) {
		for _, byKey := range d.entries {
			for _, e := range byKey {
				if !yield(e) {
					return
				}
			}
		}
	}
}

// remove removes the entry of an endpoint. The caller holds mu.
func (d *Directory) remove(e buckthornpin.Endpoint) {
	delete(d.entries[e.ID], d.entryKey(e))
	if len(d.entries[e.ID]) == 0 {
		delete(d.entries, e.ID)
	}
	d.index.Store(nil)
}

// newestIncarnation returns the highest incarnation among entries.
func newestIncarnation(entries map[string]*entry) int64 {
	newest := int64(0)
	for _, e := range entries {
		newest = max(newest, e.endpoint.Incarnation)
	}
	return newest
}
