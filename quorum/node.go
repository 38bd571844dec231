// Package quorum replicates a log over the replicas of a control group. It covers
// leader election with pre-votes, replication, linearizable reads, membership
// changes, the replacement of lost voters, and snapshots. It uses no clock, socket, file or
// random source of its own: its owner passes in ticks and messages and carries out
// the work that Ready returns.
package quorum

import (
	"buckthornpin/wire"
)

// Role is the role of a replica in its current term.
type Role int

const (
	// Follower accepts entries from the leader.
	Follower Role = iota
	// PreCandidate asks the voters whether they would vote for it.
	PreCandidate
	// Candidate asks the voters for their votes.
	Candidate
	// Leader appends new entries and replicates them to the followers.
	Leader
)

// String returns the name of the role.
func (r Role) String() string {
	return [...]string{"follower", "pre_candidate", "candidate", "leader"}[r]
}

const (
	// maxAppendBytes limits the data of the entries in one message. A single larger
	// entry is still sent.
	maxAppendBytes = 512 << 10
	// maxInflightMessages limits the append messages that a follower hasn't answered.
	maxInflightMessages = 16
	// snapshotHeartbeats is the number of heartbeats to wait for the acknowledgement
	// of a snapshot before it is sent again.
	snapshotHeartbeats = 50
	// snapshotRounds is the number of heartbeat rounds after a snapshot whose answers may
	// pass its acknowledgement. Messages keep their order on a stream, so an answer to a
	// later round shows that the snapshot is lost.
	snapshotRounds = 2
)

// Node is one replica. Its exported fields must be set before Restore is called.
// It isn't safe for concurrent use.
type Node struct {
	// ID identifies the replica.
	ID string
	// ElectionTicks is the shortest time without a leader, in ticks, after which an
	// election starts. The longest is twice that.
	ElectionTicks int
	// HeartbeatTicks is the number of ticks between a leader's heartbeats.
	HeartbeatTicks int
	// Rand returns a number from 0 to n-1.
	Rand func(n int) int

	role                 Role
	leader               string
	hardState            *wire.HardState
	log                  entryLog
	members              membership
	followers            map[string]*progress
	votes                map[string]bool
	elapsedTicks         int
	electionTimeoutTicks int
	// lastLeader is the replica that was last heard as the leader, ticksSinceLeader ago.
	lastLeader       string
	ticksSinceLeader int
	heartbeatRound   uint64
	pendingReads     []pendingRead
	// Output that the next Ready returns.
	messages         []*wire.Message
	finishedReads    []ReadState
	savedHardState   *wire.HardState
	receivedSnapshot *wire.Snapshot
	appliedIndex     uint64
	durableIndex     uint64
}

// ReadState reports that the read with the given Token is linearizable once Index
// has been applied.
type ReadState struct {
	Token uint64
	Index uint64
	// Failed is set if leadership was lost before a quorum answered.
	Failed bool
}

// Ready holds the work for the owner, in this order: save HardState, Snapshot and
// Entries durably, send Messages, apply Committed, and release Reads.
type Ready struct {
	HardState *wire.HardState
	Snapshot  *wire.Snapshot
	Entries   []*wire.Entry
	Messages  []*wire.Message
	Committed []*wire.Entry
	Reads     []ReadState
}

// Empty reports whether there is nothing to do.
func (r Ready) Empty() bool {
	return r.HardState == nil && r.Snapshot == nil && len(r.Entries) == 0 &&
		len(r.Messages) == 0 && len(r.Committed) == 0 && len(r.Reads) == 0
}

// Restore starts the replica from its saved state.
func (n *Node) Restore(hard *wire.HardState, snap *wire.Snapshot, entries []*wire.Entry) {
	if hard == nil {
		hard = &wire.HardState{}
	}
	n.hardState = hard
	n.log = entryLog{snapshotIndex: snap.GetIndex(), snapshotTerm: snap.GetTerm(), entries: entries}
	n.members.reset(snap.GetMembers())
	for _, e := range entries {
		n.members.append(e)
	}
	n.hardState.Commit = min(max(n.hardState.GetCommit(), snap.GetIndex()), n.log.lastIndex())
	n.appliedIndex = snap.GetIndex()
	n.durableIndex = n.log.lastIndex()
	n.savedHardState = copyHardState(n.hardState)
	n.becomeFollower(n.hardState.GetTerm(), "")
}

// Role returns the current role of the replica.
func (n *Node) Role() Role { return n.role }

// Leader returns the id of the current leader, or "" if it isn't known.
func (n *Node) Leader() string { return n.leader }

// Term returns the current term.
func (n *Node) Term() uint64 { return n.hardState.GetTerm() }

// Committed returns the index of the last committed entry.
func (n *Node) Committed() uint64 { return n.hardState.GetCommit() }

// Members returns the members in force.
func (n *Node) Members() *wire.Members { return n.members.latest() }

// Tick advances the replica's time by one tick.
func (n *Node) Tick() {
	n.elapsedTicks++
	n.ticksSinceLeader++
	if n.role == Leader {
		n.tickLeader()
		return
	}
	if n.elapsedTicks >= n.electionTimeoutTicks && n.members.isVoter(n.ID) {
		n.campaign(wire.MessageKind_MESSAGE_KIND_PRE_VOTE)
	}
}

