package budget

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"buckthornpin"
	"buckthornpin/wire"
)

// slowControl answers like ledgerControl after a delay.
type slowControl struct {
	*ledgerControl
	delay time.Duration
}

// Execute implements Committer.
func (c *slowControl) Execute(ctx context.Context, commands []*wire.Command) ([]*wire.Result, error) {
	select {
	case <-time.After(c.delay):
		return c.ledgerControl.Execute(ctx, commands)
	case <-ctx.Done():
		return nil, ctx.Err()
	}
}

// TestRequestDuringAnAcquisition guards against refusing a request that arrives while
// tokens are acquired for an earlier one, although control would cover it: the acquisition
// covered the earlier request, but counted as failed because of the later one.
func TestRequestDuringAnAcquisition(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const delay = 10 * time.Millisecond
		c := newControl(1_000_000)
		m := newShareManager(c, "a")
		m.Control = &slowControl{ledgerControl: c, delay: delay}
		m.report(context.Background(), []string{"fleet"})
		first := make(chan buckthornpin.Coverage)
		go func() { first <- reserve(t, m, 50_000) }()
		time.Sleep(delay / 2)
		require.Equal(t, buckthornpin.Covered, reserve(t, m, 200_000))
		require.Equal(t, buckthornpin.Covered, <-first)
	})
}

// silentControl never answers.
type silentControl struct{}

// Execute implements Committer.
func (silentControl) Execute(ctx context.Context, _ []*wire.Command) ([]*wire.Result, error) {
	<-ctx.Done()
	return nil, ctx.Err()
}

// oneLender implements Lenders with one router that has tokens.
type oneLender struct {
	noLenders
	manager *ShareManager
}

// AskTransfer implements Lenders.
func (l oneLender) AskTransfer(_ context.Context, _ string, r *wire.TransferRequest) (*wire.TransferReply, error) {
	return l.manager.Donate(r), nil
}

// TestRequestAtTheStartOfACutAsksOtherRouters guards against requests that are refused in the
// first seconds of a cut from control although other routers hold the tokens for them: they
// waited for control until their time was up.
func TestRequestAtTheStartOfACutAsksOtherRouters(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newControl(testBudget)
		m, other := newShareManager(c, "a"), newShareManager(c, "b")
		m.Lenders = oneLender{manager: other}
		for _, router := range []*ShareManager{m, other} {
			router.report(context.Background(), []string{"fleet"})
		}
		require.Equal(t, buckthornpin.Covered, reserve(t, other, testBudget/2))
		other.Settle("fleet", testBudget/2, 0)
		m.Control = silentControl{}
		for range 5 {
			m.RecordBalances("b", other.Balances())
			tokens := m.share("fleet").balance() + 1_000
			require.Equal(t, buckthornpin.Covered, reserve(t, m, tokens))
			time.Sleep(100 * time.Millisecond)
		}
	})
}

// TestSlowControlIsWaitedFor checks that a request which no other router covers gets control's
// answer although it came later than other routers were asked.
func TestSlowControlIsWaitedFor(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newControl(testBudget)
		m := newShareManager(c, "a")
		m.Control = &slowControl{ledgerControl: c, delay: 40 * time.Millisecond}
		require.Equal(t, buckthornpin.Covered, reserve(t, m, testBudget/2))
	})
}
