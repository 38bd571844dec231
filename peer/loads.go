package peer

import (
	"context"
	"sync"
	"time"

	"buckthornpin/route"
	"buckthornpin/wire"
)

// routerLoads holds the loads that a router has reported, by endpoint.
type routerLoads struct {
	receivedAt time.Time
	endpoints  map[string]route.Load
}

// loadExpiry is how long a reported load is used after it was received.
const loadExpiry = 4 * MeshInterval

// Open prepares the mesh. It must be called before Run and LoadChanged.
func (m *Mesh) Open() { m.loadsChanged = make(chan struct{}, 1) }

// LoadChanged makes RunLoads report the loads of this router and changed limits of
// endpoints to the other routers at once. Changes during a report are sent together in the
// next one.
func (m *Mesh) LoadChanged() {
	select {
	case m.loadsChanged <- struct{}{}:
	default:
	}
}

// RunLoads reports changed loads to other routers until ctx ends.
func (m *Mesh) RunLoads(ctx context.Context) error {
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-m.loadsChanged:
		}
		r := &wire.TellRequest{Vm: m.Nodes.Self.Address, Loads: m.loadStates(), Limits: nextLimits(&m.Limits, m.Directory)}
		var wg sync.WaitGroup
		for _, address := range draw(m.Nodes.Routers(time.Now()), fanOut) {
			wg.Go(func() { m.sendLoads(ctx, address, r) })
		}
		wg.Wait()
	}
}

// loadReportTimeout bounds the sending of a load report, which is outdated after that.
const loadReportTimeout = 100 * time.Millisecond

func (m *Mesh) sendLoads(ctx context.Context, address string, r *wire.TellRequest) {
	ctx, cancel := context.WithTimeout(ctx, loadReportTimeout)
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

func (m *Mesh) recordLoads(r *wire.TellRequest, now time.Time) {
	if m.OwnLoads == nil {
		return
	}
	l := routerLoads{receivedAt: now, endpoints: map[string]route.Load{}}
	for _, e := range r.GetLoads() {
		l.endpoints[e.GetEndpoint()] = route.Load{Running: int(e.GetRunning()), PromptTokens: e.GetPromptTokens()}
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.loads == nil {
		m.loads, m.others = map[string]routerLoads{}, map[string]route.Load{}
	}
	m.addToOthers(m.loads[r.GetVm()], -1)
	m.loads[r.GetVm()] = l
	m.addToOthers(l, 1)
}

// addToOthers adds the loads of a router to the sums, or subtracts them if sign is -1.
// The caller holds mu.
func (m *Mesh) addToOthers(l routerLoads, sign int) {
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

// expireLoads drops the loads that were received more than loadExpiry ago.
func (m *Mesh) expireLoads(now time.Time) {
	m.mu.Lock()
	defer m.mu.Unlock()
	for address, l := range m.loads {
		if now.Sub(l.receivedAt) > loadExpiry {
			m.addToOthers(l, -1)
			delete(m.loads, address)
		}
	}
}

// Others returns the sum of the loads that the other routers have reported for an
// endpoint. It is called for each endpoint that is a candidate for a request.
func (m *Mesh) Others(endpoint string) route.Load {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.others[endpoint]
}
