package quorum

import "buckthornpin/wire"

// Step processes one message from another replica. Messages may be lost, repeated
// and reordered.
func (n *Node) Step(m *wire.Message) {
	if m.GetTo() != n.ID {
		return
	}
	switch m.GetKind() {
	case wire.MessageKind_MESSAGE_KIND_PRE_VOTE, wire.MessageKind_MESSAGE_KIND_VOTE:
		n.stepVote(m)
		return
	case wire.MessageKind_MESSAGE_KIND_PRE_VOTE_REPLY:
		if m.GetReject() && m.GetTerm() > n.hardState.GetTerm() {
			n.becomeFollower(m.GetTerm(), "")
			return
		}
		n.stepVoteReply(m)
		return
	}
	if m.GetTerm() > n.hardState.GetTerm() {
		n.becomeFollower(m.GetTerm(), "")
	}
	if m.GetTerm() < n.hardState.GetTerm() {
		n.rejectStaleLeader(m)
		return
	}
	switch m.GetKind() {
	case wire.MessageKind_MESSAGE_KIND_VOTE_REPLY:
		n.stepVoteReply(m)
	case wire.MessageKind_MESSAGE_KIND_APPEND:
		n.stepAppend(m)
	case wire.MessageKind_MESSAGE_KIND_APPEND_REPLY:
		n.stepAppendReply(m)
	case wire.MessageKind_MESSAGE_KIND_SNAPSHOT:
		n.stepSnapshot(m)
	}
}

// rejectStaleLeader answers the leader of an earlier term with the current term,
// so that it steps down.
func (n *Node) rejectStaleLeader(m *wire.Message) {
	switch m.GetKind() {
	case wire.MessageKind_MESSAGE_KIND_APPEND, wire.MessageKind_MESSAGE_KIND_SNAPSHOT:
		n.send(&wire.Message{Kind: wire.MessageKind_MESSAGE_KIND_APPEND_REPLY, To: m.GetFrom(), Reject: true})
	}
}

func (n *Node) follow(leader string) {
	if n.role != Follower || n.leader != leader {
		n.becomeFollower(n.hardState.GetTerm(), leader)
	}
	n.elapsedTicks = 0
	n.lastLeader, n.ticksSinceLeader = leader, 0
}

func (n *Node) stepAppend(m *wire.Message) {
	n.follow(m.GetFrom())
	reply := &wire.Message{Kind: wire.MessageKind_MESSAGE_KIND_APPEND_REPLY, To: m.GetFrom(), Round: m.GetRound()}
	term, ok := n.log.term(m.GetLogIndex())
	if m.GetLogIndex() < n.log.snapshotIndex {
		reply.LogIndex = n.log.snapshotIndex
		n.send(reply)
		return
	}
	if !ok || term != m.GetLogTerm() {
		reply.Reject = true
		reply.LogIndex = m.GetLogIndex()
		reply.Hint = n.rejectHint(m.GetLogIndex())
		n.send(reply)
		return
	}
	for _, e := range m.GetEntries() {
		n.acceptEntry(e)
	}
	reply.LogIndex = m.GetLogIndex() + uint64(len(m.GetEntries()))
	n.hardState.Commit = max(n.hardState.GetCommit(), min(m.GetCommit(), reply.GetLogIndex()))
	n.send(reply)
}

// rejectHint returns the last index at which the logs may match, which is the last
// one before the conflicting term.
func (n *Node) rejectHint(index uint64) uint64 {
	index = min(index, n.log.lastIndex())
	conflicting, ok := n.log.term(index)
	for ok && index > n.log.snapshotIndex {
		t, _ := n.log.term(index)
		if t != conflicting {
			break
		}
		index--
	}
	return index
}

func (n *Node) acceptEntry(e *wire.Entry) {
	term, ok := n.log.term(e.GetIndex())
	if ok && term == e.GetTerm() {
		return
	}
	if ok {
		n.log.truncate(e.GetIndex())
		n.members.truncate(e.GetIndex())
		n.durableIndex = min(n.durableIndex, e.GetIndex()-1)
	}
	n.log.append(e)
	n.members.append(e)
}

func (n *Node) stepSnapshot(m *wire.Message) {
	n.follow(m.GetFrom())
	s := m.GetSnapshot()
	reply := &wire.Message{Kind: wire.MessageKind_MESSAGE_KIND_APPEND_REPLY, To: m.GetFrom(), Round: m.GetRound()}
	if s.GetIndex() <= n.hardState.GetCommit() {
		reply.LogIndex = n.hardState.GetCommit()
		n.send(reply)
		return
	}
	if term, ok := n.log.term(s.GetIndex()); ok && term == s.GetTerm() {
		n.hardState.Commit = s.GetIndex()
		reply.LogIndex = s.GetIndex()
		n.send(reply)
		return
	}
	n.log = entryLog{snapshotIndex: s.GetIndex(), snapshotTerm: s.GetTerm()}
	n.members.reset(s.GetMembers())
	n.hardState.Commit = s.GetIndex()
	n.appliedIndex = s.GetIndex()
	n.durableIndex = s.GetIndex()
	n.receivedSnapshot = s
	reply.LogIndex = s.GetIndex()
	n.send(reply)
}
