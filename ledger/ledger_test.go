package ledger

import (
	"flag"
	"fmt"
	"os"
	"testing"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"buckthornpin/wire"
)

const (
	ok           = wire.ResultKind_RESULT_KIND_OK
	insufficient = wire.ResultKind_RESULT_KIND_INSUFFICIENT
	inProgress   = wire.ResultKind_RESULT_KIND_IN_PROGRESS
	alreadyRan   = wire.ResultKind_RESULT_KIND_ALREADY_RAN
	tombstone    = wire.ResultKind_RESULT_KIND_TOMBSTONE
	superseded   = wire.ResultKind_RESULT_KIND_SUPERSEDED
	conflict     = wire.ResultKind_RESULT_KIND_CONFLICT
)

// TestMain fixes the seed of rapid so that every run gives the same result.
func TestMain(m *testing.M) {
	if err := flag.Set("rapid.seed", "20261203"); err != nil {
		panic(err)
	}
	os.Exit(m.Run())
}

// driver applies commands to a ledger. It numbers commands without an id and
// stamps each with its own time.
type driver struct {
	t        require.TestingT
	ledger   *Ledger
	commands int
	nowMS    int64
}

func newDriver(t require.TestingT) *driver {
	d := &driver{t: t, ledger: Empty(), nowMS: 1_000_000}
	d.mustApply(&wire.Command{Op: &wire.Command_PutOrganisation{PutOrganisation: &wire.PutOrganisation{Organisation: "org"}}})
	d.topUp(1000)
	d.register("vm-1")
	d.register("vm-2")
	return d
}

func (d *driver) apply(c *wire.Command) *wire.Result {
	if c.GetId() == "" {
		d.commands++
		c.Id = fmt.Sprintf("c%d", d.commands)
	}
	c.AtMs = d.nowMS
	r := d.ledger.Apply(c)
	require.NoError(d.t, d.ledger.CheckInvariants())
	return r
}

func (d *driver) mustApply(c *wire.Command) *wire.Result {
	r := d.apply(c)
	require.Equal(d.t, ok, r.GetKind(), r.GetMessage())
	return r
}

func (d *driver) topUp(tokens int64) {
	d.mustApply(&wire.Command{Op: &wire.Command_TopUp{TopUp: &wire.TopUp{Organisation: "org", Tokens: tokens}}})
}

func (d *driver) register(router string) int64 {
	r := d.mustApply(&wire.Command{Op: &wire.Command_RegisterRouter{RegisterRouter: &wire.RegisterRouter{Router: router}}})
	return r.GetVersion()
}

func reserveFrom(router, key string, bound int64) *wire.Reserve {
	return &wire.Reserve{Organisation: "org", Key: key, Bound: bound, Router: router, Incarnation: 1, Digest: "d"}
}

func (d *driver) reserve(r *wire.Reserve) *wire.Result {
	return d.apply(&wire.Command{Op: &wire.Command_Reserve{Reserve: r}})
}

func (d *driver) settle(key string, dispatch int32, tokens int64, whole bool) *wire.Result {
	return d.apply(&wire.Command{Op: &wire.Command_Settle{Settle: &wire.Settle{Organisation: "org", Key: key, Dispatch: dispatch, Tokens: tokens, Whole: whole}}})
}

func (d *driver) cancel(c *wire.Cancel) *wire.Result {
	c.Organisation = "org"
	return d.apply(&wire.Command{Op: &wire.Command_Cancel{Cancel: c}})
}

func (d *driver) budget() *wire.OrganisationState { return d.ledger.Organisations()[0] }

func (d *driver) requireBudget(settled, held, leased int64) {
	b := d.budget()
	require.Equal(d.t, [3]int64{settled, held, leased}, [3]int64{b.GetSettled(), b.GetHeld(), b.GetLeased()}, "settled, held, leased")
}

