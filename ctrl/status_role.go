package ctrl

import (
	"buckthornpin/quorum"
	"buckthornpin/wire"
)

// Roles of a replica whose vote doesn't count yet: the group can't do without another member.
const (
	// RoleLearner is the role of a replica that receives the log.
	RoleLearner = "learner"
	// RoleJoining is the role of a replica that votes together with the one that it replaces.
	RoleJoining = "joining"
)

// statusRole returns the role of a replica as operators see it.
func statusRole(id string, role quorum.Role, members *wire.Members) string {
	if role != quorum.Follower {
		return role.String()
	}
	for _, m := range members.GetMembers() {
		switch {
		case m.GetId() != id:
		case m.GetLearner():
			return RoleLearner
		case m.GetJoining():
			return RoleJoining
		default:
			return role.String()
		}
	}
	return RoleLearner
}
