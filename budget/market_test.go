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
	requestRate = 40
	// cutStart is when control becomes unreachable. Requests spend 324,000 tokens a second
	// from second two on. The routers then hold half of the remaining budget, which lasts
	// longer than measuredTime.
	cutStart     = 12 * time.Second
	measuredTime = 2 * time.Second
	budgetTokens = 5_200_000
)

// transferSimulation runs many routers that share one budget, in the fake time of a
// synctest bubble.
type transferSimulation struct {
	mu       sync.Mutex
	ledger   *ledger.Ledger
	managers []*ShareManager
	random   *rand.Rand
	start    time.Time
	// refused counts refused requests by the second since start.
	refused map[int]int
}

// Execute implements Committer. Control answers after 5 ms until cutStart, and never
// afterwards.
func (sim *transferSimulation) Execute(ctx context.Context, commands []*wire.Command) ([]*wire.Result, error) {
	if time.Since(sim.start) > cutStart {
		<-ctx.Done()
		return nil, ctx.Err()
	}
	time.Sleep(5 * time.Millisecond)
	sim.mu.Lock()
	defer sim.mu.Unlock()
	var out []*wire.Result
	for _, c := range commands {
		c.AtMs = time.Now().UnixMilli()
		out = append(out, sim.ledger.Apply(c))
	}
	return out, ctx.Err()
}

// AskTransfer implements Lenders.
func (sim *transferSimulation) AskTransfer(_ context.Context, address string, r *wire.TransferRequest) (*wire.TransferReply, error) {
	time.Sleep(15 * time.Millisecond)
	for _, manager := range sim.managers {
		if manager.Address == address {
			return manager.Donate(r), nil
		}
	}
	return nil, &Error{Op: "transfer", Kind: KindLost}
}

// HandOver implements Lenders.
func (sim *transferSimulation) HandOver(context.Context, string, *wire.GiveRequest) error { return nil }

// gossip sends balances as the mesh does: each router tells all others if there are up
// to 16 routers, and otherwise up to three random ones.
func (sim *transferSimulation) gossip(ctx context.Context) {
	random := rand.New(rand.NewPCG(2, 2))
	for ctx.Err() == nil {
		time.Sleep(400 * time.Millisecond)
		for _, manager := range sim.managers {
			all := random.Perm(len(sim.managers))
			if len(all) > 16 {
				all = all[:3]
			}
			for _, i := range all {
				if sim.managers[i] != manager {
					sim.managers[i].RecordBalances(manager.Address, manager.Balances())
				}
			}
		}
	}
}

// request reserves the bound of one request at a router and spends 90% of it.
func (sim *transferSimulation) request(manager *ShareManager, bound int64) {
	ctx, cancel := context.WithTimeout(context.Background(), 150*time.Millisecond)
	c := manager.Reserve(ctx, "fleet", bound)
	cancel()
	if c.Coverage != buckthornpin.Covered {
		sim.mu.Lock()
		sim.refused[int(time.Since(sim.start).Seconds())]++
		sim.mu.Unlock()
		return
	}
	time.Sleep(300 * time.Millisecond)
	manager.Settle("fleet", bound, bound*9/10)
}

// countRefusals sends 40 requests a second to the first busy ones of the routers, each
// of which holds its share of the budget, and then cuts all routers off from control for
// the rest of the run. It returns how many requests were refused in the first seconds of
// the cut, while the routers' shares last.
func countRefusals(t *testing.T, seed uint64, routers, busy int) (refused int) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		sim := &transferSimulation{ledger: ledger.Empty(), random: rand.New(rand.NewPCG(seed, 1)), start: time.Now(), refused: map[int]int{}}
		sim.ledger.Apply(&wire.Command{AtMs: time.Now().UnixMilli(), Op: &wire.Command_PutSite{PutSite: &wire.PutSite{
			Version: 1, Totals: []*wire.OrganisationTotal{{Organisation: "fleet", Tokens: budgetTokens}},
		}}})
		ctx, stop := context.WithCancel(t.Context())
		var wg sync.WaitGroup
		for i := range routers {
			manager := &ShareManager{
				Control: sim, Lenders: sim, Address: fmt.Sprint("r", i), Incarnation: 1, Horizon: 12 * time.Second, Log: zerolog.Nop(),
			}
			manager.Open()
			manager.RequestShares([]string{"fleet"})
			sim.managers = append(sim.managers, manager)
			wg.Go(func() { _ = manager.Run(ctx) })
		}
		wg.Go(func() { sim.gossip(ctx) })
		time.Sleep(2 * time.Second)
		for time.Since(sim.start) < cutStart+measuredTime {
			manager := sim.managers[sim.random.IntN(busy)]
			bound := 1_500 + sim.random.Int64N(15_000)
			wg.Go(func() { sim.request(manager, bound) })
			time.Sleep(time.Second / requestRate)
		}
		stop()
		wg.Wait()
		for second, n := range sim.refused {
			if second >= int(cutStart.Seconds()) {
				refused += n
			}
		}
	})
	return refused
}

// TestOneRouterGetsTheOthersParts covers an organisation whose requests all arrive at one
// router, of few or of many, while all routers are cut off from control. That router
// obtains the tokens held by the others: at most one request in 20 is refused while
// their shares last.
func TestOneRouterGetsTheOthersParts(t *testing.T) {
	for _, c := range []struct{ routers, busy int }{{8, 1}, {8, 4}, {86, 1}} {
		t.Run(fmt.Sprintf("%d of %d routers", c.busy, c.routers), func(t *testing.T) {
			const seeds = 5
			refused := 0
			for seed := range uint64(seeds) {
				refused += countRefusals(t, seed, c.routers, c.busy)
			}
			require.LessOrEqual(t, refused, seeds*requestRate*int(measuredTime.Seconds())/20)
		})
	}
}
