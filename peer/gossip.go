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
	"buckthornpin/stream"
	"buckthornpin/wire"
)

const (
	// Interval is the time between two rounds of anti-entropy.
	Interval = 500 * time.Millisecond
	// fanOut is how many routers one round talks to.
	fanOut = 3
	// compareRounds is the number of rounds between two comparisons of digests.
	compareRounds = 10
	// exchangeTimeout bounds one exchange.
	exchangeTimeout = time.Second
)

// Gossip tells the other routers news of endpoints, and compares digests with them
// now and then (periodic anti-entropy). Its exported fields are
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
	// Answer returns a reader of this router's answer under a key, or nil.
	Answer func(k buckthornpin.RequestKey, digest string, offset int) *stream.Reader
	// PeerOf returns the address of a router by its VM, or "".
	PeerOf func(vm string) string

	clients conn.Clients[wire.PeersClient]
	rounds  int
}

// Run exchanges with others until ctx ends.
func (g *Gossip) Run(ctx context.Context) error {
	buckthornpin.Every(ctx, Interval, g.round)
	return nil
}

// round tells a few others at once what is new; a silent one delays nobody else.
// Without news only every few rounds compare digests, with one other.
func (g *Gossip) round(ctx context.Context, now time.Time) {
	g.Directory.Sweep(now)
	g.rounds++
	compare := g.rounds%compareRounds == 1
	peers := slices.Clone(g.Peers())
	rand.Shuffle(len(peers), func(i, j int) { peers[i], peers[j] = peers[j], peers[i] })
	news := g.Directory.News()
	if len(news) == 0 && !compare {
		return
	}
	var all sync.WaitGroup
	for i, address := range peers[:min(fanOut, len(peers))] {
		if len(news) > 0 || i == 0 {
			all.Go(func() { g.exchange(ctx, address, news, compare && i == 0) })
		}
	}
	all.Wait()
}

// exchange tells news to one router. Where the digests differ each side tells
// the other all that it knows.
func (g *Gossip) exchange(ctx context.Context, address string, news []*wire.EndpointState, compare bool) {
	ctx, cancel := context.WithTimeout(ctx, exchangeTimeout)
	defer cancel()
	r := &wire.ExchangeRequest{Endpoints: news}
	if compare {
		r.Digest = g.Directory.Digest()
	}
	reply, err := g.client(address).Exchange(ctx, r)
	if err != nil {
		return
	}
	g.Directory.Merge(reply.GetEndpoints())
	if reply.GetDiffers() {
		_, _ = g.client(address).Exchange(ctx, &wire.ExchangeRequest{Endpoints: g.Directory.States()})
	}
}

// Exchange implements wire.PeersHandler.
func (g *Gossip) Exchange(_ context.Context, r *wire.ExchangeRequest) (*wire.ExchangeReply, error) {
	g.Directory.Merge(r.GetEndpoints())
	if r.GetDigest() != 0 && r.GetDigest() != g.Directory.Digest() {
		return &wire.ExchangeReply{Endpoints: g.Directory.States(), Differs: true}, nil
	}
	return &wire.ExchangeReply{}, nil
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
	return g.clients.Of(address, func() wire.PeersClient {
		return wire.NewPeersClient(g.HTTP, g.Scheme+"://"+address, g.Options...)
	})
}
