// Package ctrl runs a replica of the control group and the client that routers
// and operators use. Commands are committed in groups: one sync serves many.
package ctrl

import (
	"context"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"github.com/go-faster/errors"
	"github.com/rs/zerolog"
	"google.golang.org/protobuf/proto"

	"buckthornpin"
	"buckthornpin/ledger"
	"buckthornpin/quorum"
	"buckthornpin/store"
	"buckthornpin/wire"
)

const (
	// DefaultTick is the unit of the election and heartbeat times.
	DefaultTick = 50 * time.Millisecond
	// DefaultElectionTicks is the shortest election timeout in ticks.
	DefaultElectionTicks = 10
	// DefaultHeartbeatTicks is the heartbeat interval in ticks.
	DefaultHeartbeatTicks = 2
	// DefaultSnapshotBytes is the size of the log that starts a snapshot.
	DefaultSnapshotBytes = 16 << 20
	// maxGroup bounds the calls that one entry of the log carries.
	maxGroup = 1024
	// queueLength bounds the calls that wait for the loop.
	queueLength = 4096
)

// Transport carries messages to other replicas. It may lose them.
type Transport interface {
	Send(to *wire.Member, m *wire.Message)
}

// Replica is one replica of the control group. Its exported fields are set
// before Run.
type Replica struct {
	Folder        *store.Folder
	Transport     Transport
	Events        buckthornpin.Recorder
	Log           zerolog.Logger
	Tick          time.Duration
	ElectionTicks int
	SnapshotBytes int64
	// DropAfter is the silence after which the leader removes a voter, as long as
	// enough others answer; 0 leaves that to operators. A voter that comes back
	// asks to join again.
	DropAfter time.Duration
	// ReopenAfter is the time after which a replica whose disk has failed starts
	// again from its folder; 0 ends Run with the failure.
	ReopenAfter time.Duration
	// CheckEach verifies the ledger's invariants after each entry.
	CheckEach bool

	node    *quorum.Node
	mu      sync.RWMutex
	ledger  *ledger.Ledger
	applied uint64
	changed chan struct{}
	calls   chan call
	inbox   chan []*wire.Message
	stopped chan struct{}
	waiting map[uint64]*group
	reads   map[uint64]*readCall
	senders map[string]*wire.Member
	ready   []*readCall
	token   uint64
	stamps  stamper
	// savedTerm and savedVote are what the disk holds of the hard state.
	savedTerm uint64
	savedVote string
	status    atomic.Pointer[Status]
	metrics   replicaMetrics
}

// Status is what a replica says of itself.
type Status struct {
	ID      string        `json:"id"`
	Role    string        `json:"role"`
	Leader  string        `json:"leader"`
	Term    uint64        `json:"term"`
	Commit  uint64        `json:"commit"`
	Applied uint64        `json:"applied"`
	Members *wire.Members `json:"members"`
}

// Open reads the data folder. It comes before Run.
func (r *Replica) Open() error {
	r.setDefaults()
	return r.load()
}

// load starts the replica from what the data folder holds.
func (r *Replica) load() error {
	c, err := r.Folder.Open()
	if err != nil {
		return err
	}
	l, err := restoreLedger(c.Snapshot)
	if err != nil {
		return err
	}
	r.mu.Lock()
	r.ledger = l
	r.applied = c.Snapshot.GetIndex()
	r.mu.Unlock()
	r.savedTerm, r.savedVote = c.HardState.GetTerm(), c.HardState.GetVote()
	r.node = &quorum.Node{
		ID: c.Identity.GetReplica(), ElectionTicks: r.ElectionTicks,
		HeartbeatTicks: DefaultHeartbeatTicks, Rand: rand.IntN,
	}
	r.node.Restore(c.HardState, c.Snapshot, c.Entries)
	r.publish()
	r.Log.Info().Str("replica", r.node.ID).Int("entries", len(c.Entries)).Int64("torn_bytes", c.TornBytes).Msg("data folder is open")
	return nil
}

func (r *Replica) setDefaults() {
	if r.Tick == 0 {
		r.Tick = DefaultTick
	}
	if r.ElectionTicks == 0 {
		r.ElectionTicks = DefaultElectionTicks
	}
	if r.SnapshotBytes == 0 {
		r.SnapshotBytes = DefaultSnapshotBytes
	}
	r.changed = make(chan struct{})
	r.calls = make(chan call, queueLength)
	r.inbox = make(chan []*wire.Message, queueLength)
	r.stopped = make(chan struct{})
	r.waiting = map[uint64]*group{}
	r.reads = map[uint64]*readCall{}
	r.senders = map[string]*wire.Member{}
}

func restoreLedger(s *wire.Snapshot) (*ledger.Ledger, error) {
	if s == nil || len(s.GetData()) == 0 {
		return ledger.Empty(), nil
	}
	return ledger.Restore(s.GetData())
}