func (n *Node) tickLeader() {
	if n.elapsedTicks%n.HeartbeatTicks == 0 {
		n.expireUnanswered()
		n.sendHeartbeats()
	}
	if n.elapsedTicks < n.ElectionTicks {
		return
	}
	n.elapsedTicks = 0
	if !n.members.hasQuorum(n.recentlyActive) {
		n.becomeFollower(n.hardState.GetTerm(), "")
		return
	}
	for _, p := range n.followers {
		p.recentlyActive = false
	}
}

func (n *Node) recentlyActive(id string) bool {
	if id == n.ID {
		return true
	}
	p := n.followers[id]
	return p != nil && p.recentlyActive
}

// Propose appends an entry with data to the log and returns its index and term. It
// returns an Error of KindNotLeader if the replica doesn't lead.
func (n *Node) Propose(data []byte) (index, term uint64, err error) {
	if n.role != Leader {
		return 0, 0, &Error{Op: "propose", Kind: KindNotLeader}
	}
	return n.appendLocal(&wire.Entry{Data: data}), n.hardState.GetTerm(), nil
}

// ProposeMembers appends an entry that changes the members and returns its index
// and term. The change is in force at once. It returns an Error of KindNotLeader,
// KindChangePending or KindBadChange.
func (n *Node) ProposeMembers(m *wire.Members) (index, term uint64, err error) {
	if n.role != Leader {
		return 0, 0, &Error{Op: "propose members", Kind: KindNotLeader}
	}
	if n.members.changeIndex > n.hardState.GetCommit() || !n.committedInTerm() {
		return 0, 0, &Error{Op: "propose members", Kind: KindChangePending}
	}
	if !n.members.allows(m) {
		return 0, 0, &Error{Op: "propose members", Kind: KindBadChange}
	}
	return n.appendLocal(&wire.Entry{Members: m}), n.hardState.GetTerm(), nil
}

// committedInTerm reports whether the leader has committed an entry of its own
// term. It must have done so before it changes members or serves reads.
func (n *Node) committedInTerm() bool {
	term, ok := n.log.term(n.hardState.GetCommit())
	return ok && term == n.hardState.GetTerm()
}

func (n *Node) appendLocal(e *wire.Entry) uint64 {
	e.Index = n.log.lastIndex() + 1
	e.Term = n.hardState.GetTerm()
	n.log.append(e)
	n.members.append(e)
	n.trackFollowers()
	return e.GetIndex()
}

// Ready returns the pending work. The owner calls Advance when that work is done.
func (n *Node) Ready() Ready {
	n.sendAppends()
	r := Ready{Snapshot: n.receivedSnapshot, Messages: n.messages, Reads: n.finishedReads}
	if n.hardState.GetTerm() != n.savedHardState.GetTerm() || n.hardState.GetVote() != n.savedHardState.GetVote() || n.hardState.GetCommit() != n.savedHardState.GetCommit() {
		r.HardState = copyHardState(n.hardState)
	}
	r.Entries = n.log.from(n.durableIndex + 1)
	r.Committed = n.log.between(n.appliedIndex+1, min(n.hardState.GetCommit(), n.durableIndex))
	return r
}

// Advance confirms that the work of r is done.
func (n *Node) Advance(r Ready) {
	n.messages = n.messages[len(r.Messages):]
	n.finishedReads = n.finishedReads[len(r.Reads):]
	if r.HardState != nil {
		n.savedHardState = r.HardState
	}
	if r.Snapshot != nil && n.receivedSnapshot == r.Snapshot {
		n.receivedSnapshot = nil
	}
	if k := len(r.Entries); k > 0 {
		n.advanceDurable(r.Entries[k-1])
	}
	if k := len(r.Committed); k > 0 {
		n.appliedIndex = r.Committed[k-1].GetIndex()
	}
	if n.role == Leader {
		n.advanceCommit()
	}
}

func (n *Node) advanceDurable(last *wire.Entry) {
	term, ok := n.log.term(last.GetIndex())
	if ok && term == last.GetTerm() {
		n.durableIndex = max(n.durableIndex, last.GetIndex())
	}
}

// Applied returns the index of the last entry that was handed out for applying and
// confirmed by Advance, or of the snapshot that was taken over since.
func (n *Node) Applied() uint64 { return n.appliedIndex }

// Compact removes the entries up to index, which a snapshot covers. It returns an
// Error of KindCompacted if the log doesn't hold index or index isn't applied yet.
func (n *Node) Compact(index uint64) error {
	term, ok := n.log.term(index)
	if !ok || index > n.appliedIndex {
		return &Error{Op: "compact", Kind: KindCompacted}
	}
	n.members.compact(index)
	n.log.compact(index, term)
	return nil
}

// SnapshotMetadata returns the term and the members at index, for a snapshot.
func (n *Node) SnapshotMetadata(index uint64) (term uint64, m *wire.Members) {
	term, _ = n.log.term(index)
	return term, n.members.at(index)
}

func (n *Node) send(m *wire.Message) {
	m.From = n.ID
	if m.GetTerm() == 0 {
		m.Term = n.hardState.GetTerm()
	}
	n.messages = append(n.messages, m)
}

func copyHardState(h *wire.HardState) *wire.HardState {
	return &wire.HardState{Term: h.GetTerm(), Vote: h.GetVote(), Commit: h.GetCommit()}
}

// CompactedLog returns what a new log file must hold after Compact: the saved hard
// state and the durable entries after the snapshot.
func (n *Node) CompactedLog() (*wire.HardState, []*wire.Entry) {
	return copyHardState(n.savedHardState), n.log.between(n.log.snapshotIndex+1, n.durableIndex)
}
