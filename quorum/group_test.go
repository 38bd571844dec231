package quorum

import (
	"fmt"
	"math/rand"
	"slices"
	"testing"

	"github.com/stretchr/testify/require"
	"google.golang.org/protobuf/proto"

	"buckthornpin/wire"
)

// disk holds the saved state of a replica.
type disk struct {
	hard     *wire.HardState
	snapshot *wire.Snapshot
	entries  []*wire.Entry
}

func (d *disk) save(r Ready) {
	if r.HardState != nil {
		d.hard = r.HardState
	}
	if r.Snapshot != nil {
		d.snapshot = r.Snapshot
		d.entries = nil
	}
	for _, e := range r.Entries {
		for len(d.entries) > 0 && d.entries[len(d.entries)-1].GetIndex() >= e.GetIndex() {
			d.entries = d.entries[:len(d.entries)-1]
		}
		d.entries = append(d.entries, e)
	}
}

// replica is a node with its disk and the state it has applied.
type replica struct {
	node    *Node
	disk    disk
	down    bool
	applied []string
}

// group runs replicas over a simulated network that loses, repeats, delays and
// blocks messages.
type group struct {
	t            *testing.T
	rng          *rand.Rand
	replicas     map[string]*replica
	network      []*wire.Message
	blockedLinks map[[2]string]bool
	// committed holds, by position, the data that at least one replica has applied.
	committed           []string
	leaders             map[uint64]string
	proposals           int
	committedBeforeRead map[uint64]int
	lastReadToken       uint64
}

func newGroup(t *testing.T, seed int64, size int) *group {
	g := &group{
		t: t, rng: rand.New(rand.NewSource(seed)), replicas: map[string]*replica{},
		blockedLinks: map[[2]string]bool{}, leaders: map[uint64]string{}, committedBeforeRead: map[uint64]int{},
	}
	members := &wire.Members{}
	for i := range size {
		members.Members = append(members.Members, &wire.Member{Id: fmt.Sprintf("r%d", i+1)})
	}
	for _, m := range members.GetMembers() {
		r := &replica{disk: disk{hard: &wire.HardState{Term: 1, Commit: 1}, snapshot: &wire.Snapshot{Index: 1, Term: 1, Members: members}}}
		g.replicas[m.GetId()] = r
		g.start(m.GetId())
	}
	return g
}

func (g *group) ids() []string {
	ids := make([]string, 0, len(g.replicas))
	for id := range g.replicas {
		ids = append(ids, id)
	}
	slices.Sort(ids)
	return ids
}

func (g *group) start(id string) {
	r := g.replicas[id]
	r.down = false
	r.node = &Node{ID: id, ElectionTicks: 10, HeartbeatTicks: 2, Rand: g.rng.Intn}
	r.node.Restore(proto.CloneOf(r.disk.hard), r.disk.snapshot, slices.Clone(r.disk.entries))
	r.applied = nil
	if len(r.disk.snapshot.GetData()) > 0 {
		r.applied = decodeApplied(r.disk.snapshot.GetData())
	}
}

func decodeApplied(data []byte) []string {
	b := &wire.ReplyState{}
	if err := proto.Unmarshal(data, b); err != nil {
		panic(err)
	}
	var out []string
	for _, c := range b.GetResult().GetMessage() {
		out = append(out, string(c))
	}
	return out
}

func encodeApplied(applied []string) []byte {
	text := ""
	for _, a := range applied {
		text += a
	}
	data, err := proto.Marshal(&wire.ReplyState{Id: "state", Result: &wire.Result{Message: text}})
	if err != nil {
		panic(err)
	}
	return data
}

// processReady carries out the work of a replica and checks what it commits. A
// leader sends its entries before its own disk has saved them, as in package ctrl.
// A crash may happen before or after the disk saves.
func (g *group) processReady(id string, crash bool) {
	r := g.replicas[id]
	for {
		ready := r.node.Ready()
		if ready.Empty() {
			return
		}
		sendFirst := r.node.Role() == Leader && ready.Snapshot == nil && ready.HardState.GetTerm() <= r.disk.hard.GetTerm()
		if sendFirst {
			g.sendAll(r, ready.Messages)
		}
		if crash && g.rng.Intn(2) == 0 {
			r.down = true
			return
		}
		r.disk.save(ready)
		if crash {
			r.down = true
			return
		}
		if ready.Snapshot != nil {
			r.applied = decodeApplied(ready.Snapshot.GetData())
		}
		if !sendFirst {
			g.sendAll(r, ready.Messages)
		}
		for _, e := range ready.Committed {
			g.apply(r, e)
		}
		g.finishReads(r, ready.Reads)
		r.node.Advance(ready)
		g.recordLeader(r)
	}
}

func (g *group) sendAll(r *replica, ms []*wire.Message) {
	for _, m := range ms {
		g.send(r, m)
	}
}

