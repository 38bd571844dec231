package budget

import (
	"context"
	"flag"
	"os"
	"testing"
	"time"

	"github.com/rs/zerolog"
	"github.com/stretchr/testify/require"

	"buckthornpin"
	"buckthornpin/wire"
)

// TestMain fixes the seed, so that each run gives the same result.
func TestMain(m *testing.M) {
	if err := flag.Set("rapid.seed", "20261203"); err != nil {
		panic(err)
	}
	os.Exit(m.Run())
}

type nopRecorder struct{}

func (nopRecorder) Record(buckthornpin.Event) {}

// fakeControl expects commands in order and answers each with a result, or with an error
// if the result is nil.
type fakeControl struct {
	t        *testing.T
	expected []expectation
}

type expectation struct {
	check  func(t *testing.T, c *wire.Command)
	result *wire.Result
}

func (f *fakeControl) Execute(_ context.Context, c *wire.Command) (*wire.Result, error) {
	require.NotEmpty(f.t, f.expected, "unexpected command %v", c)
	e := f.expected[0]
	f.expected = f.expected[1:]
	e.check(f.t, c)
	if e.result == nil {
		return nil, context.DeadlineExceeded
	}
	return e.result, nil
}

func (f *fakeControl) expect(check func(t *testing.T, c *wire.Command), result *wire.Result) {
	f.expected = append(f.expected, expectation{check: check, result: result})
}

func newLeaseManager(t *testing.T) (*LeaseManager, *fakeControl) {
	t.Helper()
	f := &fakeControl{t: t}
	t.Cleanup(func() { require.Empty(t, f.expected, "commands that were not sent") })
	manager := &LeaseManager{
		Control: f, Router: "vm-1", Incarnation: func() int64 { return 1 }, LastContact: time.Now,
		Recalled: func(string) bool { return false }, Policy: policy, MaxGrantPercent: 10, Events: nopRecorder{}, Log: zerolog.Nop(),
	}
	manager.Open()
	return manager, f
}

func granted(tokens int64) *wire.Result {
	return &wire.Result{Kind: wire.ResultKind_RESULT_KIND_OK, Tokens: tokens}
}

// isFirstGrant returns a check for the first change to a lease, which may be sent
// repeatedly.
func isFirstGrant(tokens int64) func(*testing.T, *wire.Command) {
	return func(t *testing.T, c *wire.Command) {
		t.Helper()
		require.Equal(t, int64(1), c.GetGrantLease().GetSequence())
		require.Equal(t, tokens, c.GetGrantLease().GetTokens())
	}
}

func step(t *testing.T, manager *LeaseManager) {
	t.Helper()
	manager.sendChanges(t.Context(), manager.plan(time.Now()))
}

func TestLeaseFollowsDemand(t *testing.T) {
	manager, control := newLeaseManager(t)
	require.False(t, manager.Take("org", 100), "there is no lease yet")
	manager.leases["org"].newDemand = 0
	control.expect(isFirstGrant(400), granted(400))
	step(t, manager)
	require.True(t, manager.Take("org", 100))
	require.True(t, manager.Take("org", 300))
	require.False(t, manager.Take("org", 1), "a lease can't be spent twice")
}

func TestGrantWithoutReplyIsSentAgainWithItsSequence(t *testing.T) {
	manager, control := newLeaseManager(t)
	manager.Take("org", 100)
	manager.leases["org"].newDemand = 0
	control.expect(isFirstGrant(400), nil)
	step(t, manager)
	require.False(t, manager.Take("org", 100), "nothing is spent before the reply")
	manager.leases["org"].newDemand = 0
	control.expect(isFirstGrant(400), granted(400))
	step(t, manager)
	require.True(t, manager.Take("org", 100))
}

func TestRecalledLeaseGoesBack(t *testing.T) {
	manager, control := newLeaseManager(t)
	manager.Take("org", 50)
	manager.leases["org"].newDemand = 0
	control.expect(isFirstGrant(200), granted(200))
	step(t, manager)
	manager.Recalled = func(string) bool { return true }
	control.expect(func(t *testing.T, c *wire.Command) {
		require.Equal(t, int64(200), c.GetCloseLease().GetTokens())
		require.Equal(t, int64(2), c.GetCloseLease().GetSequence())
	}, granted(200))
	step(t, manager)
	require.False(t, manager.Take("org", 1))
}

func TestSpentTokensAreReportedUntilBooked(t *testing.T) {
	manager, control := newLeaseManager(t)
	k := buckthornpin.RequestKey{Organisation: "org", Key: "k"}
	manager.Spend(k, 60)
	isReport := func(t *testing.T, c *wire.Command) { require.Equal(t, int64(60), c.GetSettleLease().GetTokens()) }
	control.expect(isReport, nil)
	manager.report(t.Context())
	require.Equal(t, 1, manager.Unreported())
	control.expect(isReport, granted(60))
	manager.report(t.Context())
	require.Zero(t, manager.Unreported())
}

func TestDeferredCommandsKeepTheirOrder(t *testing.T) {
	manager, control := newLeaseManager(t)
	first := &wire.Command{Id: "first"}
	second := &wire.Command{Id: "second"}
	manager.Defer(first)
	manager.Defer(second)
	hasID := func(id string) func(*testing.T, *wire.Command) {
		return func(t *testing.T, c *wire.Command) { require.Equal(t, id, c.GetId()) }
	}
	control.expect(hasID("first"), nil)
	manager.sendDeferred(t.Context())
	control.expect(hasID("first"), granted(0))
	control.expect(hasID("second"), granted(0))
	manager.sendDeferred(t.Context())
}
