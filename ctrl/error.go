package ctrl

import "buckthornpin"

// Kind classifies the errors of this package.
type Kind string

const (
	// KindNotLeader is a call to a replica that isn't the leader.
	KindNotLeader Kind = "not_leader"
	// KindLost is a command whose outcome isn't known: it may still be applied later.
	KindLost Kind = "lost"
	// KindUnavailable is a control group that can't be reached.
	KindUnavailable Kind = "unavailable"
	// KindStopped is a replica that has stopped.
	KindStopped Kind = "stopped"
	// KindRefused is a change that the ledger or the group refuses.
	KindRefused Kind = "refused"
)

// Error is the error type of this package.
type Error = buckthornpin.OpError[Kind]
