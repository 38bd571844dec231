package quorum

import "buckthornpin/wire"

func (n *Node) becomeFollower(term uint64, leader string) {
	if term > n.hardState.GetTerm() {
		n.hardState.Term = term
		n.hardState.Vote = ""
	}
	n.role = Follower
	n.leader = leader
	n.followers = nil
	n.failReads()
	n.resetElectionTimeout()
}

func (n *Node) resetElectionTimeout() {
	n.elapsedTicks = 0
	n.electionTimeoutTicks = n.ElectionTicks + n.Rand(n.ElectionTicks)
}

// campaign asks the voters for votes or pre-votes. A pre-vote doesn't raise the
// term, so that a replica that returns after a network partition doesn't disrupt
// the others.
func (n *Node) campaign(kind wire.MessageKind) {
	n.leader = ""
	n.resetElectionTimeout()
	n.votes = map[string]bool{n.ID: true}
	term := n.hardState.GetTerm() + 1
	n.role = PreCandidate
	if kind == wire.MessageKind_MESSAGE_KIND_VOTE {
		n.role = Candidate
		n.hardState.Term = term
		n.hardState.Vote = n.ID
	}
	for _, id := range n.members.voters() {
		if id == n.ID {
			continue
		}
		n.send(&wire.Message{Kind: kind, To: id, Term: term, LogIndex: n.log.lastIndex(), LogTerm: n.log.lastTerm()})
	}
	n.countVotes()
}

func (n *Node) countVotes() {
	if !n.members.hasQuorum(func(id string) bool { return n.votes[id] }) {
		return
	}
	if n.role == PreCandidate {
		n.campaign(wire.MessageKind_MESSAGE_KIND_VOTE)
		return
	}
	n.becomeLeader()
}

func (n *Node) becomeLeader() {
	n.role = Leader
	n.leader = n.ID
	n.elapsedTicks = 0
	n.followers = map[string]*progress{}
	n.trackFollowers()
	for _, p := range n.followers {
		p.recentlyActive = true
	}
	if p := n.followers[n.lastLeader]; p != nil {
		p.silenceBefore = n.ticksSinceLeader / n.HeartbeatTicks
	}
	n.appendLocal(&wire.Entry{})
}

// stepVote answers a request for a vote or a pre-vote.
func (n *Node) stepVote(m *wire.Message) {
	if n.hasRecentLeader() {
		return
	}
	pre := m.GetKind() == wire.MessageKind_MESSAGE_KIND_PRE_VOTE
	if !pre && m.GetTerm() > n.hardState.GetTerm() {
		n.becomeFollower(m.GetTerm(), "")
	}
	grant := n.grantsVote(m, pre)
	if grant && !pre {
		n.hardState.Vote = m.GetFrom()
		n.resetElectionTimeout()
	}
	reply := &wire.Message{To: m.GetFrom(), Reject: !grant, Term: m.GetTerm()}
	reply.Kind = wire.MessageKind_MESSAGE_KIND_VOTE_REPLY
	if pre {
		reply.Kind = wire.MessageKind_MESSAGE_KIND_PRE_VOTE_REPLY
	}
	if !grant {
		reply.Term = n.hardState.GetTerm()
	}
	n.send(reply)
}

func (n *Node) grantsVote(m *wire.Message, pre bool) bool {
	if m.GetTerm() < n.hardState.GetTerm() || !n.log.upToDate(m.GetLogIndex(), m.GetLogTerm()) {
		return false
	}
	if pre {
		return m.GetTerm() > n.hardState.GetTerm()
	}
	return n.hardState.GetVote() == "" || n.hardState.GetVote() == m.GetFrom()
}

// hasRecentLeader reports whether the replica leads or has received a message from
// its leader within the shortest election timeout. An election would then only
// disrupt the group.
func (n *Node) hasRecentLeader() bool {
	return n.leader != "" && (n.role == Leader || n.elapsedTicks < n.ElectionTicks)
}

func (n *Node) stepVoteReply(m *wire.Message) {
	want := Candidate
	if m.GetKind() == wire.MessageKind_MESSAGE_KIND_PRE_VOTE_REPLY {
		want = PreCandidate
	}
	if n.role != want || m.GetReject() {
		return
	}
	if want == Candidate && m.GetTerm() != n.hardState.GetTerm() || want == PreCandidate && m.GetTerm() != n.hardState.GetTerm()+1 {
		return
	}
	n.votes[m.GetFrom()] = true
	n.countVotes()
}
