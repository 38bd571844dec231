package quorum

import "buckthornpin"

// Kind classifies the errors of this package.
type Kind string

const (
	// KindNotLeader means that only the leader can serve the call and the replica
	// doesn't lead or, for a read, hasn't committed an entry of its term yet.
	KindNotLeader Kind = "not_leader"
	// KindChangePending means that an earlier membership change, or the first entry
	// of the leader's term, isn't committed yet.
	KindChangePending Kind = "change_pending"
	// KindBadChange means that a membership change could lose the quorum.
	KindBadChange Kind = "bad_change"
	// KindCompacted means that the log doesn't hold the position, or that the entry
	// there hasn't been applied yet.
	KindCompacted Kind = "compacted"
)

// Error is the error type of this package.
type Error = buckthornpin.OpError[Kind]
