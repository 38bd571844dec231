package quorum

import (
	"flag"
	"fmt"
	"testing"

	"github.com/stretchr/testify/require"

	"buckthornpin/wire"
)

var seeds = flag.Int("seeds", 100, "number of seeds of the schedule test")

// TestSchedules runs replicas under seeded faults: what one replica has
// committed no other contradicts, a term has one leader, reads are
// linearizable, and after the faults the group agrees.
func TestSchedules(t *testing.T) {
	for seed := range *seeds {
		t.Run(fmt.Sprintf("seed %d", seed), func(t *testing.T) {
			g := newGroup(t, int64(seed), 3+2*(seed%2))
			for range 6000 {
				g.step(10)
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

func TestOneReplicaCommitsAlone(t *testing.T) {
	g := newGroup(t, 1, 1)
	g.heal()
	g.propose(g.leader())
	require.Len(t, g.committed, 1)
}

func TestCutOffLeaderStepsDownAndDoesNotDisturb(t *testing.T) {
	g := newGroup(t, 2, 3)
	g.heal()
	old := g.leader()
	term := old.node.Term()
	isolate(g, old.node.ID)
	for range 100 {
		tickAll(g)
	}
	require.NotEqual(t, Leader, old.node.Role(), "the cut off leader has stepped down")
	require.LessOrEqual(t, old.node.Term(), term, "pre-votes don't raise its term")
	now := g.leader()
	require.NotNil(t, now)
	newTerm := now.node.Term()
	clear(g.cut)
	for range 100 {
		tickAll(g)
	}
	require.Equal(t, newTerm, g.leader().node.Term(), "its return starts no election")
}

func isolate(g *group, id string) {
	for _, other := range g.ids() {
		g.cut[[2]string{id, other}] = true
		g.cut[[2]string{other, id}] = true
	}
}

func tickAll(g *group) {
	for _, id := range g.ids() {
		g.replicas[id].node.Tick()
		g.work(id, false)
	}
	for len(g.network) > 0 {
		g.deliver(0)
	}
}

func TestMembershipChanges(t *testing.T) {
	g := newGroup(t, 3, 3)
	g.heal()
	now := g.leader().node.Members()
	scenarios := []struct {
		description string
		next        *wire.Members
		allowed     bool
	}{
		{"a learner may join", &wire.Members{Members: append(cloneMembers(now), &wire.Member{Id: "r4", Learner: true})}, true},
		{"two voters at once may not join", &wire.Members{Members: append(cloneMembers(now), &wire.Member{Id: "r4"}, &wire.Member{Id: "r5"})}, false},
		{"a voter may not be swapped in one step", &wire.Members{Members: append(cloneMembers(now)[:2], &wire.Member{Id: "r4"})}, false},
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

func TestASecondMembershipChangeWaitsForTheFirst(t *testing.T) {
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

func TestStaleSnapshotDropsNothingAcknowledged(t *testing.T) {
	n := &Node{ID: "r1", ElectionTicks: 10, HeartbeatTicks: 2, Rand: func(int) int { return 0 }}
	members := &wire.Members{Members: []*wire.Member{{Id: "r1"}, {Id: "r2"}, {Id: "r3"}}}
	n.Restore(nil, &wire.Snapshot{Index: 1, Term: 1, Members: members}, nil)
	entries := []*wire.Entry{{Index: 2, Term: 2}, {Index: 3, Term: 2}}
	n.Step(&wire.Message{Kind: wire.MessageKind_MESSAGE_KIND_APPEND, From: "r2", To: "r1", Term: 2, LogIndex: 1, LogTerm: 1, Entries: entries})
	n.Step(&wire.Message{Kind: wire.MessageKind_MESSAGE_KIND_SNAPSHOT, From: "r2", To: "r1", Term: 2, Snapshot: &wire.Snapshot{Index: 2, Term: 2, Members: members}})
	require.Equal(t, uint64(3), n.log.lastIndex(), "the entry at 3 was acknowledged")
	require.Equal(t, uint64(2), n.Committed())
}
