package quorum

import (
	"slices"

	"buckthornpin/wire"
)

// progress is a leader's record of the state of one follower.
type progress struct {
	// match is the index up to which the follower is known to hold the log.
	match uint64
	// next is the index of the next entry to send.
	next uint64
	// inflight estimates the number of unanswered messages with entries.
	inflight int
	// recentlyActive is set if the follower has answered since the last quorum
	// check. A new leader sets it for all followers.
	recentlyActive bool
	// answeredRound is the latest heartbeat round that the follower has answered.
	answeredRound uint64
	// pendingSnapshot is the index of a snapshot that was sent and isn't acknowledged
	// yet, or 0.
	pendingSnapshot uint64
	// snapshotRound is the heartbeat round in which that snapshot was sent.
	snapshotRound uint64
	// probing is set until a position is known at which the follower's log matches.
	probing bool
	// heartbeatsSinceSnapshot counts the heartbeats since the snapshot was sent.
	heartbeatsSinceSnapshot int
	// unansweredHeartbeats counts the heartbeats since the last reply.
	unansweredHeartbeats int
	// heartbeats counts the heartbeats since the leader has known the follower.
	heartbeats int
	// silenceBefore is the number of heartbeat intervals for which the follower, as the
	// leader before, hadn't been heard when this leader was elected. It ends with the first
	// reply.
	silenceBefore int
}

// trackFollowers adds a progress for each other member that has none and removes
// those of former members.
func (n *Node) trackFollowers() {
	if n.role != Leader {
		return
	}
	known := map[string]bool{}
	for _, m := range n.members.latest().GetMembers() {
		known[m.GetId()] = true
		if m.GetId() != n.ID && n.followers[m.GetId()] == nil {
			n.followers[m.GetId()] = &progress{next: n.log.lastIndex() + 1, probing: true}
		}
	}
	for id := range n.followers {
		if !known[id] {
			delete(n.followers, id)
		}
	}
}

// MatchIndex returns the index up to which a follower is known to hold the log, or
// 0 if nothing is known.
func (n *Node) MatchIndex(id string) uint64 {
	if p := n.followers[id]; p != nil {
		return p.match
	}
	return 0
}

// sendHeartbeats starts a heartbeat round, which each follower answers.
func (n *Node) sendHeartbeats() {
	n.heartbeatRound++
	for _, id := range n.followerIDs() {
		n.sendAppend(id, n.followers[id], true)
	}
	n.releaseReads()
}

// expireUnanswered runs once per heartbeat. It lowers the number of messages in
// flight and gives up waiting for an old snapshot, so that lost messages are sent
// again.
func (n *Node) expireUnanswered() {
	for _, p := range n.followers {
		if p.inflight > 0 {
			p.inflight--
		}
		p.heartbeats++
		p.heartbeatsSinceSnapshot++
		p.unansweredHeartbeats++
		if p.heartbeatsSinceSnapshot > snapshotHeartbeats {
			p.pendingSnapshot = 0
		}
	}
}

func (n *Node) followerIDs() []string {
	ids := make([]string, 0, len(n.followers))
	for id := range n.followers {
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
		p := n.followers[id]
		for p.inflight < maxInflightMessages && p.next <= n.log.lastIndex() && p.pendingSnapshot == 0 {
			if !n.sendAppend(id, p, false) || p.probing {
				break
			}
		}
	}
}

// sendAppend sends the follower its next entries, or only a heartbeat if empty is
// set, and reports whether it did. While the follower is being probed, it sends no
// entries before the last ones are answered. If the log no longer holds the position
// before the next entries, it queues a snapshot instead.
func (n *Node) sendAppend(id string, p *progress, empty bool) bool {
	prev := p.next - 1
	term, ok := n.log.term(prev)
	if !ok {
		n.queueSnapshot(id, p)
		n.sendHeartbeatWithoutIndex(id, empty)
		return false
	}
	if p.probing && p.inflight > 0 && !empty {
		return false
	}
	m := &wire.Message{
		Kind: wire.MessageKind_MESSAGE_KIND_APPEND, To: id, LogIndex: prev, LogTerm: term,
		Commit: n.hardState.GetCommit(), Round: n.heartbeatRound,
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

// queueSnapshot queues a snapshot message. The owner fills in the content before
// it sends the message.
func (n *Node) queueSnapshot(id string, p *progress) {
	if p.pendingSnapshot > 0 {
		return
	}
	p.pendingSnapshot = n.log.snapshotIndex
	p.heartbeatsSinceSnapshot = 0
	p.snapshotRound = n.heartbeatRound
	n.send(&wire.Message{Kind: wire.MessageKind_MESSAGE_KIND_SNAPSHOT, To: id, Round: n.heartbeatRound, LogIndex: n.log.snapshotIndex})
}

// sendHeartbeatWithoutIndex sends a heartbeat with index and term 0, which match
// every log. It does nothing unless heartbeat is set.
func (n *Node) sendHeartbeatWithoutIndex(id string, heartbeat bool) {
	if heartbeat {
		n.send(&wire.Message{Kind: wire.MessageKind_MESSAGE_KIND_APPEND, To: id, Round: n.heartbeatRound})
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
	p := n.followers[m.GetFrom()]
	if n.role != Leader || p == nil {
		return
	}
	p.recentlyActive = true
	p.unansweredHeartbeats, p.silenceBefore = 0, 0
	p.answeredRound = max(p.answeredRound, m.GetRound())
	if p.inflight > 0 {
		p.inflight--
	}
	n.releaseReads()
	if m.GetReject() {
		n.stepAppendReject(p, m)
		return
	}
	p.match = max(p.match, m.GetLogIndex())
	p.next = max(p.next, p.match+1)
	if p.pendingSnapshot > 0 && (p.match >= p.pendingSnapshot || p.answeredRound > p.snapshotRound+snapshotRounds) {
		p.pendingSnapshot = 0
	}
	if p.probing {
		p.probing = false
		p.inflight = 0
		p.next = p.match + 1
	}
	n.advanceCommit()
}

func (n *Node) stepAppendReject(p *progress, m *wire.Message) {
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

// advanceCommit commits the entries that a majority of the voters holds durably.
// Only an entry of the leader's own term is committed this way; it commits the
// entries before it too.
func (n *Node) advanceCommit() {
	index := n.quorumIndex()
	term, ok := n.log.term(index)
	if index <= n.hardState.GetCommit() || !ok || term != n.hardState.GetTerm() {
		return
	}
	n.hardState.Commit = index
	if n.members.changeIndex <= index && !n.isMember() {
		n.becomeFollower(n.hardState.GetTerm(), "")
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

// quorumIndex returns the index up to which a majority of each set of voters holds the
// log durably.
func (n *Node) quorumIndex() uint64 {
	index := n.log.lastIndex()
	for _, voters := range n.members.voterSets() {
		index = min(index, n.majorityIndex(voters))
	}
	return index
}

func (n *Node) majorityIndex(voters []string) uint64 {
	if len(voters) == 0 {
		return 0
	}
	matches := make([]uint64, 0, len(voters))
	for _, id := range voters {
		if id == n.ID {
			matches = append(matches, n.durableIndex)
			continue
		}
		matches = append(matches, n.MatchIndex(id))
	}
	slices.Sort(matches)
	return matches[(len(matches)-1)/2]
}
