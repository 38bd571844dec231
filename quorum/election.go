package quorum

import "buckthornpin/wire"

func (n *Node) becomeFollower(term uint64, leader string) {
	if term > n.hard.GetTerm() {
		n.hard.Term = term
		n.hard.Vote = ""
	}
	n.role = Follower
	n.leader = leader
	n.followed = nil
	n.failReads()
	n.resetTimeout()
}

func (n *Node) resetTimeout() {
	n.elapsed = 0
	n.timeout = n.ElectionTicks + n.Rand(n.ElectionTicks)
}

// campaign asks the voters. A pre-vote doesn't raise the term, so that a
// replica that comes back from a cut doesn't disturb the others.
func (n *Node) campaign(kind wire.MessageKind) {
	n.leader = ""
	n.resetTimeout()
	n.votes = map[string]bool{n.ID: true}
	term := n.hard.GetTerm() + 1
	n.role = PreCandidate
	if kind == wire.MessageKind_MESSAGE_KIND_VOTE {
		n.role = Candidate
		n.hard.Term = term
		n.hard.Vote = n.ID
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
	if !n.members.quorum(func(id string) bool { return n.votes[id] }) {
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
	n.elapsed = 0
	n.followed = map[string]*progress{}
	n.trackFollowers()
	for _, p := range n.followed {
		p.active = true
	}
	n.appendLocal(&wire.Entry{})
}

// stepVote answers a request for a vote or a pre-vote.
func (n *Node) stepVote(m *wire.Message) {
	if n.hearsLeader() {
		return
	}
	pre := m.GetKind() == wire.MessageKind_MESSAGE_KIND_PRE_VOTE
	if !pre && m.GetTerm() > n.hard.GetTerm() {
		n.becomeFollower(m.GetTerm(), "")
	}
	grant := n.grants(m, pre)
	if grant && !pre {
		n.hard.Vote = m.GetFrom()
		n.resetTimeout()
	}
	reply := &wire.Message{To: m.GetFrom(), Reject: !grant, Term: m.GetTerm()}
	reply.Kind = wire.MessageKind_MESSAGE_KIND_VOTE_REPLY
	if pre {
		reply.Kind = wire.MessageKind_MESSAGE_KIND_PRE_VOTE_REPLY
	}
	if !grant {
		reply.Term = n.hard.GetTerm()
	}
	n.send(reply)
}

func (n *Node) grants(m *wire.Message, pre bool) bool {
	if m.GetTerm() < n.hard.GetTerm() || !n.log.upToDate(m.GetLogIndex(), m.GetLogTerm()) {
		return false
	}
	if pre {
		return m.GetTerm() > n.hard.GetTerm()
	}
	return n.hard.GetVote() == "" || n.hard.GetVote() == m.GetFrom()
}

// hearsLeader reports whether a leader was heard within the shortest election
// timeout; an election would only disturb then.
func (n *Node) hearsLeader() bool {
	return n.leader != "" && (n.role == Leader || n.elapsed < n.ElectionTicks)
}

func (n *Node) stepVoteReply(m *wire.Message) {
	want := Candidate
	if m.GetKind() == wire.MessageKind_MESSAGE_KIND_PRE_VOTE_REPLY {
		want = PreCandidate
	}
	if n.role != want || m.GetReject() {
		return
	}
	if want == Candidate && m.GetTerm() != n.hard.GetTerm() || want == PreCandidate && m.GetTerm() != n.hard.GetTerm()+1 {
		return
	}
	n.votes[m.GetFrom()] = true
	n.countVotes()
}
