package quorum

import (
	"slices"

	"buckthornpin/wire"
)

// progress is what a leader knows of one follower.
type progress struct {
	match    uint64
	next     uint64
	inflight int
	active   bool
	round    uint64
	// snapshot is the index of a snapshot on its way, or 0.
	snapshot uint64
	// probing is set until the follower's log is known to match.
	probing bool
	// snapshotAge counts heartbeats since the snapshot was sent.
	snapshotAge int
	// silent counts heartbeats without a reply.
	silent int
}

// trackFollowers keeps a progress for each other member.
func (n *Node) trackFollowers() {
	if n.role != Leader {
		return
	}
	known := map[string]bool{}
	for _, m := range n.members.latest().GetMembers() {
		known[m.GetId()] = true
		if m.GetId() != n.ID && n.followed[m.GetId()] == nil {
			n.followed[m.GetId()] = &progress{next: n.log.lastIndex() + 1, probing: true}
		}
	}
	for id := range n.followed {
		if !known[id] {
			delete(n.followed, id)
		}
	}
}

// Match returns the index up to which a follower is known to hold the log.
func (n *Node) Match(id string) uint64 {
	if p := n.followed[id]; p != nil {
		return p.match
	}
	return 0
}

// Silent returns how many heartbeats a follower has left without a reply.
func (n *Node) Silent(id string) int {
	if p := n.followed[id]; p != nil {
		return p.silent
	}
	return 0
}

// heartbeat starts a round that each follower answers.
func (n *Node) heartbeat() {
	n.round++
	for _, id := range n.followerIDs() {
		n.sendAppend(id, n.followed[id], true)
	}
	n.releaseReads()
}

// forgetLost lets messages that were lost be sent again.
func (n *Node) forgetLost() {
	for _, p := range n.followed {
		if p.inflight > 0 {
			p.inflight--
		}
		p.snapshotAge++
		p.silent++
		if p.snapshotAge > snapshotHeartbeats {
			p.snapshot = 0
		}
	}
}

func (n *Node) followerIDs() []string {
	ids := make([]string, 0, len(n.followed))
	for id := range n.followed {
		ids = append(ids, id)
	}
	slices.Sort(ids)
	return ids
}

func (n *Node) sendAppends() {
	if n.role != Leader {
		return
	}
	for _, id := range n.followerIDs() {
		p := n.followed[id]
		for p.inflight < maxInflight && p.next <= n.log.lastIndex() && p.snapshot == 0 {
			if !n.sendAppend(id, p, false) || p.probing {
				break
			}
		}
	}
}

// sendAppend sends the follower's next entries; it reports whether it did.
func (n *Node) sendAppend(id string, p *progress, empty bool) bool {
	prev := p.next - 1
	term, ok := n.log.term(prev)
	if !ok {
		n.needSnapshot(id, p)
		n.keepFollowing(id, empty)
		return false
	}
	if p.probing && p.inflight > 0 && !empty {
		return false
	}
	m := &wire.Message{
		Kind: wire.MessageKind_MESSAGE_KIND_APPEND, To: id, LogIndex: prev, LogTerm: term,
		Commit: n.hard.GetCommit(), Round: n.round,
	}
	if !empty {
		m.Entries = limitBytes(n.log.from(p.next))
		p.inflight++
	}
	if !p.probing {
		p.next += uint64(len(m.GetEntries()))
	}
	n.send(m)
	return true
}

// needSnapshot asks the owner for a snapshot; the owner fills in its content
// before it sends the message.
func (n *Node) needSnapshot(id string, p *progress) {
	if p.snapshot > 0 {
		return
	}
	p.snapshot = n.log.snapIndex
	p.snapshotAge = 0
	n.send(&wire.Message{Kind: wire.MessageKind_MESSAGE_KIND_SNAPSHOT, To: id, Round: n.round, LogIndex: n.log.snapIndex})
}

// keepFollowing sends a heartbeat that matches each log.
func (n *Node) keepFollowing(id string, heartbeat bool) {
	if heartbeat {
		n.send(&wire.Message{Kind: wire.MessageKind_MESSAGE_KIND_APPEND, To: id, Round: n.round})
	}
}

func limitBytes(es []*wire.Entry) []*wire.Entry {
	size := 0
	for i, e := range es {
		size += len(e.GetData())
		if size > maxAppendBytes && i > 0 {
			return es[:i]
		}
	}
	return es
}

func (n *Node) stepAppendReply(m *wire.Message) {
	p := n.followed[m.GetFrom()]
	if n.role != Leader || p == nil {
		return
	}
	p.active = true
	p.silent = 0
	p.round = max(p.round, m.GetRound())
	if p.inflight > 0 {
		p.inflight--
	}
	n.releaseReads()
	if m.GetReject() {
		n.stepReject(p, m)
		return
	}
	p.match = max(p.match, m.GetLogIndex())
	p.next = max(p.next, p.match+1)
	if p.snapshot > 0 && p.match >= p.snapshot {
		p.snapshot = 0
	}
	if p.probing {
		p.probing = false
		p.inflight = 0
		p.next = p.match + 1
	}
	n.commitQuorum()
}

func (n *Node) stepReject(p *progress, m *wire.Message) {
	if m.GetLogIndex() < p.match {
		return
	}
	p.probing = true
	p.inflight = 0
	p.next = max(p.match, min(m.GetLogIndex(), m.GetHint()+1), 1)
	if p.next <= p.match {
		p.next = p.match + 1
	}
}

// commitQuorum commits what a majority of the voters holds durably. Only an
// entry of the leader's own term is counted.
func (n *Node) commitQuorum() {
	index := n.quorumIndex()
	term, ok := n.log.term(index)
	if index <= n.hard.GetCommit() || !ok || term != n.hard.GetTerm() {
		return
	}
	n.hard.Commit = index
	if n.members.index <= index && !n.isMember() {
		n.becomeFollower(n.hard.GetTerm(), "")
	}
}

func (n *Node) isMember() bool {
	for _, m := range n.members.latest().GetMembers() {
		if m.GetId() == n.ID {
			return true
		}
	}
	return false
}

func (n *Node) quorumIndex() uint64 {
	vs := n.members.voters()
	if len(vs) == 0 {
		return 0
	}
	matches := make([]uint64, 0, len(vs))
	for _, id := range vs {
		if id == n.ID {
			matches = append(matches, n.stable)
			continue
		}
		matches = append(matches, n.Match(id))
	}
	slices.Sort(matches)
	return matches[(len(matches)-1)/2]
}
