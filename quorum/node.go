// Package quorum replicates a log over the replicas of a control group:
// election with pre-vote, replication, linearizable reads, membership change
// one replica at a time, and snapshots. It is a step function: it has no clock,
// socket, file or random source of its own.
package quorum

import (
	"buckthornpin/wire"
)

// Role is what a replica does in its term.
type Role int

const (
	// Follower takes entries from the leader.
	Follower Role = iota
	// PreCandidate asks whether an election could succeed.
	PreCandidate
	// Candidate asks for votes.
	Candidate
	// Leader orders the entries.
	Leader
)

// String names the role.
func (r Role) String() string {
	return [...]string{"follower", "pre_candidate", "candidate", "leader"}[r]
}

const (
	// maxAppendBytes bounds the entries of one message.
	maxAppendBytes = 512 << 10
	// maxInflight bounds the messages that a follower hasn't answered.
	maxInflight = 16
	// snapshotHeartbeats is how many heartbeats a snapshot may be on its way
	// before it is sent again.
	snapshotHeartbeats = 50
)

// Node is one replica. Its exported fields are set before Restore. It isn't
// safe for concurrent use.
type Node struct {
	// ID names the replica.
	ID string
	// ElectionTicks is the shortest time without a leader before an election;
	// the longest is twice that.
	ElectionTicks int
	// HeartbeatTicks is the time between a leader's heartbeats.
	HeartbeatTicks int
	// Rand returns a number from 0 to n-1.
	Rand func(n int) int

	role     Role
	leader   string
	hard     *wire.HardState
	log      entryLog
	members  membership
	followed map[string]*progress
	votes    map[string]bool
	elapsed  int
	timeout  int
	round    uint64
	reads    []pendingRead
	// Output that the next Ready hands out.
	out       []*wire.Message
	readsDone []ReadState
	saved     *wire.HardState
	install   *wire.Snapshot
	applied   uint64
	stable    uint64
}

// ReadState says that a read is linearizable once Index has been applied.
type ReadState struct {
	Token uint64
	Index uint64
	// Failed is set where leadership was lost before a quorum answered.
	Failed bool
}

// Ready is what the owner has to do, in this order: save HardState, Snapshot
// and Entries durably, send Messages, apply Committed, and release Reads.
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

// Restore starts the replica from what its files held.
func (n *Node) Restore(hard *wire.HardState, snap *wire.Snapshot, entries []*wire.Entry) {
	if hard == nil {
		hard = &wire.HardState{}
	}
	n.hard = hard
	n.log = entryLog{snapIndex: snap.GetIndex(), snapTerm: snap.GetTerm(), entries: entries}
	n.members.reset(snap.GetMembers())
	for _, e := range entries {
		n.members.append(e)
	}
	n.hard.Commit = min(max(n.hard.GetCommit(), snap.GetIndex()), n.log.lastIndex())
	n.applied = snap.GetIndex()
	n.stable = n.log.lastIndex()
	n.saved = copyHard(n.hard)
	n.becomeFollower(n.hard.GetTerm(), "")
}

// Role returns what the replica does now.
func (n *Node) Role() Role { return n.role }

// Leader returns the leader that the replica follows, or "".
func (n *Node) Leader() string { return n.leader }

// Term returns the current term.
func (n *Node) Term() uint64 { return n.hard.GetTerm() }

// Committed returns the index of the last committed entry.
func (n *Node) Committed() uint64 { return n.hard.GetCommit() }

// Members returns the members in force.
func (n *Node) Members() *wire.Members { return n.members.latest() }

// Tick tells the replica that one unit of time has passed.
func (n *Node) Tick() {
	n.elapsed++
	if n.role == Leader {
		n.tickLeader()
		return
	}
	if n.elapsed >= n.timeout && n.members.voter(n.ID) {
		n.campaign(wire.MessageKind_MESSAGE_KIND_PRE_VOTE)
	}
}

func (n *Node) tickLeader() {
	if n.elapsed%n.HeartbeatTicks == 0 {
		n.forgetLost()
		n.heartbeat()
	}
	if n.elapsed < n.ElectionTicks {
		return
	}
	n.elapsed = 0
	if !n.members.quorum(n.active) {
		n.becomeFollower(n.hard.GetTerm(), "")
		return
	}
	for _, p := range n.followed {
		p.active = false
	}
}

func (n *Node) active(id string) bool {
	if id == n.ID {
		return true
	}
	p := n.followed[id]
	return p != nil && p.active
}