func (g *group) send(r *replica, m *wire.Message) {
	if m.GetKind() == wire.MessageKind_MESSAGE_KIND_SNAPSHOT {
		m.Snapshot = r.disk.snapshot
	}
	if g.blockedLinks[[2]string{m.GetFrom(), m.GetTo()}] {
		return
	}
	g.network = append(g.network, proto.CloneOf(m))
}

func (g *group) apply(r *replica, e *wire.Entry) {
	if len(e.GetData()) == 0 {
		return
	}
	r.applied = append(r.applied, string(e.GetData()))
	n := len(r.applied)
	if n <= len(g.committed) {
		require.Equal(g.t, g.committed[n-1], r.applied[n-1], "position %d on %s", n, r.node.ID)
		return
	}
	g.committed = append(g.committed, r.applied[n-1])
}

func (g *group) finishReads(r *replica, states []ReadState) {
	for _, s := range states {
		if s.Failed {
			continue
		}
		require.GreaterOrEqual(g.t, r.node.Committed(), s.Index)
		require.GreaterOrEqual(g.t, len(r.applied), g.committedBeforeRead[s.Token], "a read on %s misses entries committed before it", r.node.ID)
	}
}

func (g *group) recordLeader(r *replica) {
	if r.node.Role() != Leader {
		return
	}
	known, ok := g.leaders[r.node.Term()]
	require.True(g.t, !ok || known == r.node.ID, "term %d has leaders %s and %s", r.node.Term(), known, r.node.ID)
	g.leaders[r.node.Term()] = r.node.ID
}

// deliver delivers one message, possibly out of order, repeatedly or not at all.
func (g *group) deliver(lossPercent int) {
	if len(g.network) == 0 {
		return
	}
	i := 0
	if g.rng.Intn(4) == 0 {
		i = g.rng.Intn(len(g.network))
	}
	m := g.network[i]
	if g.rng.Intn(20) != 0 {
		g.network = slices.Delete(g.network, i, i+1)
	}
	r := g.replicas[m.GetTo()]
	if r == nil || r.down || g.rng.Intn(100) < lossPercent || g.blockedLinks[[2]string{m.GetFrom(), m.GetTo()}] {
		return
	}
	r.node.Step(proto.CloneOf(m))
	g.processReady(m.GetTo(), false)
}

// randomStep performs one random action.
func (g *group) randomStep(lossPercent int) {
	id := g.ids()[g.rng.Intn(len(g.replicas))]
	r := g.replicas[id]
	switch n := g.rng.Intn(1000); {
	case n < 700:
		g.deliver(lossPercent)
	case r.down:
		if n < 800 {
			g.start(id)
		}
	case n < 900:
		r.node.Tick()
		g.processReady(id, false)
	case n < 950:
		g.propose(r)
	case n < 965:
		g.read(r)
	case n < 970:
		g.compact(r)
	case n < 975:
		g.propose(r)
		r.node.Tick()
		g.processReady(id, true)
	case n < 980:
		isolate(g, id)
	case n < 985:
		other := g.ids()[g.rng.Intn(len(g.replicas))]
		g.blockedLinks[[2]string{id, other}] = g.rng.Intn(2) == 0
	case n < 988:
		clear(g.blockedLinks)
	}
}

func (g *group) propose(r *replica) {
	g.proposals++
	if _, _, err := r.node.Propose([]byte(string(rune('a' + g.proposals%26)))); err == nil {
		g.processReady(r.node.ID, false)
	}
}

func (g *group) read(r *replica) {
	g.lastReadToken++
	if r.node.RequestRead(g.lastReadToken) == nil {
		g.committedBeforeRead[g.lastReadToken] = len(g.committed)
		r.node.ConfirmReads()
		g.processReady(r.node.ID, false)
	}
}

func (g *group) compact(r *replica) {
	index := r.node.Applied()
	if index <= r.disk.snapshot.GetIndex() {
		return
	}
	term, members := r.node.SnapshotMetadata(index)
	s := &wire.Snapshot{Index: index, Term: term, Members: members, Data: encodeApplied(r.applied)}
	require.NoError(g.t, r.node.Compact(index))
	hard, rest := r.node.CompactedLog()
	r.disk = disk{hard: hard, snapshot: s, entries: slices.Clone(rest)}
}

// heal removes all faults and runs the group until it has settled.
func (g *group) heal() {
	clear(g.blockedLinks)
	for _, id := range g.ids() {
		if g.replicas[id].down {
			g.start(id)
		}
	}
	for range 400 {
		for _, id := range g.ids() {
			g.replicas[id].node.Tick()
			g.processReady(id, false)
		}
		for len(g.network) > 0 {
			g.deliver(0)
		}
	}
}

func (g *group) leader() *replica {
	for _, r := range g.replicas {
		if !r.down && r.node.Role() == Leader {
			return r
		}
	}
	return nil
}