func TestReserveAndSettle(t *testing.T) {
	d := newDriver(t)
	require.Equal(t, ok, d.reserve(reserveFrom("vm-1", "k", 400)).GetKind())
	d.requireBudget(0, 400, 0)
	require.Equal(t, ok, d.settle("k", 1, 150, true).GetKind())
	d.requireBudget(150, 0, 0)
	t.Run("a second settlement changes nothing", func(t *testing.T) {
		require.Equal(t, int64(150), d.settle("k", 1, 300, true).GetTokens())
		d.requireBudget(150, 0, 0)
	})
	t.Run("the key doesn't run again", func(t *testing.T) {
		require.Equal(t, alreadyRan, d.reserve(reserveFrom("vm-2", "k", 400)).GetKind())
	})
	t.Run("the key can't name another request", func(t *testing.T) {
		r := reserveFrom("vm-2", "k", 400)
		r.Digest = "other"
		require.Equal(t, conflict, d.reserve(r).GetKind())
	})
}

func TestReserveRefusesInsufficientBudget(t *testing.T) {
	d := newDriver(t)
	require.Equal(t, ok, d.reserve(reserveFrom("vm-1", "a", 700)).GetKind())
	r := d.reserve(reserveFrom("vm-1", "b", 301))
	require.Equal(t, insufficient, r.GetKind())
	require.False(t, r.GetNotRun(), "without an attempt number the refusal promises nothing")
	d.topUp(1)
	require.Equal(t, ok, d.reserve(reserveFrom("vm-1", "b", 301)).GetKind(), "the key is accepted after a top-up")
}

func TestNotRunIsFinalForAnAttempt(t *testing.T) {
	d := newDriver(t)
	first := reserveFrom("vm-1", "k", 1001)
	first.Attempt = 1
	require.True(t, d.reserve(first).GetNotRun())
	d.topUp(1000)
	t.Run("a late duplicate is refused", func(t *testing.T) {
		late := reserveFrom("vm-2", "k", 1001)
		late.Attempt = 1
		r := d.reserve(late)
		require.Equal(t, tombstone, r.GetKind())
		require.True(t, r.GetNotRun())
	})
	t.Run("the next attempt is accepted", func(t *testing.T) {
		next := reserveFrom("vm-2", "k", 1001)
		next.Attempt = 2
		require.Equal(t, ok, d.reserve(next).GetKind())
	})
}

func TestCancelBlocksLateReservation(t *testing.T) {
	d := newDriver(t)
	r := d.cancel(&wire.Cancel{Key: "k", Change: "late", Tombstone: true, Fresh: true, Digest: "d"})
	require.True(t, r.GetNotRun())
	late := &wire.Command{Id: "late", Op: &wire.Command_Reserve{Reserve: reserveFrom("vm-1", "k", 10)}}
	require.Equal(t, tombstone, d.apply(late).GetKind())
	d.requireBudget(0, 0, 0)
}

func TestNonIdempotentRunsAtMostOnce(t *testing.T) {
	d := newDriver(t)
	nonIdempotent := func(router string, takeover bool) *wire.Reserve {
		r := reserveFrom(router, "form", 10)
		r.NonIdempotent = true
		r.Takeover = takeover
		return r
	}
	require.Equal(t, ok, d.reserve(nonIdempotent("vm-1", false)).GetKind())
	require.Equal(t, inProgress, d.reserve(nonIdempotent("vm-2", false)).GetKind())
	require.Equal(t, inProgress, d.reserve(nonIdempotent("vm-2", true)).GetKind(), "a takeover doesn't run it either")
	d.register("vm-1")
	require.Equal(t, inProgress, d.reserve(nonIdempotent("vm-2", true)).GetKind(), "a restart of its router doesn't allow it either")
	require.Equal(t, ok, d.settle("form", 1, 10, false).GetKind())
	require.Equal(t, alreadyRan, d.reserve(nonIdempotent("vm-2", false)).GetKind())
}

func TestTakeoverBillsOnce(t *testing.T) {
	d := newDriver(t)
	require.Equal(t, ok, d.reserve(reserveFrom("vm-1", "k", 100)).GetKind())
	second := reserveFrom("vm-2", "k", 100)
	second.Takeover = true
	require.Equal(t, int32(2), d.reserve(second).GetDispatch())
	d.requireBudget(0, 100, 0)
	require.Equal(t, superseded, d.settle("k", 1, 90, true).GetKind(), "the first router can't complete its answer")
	require.Equal(t, ok, d.settle("k", 2, 80, true).GetKind())
	d.requireBudget(80, 0, 0)
}