// Propose appends data to the leader's log and returns its index and term.
func (n *Node) Propose(data []byte) (index, term uint64, err error) {
	if n.role != Leader {
		return 0, 0, &Error{Op: "propose", Kind: KindNotLeader}
	}
	return n.appendLocal(&wire.Entry{Data: data}), n.hard.GetTerm(), nil
}

// ProposeMembers appends a change of the members. It is in force at once.
func (n *Node) ProposeMembers(m *wire.Members) (index, term uint64, err error) {
	if n.role != Leader {
		return 0, 0, &Error{Op: "propose members", Kind: KindNotLeader}
	}
	if n.members.index > n.hard.GetCommit() || !n.committedInTerm() {
		return 0, 0, &Error{Op: "propose members", Kind: KindChangePending}
	}
	if !n.members.oneVoterApart(m) {
		return 0, 0, &Error{Op: "propose members", Kind: KindBadChange}
	}
	return n.appendLocal(&wire.Entry{Members: m}), n.hard.GetTerm(), nil
}

// committedInTerm reports whether the leader has committed an entry of its own
// term, which it needs before it changes members or serves reads.
func (n *Node) committedInTerm() bool {
	term, ok := n.log.term(n.hard.GetCommit())
	return ok && term == n.hard.GetTerm()
}

func (n *Node) appendLocal(e *wire.Entry) uint64 {
	e.Index = n.log.lastIndex() + 1
	e.Term = n.hard.GetTerm()
	n.log.append(e)
	n.members.append(e)
	n.trackFollowers()
	return e.GetIndex()
}

// Ready returns the work that has come up. The owner calls Advance when the
// work is done.
func (n *Node) Ready() Ready {
	n.sendAppends()
	r := Ready{Snapshot: n.install, Messages: n.out, Reads: n.readsDone}
	if n.hard.GetTerm() != n.saved.GetTerm() || n.hard.GetVote() != n.saved.GetVote() || n.hard.GetCommit() != n.saved.GetCommit() {
		r.HardState = copyHard(n.hard)
	}
	r.Entries = n.log.from(n.stable + 1)
	r.Committed = n.log.between(n.applied+1, min(n.hard.GetCommit(), n.stable))
	return r
}

// Advance says that the work of r is done.
func (n *Node) Advance(r Ready) {
	n.out = n.out[len(r.Messages):]
	n.readsDone = n.readsDone[len(r.Reads):]
	if r.HardState != nil {
		n.saved = r.HardState
	}
	if r.Snapshot != nil && n.install == r.Snapshot {
		n.install = nil
	}
	if k := len(r.Entries); k > 0 {
		n.advanceStable(r.Entries[k-1])
	}
	if k := len(r.Committed); k > 0 {
		n.applied = r.Committed[k-1].GetIndex()
	}
	if n.role == Leader {
		n.commitQuorum()
	}
}

func (n *Node) advanceStable(last *wire.Entry) {
	term, ok := n.log.term(last.GetIndex())
	if ok && term == last.GetTerm() {
		n.stable = max(n.stable, last.GetIndex())
	}
}

// Applied returns the index of the last entry handed out for applying.
func (n *Node) Applied() uint64 { return n.applied }

// Compact drops the entries up to index, which a snapshot has made needless.
func (n *Node) Compact(index uint64) error {
	term, ok := n.log.term(index)
	if !ok || index > n.applied {
		return &Error{Op: "compact", Kind: KindCompacted}
	}
	n.members.compact(index)
	n.log.compact(index, term)
	return nil
}

// TermAt returns the term and the members as of index, for a snapshot.
func (n *Node) TermAt(index uint64) (term uint64, m *wire.Members) {
	term, _ = n.log.term(index)
	return term, n.members.at(index)
}

func (n *Node) send(m *wire.Message) {
	m.From = n.ID
	if m.GetTerm() == 0 {
		m.Term = n.hard.GetTerm()
	}
	n.out = append(n.out, m)
}

func copyHard(h *wire.HardState) *wire.HardState {
	return &wire.HardState{Term: h.GetTerm(), Vote: h.GetVote(), Commit: h.GetCommit()}
}

// Unsnapshotted returns what a new log file has to hold after Compact: the hard
// state and the durable entries after the snapshot.
func (n *Node) Unsnapshotted() (*wire.HardState, []*wire.Entry) {
	return copyHard(n.saved), n.log.between(n.log.snapIndex+1, n.stable)
}
