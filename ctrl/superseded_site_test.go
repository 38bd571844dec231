package ctrl

import (
	"testing"

	"github.com/stretchr/testify/require"

	"buckthornpin/wire"
)

// TestSupersededSiteSkipsTheLog guards against a control group that is busy with copies of
// configurations: operators who get no answer in time send theirs again, and each copy that went
// through the log kept the next answers back for longer.
func TestSupersededSiteSkipsTheLog(t *testing.T) {
	g := startGroup(t, 3, true)
	put := func(version int64) *wire.Result {
		return g.mustExecute(t, &wire.Command{Op: &wire.Command_PutSite{PutSite: &wire.PutSite{Version: version, Document: []byte("d")}}})
	}
	committed := func() uint64 {
		newest := uint64(0)
		for _, r := range g.replicas {
			newest = max(newest, r.Status().Commit)
		}
		return newest
	}
	require.Equal(t, int64(7), put(7).GetVersion())
	before := committed()
	for _, version := range []int64{7, 3, 7, 1} {
		require.Equal(t, int64(7), put(version).GetVersion())
	}
	require.Equal(t, before, committed(), "nothing is committed for versions that change nothing")

	require.Equal(t, int64(8), put(8).GetVersion())
	require.Greater(t, committed(), before)
	s, err := g.client.ReadSite(t.Context())
	require.NoError(t, err)
	require.Equal(t, int64(8), s.GetVersion())
}