func TestRetryReplacesBillOfBrokenAnswer(t *testing.T) {
	d := newDriver(t)
	require.Equal(t, ok, d.reserve(reserveFrom("vm-1", "k", 100)).GetKind())
	require.Equal(t, ok, d.settle("k", 1, 30, false).GetKind())
	d.requireBudget(30, 0, 0)
	require.Equal(t, ok, d.reserve(reserveFrom("vm-2", "k", 100)).GetKind())
	d.requireBudget(0, 100, 0)
	require.Equal(t, ok, d.settle("k", 2, 90, true).GetKind())
	d.requireBudget(90, 0, 0)
}

func TestOrphanedReservationIsBilledAfterGrace(t *testing.T) {
	d := newDriver(t)
	r := reserveFrom("vm-1", "k", 100)
	r.OrphanTokens = 100
	require.Equal(t, ok, d.reserve(r).GetKind())
	d.register("vm-1")
	d.nowMS += OrphanGrace.Milliseconds() + 1
	d.topUp(1)
	d.requireBudget(100, 0, 0)
	require.Equal(t, ok, d.settle("k", 1, 50, true).GetKind(), "a late settlement leaves the bill unchanged")
	d.requireBudget(100, 0, 0)
}

func TestRegistrationRaisesIncarnation(t *testing.T) {
	d := newDriver(t)
	require.Equal(t, int64(2), d.register("vm-1"))
	old := d.reserve(reserveFrom("vm-1", "k", 1))
	require.Equal(t, wire.ResultKind_RESULT_KIND_STALE_ROUTER, old.GetKind())
}

func TestResentChangeAppliesOnce(t *testing.T) {
	d := newDriver(t)
	c := func() *wire.Command {
		return &wire.Command{Id: "top-up-1", Op: &wire.Command_TopUp{TopUp: &wire.TopUp{Organisation: "org", Tokens: 5}}}
	}
	d.mustApply(c())
	d.mustApply(c())
	require.Equal(t, int64(1005), d.budget().GetPaid())
}

func TestOneOfTwoChangesToSameVersionWins(t *testing.T) {
	d := newDriver(t)
	put := func(id, content string) *wire.Result {
		return d.apply(&wire.Command{Id: id, Op: &wire.Command_PutConfiguration{PutConfiguration: &wire.PutConfiguration{Content: content}}})
	}
	require.Equal(t, int64(1), put("a", `{"max_tokens":10}`).GetVersion())
	lost := put("b", `{"max_tokens":20}`)
	require.Equal(t, conflict, lost.GetKind())
	require.Equal(t, `{"max_tokens":10}`, lost.GetContent(), "the loser gets the winner's content")
	require.Equal(t, int64(1), put("a", `{"max_tokens":10}`).GetVersion(), "the winner's resend is a repeat")
}

func TestLeases(t *testing.T) {
	d := newDriver(t)
	grant := func(tokens int64, percent int32) *wire.Result {
		return d.apply(&wire.Command{Op: &wire.Command_GrantLease{GrantLease: &wire.GrantLease{Organisation: "org", Router: "vm-1", Incarnation: 1, Tokens: tokens, MaxPercent: percent, Sequence: 1}}})
	}
	spend := func(key string, tokens int64) *wire.Result {
		return d.apply(&wire.Command{Op: &wire.Command_SettleLease{SettleLease: &wire.SettleLease{Organisation: "org", Key: key, Router: "vm-1", Incarnation: 1, Tokens: tokens}}})
	}
	require.Equal(t, int64(500), grant(900, 50).GetTokens(), "no more than the given percentage")
	require.Equal(t, int64(500), grant(900, 50).GetTokens(), "a repeat grants nothing more")
	d.requireBudget(0, 0, 500)
	require.Equal(t, ok, spend("k", 60).GetKind())
	require.Equal(t, ok, spend("k", 60).GetKind(), "a repeat is billed once")
	d.requireBudget(60, 0, 440)
	require.Equal(t, ok, d.apply(&wire.Command{Op: &wire.Command_CloseLease{CloseLease: &wire.CloseLease{Organisation: "org", Router: "vm-1", Incarnation: 1, Tokens: 440, Sequence: 2}}}).GetKind())
	d.requireBudget(60, 0, 0)
}

