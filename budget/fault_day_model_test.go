package budget

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/rs/zerolog"

	"buckthornpin"
	"buckthornpin/ledger"
	"buckthornpin/wire"
)

// faultDay is a day of several organisations at several routers, in the fake time of a
// synctest bubble. Routers are cut off from control and killed.
type faultDay struct {
	mu      sync.Mutex
	ledger  *ledger.Ledger
	random  *rand.Rand
	start   time.Time
	routers []*dayRouter
	// controlUp is true while control answers the routers that aren't cut off.
	controlUp     bool
	organisations []*dayOrganisation
	sizes         []daySize
	wg            sync.WaitGroup
}

// dayRouter is a router VM: its process, which is nil while it is down, and whether the
// VM is cut off from control.
type dayRouter struct {
	day         *faultDay
	address     string
	incarnation int64
	manager     *ShareManager
	stop        context.CancelFunc
	cut         bool
}

type dayOrganisation struct {
	name string
	// total is the prepaid total, consumed the part of it that was used, in tokens.
	total, consumed int64
	// requestsPerSecond is its load.
	requestsPerSecond float64
	outcomes          []dayOutcome
}

// dayOutcome is the outcome of one request. A request is owed if its organisation's
// total covers it.
type dayOutcome struct {
	at           time.Duration
	owed, served bool
}

// daySize is the prompt size of a kind of request in tokens, and how many of 100 requests
// have it.
type daySize struct {
	tokens int64
	weight int
}

// standardSizes are the kinds of request of a usual day. mixedSizes also has a few prompts
// that are much longer.
var (
	standardSizes = []daySize{{17_000, 26}, {9_200, 24}, {1_460, 50}}
	mixedSizes    = []daySize{{45_000, 3}, {17_000, 18}, {9_200, 21}, {1_460, 58}}
)

const (
	dayOutputTokens = 120
	// maxOutputTokens is the output that a request reserves.
	maxOutputTokens = 480
	// dayLength is the time for which the totals would last at the expected load,
	// and totalPercent what they hold of it.
	dayLength    = 34 * time.Second
	totalPercent = 130
	// owedPercent is the percentage of a total up to which requests are owed.
	owedPercent = 97
)

func newFaultDay(seed uint64, routers, organisations int, requestsPerSecond float64, sizes []daySize) *faultDay {
	day := &faultDay{ledger: ledger.Empty(), random: rand.New(rand.NewPCG(seed, 7)), start: time.Now(), sizes: sizes}
	mean := 0.0
	for _, size := range sizes {
		mean += float64(size.tokens+dayOutputTokens) * float64(size.weight) / 100
	}
	sum := 0.0
	for i := range organisations {
		sum += 1 / float64(i+1)
	}
	put := &wire.PutSite{Version: 1}
	for i := range organisations {
		expected := requestsPerSecond / float64(i+1) / sum
		o := &dayOrganisation{
			name:  fmt.Sprint("organisation-", i),
			total: int64(expected * mean * dayLength.Seconds() * totalPercent / 100),
			// Organisations send between 0.7 and 1.4 times what was expected of them.
			requestsPerSecond: expected * (0.7 + 0.7*day.random.Float64()),
		}
		day.organisations = append(day.organisations, o)
		put.Totals = append(put.Totals, &wire.OrganisationTotal{Organisation: o.name, Tokens: o.total})
	}
	day.apply(&wire.Command{Op: &wire.Command_PutSite{PutSite: put}})
	for i := range routers {
		r := &dayRouter{day: day, address: fmt.Sprint("router-", i)}
		day.routers = append(day.routers, r)
	}
	day.controlUp = true
	return day
}

func (day *faultDay) apply(c *wire.Command) *wire.Result {
	c.AtMs = time.Now().UnixMilli()
	return day.ledger.Apply(c)
}

// startRouter starts a new process on a router's VM.
func (day *faultDay) startRouter(ctx context.Context, r *dayRouter) {
	day.mu.Lock()
	r.incarnation++
	day.mu.Unlock()
	ctx, r.stop = context.WithCancel(ctx)
	m := &ShareManager{
		Control: r, Lenders: r, Address: r.address, Incarnation: r.incarnation, Horizon: 9 * time.Second,
		ReadBoot: readTestBoot, LimitTime: 3 * time.Second, Log: zerolog.Nop(),
	}
	m.Open()
	var names []string
	for _, o := range day.organisations {
		names = append(names, o.name)
	}
	m.RequestShares(names)
	day.mu.Lock()
	r.manager = m
	day.mu.Unlock()
	day.wg.Go(func() { _ = m.Run(ctx) })
}

// kill ends the process on a router's VM.
func (day *faultDay) kill(r *dayRouter) {
	day.mu.Lock()
	defer day.mu.Unlock()
	r.stop()
	r.manager = nil
}

