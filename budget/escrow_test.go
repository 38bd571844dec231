package budget

import (
	"context"
	"flag"
	"fmt"
	"math/rand/v2"
	"testing"
	"testing/synctest"
	"time"

	"github.com/rs/zerolog"
	"github.com/stretchr/testify/require"

	"buckthornpin/wire"
)

var schedules = flag.Int("schedules", 300, "number of schedules of the overspend test")

// faultSimulation runs control and several routers in the fake time of a synctest bubble. Messages between them are lost,
// delayed or duplicated, connections are cut, and routers are killed and restarted.
type faultSimulation struct {
	random  *rand.Rand
	control *ledgerControl
	routers []*ShareManager
	cut     []bool
	// reserved holds the reserved tokens of each router.
	reserved        []int64
	spent           int64
	total           int64
	highestTotal    int64
	version         int64
	lastIncarnation int64
	limitTime       time.Duration
	// delayed holds messages and commands that may still be delivered, any number of times.
	delayed []func()
}

func newFaultSimulation(seed uint64, routers int) *faultSimulation {
	sim := &faultSimulation{
		random: rand.New(rand.NewPCG(seed, 1)), control: newControl(1_000_000), total: 1_000_000, highestTotal: 1_000_000, version: 1,
		limitTime: 3 * time.Second,
	}
	for i := range routers {
		sim.routers = append(sim.routers, nil)
		sim.cut = append(sim.cut, false)
		sim.reserved = append(sim.reserved, 0)
		sim.start(i)
	}
	return sim
}

func (sim *faultSimulation) start(i int) {
	sim.lastIncarnation++
	sim.reserved[i] = 0
	sim.routers[i] = &ShareManager{
		Lenders: noLenders{}, Address: fmt.Sprintf("router-%d", i), Incarnation: sim.lastIncarnation, Horizon: 3 * sim.limitTime,
		ReadBoot: readTestBoot, LimitTime: sim.limitTime, Log: zerolog.Nop(),
	}
}

// Execute implements Committer. Commands or their results get lost, and commands may
// be applied again later.
func (sim *faultSimulation) Execute(_ context.Context, commands []*wire.Command) ([]*wire.Result, error) {
	if sim.random.IntN(4) == 0 {
		return nil, &Error{Op: "execute", Kind: KindLost}
	}
	if sim.random.IntN(4) == 0 {
		sim.delayed = append(sim.delayed, func() { sim.apply(commands) })
	}
	results := sim.apply(commands)
	if sim.random.IntN(4) == 0 {
		return nil, &Error{Op: "execute", Kind: KindLost}
	}
	return results, nil
}

func (sim *faultSimulation) apply(commands []*wire.Command) []*wire.Result {
	var out []*wire.Result
	for _, c := range commands {
		c.AtMs = time.Now().UnixMilli()
		out = append(out, sim.control.ledger.Apply(c))
	}
	return out
}

func (sim *faultSimulation) step() {
	time.Sleep(time.Duration(1+sim.random.IntN(500)) * time.Millisecond)
	i := sim.random.IntN(len(sim.routers))
	r := sim.routers[i]
	switch sim.random.IntN(12) {
	case 0:
		sim.cut[i] = !sim.cut[i]
	case 1:
		sim.start(i)
	case 2:
		sim.putTotal()
	case 3, 4:
		sim.report(i)
	case 5, 6:
		sim.transfer(i, sim.random.IntN(len(sim.routers)))
	case 7:
		if len(sim.delayed) > 0 {
			n := sim.random.IntN(len(sim.delayed))
			sim.delayed[n]()
		}
	case 8:
		sim.handOver(i, sim.random.IntN(len(sim.routers)))
	case 9:
		sim.settle(i, r)
	default:
		sim.reserve(i, r)
	}
}

func (sim *faultSimulation) reserve(i int, r *ShareManager) {
	tokens := int64(1 + sim.random.IntN(60_000))
	if r.share("fleet").reserve(tokens, time.Now()) {
		sim.reserved[i] += tokens
		// The endpoint may generate all of the tokens even if the router is killed.
		sim.spent += tokens
	}
}

func (sim *faultSimulation) settle(i int, r *ShareManager) {
	if sim.reserved[i] == 0 {
		return
	}
	spent := sim.random.Int64N(sim.reserved[i] + 1)
	r.Settle("fleet", sim.reserved[i], spent)
	sim.spent -= sim.reserved[i] - spent
	sim.reserved[i] = 0
}

func (sim *faultSimulation) report(i int) {
	if sim.cut[i] {
		return
	}
	sim.routers[i].Control = sim
	sim.routers[i].report(context.Background(), []string{"fleet"})
}

