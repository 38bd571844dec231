package quorum

import (
	"flag"
	"fmt"
	"testing"

	"github.com/stretchr/testify/require"

	"buckthornpin/wire"
)

var seeds = flag.Int("seeds", 100, "number of seeds of the schedule test")

// TestSchedules runs replicas under random faults from a seed. No two replicas may
// commit different entries at one position, each term must have at most one
// leader, reads must be linearizable, and once the faults end the replicas must
// agree.
func TestSchedules(t *testing.T) {
	for seed := range *seeds {
		t.Run(fmt.Sprintf("seed %d", seed), func(t *testing.T) {
			g := newGroup(t, int64(seed), 3+2*(seed%2))
			for range 6000 {
				g.randomStep(10)
			}
			g.heal()
			requireAgreement(t, g)
		})
	}
}

func requireAgreement(t *testing.T, g *group) {
	t.Helper()
	require.NotNil(t, g.leader(), "a healed group has a leader")
	require.NotEmpty(t, g.committed)
	for _, id := range g.ids() {
		require.Equal(t, g.committed, g.replicas[id].applied, "replica %s", id)
	}
}

func TestSingleReplicaCommits(t *testing.T) {
	g := newGroup(t, 1, 1)
	g.heal()
	g.propose(g.leader())
	require.Len(t, g.committed, 1)
}

func TestIsolatedLeaderStepsDownWithoutDisruption(t *testing.T) {
	g := newGroup(t, 2, 3)
	g.heal()
	isolated := g.leader()
	term := isolated.node.Term()
	isolate(g, isolated.node.ID)
	for range 100 {
		tickAll(g)
	}
	require.NotEqual(t, Leader, isolated.node.Role(), "the isolated leader has stepped down")
	require.LessOrEqual(t, isolated.node.Term(), term, "pre-votes don't raise its term")
	successor := g.leader()
	require.NotNil(t, successor)
	newTerm := successor.node.Term()
	clear(g.blockedLinks)
	for range 100 {
		tickAll(g)
	}
	require.Equal(t, newTerm, g.leader().node.Term(), "the return of the old leader starts no election")
}

func isolate(g *group, id string) {
	for _, other := range g.ids() {
		g.blockedLinks[[2]string{id, other}] = true
		g.blockedLinks[[2]string{other, id}] = true
	}
}

func tickAll(g *group) {
	for _, id := range g.ids() {
		g.replicas[id].node.Tick()
		g.processReady(id, false)
	}
	for len(g.network) > 0 {
		g.deliver(0)
	}
}

func TestMembershipChanges(t *testing.T) {
	g := newGroup(t, 3, 3)
	g.heal()
	current := g.leader().node.Members()
	scenarios := []struct {
		description string
		next        *wire.Members
		allowed     bool
	}{
		{"a learner may join", &wire.Members{Members: append(cloneMembers(current), &wire.Member{Id: "r4", Learner: true})}, true},
		{"two voters at once may not join", &wire.Members{Members: append(cloneMembers(current), &wire.Member{Id: "r4"}, &wire.Member{Id: "r5"})}, false},
		{"a voter may not be swapped in one step", &wire.Members{Members: append(cloneMembers(current)[:2], &wire.Member{Id: "r4"})}, false},
		{"a group without voters is refused", &wire.Members{}, false},
	}
	for _, s := range scenarios {
		t.Run(s.description, func(t *testing.T) {
			_, _, err := g.leader().node.ProposeMembers(s.next)
			require.Equal(t, s.allowed, err == nil, "%v", err)
			tickAll(g)
		})
	}
}

func TestSecondMembershipChangeIsRefusedWhilePending(t *testing.T) {
	g := newGroup(t, 4, 3)
	g.heal()
	l := g.leader()
	isolate(g, l.node.ID)
	next := &wire.Members{Members: append(cloneMembers(l.node.Members()), &wire.Member{Id: "r4", Learner: true})}
	_, _, err := l.node.ProposeMembers(next)
	require.NoError(t, err)
	_, _, err = l.node.ProposeMembers(next)
	require.ErrorIs(t, err, &Error{Kind: KindChangePending})
}

func cloneMembers(m *wire.Members) []*wire.Member {
	return append([]*wire.Member(nil), m.GetMembers()...)
}

func TestStaleSnapshotKeepsAcknowledgedEntries(t *testing.T) {
	n := &Node{ID: "r1", ElectionTicks: 10, HeartbeatTicks: 2, Rand: func(int) int { return 0 }}
	members := &wire.Members{Members: []*wire.Member{{Id: "r1"}, {Id: "r2"}, {Id: "r3"}}}
	n.Restore(nil, &wire.Snapshot{Index: 1, Term: 1, Members: members}, nil)
	entries := []*wire.Entry{{Index: 2, Term: 2}, {Index: 3, Term: 2}}
	n.Step(&wire.Message{Kind: wire.MessageKind_MESSAGE_KIND_APPEND, From: "r2", To: "r1", Term: 2, LogIndex: 1, LogTerm: 1, Entries: entries})
	n.Step(&wire.Message{Kind: wire.MessageKind_MESSAGE_KIND_SNAPSHOT, From: "r2", To: "r1", Term: 2, Snapshot: &wire.Snapshot{Index: 2, Term: 2, Members: members}})
	require.Equal(t, uint64(3), n.log.lastIndex(), "the entry at 3 was acknowledged")
	require.Equal(t, uint64(2), n.Committed())
}
