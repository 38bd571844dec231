package quorum

import "buckthornpin"

// Kind classifies the errors of this package.
type Kind string

const (
	// KindNotLeader is a call that only the leader can serve.
	KindNotLeader Kind = "not_leader"
	// KindChangePending is a second membership change before the first one has
	// committed.
	KindChangePending Kind = "change_pending"
	// KindBadChange is a membership change that could lose the quorum.
	KindBadChange Kind = "bad_change"
	// KindCompacted is a position that the log no longer holds.
	KindCompacted Kind = "compacted"
)

// Error is the error type of this package.
type Error = buckthornpin.OpError[Kind]
