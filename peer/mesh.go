package peer

import (
	"context"
	"math/rand/v2"
	"net/http"
	"sync"
	"time"

	"connectrpc.com/connect"
	"github.com/rs/zerolog"

	"buckthornpin"
	"buckthornpin/conn"
	"buckthornpin/route"
	"buckthornpin/wire"
)

const (
	// MeshInterval is the time between two rounds of a router. Loads of other
	// routers are this old at most where all routers tell each other.
	MeshInterval = 400 * time.Millisecond
	// meshFull is the number of processes up to which each round tells all
	// routers; with more, fanOut of them are drawn.
	meshFull = 16
	// slowRounds is how many rounds of a router one round of a control process
	// takes, which has less to tell and less processor time.
	slowRounds = 3
	// someNodes is how many other processes a message tells of: enough for an
	// epidemic, and no more bytes with more processes.
	someNodes = 2
	// meshCompareRounds is the number of rounds between two comparisons of
	// digests.
	meshCompareRounds = 8
	// roundTimeout bounds how long a round waits for replies before the next one.
	// Replies that come later count all the same.
	roundTimeout = 2 * MeshInterval
)

// Budgets is a router's part of the budgets, as other routers see it.
type Budgets interface {
	// Balances returns the unspent shares of this router.
	Balances() []*wire.BalanceState
	// TakeBalances notes those of another router.
	TakeBalances(address string, all []*wire.BalanceState)
	// Donate hands a part of a share to another router.
	Donate(r *wire.TransferRequest) *wire.TransferReply
	// Accept takes what a stopping router hands over.
	Accept(r *wire.GiveRequest)
}

// Site is a router's copy of the site's configuration.
type Site interface {
	// Version returns the version held.
	Version() int64
	// Above returns the configuration if its version is higher, or nil.
	Above(version int64) *wire.SiteState
	// Take puts a configuration in force if it is newer than the one held.
	Take(s *wire.SiteState)
}

// Trips learns of a VM's link from the rounds of its mesh.
type Trips interface {
	// ObserveRound is called when a round has asked others.
	ObserveRound(began time.Time)
	// ObserveTrip is called with the shortest round trip of a round, when its first
	// reply has come.
	ObserveTrip(d time.Duration, now time.Time)
	// ForgetRound is called when all that a round asked have failed.
	ForgetRound(began time.Time)
}

// Mesh is what all processes of a site tell each other: who lives, news of
// endpoints, and, among routers, what is under way and what is left of the
// budgets. Its exported fields are set before Run.
type Mesh struct {
	Nodes     *Nodes
	Directory *Directory
	HTTP      *http.Client
	Scheme    string
	Options   []connect.ClientOption
	// Seeds are addresses that are told as long as no other process is known.
	Seeds func() []string
	// Crashes and TakeCrash exchange the endpoints that ended under a request.
	Crashes   func() []*wire.CrashState
	TakeCrash func(c *wire.CrashState)
	// Budgets, Site, OwnLoads, Crashes and TakeCrash are nil in control processes.
	Budgets  Budgets
	Site     Site
	OwnLoads func() map[string]route.Load
	// Trips is told how long rounds take, if set.
	Trips Trips
	Log   zerolog.Logger

	// changed tells that a load has changed that others should know at once.
	changed chan struct{}
	mu      sync.Mutex
	clients conn.Clients[wire.MeshClient]
	loads   map[string]routerLoads
	// others sums up loads by endpoint.
	others map[string]route.Load
	rounds int
}

// Run tells others until ctx ends.
func (m *Mesh) Run(ctx context.Context) error {
	interval := MeshInterval
	if m.Nodes.Self.Control {
		interval *= slowRounds
	}
	m.round(ctx, time.Now())
	buckthornpin.Every(ctx, interval, m.round)
	return nil
}

func (m *Mesh) round(ctx context.Context, now time.Time) {
	m.Nodes.Round(now)
	m.Directory.Sweep(now)
	m.forgetLoads(now)
	m.rounds++
	targets := m.targets(now)
	request := m.request(m.Directory.News())
	alone := len(m.Nodes.Controls()) == 0
	trip := m.beginTrip(len(targets) > 0)
	var all sync.WaitGroup
	for i, address := range targets {
		r := request
		if alone || i == 0 && m.rounds%meshCompareRounds == 1 {
			r = m.request(request.GetEndpoints())
			r.Nodes = m.Nodes.States()
			r.Digest = m.Directory.Digest()
		}
		all.Go(func() {
			if m.tell(ctx, address, r) {
				trip.replied()
			}
		})
	}
	ended := make(chan struct{})
	go func() {
		all.Wait()
		trip.ended()
		close(ended)
	}()
	waitFor(ended, roundTimeout)
}

// waitFor waits for an end, but no longer than d.
func waitFor(ended <-chan struct{}, d time.Duration) {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-ended:
	case <-t.C:
	}
}

// targets are the processes that a round tells: routers tell all routers, or a
// few of many, and now and then a control process and a router that has been silent:
// one that was started again while it is cut from control knows nobody else; control
// processes tell a few.
func (m *Mesh) targets(now time.Time) []string {
	var out []string
	if !m.Nodes.Self.Control {
		out = draw(m.Nodes.Routers(now), fanOut)
		if m.rounds%slowRounds != 1 {
			return out
		}
		return append(append(out, m.someControl()...), one(m.Nodes.SilentRouters(now))...)
	}
	return append(draw(m.Nodes.Living(now), fanOut), m.someControl()...)
}

