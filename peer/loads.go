package peer

import (
	"context"
	"sync"
	"time"

	"buckthornpin/route"
	"buckthornpin/wire"
)

// routerLoads is what a router has said to have under way.
type routerLoads struct {
	at        time.Time
	endpoints map[string]route.Load
}

// loadsLast is how long what a router has under way counts after it was told.
const loadsLast = 4 * MeshInterval

// Open prepares the mesh. It comes before Run and LoadChanged.
func (m *Mesh) Open() { m.changed = make(chan struct{}, 1) }

// LoadChanged tells the other routers at once what this one has under way. Changes
// that come while others are told travel together.
func (m *Mesh) LoadChanged() {
	select {
	case m.changed <- struct{}{}:
	default:
	}
}

// RunLoads tells loads that have changed until ctx ends.
func (m *Mesh) RunLoads(ctx context.Context) error {
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-m.changed:
		}
		r := &wire.TellRequest{Vm: m.Nodes.Self.Address, Loads: m.loadStates()}
		var all sync.WaitGroup
		for _, address := range draw(m.Nodes.Routers(time.Now()), fanOut) {
			all.Go(func() { m.tellLoads(ctx, address, r) })
		}
		all.Wait()
	}
}

// loadsTimeout bounds the telling of loads, which are old news after that.
const loadsTimeout = 100 * time.Millisecond

func (m *Mesh) tellLoads(ctx context.Context, address string, r *wire.TellRequest) {
	ctx, cancel := context.WithTimeout(ctx, loadsTimeout)
	defer cancel()
	_, _ = m.client(address).Tell(ctx, r)
}

func (m *Mesh) loadStates() []*wire.LoadState {
	if m.OwnLoads == nil {
		return nil
	}
	var out []*wire.LoadState
	for id, l := range m.OwnLoads() {
		out = append(out, &wire.LoadState{Endpoint: id, Running: int32(l.Running), PromptTokens: l.PromptTokens})
	}
	return out
}

func (m *Mesh) takeLoads(r *wire.TellRequest, now time.Time) {
	if m.OwnLoads == nil {
		return
	}
	l := routerLoads{at: now, endpoints: map[string]route.Load{}}
	for _, e := range r.GetLoads() {
		l.endpoints[e.GetEndpoint()] = route.Load{Running: int(e.GetRunning()), PromptTokens: e.GetPromptTokens()}
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.loads == nil {
		m.loads, m.others = map[string]routerLoads{}, map[string]route.Load{}
	}
	m.addOthers(m.loads[r.GetVm()], -1)
	m.loads[r.GetVm()] = l
	m.addOthers(l, 1)
}

// addOthers adds a router's loads to the sums, or takes them off. The caller holds
// mu.
func (m *Mesh) addOthers(l routerLoads, sign int) {
	for id, e := range l.endpoints {
		sum := m.others[id]
		sum.Running += sign * e.Running
		sum.PromptTokens += int64(sign) * e.PromptTokens
		m.others[id] = sum
		if sum == (route.Load{}) {
			delete(m.others, id)
		}
	}
}

// forgetLoads drops what routers have told too long ago.
func (m *Mesh) forgetLoads(now time.Time) {
	m.mu.Lock()
	defer m.mu.Unlock()
	for address, l := range m.loads {
		if now.Sub(l.at) > loadsLast {
			m.addOthers(l, -1)
			delete(m.loads, address)
		}
	}
}

// Others returns what the other routers have under way at an endpoint. It is
// called for each endpoint that a request could go to.
func (m *Mesh) Others(endpoint string) route.Load {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.others[endpoint]
}