// TestRandomCommands applies random commands, including repeated and late ones.
// The budget invariant must hold after each, a key must have at most one bill,
// and a ledger restored from a snapshot must behave like the original.
func TestRandomCommands(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		d := newDriver(rt)
		var sent []*wire.Command
		for range rapid.IntRange(1, 60).Draw(rt, "steps") {
			c := randomCommand(rt, d.nowMS)
			if len(sent) > 0 && rapid.IntRange(0, 3).Draw(rt, "repeat") == 0 {
				c = sent[rapid.IntRange(0, len(sent)-1).Draw(rt, "which")]
			}
			d.nowMS += rapid.Int64Range(0, 60_000).Draw(rt, "wait")
			sent = append(sent, c)
			d.apply(c)
		}
		requireSameBehaviourAfterRestore(rt, d, sent)
	})
}

func randomCommand(rt *rapid.T, nowMS int64) *wire.Command {
	id := fmt.Sprintf("x%d-%d", nowMS, rapid.IntRange(0, 1<<20).Draw(rt, "id"))
	key := rapid.SampledFrom([]string{"a", "b", "c"}).Draw(rt, "key")
	router := rapid.SampledFrom([]string{"vm-1", "vm-2"}).Draw(rt, "router")
	tokens := rapid.Int64Range(0, 500).Draw(rt, "tokens")
	flag := rapid.Bool().Draw(rt, "flag")
	dispatch := rapid.Int32Range(0, 3).Draw(rt, "dispatch")
	switch rapid.IntRange(0, 7).Draw(rt, "op") {
	case 0, 1:
		return &wire.Command{Id: id, Op: &wire.Command_Reserve{Reserve: &wire.Reserve{
			Organisation: "org", Key: key, Bound: tokens, Router: router, Incarnation: 1, Digest: "d", Takeover: flag,
			NonIdempotent: key == "c", Attempt: dispatch, OrphanTokens: tokens, HoldMs: tokens * 100,
		}}}
	case 2, 3:
		return &wire.Command{Id: id, Op: &wire.Command_Settle{Settle: &wire.Settle{Organisation: "org", Key: key, Dispatch: dispatch, Tokens: tokens, Whole: flag}}}
	case 4:
		return &wire.Command{Id: id, Op: &wire.Command_Cancel{Cancel: &wire.Cancel{Organisation: "org", Key: key, Dispatch: dispatch, Tombstone: flag, Digest: "d"}}}
	case 5:
		return &wire.Command{Id: id, Op: &wire.Command_GrantLease{GrantLease: &wire.GrantLease{Organisation: "org", Router: router, Incarnation: 1, Tokens: tokens, MaxPercent: 40, Sequence: int64(dispatch)}}}
	case 6:
		return &wire.Command{Id: id, Op: &wire.Command_SettleLease{SettleLease: &wire.SettleLease{Organisation: "org", Key: key, Router: router, Incarnation: 1, Tokens: tokens}}}
	}
	return &wire.Command{Id: id, Op: &wire.Command_CloseLease{CloseLease: &wire.CloseLease{Organisation: "org", Router: router, Incarnation: 1, Tokens: tokens, Sequence: int64(dispatch)}}}
}

func requireSameBehaviourAfterRestore(rt *rapid.T, d *driver, sent []*wire.Command) {
	data, err := d.ledger.Snapshot()
	require.NoError(rt, err)
	copied, err := Restore(data)
	require.NoError(rt, err)
	other := &driver{t: rt, ledger: copied, nowMS: d.nowMS, commands: d.commands}
	for _, c := range sent {
		require.Equal(rt, d.apply(c).GetKind(), other.apply(c).GetKind())
	}
	first, err := d.ledger.Snapshot()
	require.NoError(rt, err)
	second, err := other.ledger.Snapshot()
	require.NoError(rt, err)
	require.Equal(rt, first, second)
}

func FuzzRestore(f *testing.F) {
	d := newDriver(f)
	d.reserve(reserveFrom("vm-1", "k", 100))
	data, err := d.ledger.Snapshot()
	require.NoError(f, err)
	f.Add(data)
	f.Fuzz(func(t *testing.T, data []byte) {
		l, err := Restore(data)
		if err == nil {
			require.NoError(t, l.CheckInvariants())
		}
	})
}