// Run serves until ctx ends or the disk fails.
func (r *Replica) Run(ctx context.Context) error {
	defer close(r.stopped)
	defer r.failAll()
	ticker := time.NewTicker(r.Tick)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return r.Folder.Close()
		case <-ticker.C:
			r.node.Tick()
		case c := <-r.calls:
			r.takeCalls(c)
		case ms := <-r.inbox:
			r.takeMessages(ms)
		}
		err := r.work()
		if err == nil {
			continue
		}
		if r.ReopenAfter == 0 {
			return errors.Join(err, r.Folder.Close())
		}
		r.Log.Error().Err(err).Msg("disk has failed, starting again from what it holds")
		if !r.reopen(ctx) {
			return nil
		}
	}
}

// reopen starts the replica again from its folder, as a restart of the process
// would: what the disk holds after an error isn't known before it is read.
// Meanwhile calls are refused and messages dropped. It reports whether the
// replica runs again.
func (r *Replica) reopen(ctx context.Context) bool {
	r.failAll()
	_ = r.Folder.Close()
	ticker := time.NewTicker(r.ReopenAfter)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return false
		case c := <-r.calls:
			c.refuse(r.notLeader("start"))
			continue
		case <-r.inbox:
			continue
		case <-ticker.C:
		}
		err := r.load()
		if err == nil {
			return true
		}
		_ = r.Folder.Close()
		r.Log.Warn().Err(err).Msg("disk still fails")
	}
}

// takeCalls takes a call and those that wait behind it, and proposes them as
// one entry.
func (r *Replica) takeCalls(first call) {
	g := &group{}
	first.start(r, g)
	for n := 1; n < maxGroup; n++ {
		select {
		case c := <-r.calls:
			c.start(r, g)
			continue
		default:
		}
		break
	}
	r.propose(g)
	r.node.ConfirmReads()
}

func (r *Replica) takeMessages(ms []*wire.Message) {
	for {
		for _, m := range ms {
			r.noteSender(m)
			r.node.Step(m)
		}
		select {
		case ms = <-r.inbox:
		default:
			return
		}
	}
}

// noteSender keeps the address of a replica that isn't among the members that
// this one knows, so that a new replica can answer its leader.
func (r *Replica) noteSender(m *wire.Message) {
	if m.GetFromAddress() != "" && r.senders[m.GetFrom()].GetAddress() != m.GetFromAddress() {
		r.senders[m.GetFrom()] = &wire.Member{Id: m.GetFrom(), Address: m.GetFromAddress()}
	}
}

func (r *Replica) propose(g *group) {
	if len(g.commands) == 0 {
		return
	}
	at := r.stamps.next(r.node.Term(), r.ledger.NowMS())
	for _, c := range g.commands {
		c.AtMs = at
	}
	data, err := proto.Marshal(&wire.CommandBatch{Commands: g.commands})
	if err != nil {
		g.fail(err)
		return
	}
	index, term, err := r.node.Propose(data)
	if err != nil {
		g.fail(r.notLeader("execute"))
		return
	}
	g.term = term
	r.waiting[index] = g
}

// work does what the node asks for until nothing is left.
func (r *Replica) work() error {
	r.promoteLearners()
	r.dropSilent()
	for {
		ready := r.node.Ready()
		if ready.Empty() {
			r.publish()
			return nil
		}
		if err := r.handle(ready); err != nil {
			return err
		}
		r.node.Advance(ready)
		if err := r.snapshotIfLarge(); err != nil {
			return err
		}
	}
}

// handle does the work in the order that keeps promises durable. A leader's
// entries may travel while its own disk writes: it doesn't count itself before.
func (r *Replica) handle(ready quorum.Ready) error {
	early := r.node.Role() == quorum.Leader && ready.Snapshot == nil && !r.newTerm(ready.HardState)
	if early {
		r.sendAll(ready.Messages)
	}
	if err := r.save(ready); err != nil {
		return err
	}
	if !early {
		r.sendAll(ready.Messages)
	}
	for _, e := range ready.Committed {
		if err := r.apply(e); err != nil {
			return err
		}
	}
	r.finishReads(ready.Reads)
	return nil
}

func (r *Replica) newTerm(h *wire.HardState) bool {
	return h != nil && (h.GetTerm() != r.savedTerm || h.GetVote() != r.savedVote)
}

