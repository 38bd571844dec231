package peer

import (
	"math/bits"
	"strconv"

	"github.com/cespare/xxhash/v2"

	"buckthornpin"
	"buckthornpin/wire"
)

const (
	// extraSends is the number of sends beyond what an epidemic needs to reach all
	// routers.
	extraSends = 4
	// maxUpdates bounds the number of endpoints in one message.
	maxUpdates = 256
)

// RequiredSends returns how often an update has to be sent to reach all routers with
// high probability: twice the binary logarithm of their number, plus extraSends.
func (d *Directory) RequiredSends() int {
	return 2*bits.Len(uint(len(d.Addresses()))) + extraSends
}

// NextUpdates returns the updates that still have to be sent, and counts each as sent
// once.
func (d *Directory) NextUpdates() []*wire.EndpointState {
	d.mu.Lock()
	defer d.mu.Unlock()
	var out []*wire.EndpointState
	for e := range d.each() {
		if e.remainingSends > 0 && len(out) < maxUpdates {
			e.remainingSends--
			out = append(out, endpointState(e.endpoint))
		}
	}
	return out
}

// States returns the states of all known endpoints.
func (d *Directory) States() []*wire.EndpointState {
	d.mu.Lock()
	defer d.mu.Unlock()
	out := make([]*wire.EndpointState, 0, len(d.entries))
	for e := range d.each() {
		out = append(out, endpointState(e.endpoint))
	}
	return out
}

func decodeState(s *wire.EndpointState) buckthornpin.Endpoint {
	return buckthornpin.Endpoint{
		ID: s.GetEndpoint(), Address: s.GetAddress(), Zone: s.GetZone(), Models: s.GetModels(), Adapters: s.GetAdapters(), Services: s.GetServices(),
		Capacity: int(s.GetCapacity()), Incarnation: s.GetIncarnation(), Sequence: s.GetSequence(),
		Leaving: s.GetLeaving(), Dead: s.GetDead(), Version: s.GetVersion(),
	}
}

// Merge merges endpoint states reported by another process. One that can't be used is left out,
// so that it doesn't keep the others back. It returns this process's states of those endpoints
// of which the other one knows only an earlier incarnation.
func (d *Directory) Merge(states []*wire.EndpointState) []*wire.EndpointState {
	var newer []*wire.EndpointState
	for _, s := range states {
		e := decodeState(s)
		if !d.accepts(e) {
			continue
		}
		for _, later := range d.MergeEndpoint(e) {
			newer = append(newer, endpointState(later))
		}
	}
	return newer
}

// statesOf returns what is known under one id, a state for each service with SplitByService.
func (d *Directory) statesOf(id string) []*wire.EndpointState {
	d.mu.Lock()
	defer d.mu.Unlock()
	var out []*wire.EndpointState
	for _, e := range d.entries[id] {
		out = append(out, endpointState(e.endpoint))
	}
	return out
}

// Digest returns a hash of the identities, incarnations and addresses of all living
// endpoints, independent of their order. Two processes that know the same endpoints
// have the same digest. It is never 0.
func (d *Directory) Digest() uint64 {
	d.mu.Lock()
	defer d.mu.Unlock()
	sum := uint64(1)
	for e := range d.each() {
		if e.endpoint.Leaving || e.endpoint.Dead {
			continue
		}
		h := xxhash.New()
		_, _ = h.WriteString(e.endpoint.ID)
		_, _ = h.WriteString("/" + strconv.FormatInt(e.endpoint.Incarnation, 36) + "/" + e.endpoint.Address)
		sum += h.Sum64()
	}
	return max(sum, 1)
}

func endpointState(e buckthornpin.Endpoint) *wire.EndpointState {
	return &wire.EndpointState{
		Endpoint: e.ID, Address: e.Address, Zone: e.Zone, Models: e.Models, Adapters: e.Adapters, Services: e.Services,
		Capacity: int32(e.Capacity), Incarnation: e.Incarnation, Sequence: e.Sequence, Leaving: e.Leaving, Dead: e.Dead, Version: e.Version,
	}
}
