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
	"buckthornpin/wire"
)

const (
	// Interval is the time between two rounds of anti-entropy.
	Interval = 500 * time.Millisecond
	// fanOut is how many routers one round talks to.
	fanOut = 2
	// exchangeTimeout bounds one exchange.
	exchangeTimeout = time.Second
)

// Gossip exchanges endpoints with the other routers. Its exported fields are
// set before Run.
type Gossip struct {
	Router    string
	Address   string
	Directory *Directory
	HTTP      *http.Client
	Scheme    string
	Options   []connect.ClientOption
	// Peers returns the addresses of the other routers.
	Peers func() []string
	// HoldsKey reports whether this router works on a key.
	HoldsKey func(k buckthornpin.RequestKey) bool
	// PeerOf returns the address of a router by its VM, or "".
	PeerOf func(vm string) string

	mu      sync.Mutex
	clients map[string]wire.PeersClient
}

// Run exchanges with others until ctx ends.
func (g *Gossip) Run(ctx context.Context) error {
	ticker := time.NewTicker(Interval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-ticker.C:
			g.round(ctx)
		}
	}
}

// round talks to a few others at once; a silent one delays nobody else.
func (g *Gossip) round(ctx context.Context) {
	g.Directory.Sweep(time.Now())
	peers := slices.Clone(g.Peers())
	rand.Shuffle(len(peers), func(i, j int) { peers[i], peers[j] = peers[j], peers[i] })
	var all sync.WaitGroup
	for _, address := range peers[:min(fanOut, len(peers))] {
		all.Go(func() { g.exchange(ctx, address) })
	}
	all.Wait()
}

func (g *Gossip) exchange(ctx context.Context, address string) {
	ctx, cancel := context.WithTimeout(ctx, exchangeTimeout)
	defer cancel()
	reply, err := g.client(address).Exchange(ctx, &wire.ExchangeRequest{
		Router: g.Router, Address: g.Address, Endpoints: g.Directory.States(time.Now()),
	})
	if err == nil {
		g.Directory.Merge(reply.GetEndpoints(), time.Now())
	}
}

// Exchange implements wire.PeersHandler.
func (g *Gossip) Exchange(_ context.Context, r *wire.ExchangeRequest) (*wire.ExchangeReply, error) {
	now := time.Now()
	g.Directory.Merge(r.GetEndpoints(), now)
	return &wire.ExchangeReply{Endpoints: g.Directory.States(now)}, nil
}

// AskHolds asks the router on a VM whether it works on a key.
func (g *Gossip) AskHolds(ctx context.Context, vm string, k buckthornpin.RequestKey) (bool, error) {
	address := g.PeerOf(vm)
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

// Register adds the service's handlers to mux.
func (g *Gossip) Register(mux *http.ServeMux, opts ...connect.HandlerOption) {
	mux.Handle(wire.NewPeersHandler(g, opts...))
}

func (g *Gossip) client(address string) wire.PeersClient {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.clients == nil {
		g.clients = map[string]wire.PeersClient{}
	}
	c, ok := g.clients[address]
	if !ok {
		c = wire.NewPeersClient(g.HTTP, g.Scheme+"://"+address, g.Options...)
		g.clients[address] = c
	}
	return c
}
