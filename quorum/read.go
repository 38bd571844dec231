package quorum

// pendingRead waits until a quorum has answered a heartbeat that was sent after
// the read came in, which proves that the leader still leads.
type pendingRead struct {
	token uint64
	index uint64
	round uint64
}

// Read asks for a linearizable read. Its ReadState comes with a later Ready.
func (n *Node) Read(token uint64) error {
	if n.role != Leader || !n.committedInTerm() {
		return &Error{Op: "read", Kind: KindNotLeader}
	}
	n.reads = append(n.reads, pendingRead{token: token, index: n.hard.GetCommit(), round: n.round + 1})
	return nil
}

// ConfirmReads sends the heartbeats that the pending reads wait for.
func (n *Node) ConfirmReads() {
	if n.role == Leader && len(n.reads) > 0 && n.reads[len(n.reads)-1].round > n.round {
		n.heartbeat()
	}
}

func (n *Node) releaseReads() {
	done := 0
	for _, r := range n.reads {
		if !n.members.quorum(func(id string) bool { return n.answered(id, r.round) }) {
			break
		}
		n.readsDone = append(n.readsDone, ReadState{Token: r.token, Index: r.index})
		done++
	}
	n.reads = n.reads[done:]
}

func (n *Node) answered(id string, round uint64) bool {
	if id == n.ID {
		return n.round >= round
	}
	p := n.followed[id]
	return p != nil && p.round >= round
}

func (n *Node) failReads() {
	for _, r := range n.reads {
		n.readsDone = append(n.readsDone, ReadState{Token: r.token, Failed: true})
	}
	n.reads = nil
}
