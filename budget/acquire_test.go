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
