package budget

import (
	"context"
	"flag"
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/rs/zerolog"
	"github.com/stretchr/testify/require"

	"buckthornpin/wire"
)

var schedules = flag.Int("schedules", 300, "schedules of the overspend test")

// world is control and routers between which messages are lost, late, repeated,
// and cut off, and whose routers are killed and started again.
type world struct {
	random  *rand.Rand
	control *ledgerControl
	routers []*Wallet
	cut     []bool
	// reserved are the tokens under way at each router.
	reserved []int64
	spent    int64
	total    int64
	highest  int64
	version  int64
	nowMS    int64
	kills    int64
	late     []func()
}

func newWorld(seed uint64, routers int) *world {
	w := &world{random: rand.New(rand.NewPCG(seed, 1)), control: newControl(1_000_000), total: 1_000_000, highest: 1_000_000, version: 1, nowMS: 1}
	for i := range routers {
		w.routers = append(w.routers, nil)
		w.cut = append(w.cut, false)
		w.reserved = append(w.reserved, 0)
		w.start(i)
	}
	return w
}

func (w *world) start(i int) {
	w.kills++
	w.reserved[i] = 0
	w.routers[i] = &Wallet{
		Lenders: noLenders{}, Address: fmt.Sprintf("router-%d", i), Incarnation: w.kills, Horizon: 9 * time.Second, Log: zerolog.Nop(),
	}
}

// Execute implements Committer for the router whose turn it is: commands or their
// results get lost, and commands come again late.
func (w *world) Execute(_ context.Context, commands []*wire.Command) ([]*wire.Result, error) {
	if w.random.IntN(4) == 0 {
		return nil, &Error{Op: "execute", Kind: KindLost}
	}
	if w.random.IntN(4) == 0 {
		w.late = append(w.late, func() { w.apply(commands) })
	}
	results := w.apply(commands)
	if w.random.IntN(4) == 0 {
		return nil, &Error{Op: "execute", Kind: KindLost}
	}
	return results, nil
}

func (w *world) apply(commands []*wire.Command) []*wire.Result {
	var out []*wire.Result
	for _, c := range commands {
		c.AtMs = w.nowMS
		out = append(out, w.control.ledger.Apply(c))
	}
	return out
}

func (w *world) step() {
	w.nowMS += int64(w.random.IntN(500))
	i := w.random.IntN(len(w.routers))
	r := w.routers[i]
	switch w.random.IntN(12) {
	case 0:
		w.cut[i] = !w.cut[i]
	case 1:
		w.start(i)
	case 2:
		w.putTotal()
	case 3, 4:
		w.report(i)
	case 5, 6:
		w.transfer(i, w.random.IntN(len(w.routers)))
	case 7:
		if len(w.late) > 0 {
			n := w.random.IntN(len(w.late))
			w.late[n]()
		}
	case 8:
		w.handOver(i, w.random.IntN(len(w.routers)))
	case 9:
		w.settle(i, r)
	default:
		w.reserve(i, r)
	}
}

func (w *world) reserve(i int, r *Wallet) {
	tokens := int64(1 + w.random.IntN(60_000))
	if r.share("fleet").reserve(tokens, time.Now()) {
		w.reserved[i] += tokens
		// The endpoint may generate all of it, whether the router lives on or not.
		w.spent += tokens
	}
}

func (w *world) settle(i int, r *Wallet) {
	if w.reserved[i] == 0 {
		return
	}
	spent := w.random.Int64N(w.reserved[i] + 1)
	r.Settle("fleet", w.reserved[i], spent)
	w.spent -= w.reserved[i] - spent
	w.reserved[i] = 0
}

func (w *world) report(i int) {
	if w.cut[i] {
		return
	}
	w.routers[i].Control = w
	w.routers[i].report(context.Background(), []string{"fleet"})
}

func (w *world) transfer(from, to int) {
	if from == to {
		return
	}
	r := &wire.TransferRequest{
		Vm: w.routers[to].Address, Incarnation: w.routers[to].Incarnation, Organisation: "fleet", Tokens: int64(w.random.IntN(200_000)),
	}
	reply := w.routers[from].Donate(r)
	receive := func(receiver *Wallet) {
		receiver.mu.Lock()
		defer receiver.mu.Unlock()
		receiver.share("fleet").receive(peerKey{address: w.routers[from].Address, incarnation: reply.GetIncarnation()}, reply.GetTransferred())
	}
	receiver := w.routers[to]
	w.deliver(func() { receive(receiver) })
}

// handOver is a router's stop: its share goes to another one, and a new process
// starts in its place.
func (w *world) handOver(from, to int) {
	if from == to || w.reserved[from] > 0 {
		return
	}
	r := w.routers[from]
	s := r.share("fleet")
	total := s.donate(peerKey{address: w.routers[to].Address}, s.balance())
	give := &wire.GiveRequest{Vm: r.Address, Incarnation: r.Incarnation, Organisation: "fleet", Transferred: total}
	heir := w.routers[to]
	w.deliver(func() { heir.Accept(give) })
	w.start(from)
}

// deliver carries a message: at once, late, twice or never.
func (w *world) deliver(message func()) {
	switch w.random.IntN(4) {
	case 0:
		return
	case 1:
		w.late = append(w.late, message)
	case 2:
		w.late = append(w.late, message)
		message()
	default:
		message()
	}
}

func (w *world) putTotal() {
	w.version++
	w.total = int64(w.random.IntN(2_000_000))
	w.highest = max(w.highest, w.total)
	w.control.ledger.Apply(&wire.Command{AtMs: w.nowMS, Op: &wire.Command_PutSite{PutSite: &wire.PutSite{
		Version: w.version, Totals: []*wire.OrganisationTotal{{Organisation: "fleet", Tokens: w.total}},
	}}})
}

// TestNoScheduleOverspends: whatever is lost, late, repeated, cut off or killed,
// what routers let endpoints spend never passes the highest total so far.
func TestNoScheduleOverspends(t *testing.T) {
	for seed := range uint64(*schedules) {
		w := newWorld(seed, 4)
		for n := range 400 {
			w.step()
			require.LessOrEqual(t, w.spent, w.highest, "seed %d, step %d", seed, n)
		}
	}
}