// Execute implements Committer.
func (r *dayRouter) Execute(ctx context.Context, commands []*wire.Command) ([]*wire.Result, error) {
	time.Sleep(4 * time.Millisecond)
	r.day.mu.Lock()
	reachable := r.day.controlUp && !r.cut && ctx.Err() == nil
	var out []*wire.Result
	if reachable {
		for _, c := range commands {
			out = append(out, r.day.apply(c))
		}
	}
	r.day.mu.Unlock()
	if !reachable {
		<-ctx.Done()
		return nil, ctx.Err()
	}
	time.Sleep(4 * time.Millisecond)
	return out, ctx.Err()
}

// AskTransfer implements Lenders.
func (r *dayRouter) AskTransfer(ctx context.Context, address string, q *wire.TransferRequest) (*wire.TransferReply, error) {
	time.Sleep(3 * time.Millisecond)
	if ctx.Err() == nil {
		if m := r.day.managerAt(address); m != nil {
			return m.Donate(q), nil
		}
	}
	return nil, &Error{Op: "transfer", Kind: KindLost}
}

// HandOver implements Lenders.
func (r *dayRouter) HandOver(context.Context, string, *wire.GiveRequest) error {
	return &Error{Op: "give", Kind: KindLost}
}

func (day *faultDay) managerAt(address string) *ShareManager {
	day.mu.Lock()
	defer day.mu.Unlock()
	for _, r := range day.routers {
		if r.address == address {
			return r.manager
		}
	}
	return nil
}

// living returns the managers of the routers that run.
func (day *faultDay) living() []*ShareManager {
	day.mu.Lock()
	defer day.mu.Unlock()
	var out []*ShareManager
	for _, r := range day.routers {
		if r.manager != nil {
			out = append(out, r.manager)
		}
	}
	return out
}

// gossip sends balances as the mesh does: each router tells all others if there are up to
// 16 routers, and otherwise three random ones.
func (day *faultDay) gossip(ctx context.Context) {
	random := rand.New(rand.NewPCG(2, 2))
	for ctx.Err() == nil {
		time.Sleep(400 * time.Millisecond)
		all := day.living()
		for _, from := range all {
			to := random.Perm(len(all))
			if len(all) > 16 {
				to = to[:3]
			}
			for _, i := range to {
				if all[i] != from {
					all[i].RecordBalances(from.Address, from.Balances())
				}
			}
		}
	}
}

// send sends an organisation's requests at their rate until ctx ends. Each caller uses
// one router.
func (day *faultDay) send(ctx context.Context, o *dayOrganisation, random *rand.Rand) {
	callers := make([]int, 3+random.IntN(5))
	for i := range callers {
		callers[i] = random.IntN(len(day.routers))
	}
	for {
		time.Sleep(time.Duration(random.ExpFloat64() / o.requestsPerSecond * float64(time.Second)))
		if ctx.Err() != nil {
			return
		}
		size := day.drawSize(random)
		router := day.routers[callers[random.IntN(len(callers))]]
		day.wg.Go(func() { day.request(o, router, size) })
	}
}

func (day *faultDay) drawSize(random *rand.Rand) int64 {
	n := random.IntN(100)
	for _, size := range day.sizes {
		if n -= size.weight; n < 0 {
			return size.tokens
		}
	}
	return day.sizes[0].tokens
}

func (day *faultDay) request(o *dayOrganisation, r *dayRouter, size int64) {
	day.mu.Lock()
	manager, incarnation := r.manager, r.incarnation
	outcome := dayOutcome{at: time.Since(day.start), owed: o.consumed+size+maxOutputTokens <= o.total*owedPercent/100}
	day.mu.Unlock()
	if manager != nil {
		ctx, cancel := context.WithTimeout(context.Background(), 150*time.Millisecond)
		outcome.served = manager.Reserve(ctx, o.name, size+maxOutputTokens).Coverage == buckthornpin.Covered
		cancel()
	}
	day.mu.Lock()
	o.outcomes = append(o.outcomes, outcome)
	if outcome.served {
		o.consumed += size + dayOutputTokens
	}
	day.mu.Unlock()
	if !outcome.served {
		return
	}
	time.Sleep(300 * time.Millisecond)
	day.mu.Lock()
	alive := r.manager == manager && r.incarnation == incarnation
	day.mu.Unlock()
	if alive {
		manager.Settle(o.name, size+maxOutputTokens, size+dayOutputTokens)
	}
}

// share returns the percentage of the owed requests sent in a span that were served.
func (day *faultDay) share(from, to time.Duration) (percent, owed int) {
	served := 0
	for _, o := range day.organisations {
		for _, r := range o.outcomes {
			if r.at >= from && r.at < to && r.owed {
				owed++
				if r.served {
					served++
				}
			}
		}
	}
	if owed == 0 {
		return 100, 0
	}
	return 100 * served / owed, owed
}
