package peer

import (
	"context"
	"math/rand/v2"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"connectrpc.com/connect"
	"github.com/rs/zerolog"

	"buckthornpin"
	"buckthornpin/conn"
	"buckthornpin/route"
	"buckthornpin/wire"
)

const (
	// MeshInterval is the time between two rounds of a router. It is also the greatest
	// age of the loads of other routers while each round reaches all routers.
	MeshInterval = 400 * time.Millisecond
	// maxFullMesh is the number of processes up to which each round contacts all
	// routers. With more, it contacts fanOut of them, drawn at random.
	maxFullMesh = 16
	// controlRoundFactor is the number of router rounds that one round of a control
	// process takes. A control process has less to report and less processor time.
	controlRoundFactor = 3
	// nodesPerMessage is the number of other processes that a message describes. It is
	// enough for an epidemic, and messages don't grow with the number of processes.
	nodesPerMessage = 2
	// meshCompareRounds is the number of rounds between two comparisons of digests.
	meshCompareRounds = 8
	// roundTimeout bounds how long a round waits for replies before the next one
	// starts. Later replies are still processed.
	roundTimeout = 2 * MeshInterval
)

// Budgets gives access to a router's shares of the budgets, which it exchanges with
// other routers.
type Budgets interface {
	// Balances returns the unspent shares of this router.
	Balances() []*wire.BalanceState
	// RecordBalances records the unspent shares of another router.
	RecordBalances(address string, balances []*wire.BalanceState)
	// Donate transfers a part of a share to another router.
	Donate(r *wire.TransferRequest) *wire.TransferReply
	// AcceptHandOver adds the shares that a stopping router hands over.
	AcceptHandOver(r *wire.GiveRequest)
}

// Site is a router's copy of the site's configuration.
type Site interface {
	// Version returns the version of the configuration held.
	Version() int64
	// NewerThan returns the configuration held if its version is higher than the given
	// one, or nil.
	NewerThan(version int64) *wire.SiteState
	// ApplyIfNewer puts a configuration in force if it is newer than the one held.
	ApplyIfNewer(s *wire.SiteState)
}

// RoundTripObserver observes the round trips of the mesh, which show the delay of the
// link of this VM.
type RoundTripObserver interface {
	// ObserveRound is called at the start of each round that contacts other processes.
	ObserveRound(began time.Time)
	// ObserveRoundTrip is called with the shortest round trip of a round when the first
	// reply arrives.
	ObserveRoundTrip(d time.Duration, now time.Time)
	// ForgetRound is called when all messages of a round have failed.
	ForgetRound(began time.Time)
}

// Mesh exchanges state between all processes of a site: membership, updates of
// endpoints and, among routers, loads, crashes of endpoints, balances of the budgets
// and the site's configuration. Its exported fields are set before Run.
type Mesh struct {
	Nodes     *Nodes
	Directory *Directory
	HTTP      *http.Client
	Scheme    string
	Options   []connect.ClientOption
	// Seeds returns the addresses that are contacted while no control process is known.
	Seeds func() []string
	// Crashes holds the crashes of endpoints and what is kept from them because of these.
	Crashes Crashes
	// Limits holds the limits that endpoints have named.
	Limits route.RateLimits
	// Budgets, Site, OwnLoads and Crashes are nil in control processes.
	Budgets  Budgets
	Site     Site
	OwnLoads func() map[string]route.Load
	// RoundTrips observes the round trips of each round, if set.
	RoundTrips RoundTripObserver
	Log        zerolog.Logger

	// loadsChanged wakes RunLoads when a load has changed that the others should know
	// at once.
	loadsChanged chan struct{}
	// comparedWithRouter is set once this process and a router have compared what they
	// know of endpoints.
	comparedWithRouter atomic.Bool

	mu      sync.Mutex
	clients conn.Clients[wire.MeshClient]
	loads   map[string]routerLoads
	// others is the sum of the other routers' loads, by endpoint.
	others map[string]route.Load
	rounds int
}

// Run exchanges state with other processes until ctx ends.
func (m *Mesh) Run(ctx context.Context) error {
	interval := MeshInterval
	if m.Nodes.Self.Control {
		interval *= controlRoundFactor
	}
	m.round(ctx, time.Now())
	buckthornpin.Every(ctx, interval, m.round)
	return nil
}