func (r *Replica) save(ready quorum.Ready) error {
	sync := len(ready.Entries) > 0 || r.newTerm(ready.HardState)
	if ready.HardState != nil {
		r.savedTerm, r.savedVote = ready.HardState.GetTerm(), ready.HardState.GetVote()
	}
	if ready.Snapshot != nil {
		return r.installSnapshot(ready)
	}
	if !sync {
		// A commit index alone is found again by the next leader: writing it
		// without a sync would only leave a tail that a power loss may tear.
		return nil
	}
	r.metrics.syncs.Add(1)
	r.metrics.entries.Add(int64(len(ready.Entries)))
	return r.Folder.Save(ready.HardState, ready.Entries, sync)
}

func (r *Replica) sendAll(ms []*wire.Message) {
	members := map[string]*wire.Member{}
	for _, m := range r.node.Members().GetMembers() {
		members[m.GetId()] = m
	}
	for _, m := range ms {
		to, ok := members[m.GetTo()]
		if !ok {
			to, ok = r.senders[m.GetTo()]
		}
		if !ok {
			continue
		}
		m.FromAddress = members[r.node.ID].GetAddress()
		if m.GetKind() == wire.MessageKind_MESSAGE_KIND_SNAPSHOT {
			s, err := r.Folder.Snapshot()
			if err != nil || s == nil {
				r.Log.Error().Err(err).Msg("snapshot can't be read")
				continue
			}
			m.Snapshot = s
		}
		r.Transport.Send(to, m)
	}
}

// promoteLearners makes a learner a voter once it holds what was committed.
func (r *Replica) promoteLearners() {
	if r.node.Role() != quorum.Leader {
		return
	}
	next := proto.CloneOf(r.node.Members())
	for _, m := range next.GetMembers() {
		if m.GetLearner() && r.node.Match(m.GetId()) >= r.node.Committed() && r.node.Match(m.GetId()) > 0 {
			m.Learner = false
			if _, _, err := r.node.ProposeMembers(next); err == nil {
				r.Events.Record(buckthornpin.Event{Kind: buckthornpin.EventMembers, Detail: m.GetId() + " is a voter"})
			}
			return
		}
	}
}

// leastVoters is the smallest group that a silent voter is removed from: with
// fewer the group would bear no further loss.
const leastVoters = 4

// dropSilent removes a voter that has been silent for long, so that lost VMs
// don't add up to a lost quorum. The others have to answer.
func (r *Replica) dropSilent() {
	if r.DropAfter == 0 || r.node.Role() != quorum.Leader {
		return
	}
	limit := int(r.DropAfter / (r.Tick * DefaultHeartbeatTicks))
	next := &wire.Members{}
	voters, silent, dropped := 0, 0, ""
	for _, m := range r.node.Members().GetMembers() {
		quiet := m.GetId() != r.node.ID && r.node.Silent(m.GetId()) > limit
		if !m.GetLearner() {
			voters++
		}
		if quiet {
			silent++
		}
		if quiet && dropped == "" {
			dropped = m.GetId()
			continue
		}
		next.Members = append(next.Members, m)
	}
	if dropped == "" || voters < leastVoters || silent > 1 && voters-silent <= voters/2 {
		return
	}
	if _, _, err := r.node.ProposeMembers(next); err != nil {
		return
	}
	r.Log.Info().Str("replica", dropped).Int("voters", voters-1).Msg("silent replica was removed")
	r.Events.Record(buckthornpin.Event{Kind: buckthornpin.EventMembers, Detail: dropped + " is removed"})
}

func (r *Replica) publish() {
	s := &Status{
		ID: r.node.ID, Role: r.node.Role().String(), Leader: r.node.Leader(), Term: r.node.Term(),
		Commit: r.node.Committed(), Applied: r.applied, Members: r.node.Members(),
	}
	old := r.status.Swap(s)
	if old != nil && old.Leader != s.Leader {
		r.recordLeader(s)
	}
}

func (r *Replica) recordLeader(s *Status) {
	kind := buckthornpin.EventLeader
	if s.Leader == "" {
		kind = buckthornpin.EventLeaderLost
	}
	r.Events.Record(buckthornpin.Event{Kind: kind, Detail: s.Leader})
	r.Log.Info().Str("leader", s.Leader).Uint64("term", s.Term).Msg("leader changed")
	if s.Role != quorum.Leader.String() {
		r.failWaiting()
	}
}

// Status returns the replica's view of its group.
func (r *Replica) Status() Status { return *r.status.Load() }

// LeaderAddress returns the address of the leader, or "".
func (r *Replica) LeaderAddress() string {
	s := r.status.Load()
	for _, m := range s.Members.GetMembers() {
		if m.GetId() == s.Leader {
			return m.GetAddress()
		}
	}
	return ""
}

// Deliver takes messages from another replica.
func (r *Replica) Deliver(ctx context.Context, ms []*wire.Message) error {
	select {
	case r.inbox <- ms:
		return nil
	case <-r.stopped:
		return &Error{Op: "deliver", Kind: KindStopped}
	case <-ctx.Done():
		return ctx.Err()
	}
}
