package ledger

import (
	"testing"

	"github.com/stretchr/testify/require"

	"buckthornpin/wire"
)

// TestGrantShowsLostTokens checks that a grant tells apart what is spent, what living
// routers hold and what is lost with a router that has been replaced, so that the log of
// a refused request shows why a budget is used up.
func TestGrantShowsLostTokens(t *testing.T) {
	l := ledgerWithTotal(100_000)
	lost := reportOneShare(l, 1_000, "a", &wire.ShareReport{Need: 30_000}).GetGranted()
	held := reportOneShare(l, 1_100, "b", &wire.ShareReport{Need: 20_000}).GetGranted()
	reportOneShare(l, 1_200, "b", &wire.ShareReport{Spent: 5_000, Balance: held - 5_000})

	g := process{incarnation: 2}.report(l, 1_300, &wire.ShareReport{})
	require.Equal(t, int64(100_000), g.GetTotal())
	require.Equal(t, int64(5_000), g.GetSpent())
	require.Equal(t, held-5_000+g.GetGranted(), g.GetHeld())
	require.Equal(t, lost, g.GetTotal()-g.GetFree()-g.GetSpent()-g.GetHeld())
}
