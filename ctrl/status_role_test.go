package ctrl

import (
	"testing"

	"github.com/stretchr/testify/require"

	"buckthornpin/quorum"
	"buckthornpin/wire"
)

// TestStatusRole guards against a replica that looks like a voter to operators while the group
// would be lost without the others: who takes the next VM out of service then ends the group.
func TestStatusRole(t *testing.T) {
	members := &wire.Members{Members: []*wire.Member{
		{Id: "voter"}, {Id: "learner", Learner: true}, {Id: "joining", Joining: true}, {Id: "leaving", Leaving: true},
	}}
	for id, want := range map[string]string{
		"voter": "follower", "learner": RoleLearner, "joining": RoleJoining, "leaving": "follower", "unknown": RoleLearner,
	} {
		require.Equal(t, want, statusRole(id, quorum.Follower, members), id)
	}
	require.Equal(t, "leader", statusRole("voter", quorum.Leader, members))
}
