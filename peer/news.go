package peer

import (
	"math/bits"
	"strconv"

	"github.com/cespare/xxhash/v2"

	"buckthornpin"
	"buckthornpin/wire"
)

const (
	// extraTellings are told beyond what an epidemic needs to reach all routers.
	extraTellings = 4
	// maxNews bounds the endpoints of one message.
	maxNews = 256
)

// tellings returns how often news has to be told to reach all routers with high
// probability: a few more than the logarithm of their number.
func (d *Directory) tellings() int {
	return 2*bits.Len(uint(len(d.Addresses()))) + extraTellings
}

// News returns what still has to be told, and counts it as told once.
func (d *Directory) News() []*wire.EndpointState {
	d.mu.Lock()
	defer d.mu.Unlock()
	var out []*wire.EndpointState
	for _, e := range d.entries {
		if e.tellings > 0 && len(out) < maxNews {
			e.tellings--
			out = append(out, stateOf(e.endpoint))
		}
	}
	return out
}

// States returns all that the router knows.
func (d *Directory) States() []*wire.EndpointState {
	d.mu.Lock()
	defer d.mu.Unlock()
	out := make([]*wire.EndpointState, 0, len(d.entries))
	for _, e := range d.entries {
		out = append(out, stateOf(e.endpoint))
	}
	return out
}

// Merge takes what another router tells.
func (d *Directory) Merge(states []*wire.EndpointState) {
	for _, s := range states {
		d.Tell(buckthornpin.Endpoint{
			ID: s.GetEndpoint(), Address: s.GetAddress(), Zone: s.GetZone(), Models: s.GetModels(), Adapters: s.GetAdapters(), Services: s.GetServices(),
			Capacity: int(s.GetCapacity()), Incarnation: s.GetIncarnation(), Sequence: s.GetSequence(),
			Leaving: s.GetLeaving(), Dead: s.GetDead(),
		})
	}
}

// Digest sums up the news of all living endpoints, whatever their order. Two
// routers that know the same have the same digest, which is never 0.
func (d *Directory) Digest() uint64 {
	d.mu.Lock()
	defer d.mu.Unlock()
	sum := uint64(1)
	for id, e := range d.entries {
		if e.endpoint.Leaving || e.endpoint.Dead {
			continue
		}
		h := xxhash.New()
		_, _ = h.WriteString(id)
		_, _ = h.WriteString("/" + strconv.FormatInt(e.endpoint.Incarnation, 36) + "/" + e.endpoint.Address)
		sum += h.Sum64()
	}
	return max(sum, 1)
}

func stateOf(e buckthornpin.Endpoint) *wire.EndpointState {
	return &wire.EndpointState{
		Endpoint: e.ID, Address: e.Address, Zone: e.Zone, Models: e.Models, Adapters: e.Adapters, Services: e.Services,
		Capacity: int32(e.Capacity), Incarnation: e.Incarnation, Sequence: e.Sequence, Leaving: e.Leaving, Dead: e.Dead,
	}
}
