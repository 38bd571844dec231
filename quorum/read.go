package quorum

// pendingRead is a read that waits until a quorum has answered a heartbeat sent
// after the read arrived, which proves that the leader was still the leader.
type pendingRead struct {
	token uint64
	index uint64
	round uint64
}

// RequestRead requests a linearizable read, whose ReadState a later Ready returns.
// It returns an Error of KindNotLeader if the replica doesn't lead or hasn't
// committed an entry in its term yet.
func (n *Node) RequestRead(token uint64) error {
	if n.role != Leader || !n.committedInTerm() {
		return &Error{Op: "read", Kind: KindNotLeader}
	}
	n.pendingReads = append(n.pendingReads, pendingRead{token: token, index: n.hardState.GetCommit(), round: n.heartbeatRound + 1})
	return nil
}

// ConfirmReads sends the heartbeats that pending reads are waiting for.
func (n *Node) ConfirmReads() {
	if n.role == Leader && len(n.pendingReads) > 0 && n.pendingReads[len(n.pendingReads)-1].round > n.heartbeatRound {
		n.sendHeartbeats()
	}
}

func (n *Node) releaseReads() {
	done := 0
	for _, r := range n.pendingReads {
		if !n.members.hasQuorum(func(id string) bool { return n.hasAnswered(id, r.round) }) {
			break
		}
		n.finishedReads = append(n.finishedReads, ReadState{Token: r.token, Index: r.index})
		done++
	}
	n.pendingReads = n.pendingReads[done:]
}

func (n *Node) hasAnswered(id string, round uint64) bool {
	if id == n.ID {
		return n.heartbeatRound >= round
	}
	p := n.followers[id]
	return p != nil && p.answeredRound >= round
}

func (n *Node) failReads() {
	for _, r := range n.pendingReads {
		n.finishedReads = append(n.finishedReads, ReadState{Token: r.token, Failed: true})
	}
	n.pendingReads = nil
}