func (m *Mesh) round(ctx context.Context, now time.Time) {
	m.Nodes.SetYieldsLimits(m.Limits.Yields(now))
	m.Nodes.StartRound(now)
	m.Directory.Sweep(now)
	m.Limits.Retain(m.Directory.Has)
	m.expireLoads(now)
	m.rounds++
	targets := m.targets(now)
	request := m.newRequest(m.Directory.NextUpdates(), nextLimits(&m.Limits, m.Directory))
	noControlKnown := len(m.Nodes.ControlNodes()) == 0
	roundTrip := m.startRoundTrip(len(targets) > 0)
	var wg sync.WaitGroup
	for i, address := range targets {
		r := request
		firstOfSeveral := i == 0 && m.rounds%meshCompareRounds == 1
		notCompared := m.Nodes.Self.Control && !m.Nodes.isCompared(address)
		if noControlKnown || firstOfSeveral || notCompared {
			r = m.newRequest(request.GetEndpoints(), limitStates(m.Limits.All()))
			r.Nodes = m.Nodes.States()
			r.Digest = m.Directory.Digest()
		}
		wg.Go(func() {
			if m.send(ctx, address, r) {
				roundTrip.replied()
			}
		})
	}
	waitAtMost(roundTimeout, func() {
		wg.Wait()
		roundTrip.ended()
	})
}

// waitAtMost runs wait and returns when it does, but no later than after d. wait goes on then.
func waitAtMost(d time.Duration, wait func()) {
	ended := make(chan struct{})
	go func() {
		wait()
		close(ended)
	}()
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-ended:
	case <-t.C:
	}
}

// targets returns the addresses that a round contacts. Routers contact all routers, or
// a few of many, and periodically also a control process and a silent router. A router
// that restarts while it is cut off from control doesn't know any other process, so the
// others have to contact it. Control processes contact all living processes, or a few
// of many, and a control process. They compare endpoints with each process at first and
// after a message to it has failed: they may have started with nothing, or have been cut
// off for longer than updates are sent.
func (m *Mesh) targets(now time.Time) []string {
	var out []string
	if !m.Nodes.Self.Control {
		out = draw(m.Nodes.Routers(now), fanOut)
		if m.rounds%controlRoundFactor != 1 {
			return out
		}
		return append(append(out, m.controlTarget()...), drawOne(m.Nodes.SilentRouters(now))...)
	}
	return append(draw(m.Nodes.Living(now), fanOut), m.controlTarget()...)
}

// controlTarget draws a control process, whether it is living or not, so that two parts
// of the system that have lost contact find each other again. It returns all seeds
// while no control process is known.
func (m *Mesh) controlTarget() []string {
	controls := m.Nodes.ControlNodes()
	if len(controls) == 0 {
		return m.Seeds()
	}
	return drawOne(controls)
}

// drawOne draws the address of one process, if there is any.
func drawOne(nodes []Node) []string {
	if len(nodes) == 0 {
		return nil
	}
	return []string{nodes[rand.IntN(len(nodes))].Address}
}

// draw returns the addresses of the nodes that drawNodes draws.
func draw(nodes []Node, n int) []string {
	var out []string
	for _, k := range drawNodes(nodes, n) {
		out = append(out, k.Address)
	}
	return out
}

// drawNodes returns all nodes in random order, or n of them if there are more than
// maxFullMesh.
func drawNodes(nodes []Node, n int) []Node {
	rand.Shuffle(len(nodes), func(i, j int) { nodes[i], nodes[j] = nodes[j], nodes[i] })
	if len(nodes) > maxFullMesh {
		nodes = nodes[:n]
	}
	return nodes
}

func (m *Mesh) newRequest(updates []*wire.EndpointState, limits []*wire.LimitState) *wire.TellRequest {
	r := &wire.TellRequest{
		Vm: m.Nodes.Self.Address, Nodes: m.Nodes.Sample(nodesPerMessage), Endpoints: updates, Limits: limits,
	}
	if m.Budgets != nil {
		r.Balances = m.Budgets.Balances()
	}
	if m.Site != nil {
		r.SiteVersion, r.WantsSite = m.Site.Version(), true
	}
	r.Loads = m.loadStates()
	m.addCrashes(r, time.Now())
	return r
}

