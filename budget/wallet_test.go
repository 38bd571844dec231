package budget

import (
	"context"
	"testing"
	"time"

	"github.com/rs/zerolog"
	"github.com/stretchr/testify/require"

	"buckthornpin"
	"buckthornpin/ledger"
	"buckthornpin/wire"
)

// ledgerControl applies commands to a ledger at once; it can be cut off.
type ledgerControl struct {
	ledger *ledger.Ledger
	cut    bool
}

// Execute implements Committer.
func (c *ledgerControl) Execute(_ context.Context, commands []*wire.Command) ([]*wire.Result, error) {
	if c.cut {
		return nil, &Error{Op: "execute", Kind: KindLost}
	}
	var out []*wire.Result
	for _, command := range commands {
		out = append(out, c.ledger.Apply(command))
	}
	return out, nil
}

// noLenders implements Lenders with routers that don't answer.
type noLenders struct{}

// AskTransfer implements Lenders.
func (noLenders) AskTransfer(context.Context, string, *wire.TransferRequest) (*wire.TransferReply, error) {
	return nil, &Error{Op: "transfer", Kind: KindLost}
}

// HandOver implements Lenders.
func (noLenders) HandOver(context.Context, string, *wire.GiveRequest) error {
	return &Error{Op: "give", Kind: KindLost}
}

func newControl(tokens int64) *ledgerControl {
	c := &ledgerControl{ledger: ledger.Empty()}
	c.ledger.Apply(&wire.Command{AtMs: 1, Op: &wire.Command_PutSite{PutSite: &wire.PutSite{
		Version: 1, Totals: []*wire.OrganisationTotal{{Organisation: "fleet", Tokens: tokens}},
	}}})
	return c
}

func newShareManager(c *ledgerControl, address string) *ShareManager {
	return &ShareManager{
		Control: c, Lenders: noLenders{}, Address: address, Incarnation: 1, Horizon: 9 * time.Second, Log: zerolog.Nop(),
	}
}

func reserve(t *testing.T, manager *ShareManager, tokens int64) buckthornpin.Coverage {
	t.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), 50*time.Millisecond)
	defer cancel()
	return manager.Reserve(ctx, "fleet", tokens).Coverage
}

// TestGrantForAWaitingRequestIsKept checks that tokens granted for a waiting request
// aren't given back before the request reserves them, even if they far exceed the
// target.
func TestGrantForAWaitingRequestIsKept(t *testing.T) {
	c := newControl(100_000)
	manager := newShareManager(c, "router")
	manager.report(context.Background(), []string{"fleet"})
	require.Equal(t, buckthornpin.Covered, reserve(t, manager, 90_000))
}

// TestWholeBudgetCanBeSpent checks that a small budget is granted completely when demand
// exceeds it, and that rounding leaves no tokens unused.
func TestWholeBudgetCanBeSpent(t *testing.T) {
	c := newControl(100_000)
	manager := newShareManager(c, "router")
	manager.report(context.Background(), []string{"fleet"})
	spent := int64(0)
	for range 100 {
		if reserve(t, manager, 1_000) == buckthornpin.Covered {
			manager.Settle("fleet", 1_000, 1_000)
			spent += 1_000
		}
		manager.report(context.Background(), []string{"fleet"})
	}
	require.Equal(t, int64(100_000), spent)
	require.Equal(t, buckthornpin.BudgetSpent, reserve(t, manager, 1_000))
}

// TestSharesLastThroughAnOutage covers the pattern of each standard day: a steady demand,
// and then an outage of control that lasts for the horizon.
func TestSharesLastThroughAnOutage(t *testing.T) {
	c := newControl(10_000_000)
	manager := newShareManager(c, "router")
	const requestTokens = 5_000
	manager.report(context.Background(), []string{"fleet"})
	for range 40 {
		require.Equal(t, buckthornpin.Covered, reserve(t, manager, requestTokens))
		manager.Settle("fleet", requestTokens, requestTokens)
		manager.report(context.Background(), []string{"fleet"})
	}
	c.cut = true
	rate := manager.share("fleet").rate.perSecond(time.Now())
	for range int(rate * manager.Horizon.Seconds() / requestTokens) {
		require.Equal(t, buckthornpin.Covered, reserve(t, manager, requestTokens))
		manager.Settle("fleet", requestTokens, requestTokens)
	}
}

// TestLoweredTotalIsRecalled checks that routers give back their unspent tokens after the
// total is lowered below the tokens granted.
func TestLoweredTotalIsRecalled(t *testing.T) {
	c := newControl(1_000_000)
	manager := newShareManager(c, "router")
	manager.report(context.Background(), []string{"fleet"})
	require.Positive(t, manager.share("fleet").balance())
	c.ledger.Apply(&wire.Command{AtMs: 2, Op: &wire.Command_PutSite{PutSite: &wire.PutSite{
		Version: 2, Totals: []*wire.OrganisationTotal{{Organisation: "fleet", Tokens: 10}},
	}}})
	manager.report(context.Background(), []string{"fleet"})
	require.Zero(t, manager.share("fleet").balance())
	manager.report(context.Background(), []string{"fleet"})
	require.NotEqual(t, buckthornpin.Covered, reserve(t, manager, 1_000))
}

// successor implements Lenders and passes hand-overs on to another router's shares.
type successor struct {
	noLenders
	manager *ShareManager
	// lost is the number of further hand-overs whose acknowledgement is lost.
	lost int
}

// HandOver implements Lenders.
func (s *successor) HandOver(_ context.Context, _ string, r *wire.GiveRequest) error {
	s.manager.AcceptHandOver(r)
	if s.lost--; s.lost >= 0 {
		return &Error{Op: "give", Kind: KindLost}
	}
	return nil
}

// TestStopLosesNothing covers a rolling restart, with and without an outage of control.
// The tokens of a stopping router go to another router exactly once even if
// acknowledgements are lost, and control grants the stopping router nothing more.
func TestStopLosesNothing(t *testing.T) {
	for _, cut := range []bool{false, true} {
		c := newControl(100_000)
		stopping, remaining := newShareManager(c, "a"), newShareManager(c, "b")
		stopping.Lenders = &successor{manager: remaining, lost: 2}
		stopping.report(context.Background(), []string{"fleet"})
		remaining.report(context.Background(), []string{"fleet"})
		held := stopping.share("fleet").balance() + remaining.share("fleet").balance()
		require.Positive(t, stopping.share("fleet").balance())

		c.cut = cut
		stopping.Close(context.Background(), []string{"b"})
		require.Zero(t, stopping.share("fleet").balance())
		require.Equal(t, held, remaining.share("fleet").balance())
		stopping.report(context.Background(), []string{"fleet"})
		require.Zero(t, stopping.share("fleet").balance())

		c.cut = false
		spent := int64(0)
		for range 200 {
			remaining.report(context.Background(), []string{"fleet"})
			if reserve(t, remaining, 500) == buckthornpin.Covered {
				remaining.Settle("fleet", 500, 500)
				spent += 500
			}
		}
		require.Equal(t, int64(100_000), spent)
	}
}

// TestStopWithoutSuccessorsReturnsToControl checks that a router that knows no other
// router returns its shares straight to control.
func TestStopWithoutSuccessorsReturnsToControl(t *testing.T) {
	c := newControl(100_000)
	manager := newShareManager(c, "a")
	manager.report(context.Background(), []string{"fleet"})
	manager.Close(context.Background(), nil)
	other := newShareManager(c, "b")
	other.report(context.Background(), []string{"fleet"})
	require.Equal(t, buckthornpin.Covered, reserve(t, other, 100_000))
}