// someControl draws a control process, living or not, so that two parts of the
// system that have lost each other meet again; all seeds while none is known.
func (m *Mesh) someControl() []string {
	controls := m.Nodes.Controls()
	if len(controls) == 0 {
		return m.Seeds()
	}
	return one(controls)
}

// one draws the address of one process, if there is any.
func one(nodes []Node) []string {
	if len(nodes) == 0 {
		return nil
	}
	return []string{nodes[rand.IntN(len(nodes))].Address}
}

func draw(nodes []Node, n int) []string {
	rand.Shuffle(len(nodes), func(i, j int) { nodes[i], nodes[j] = nodes[j], nodes[i] })
	if len(nodes) > meshFull {
		nodes = nodes[:n]
	}
	out := make([]string, 0, len(nodes))
	for _, k := range nodes {
		out = append(out, k.Address)
	}
	return out
}

func (m *Mesh) request(news []*wire.EndpointState) *wire.TellRequest {
	r := &wire.TellRequest{
		Vm: m.Nodes.Self.Address, Nodes: m.Nodes.Some(someNodes), Endpoints: news,
	}
	if m.Budgets != nil {
		r.Balances = m.Budgets.Balances()
	}
	if m.Site != nil {
		r.SiteVersion, r.WantsSite = m.Site.Version(), true
	}
	r.Loads = m.loadStates()
	if m.Crashes != nil {
		r.Crashes = m.Crashes()
	}
	return r
}

// tell tells one process and reports whether it answered: within the time for which a
// silent process counts as living, since a full link delays replies by seconds. Where
// the digests differ each side tells the other all that it knows.
func (m *Mesh) tell(ctx context.Context, address string, r *wire.TellRequest) bool {
	ctx, cancel := context.WithTimeout(ctx, m.Nodes.AliveFor)
	defer cancel()
	reply, err := m.client(address).Tell(ctx, r)
	if err != nil {
		return false
	}
	m.Nodes.Merge(reply.GetNodes(), time.Now())
	m.Directory.Merge(reply.GetEndpoints())
	if m.Site != nil && reply.GetSite() != nil {
		m.Site.Take(reply.GetSite())
	}
	if reply.GetDiffers() {
		full := m.request(m.Directory.States())
		full.Nodes = m.Nodes.States()
		_, _ = m.client(address).Tell(ctx, full)
	}
	return true
}

// Push tells news of endpoints to the living processes at once and waits until
// they have them, or until ctx ends. With many processes a part of them is told,
// and the rounds spread it.
func (m *Mesh) Push(ctx context.Context) {
	news := m.Directory.News()
	if len(news) == 0 {
		return
	}
	request := m.request(news)
	var all sync.WaitGroup
	for _, address := range draw(m.Nodes.Living(time.Now()), meshFull) {
		all.Go(func() { m.tell(ctx, address, request) })
	}
	all.Wait()
}

// Tell implements wire.MeshHandler.
func (m *Mesh) Tell(_ context.Context, r *wire.TellRequest) (*wire.TellReply, error) {
	now := time.Now()
	m.Nodes.Merge(r.GetNodes(), now)
	m.Directory.Merge(r.GetEndpoints())
	m.takeLoads(r, now)
	for _, c := range r.GetCrashes() {
		if m.TakeCrash != nil {
			m.TakeCrash(c)
		}
	}
	if m.Budgets != nil && len(r.GetBalances()) > 0 {
		m.Budgets.TakeBalances(r.GetVm(), r.GetBalances())
	}
	reply := &wire.TellReply{}
	if m.Site != nil && r.GetWantsSite() {
		reply.Site = m.Site.Above(r.GetSiteVersion())
	}
	if r.GetDigest() == 0 {
		return reply, nil
	}
	reply.Nodes = m.Nodes.States()
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
		m.Budgets.Accept(r)
	}
	return &wire.GiveReply{}, nil
}

// AskTransfer asks another router for a part of its share.
func (m *Mesh) AskTransfer(ctx context.Context, address string, r *wire.TransferRequest) (*wire.TransferReply, error) {
	reply, err := m.client(address).Transfer(ctx, r)
	if err != nil {
		return nil, &Error{Op: "transfer", Kind: KindUnreachable, Err: err}
	}
	return reply, nil
}

// HandOver gives a part of this router's share to another one.
func (m *Mesh) HandOver(ctx context.Context, address string, r *wire.GiveRequest) error {
	if _, err := m.client(address).Give(ctx, r); err != nil {
		return &Error{Op: "give", Kind: KindUnreachable, Err: err}
	}
	return nil
}

// Register adds the service's handlers to mux.
func (m *Mesh) Register(mux *http.ServeMux, opts ...connect.HandlerOption) {
	mux.Handle(wire.NewMeshHandler(m, opts...))
}

func (m *Mesh) client(address string) wire.MeshClient {
	return m.clients.Of(address, func() wire.MeshClient {
		return wire.NewMeshClient(m.HTTP, m.Scheme+"://"+address, m.Options...)
	})
}
