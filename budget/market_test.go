package budget

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/rs/zerolog"
	"github.com/stretchr/testify/require"

	"buckthornpin"
	"buckthornpin/ledger"
	"buckthornpin/wire"
)

const (
	marketRate = 40
	// marketCut is when the cut begins. Requests spend 324,000 tokens a second from second
	// two on; the routers hold half of what is left then, which lasts beyond
	// marketLasts.
	marketCut    = 12 * time.Second
	marketLasts  = 2 * time.Second
	marketBudget = 5_200_000
)

// market is many routers that draw on one budget, in the time of a test bubble.
type market struct {
	mu      sync.Mutex
	ledger  *ledger.Ledger
	wallets []*Wallet
	random  *rand.Rand
	began   time.Time
	// refused counts requests by the second in which they came.
	refused map[int]int
}

// Execute implements Committer: control answers after 5 ms.
func (m *market) Execute(ctx context.Context, commands []*wire.Command) ([]*wire.Result, error) {
	if time.Since(m.began) > marketCut {
		<-ctx.Done()
		return nil, ctx.Err()
	}
	time.Sleep(5 * time.Millisecond)
	m.mu.Lock()
	defer m.mu.Unlock()
	var out []*wire.Result
	for _, c := range commands {
		c.AtMs = time.Now().UnixMilli()
		out = append(out, m.ledger.Apply(c))
	}
	return out, ctx.Err()
}

// AskTransfer implements Lenders.
func (m *market) AskTransfer(_ context.Context, address string, r *wire.TransferRequest) (*wire.TransferReply, error) {
	time.Sleep(15 * time.Millisecond)
	for _, w := range m.wallets {
		if w.Address == address {
			return w.Donate(r), nil
		}
	}
	return nil, &Error{Op: "transfer", Kind: KindLost}
}

// HandOver implements Lenders.
func (m *market) HandOver(context.Context, string, *wire.GiveRequest) error { return nil }

// gossip tells balances as the mesh does: all routers up to 16, else three.
func (m *market) gossip(ctx context.Context) {
	random := rand.New(rand.NewPCG(2, 2))
	for ctx.Err() == nil {
		time.Sleep(400 * time.Millisecond)
		for _, w := range m.wallets {
			all := random.Perm(len(m.wallets))
			if len(all) > 16 {
				all = all[:3]
			}
			for _, i := range all {
				if m.wallets[i] != w {
					m.wallets[i].TakeBalances(w.Address, w.Balances())
				}
			}
		}
	}
}

// request reserves the bound of one request at a router and spends most of it.
func (m *market) request(w *Wallet, bound int64) {
	ctx, cancel := context.WithTimeout(context.Background(), 150*time.Millisecond)
	c := w.Reserve(ctx, "fleet", bound)
	cancel()
	if c.Cover != buckthornpin.Covered {
		m.mu.Lock()
		m.refused[int(time.Since(m.began).Seconds())]++
		m.mu.Unlock()
		return
	}
	time.Sleep(300 * time.Millisecond)
	w.Settle("fleet", bound, bound*9/10)
}

// playMarket plays 40 requests a second at the first busy of so many routers, of which
// each holds its part of the budget, and then a cut of 9 s from control. It returns
// how many requests were refused in the first seconds of the cut, for as long as the
// routers' parts last.
func playMarket(t *testing.T, seed uint64, routers, busy int) (refused int) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		m := &market{ledger: ledger.Empty(), random: rand.New(rand.NewPCG(seed, 1)), began: time.Now(), refused: map[int]int{}}
		m.ledger.Apply(&wire.Command{AtMs: time.Now().UnixMilli(), Op: &wire.Command_PutSite{PutSite: &wire.PutSite{
			Version: 1, Totals: []*wire.OrganisationTotal{{Organisation: "fleet", Tokens: marketBudget}},
		}}})
		ctx, stop := context.WithCancel(t.Context())
		var parts sync.WaitGroup
		for i := range routers {
			w := &Wallet{
				Control: m, Lenders: m, Address: fmt.Sprint("r", i), Incarnation: 1, Horizon: 12 * time.Second, Log: zerolog.Nop(),
			}
			w.Open()
			w.Know([]string{"fleet"})
			m.wallets = append(m.wallets, w)
			parts.Go(func() { _ = w.Run(ctx) })
		}
		parts.Go(func() { m.gossip(ctx) })
		time.Sleep(2 * time.Second)
		for time.Since(m.began) < marketCut+marketLasts {
			w := m.wallets[m.random.IntN(busy)]
			bound := 1_500 + m.random.Int64N(15_000)
			parts.Go(func() { m.request(w, bound) })
			time.Sleep(time.Second / marketRate)
		}
		stop()
		parts.Wait()
		for second, n := range m.refused {
			if second >= int(marketCut.Seconds()) {
				refused += n
			}
		}
	})
	return refused
}

// TestOneRouterGetsTheOthersParts: the pattern is an organisation whose callers all
// arrive at one router, of few or of many, when all routers are cut from control. What
// the others hold of its budget serves it: at most one request in 20 is refused while
// their parts last.
func TestOneRouterGetsTheOthersParts(t *testing.T) {
	for _, c := range []struct{ routers, busy int }{{8, 1}, {8, 4}, {86, 1}} {
		t.Run(fmt.Sprintf("%d of %d routers", c.busy, c.routers), func(t *testing.T) {
			const seeds = 5
			refused := 0
			for seed := range uint64(seeds) {
				refused += playMarket(t, seed, c.routers, c.busy)
			}
			require.LessOrEqual(t, refused, seeds*marketRate*int(marketLasts.Seconds())/20)
		})
	}
}