func (sim *faultSimulation) transfer(from, to int) {
	if from == to {
		return
	}
	r := &wire.TransferRequest{
		Vm: sim.routers[to].Address, Incarnation: sim.routers[to].Incarnation, Organisation: "fleet", Tokens: int64(sim.random.IntN(200_000)),
	}
	reply := sim.routers[from].Donate(r)
	receive := func(receiver *ShareManager) {
		receiver.mu.Lock()
		defer receiver.mu.Unlock()
		receiver.share("fleet").receive(peerKey{address: sim.routers[from].Address, incarnation: reply.GetIncarnation()}, reply.GetTransferred())
	}
	receiver := sim.routers[to]
	sim.deliver(func() { receive(receiver) })
}

// handOver stops a router: its share goes to another router, and a new process starts
// in its place.
func (sim *faultSimulation) handOver(from, to int) {
	if from == to || sim.reserved[from] > 0 {
		return
	}
	r := sim.routers[from]
	s := r.share("fleet")
	total := s.donate(peerKey{address: sim.routers[to].Address}, s.balance(), time.Now())
	request := &wire.GiveRequest{Vm: r.Address, Incarnation: r.Incarnation, Organisation: "fleet", Transferred: total}
	successor := sim.routers[to]
	sim.deliver(func() { successor.AcceptHandOver(request) })
	sim.start(from)
}

// deliver delivers a message at once, late, twice or never.
func (sim *faultSimulation) deliver(message func()) {
	switch sim.random.IntN(4) {
	case 0:
		return
	case 1:
		sim.delayed = append(sim.delayed, message)
	case 2:
		sim.delayed = append(sim.delayed, message)
		message()
	default:
		message()
	}
}

func (sim *faultSimulation) putTotal() {
	sim.version++
	sim.total = int64(sim.random.IntN(2_000_000))
	sim.highestTotal = max(sim.highestTotal, sim.total)
	sim.control.ledger.Apply(&wire.Command{AtMs: time.Now().UnixMilli(), Op: &wire.Command_PutSite{PutSite: &wire.PutSite{
		Version: sim.version, Totals: []*wire.OrganisationTotal{{Organisation: "fleet", Tokens: sim.total}},
	}}})
}

// TestNoScheduleOverspends checks that the tokens that routers let endpoints spend never
// exceed the highest total so far, whatever messages are lost, delayed or repeated and
// whichever routers are cut off or killed.
func TestNoScheduleOverspends(t *testing.T) {
	for seed := range uint64(*schedules) {
		synctest.Test(t, func(t *testing.T) {
			sim := newFaultSimulation(seed, 4)
			for n := range 400 {
				sim.step()
				require.LessOrEqual(t, sim.spent, sim.highestTotal, "seed %d, step %d", seed, n)
			}
		})
	}
}

// usableTokens returns the tokens that were spent or can still be spent: those that the
// running routers hold and those that control can still grant.
func (sim *faultSimulation) usableTokens() int64 {
	usable := sim.spent + sim.total
	for _, s := range sim.control.ledger.Shares() {
		usable -= s.GetGranted() - s.GetReturned()
	}
	for _, r := range sim.routers {
		usable += r.share("fleet").balance()
	}
	return usable
}

// stepTowardRestart makes a step of a schedule in which routers spend what they may and
// are restarted often.
func (sim *faultSimulation) stepTowardRestart() {
	time.Sleep(time.Duration(1+sim.random.IntN(500)) * time.Millisecond)
	i, other := sim.random.IntN(len(sim.routers)), sim.random.IntN(len(sim.routers))
	switch sim.random.IntN(13) {
	case 12:
		time.Sleep(time.Duration(sim.random.Int64N(int64(sim.limitTime) + 1)))
	case 0, 1:
		sim.start(i)
		sim.report(i)
	case 2, 3, 4:
		// The limit that a report sets is soon used up, whether or not it has arrived.
		sim.report(i)
		for range 8 {
			sim.reserve(i, sim.routers[i])
		}
	case 5:
		sim.transfer(i, other)
	case 6:
		sim.handOver(i, other)
	case 7:
		// Of the delayed messages, the newest are those of running processes.
		if recent := min(len(sim.delayed), 4); recent > 0 {
			sim.delayed[len(sim.delayed)-1-sim.random.IntN(recent)]()
		}
	case 8:
		sim.settle(i, sim.routers[i])
	default:
		for range 4 {
			sim.reserve(i, sim.routers[i])
		}
	}
}

// TestTakenBackSharesAreNotSpentTwice guards against taking back tokens of an ended router
// process that it has spent or handed to another router. The limits of the processes hold
// for a few steps or for many, so that the next process on a VM reports before or after
// their end.
func TestTakenBackSharesAreNotSpentTwice(t *testing.T) {
	for seed := range uint64(*schedules) {
		synctest.Test(t, func(t *testing.T) {
			sim := newFaultSimulation(seed, 3)
			sim.limitTime = []time.Duration{time.Second, 4 * time.Second, 20 * time.Second}[seed%3]
			for i := range sim.routers {
				sim.start(i)
			}
			for n := range 400 {
				sim.stepTowardRestart()
				require.LessOrEqual(t, sim.usableTokens(), sim.total, "seed %d, step %d", seed, n)
			}
		})
	}
}
