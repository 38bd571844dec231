package peer

import (
	"context"
	"math/rand/v2"
	"net/http"
	"slices"
	"sync"
	"time"

	"connectrpc.com/connect"
	"github.com/go-faster/errors"

	"buckthornpin"
	"buckthornpin/conn"
	"buckthornpin/route"
	"buckthornpin/stream"
	"buckthornpin/wire"
)

const (
	// GossipInterval is the time between two rounds of anti-entropy.
	GossipInterval = 500 * time.Millisecond
	// fanOut is the number of routers that one round contacts.
	fanOut = 3
	// compareRounds is the number of rounds between two comparisons of digests.
	compareRounds = 10
	// exchangeTimeout bounds one exchange with another router.
	exchangeTimeout = time.Second
)

// Gossip sends updates of endpoints to the other routers and compares digests with them
// periodically (anti-entropy). Its exported fields are set before Run.
type Gossip struct {
	Router    string
	Address   string
	Directory *Directory
	// Limits holds the limits that endpoints have named.
	Limits  route.RateLimits
	HTTP    *http.Client
	Scheme  string
	Options []connect.ClientOption
	// Peers returns the addresses of the other routers.
	Peers func() []string
	// HoldsKey reports whether this router works on a request key.
	HoldsKey func(k buckthornpin.RequestKey) bool
	// Answer returns a reader of this router's answer under a key, or nil if there is
	// none.
	Answer func(k buckthornpin.RequestKey, digest string, offset int) *stream.Reader
	// PeerAddress returns the peer address of the router on a VM, or "" if it is unknown.
	PeerAddress func(vm string) string

	clients conn.Clients[wire.PeersClient]
	rounds  int
}

// Run exchanges updates with other routers until ctx ends.
func (g *Gossip) Run(ctx context.Context) error {
	buckthornpin.Every(ctx, GossipInterval, g.round)
	return nil
}

// round sends updates to a few routers concurrently, so that an unresponsive one does
// not delay the others. Every compareRounds rounds it also compares digests with one
// router. Without updates the other rounds send nothing.
func (g *Gossip) round(ctx context.Context, now time.Time) {
	g.Directory.Sweep(now)
	g.Limits.Retain(g.Directory.Has)
	g.rounds++
	compare := g.rounds%compareRounds == 1
	peers := slices.Clone(g.Peers())
	rand.Shuffle(len(peers), func(i, j int) { peers[i], peers[j] = peers[j], peers[i] })
	updates, limits := g.Directory.NextUpdates(), nextLimits(&g.Limits, g.Directory)
	if len(updates)+len(limits) == 0 && !compare {
		return
	}
	var wg sync.WaitGroup
	for i, address := range peers[:min(fanOut, len(peers))] {
		if len(updates)+len(limits) > 0 || i == 0 {
			wg.Go(func() { g.exchange(ctx, address, updates, limits, compare && i == 0) })
		}
	}
	wg.Wait()
}

// exchange sends updates to one router. If the digests are compared and differ, each
// side sends the other the states of all endpoints known to it.
func (g *Gossip) exchange(ctx context.Context, address string, updates []*wire.EndpointState, limits []*wire.LimitState, compare bool) {
	ctx, cancel := context.WithTimeout(ctx, exchangeTimeout)
	defer cancel()
	r := &wire.ExchangeRequest{Endpoints: updates, Limits: limits}
	if compare {
		r.Digest, r.Limits = g.Directory.Digest(), limitStates(g.Limits.All())
	}
	reply, err := g.client(address).Exchange(ctx, r)
	if err != nil {
		return
	}
	g.Directory.Merge(reply.GetEndpoints())
	mergeLimits(&g.Limits, g.Directory, reply.GetLimits(), time.Now())
	if reply.GetDiffers() {
		_, _ = g.client(address).Exchange(ctx, &wire.ExchangeRequest{Endpoints: g.Directory.States(), Limits: limitStates(g.Limits.All())})
	}
}

// Exchange implements wire.PeersHandler.
func (g *Gossip) Exchange(_ context.Context, r *wire.ExchangeRequest) (*wire.ExchangeReply, error) {
	g.Directory.Merge(r.GetEndpoints())
	mergeLimits(&g.Limits, g.Directory, r.GetLimits(), time.Now())
	if r.GetDigest() == 0 {
		return &wire.ExchangeReply{}, nil
	}
	reply := &wire.ExchangeReply{Limits: limitStates(g.Limits.All())}
	if r.GetDigest() != g.Directory.Digest() {
		reply.Endpoints, reply.Differs = g.Directory.States(), true
	}
	return reply, nil
}

// AskHolds asks the router on a VM whether it works on a request key.
func (g *Gossip) AskHolds(ctx context.Context, vm string, k buckthornpin.RequestKey) (bool, error) {
	address := g.PeerAddress(vm)
	if address == "" {
		return false, &Error{Op: "holds", Kind: KindUnknown, Err: errors.Errorf("router %s", vm)}
	}
	reply, err := g.client(address).Holds(ctx, &wire.HoldsRequest{Organisation: k.Organisation, Key: k.Key})
	if err != nil {
		return false, &Error{Op: "holds", Kind: KindUnreachable, Err: err}
	}
	return reply.GetHolds(), nil
}

// Holds implements wire.PeersHandler.
func (g *Gossip) Holds(_ context.Context, r *wire.HoldsRequest) (*wire.HoldsReply, error) {
	k := buckthornpin.RequestKey{Organisation: r.GetOrganisation(), Key: r.GetKey()}
	return &wire.HoldsReply{Holds: g.HoldsKey(k)}, nil
}

// Register adds the handlers of the peers service to mux.
func (g *Gossip) Register(mux *http.ServeMux, opts ...connect.HandlerOption) {
	mux.Handle(wire.NewPeersHandler(g, opts...))
}

func (g *Gossip) client(address string) wire.PeersClient {
	return g.clients.Get(address, func() wire.PeersClient {
		return wire.NewPeersClient(g.HTTP, g.Scheme+"://"+address, g.Options...)
	})
}
