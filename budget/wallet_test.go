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

// noLenders are other routers that don't answer.
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

func newWallet(c *ledgerControl, address string) *Wallet {
	return &Wallet{
		Control: c, Lenders: noLenders{}, Address: address, Incarnation: 1, Horizon: 9 * time.Second, Log: zerolog.Nop(),
	}
}

func reserve(t *testing.T, w *Wallet, tokens int64) buckthornpin.Cover {
	t.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), 50*time.Millisecond)
	defer cancel()
	return w.Reserve(ctx, "fleet", tokens).Cover
}

// TestGrantForAWaitingRequestIsKept: what control grants for a request that
// waits isn't given back before the request takes it, even if it is far more
// than the target.
func TestGrantForAWaitingRequestIsKept(t *testing.T) {
	c := newControl(100_000)
	w := newWallet(c, "router")
	w.report(context.Background(), []string{"fleet"})
	require.Equal(t, buckthornpin.Covered, reserve(t, w, 90_000))
}

// TestWholeBudgetCanBeSpent: a small budget under a demand above it is handed
// out whole; nothing stays behind in rounding.
func TestWholeBudgetCanBeSpent(t *testing.T) {
	c := newControl(100_000)
	w := newWallet(c, "router")
	w.report(context.Background(), []string{"fleet"})
	spent := int64(0)
	for range 100 {
		if reserve(t, w, 1_000) == buckthornpin.Covered {
			w.Settle("fleet", 1_000, 1_000)
			spent += 1_000
		}
		w.report(context.Background(), []string{"fleet"})
	}
	require.Equal(t, int64(100_000), spent)
	require.Equal(t, buckthornpin.BudgetSpent, reserve(t, w, 1_000))
}

// TestSharesLastThroughACut: the pattern is that of each standard day, a steady
// demand and then no control for the horizon.
func TestSharesLastThroughACut(t *testing.T) {
	c := newControl(10_000_000)
	w := newWallet(c, "router")
	const each = 5_000
	w.report(context.Background(), []string{"fleet"})
	for range 40 {
		require.Equal(t, buckthornpin.Covered, reserve(t, w, each))
		w.Settle("fleet", each, each)
		w.report(context.Background(), []string{"fleet"})
	}
	c.cut = true
	rate := w.share("fleet").rate.now(time.Now())
	for range int(rate * w.Horizon.Seconds() / each) {
		require.Equal(t, buckthornpin.Covered, reserve(t, w, each))
		w.Settle("fleet", each, each)
	}
}

// TestLoweredTotalIsCalledBack: after the total is lowered below what is handed
// out, routers give back what they haven't spent.
func TestLoweredTotalIsCalledBack(t *testing.T) {
	c := newControl(1_000_000)
	w := newWallet(c, "router")
	w.report(context.Background(), []string{"fleet"})
	require.Positive(t, w.share("fleet").balance())
	c.ledger.Apply(&wire.Command{AtMs: 2, Op: &wire.Command_PutSite{PutSite: &wire.PutSite{
		Version: 2, Totals: []*wire.OrganisationTotal{{Organisation: "fleet", Tokens: 10}},
	}}})
	w.report(context.Background(), []string{"fleet"})
	require.Zero(t, w.share("fleet").balance())
	w.report(context.Background(), []string{"fleet"})
	require.NotEqual(t, buckthornpin.Covered, reserve(t, w, 1_000))
}

// heir is a lender that takes what is handed over to another wallet.
type heir struct {
	noLenders
	wallet *Wallet
	// lost is the number of hand-overs whose acknowledgement gets lost.
	lost int
}

// HandOver implements Lenders.
func (h *heir) HandOver(_ context.Context, _ string, r *wire.GiveRequest) error {
	h.wallet.Accept(r)
	if h.lost--; h.lost >= 0 {
		return &Error{Op: "give", Kind: KindLost}
	}
	return nil
}

// TestStopLosesNothing: the pattern is a rolling restart, also during a cut. What
// a stopping router holds goes to another one, once, whatever acknowledgement
// gets lost, and control grants it nothing more.
func TestStopLosesNothing(t *testing.T) {
	for _, cut := range []bool{false, true} {
		c := newControl(100_000)
		stopping, living := newWallet(c, "a"), newWallet(c, "b")
		stopping.Lenders = &heir{wallet: living, lost: 2}
		stopping.report(context.Background(), []string{"fleet"})
		living.report(context.Background(), []string{"fleet"})
		held := stopping.share("fleet").balance() + living.share("fleet").balance()
		require.Positive(t, stopping.share("fleet").balance())

		c.cut = cut
		stopping.Close(context.Background(), []string{"b"})
		require.Zero(t, stopping.share("fleet").balance())
		require.Equal(t, held, living.share("fleet").balance())
		stopping.report(context.Background(), []string{"fleet"})
		require.Zero(t, stopping.share("fleet").balance())

		c.cut = false
		spent := int64(0)
		for range 200 {
			living.report(context.Background(), []string{"fleet"})
			if reserve(t, living, 500) == buckthornpin.Covered {
				living.Settle("fleet", 500, 500)
				spent += 500
			}
		}
		require.Equal(t, int64(100_000), spent)
	}
}

// TestStopWithoutHeirsReturnsToControl: a router that knows no other one gives
// its shares straight back.
func TestStopWithoutHeirsReturnsToControl(t *testing.T) {
	c := newControl(100_000)
	w := newWallet(c, "a")
	w.report(context.Background(), []string{"fleet"})
	w.Close(context.Background(), nil)
	other := newWallet(c, "b")
	other.report(context.Background(), []string{"fleet"})
	require.Equal(t, buckthornpin.Covered, reserve(t, other, 100_000))
}