// send sends a message to one process and reports whether it answered. It waits for the
// reply for as long as a silent process is still considered living, since a saturated
// link delays replies by seconds. If the digests differ, each side sends the other the
// states of all endpoints and processes known to it.
func (m *Mesh) send(ctx context.Context, address string, r *wire.TellRequest) bool {
	ctx, cancel := context.WithTimeout(ctx, m.Nodes.AliveFor)
	defer cancel()
	reply, err := m.client(address).Tell(ctx, r)
	if err != nil {
		// Other errors mean that the process can't be reached.
		if connect.CodeOf(err) == connect.CodeInternal {
			m.Log.Error().Err(err).Str("address", address).Int("endpoints", len(r.GetEndpoints())).Msg("message to a process failed")
		}
		m.Nodes.setCompared(address, false)
		return false
	}
	m.Nodes.Merge(reply.GetNodes(), time.Now())
	m.Directory.Merge(reply.GetEndpoints())
	mergeLimits(&m.Limits, m.Directory, reply.GetLimits(), time.Now())
	m.mergeHolds(reply.GetHolds(), nil, time.Now())
	if m.Site != nil && reply.GetSite() != nil {
		m.Site.ApplyIfNewer(reply.GetSite())
	}
	if reply.GetDiffers() {
		full := m.newRequest(m.Directory.States(), limitStates(m.Limits.All()))
		full.Nodes = m.Nodes.States()
		if _, err := m.client(address).Tell(ctx, full); err != nil {
			m.Nodes.setCompared(address, false)
			return true
		}
	}
	if r.GetDigest() != 0 {
		m.recordCompared(address)
	}
	return true
}

// recordCompared records that this process and another one know the same endpoints.
func (m *Mesh) recordCompared(address string) {
	m.Nodes.setCompared(address, true)
	if m.Nodes.isRouter(address) {
		m.comparedWithRouter.Store(true)
	}
}

// Tell implements wire.MeshHandler.
func (m *Mesh) Tell(_ context.Context, r *wire.TellRequest) (*wire.TellReply, error) {
	now := time.Now()
	m.Nodes.Merge(r.GetNodes(), now)
	newer := m.Directory.Merge(r.GetEndpoints())
	m.recordLoads(r, now)
	mergeLimits(&m.Limits, m.Directory, r.GetLimits(), now)
	m.recordCrashes(r, now)
	if m.Budgets != nil && len(r.GetBalances()) > 0 {
		m.Budgets.RecordBalances(r.GetVm(), r.GetBalances())
	}
	reply := &wire.TellReply{Holds: m.holdStates(now), Endpoints: newer}
	if m.Site != nil && r.GetWantsSite() {
		reply.Site = m.Site.NewerThan(r.GetSiteVersion())
	}
	if r.GetDigest() == 0 {
		return reply, nil
	}
	reply.Nodes, reply.Limits = m.Nodes.States(), limitStates(m.Limits.All())
	if r.GetDigest() != m.Directory.Digest() {
		reply.Endpoints, reply.Differs = m.Directory.States(), true
	}
	return reply, nil
}

// Transfer implements wire.MeshHandler.
func (m *Mesh) Transfer(_ context.Context, r *wire.TransferRequest) (*wire.TransferReply, error) {
	if m.Budgets == nil {
		return &wire.TransferReply{}, nil
	}
	return m.Budgets.Donate(r), nil
}

// Give implements wire.MeshHandler.
func (m *Mesh) Give(_ context.Context, r *wire.GiveRequest) (*wire.GiveReply, error) {
	if m.Budgets != nil {
		m.Budgets.AcceptHandOver(r)
	}
	return &wire.GiveReply{}, nil
}

// AskTransfer asks another router for a part of its share of a budget.
func (m *Mesh) AskTransfer(ctx context.Context, address string, r *wire.TransferRequest) (*wire.TransferReply, error) {
	reply, err := m.client(address).Transfer(ctx, r)
	if err != nil {
		return nil, &Error{Op: "transfer", Kind: KindUnreachable, Err: err}
	}
	return reply, nil
}

// HandOver gives a part of this router's share of a budget to another router.
func (m *Mesh) HandOver(ctx context.Context, address string, r *wire.GiveRequest) error {
	if _, err := m.client(address).Give(ctx, r); err != nil {
		return &Error{Op: "give", Kind: KindUnreachable, Err: err}
	}
	return nil
}

// Register adds the handlers of the mesh service to mux.
func (m *Mesh) Register(mux *http.ServeMux, opts ...connect.HandlerOption) {
	mux.Handle(wire.NewMeshHandler(m, opts...))
}

func (m *Mesh) client(address string) wire.MeshClient {
	return m.clients.Get(address, func() wire.MeshClient {
		return wire.NewMeshClient(m.HTTP, m.Scheme+"://"+address, m.Options...)
	})
}
