// Package ctrl runs a replica of the control group and provides the client that
// routers and operators use. Many commands are committed with one disk sync.
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
	// DefaultTick is the length of a tick, the unit of election timeouts and heartbeat
	// intervals.
	DefaultTick = 50 * time.Millisecond
	// DefaultElectionTicks is the shortest election timeout in ticks.
	DefaultElectionTicks = 10
	// DefaultHeartbeatTicks is the heartbeat interval in ticks.
	DefaultHeartbeatTicks = 2
	// DefaultSnapshotBytes is the log size at which a snapshot is taken.
	DefaultSnapshotBytes = 16 << 20
	// maxCallsPerEntry bounds the calls whose commands share one log entry.
	maxCallsPerEntry = 1024
	// queueLength bounds the calls and the deliveries that wait for the replica's
	// loop, and the commands that wait in a Batcher.
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
	// ReplaceSilentAfter and RemoveSilentAfter are the times without an answer after which
	// the leader replaces a replica by one that has caught up, and after which it removes
	// one without a replacement, as quorum.MemberRule says; 0 leaves both to operators. A
	// removed replica that comes back asks to join again.
	ReplaceSilentAfter time.Duration
	RemoveSilentAfter  time.Duration
	// ReopenInterval is the interval at which a replica whose disk has failed tries to
	// start again from its folder; if 0, Run returns the failure.
	ReopenInterval time.Duration
	// CheckInvariants verifies the ledger's invariants after each entry.
	CheckInvariants bool

	node *quorum.Node
	// mu guards ledger, applied and changed against readers outside the loop.
	mu      sync.RWMutex
	ledger  *ledger.Ledger
	applied uint64
	changed chan struct{}
	calls   chan call
	inbox   chan []*wire.Message
	stopped chan struct{}
	// pending holds the proposals that aren't applied yet, by log index.
	pending map[uint64]*proposal
	// pendingReads holds the reads that the quorum hasn't confirmed yet, by token.
	pendingReads map[uint64]*readCall
	// senders holds the replicas that have sent messages, by id. It gives the addresses
	// of those that aren't known as members.
	senders map[string]*wire.Member
	// confirmedReads wait until the entries up to their index are applied.
	confirmedReads []*readCall
	lastReadToken  uint64
	clock          ledgerClock
	// savedTerm and savedVote are the term and the vote on the disk.
	savedTerm uint64
	savedVote string
	status    atomic.Pointer[Status]
	metrics   replicaMetrics
}

// Status is a replica's view of itself and its group.
type Status struct {
	ID string `json:"id"`
	// Role is the role in the current term or, of a replica whose vote doesn't count yet, the
	// kind of its membership; see statusRole.
	Role    string        `json:"role"`
	Leader  string        `json:"leader"`
	Term    uint64        `json:"term"`
	Commit  uint64        `json:"commit"`
	Applied uint64        `json:"applied"`
	Members *wire.Members `json:"members"`
}

// Open reads the data folder. It must be called before Run.
func (r *Replica) Open() error {
	r.setDefaults()
	return r.load()
}

// load restores the replica's state from the data folder.
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
	r.publishStatus()
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
	r.pending = map[uint64]*proposal{}
	r.pendingReads = map[uint64]*readCall{}
	r.senders = map[string]*wire.Member{}
}

func restoreLedger(s *wire.Snapshot) (*ledger.Ledger, error) {
	if s == nil || len(s.GetData()) == 0 {
		return ledger.Empty(), nil
	}
	return ledger.Restore(s.GetData())
}

// Run serves until ctx ends. It also returns when the disk fails and ReopenInterval is 0.
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
			r.handleCalls(c)
		case ms := <-r.inbox:
			r.handleMessages(ms)
		}
		err := r.processReady()
		if err == nil {
			continue
		}
		if r.ReopenInterval == 0 {
			return errors.Join(err, r.Folder.Close())
		}
		r.Log.Error().Err(err).Msg("disk has failed, starting again from what it holds")
		if !r.reopen(ctx) {
			return nil
		}
	}
}

// reopen restores the replica from its folder, as a restart of the process would:
// after an error, the content of the disk is unknown until it is read. It tries at
// intervals until it succeeds or ctx ends; meanwhile calls are refused and messages
// dropped. It reports whether the replica is running again.
func (r *Replica) reopen(ctx context.Context) bool {
	r.failAll()
	r.publishFailure()
	_ = r.Folder.Close()
	ticker := time.NewTicker(r.ReopenInterval)
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

// publishFailure makes visible that the replica neither leads nor knows a leader, so that
// callers that it refuses ask another one.
func (r *Replica) publishFailure() {
	s := *r.status.Load()
	s.Role, s.Leader = quorum.Follower.String(), ""
	if old := r.status.Swap(&s); old.Leader != "" {
		r.recordLeaderChange(&s)
	}
}

// handleCalls starts a call and the calls queued behind it, and proposes their commands
// as one entry.
func (r *Replica) handleCalls(first call) {
	p := &proposal{}
	first.start(r, p)
	for n := 1; n < maxCallsPerEntry; n++ {
		select {
		case c := <-r.calls:
			c.start(r, p)
			continue
		default:
		}
		break
	}
	r.propose(p)
	r.node.ConfirmReads()
}

// handleMessages passes messages, and those queued behind them, to the node.
func (r *Replica) handleMessages(ms []*wire.Message) {
	for {
		for _, m := range ms {
			r.rememberSender(m)
			r.node.Step(m)
		}
		select {
		case ms = <-r.inbox:
		default:
			return
		}
	}
}

// rememberSender remembers the sender's address. A new replica needs it to answer its
// leader, because its own list of members doesn't yet contain the leader.
func (r *Replica) rememberSender(m *wire.Message) {
	if m.GetFromAddress() != "" && r.senders[m.GetFrom()].GetAddress() != m.GetFromAddress() {
		r.senders[m.GetFrom()] = &wire.Member{Id: m.GetFrom(), Address: m.GetFromAddress()}
	}
}

func (r *Replica) propose(p *proposal) {
	if len(p.commands) == 0 {
		return
	}
	at := r.clock.next(r.node.Term(), r.ledger.NowMS())
	for _, c := range p.commands {
		c.AtMs = at
	}
	data, err := proto.Marshal(&wire.CommandBatch{Commands: p.commands})
	if err != nil {
		p.fail(err)
		return
	}
	index, term, err := r.node.Propose(data)
	if err != nil {
		p.fail(r.notLeader("execute"))
		return
	}
	p.term = term
	r.pending[index] = p
}

// processReady carries out what the node has ready until nothing is left.
func (r *Replica) processReady() error {
	r.changeMembers()
	for {
		ready := r.node.Ready()
		if ready.Empty() {
			r.publishStatus()
			return nil
		}
		if err := r.handleReady(ready); err != nil {
			return err
		}
		r.node.Advance(ready)
		if err := r.snapshotIfLarge(); err != nil {
			return err
		}
	}
}

// handleReady saves before it sends, so that whatever a replica acknowledges is
// durable. A leader whose term and vote are on the disk may send its entries before it
// has saved them: it counts itself towards the quorum only once they are saved.
func (r *Replica) handleReady(ready quorum.Ready) error {
	sendFirst := r.node.Role() == quorum.Leader && ready.Snapshot == nil && !r.termOrVoteChanged(ready.HardState)
	if sendFirst {
		r.sendAll(ready.Messages)
	}
	if err := r.save(ready); err != nil {
		return err
	}
	if !sendFirst {
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

// termOrVoteChanged reports whether the term or the vote differs from the saved one.
func (r *Replica) termOrVoteChanged(h *wire.HardState) bool {
	return h != nil && (h.GetTerm() != r.savedTerm || h.GetVote() != r.savedVote)
}

func (r *Replica) save(ready quorum.Ready) error {
	sync := len(ready.Entries) > 0 || r.termOrVoteChanged(ready.HardState)
	if ready.HardState != nil {
		r.savedTerm, r.savedVote = ready.HardState.GetTerm(), ready.HardState.GetVote()
	}
	if ready.Snapshot != nil {
		return r.installSnapshot(ready)
	}
	if !sync {
		// Only the commit index may have changed, and the next leader finds it again.
		// Writing it without a sync would only leave a tail that a power loss may tear.
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

// changeMembers makes the next change to the members that the group needs.
func (r *Replica) changeMembers() {
	c := r.node.NextMemberChange(r.memberRule())
	if c == nil {
		return
	}
	silence := time.Duration(r.node.MemberState(c.Leaving).Silence) * r.heartbeatInterval()
	index, term, err := r.node.ProposeMembers(c.Next)
	if err != nil {
		return
	}
	r.Log.Info().Str("change", string(c.Kind)).Str("joining", c.Joining).Str("leaving", c.Leaving).Dur("silence_ms", silence).
		Uint64("index", index).Uint64("term", term).Int("members", len(c.Next.GetMembers())).Msg("control group is changed")
	r.Events.Record(buckthornpin.Event{Kind: buckthornpin.EventMembersChanged, Detail: string(c.Kind) + " joining=" + c.Joining + " leaving=" + c.Leaving})
}

func (r *Replica) memberRule() quorum.MemberRule {
	return quorum.MemberRule{
		ReplaceAfter: int(r.ReplaceSilentAfter / r.heartbeatInterval()), RemoveAfter: int(r.RemoveSilentAfter / r.heartbeatInterval()),
	}
}

func (r *Replica) heartbeatInterval() time.Duration { return r.Tick * DefaultHeartbeatTicks }

// publishStatus makes the current status visible and reports a change of the leader.
func (r *Replica) publishStatus() {
	s := &Status{
		ID: r.node.ID, Role: statusRole(r.node.ID, r.node.Role(), r.node.Members()), Leader: r.node.Leader(), Term: r.node.Term(),
		Commit: r.node.Committed(), Applied: r.applied, Members: r.node.Members(),
	}
	old := r.status.Swap(s)
	if old != nil && old.Leader != s.Leader {
		r.recordLeaderChange(s)
	}
}

func (r *Replica) recordLeaderChange(s *Status) {
	kind := buckthornpin.EventLeaderChanged
	if s.Leader == "" {
		kind = buckthornpin.EventLeaderLost
	}
	r.Events.Record(buckthornpin.Event{Kind: kind, Detail: s.Leader})
	r.Log.Info().Str("leader", s.Leader).Uint64("term", s.Term).Msg("leader changed")
	if s.Role != quorum.Leader.String() {
		r.failPending()
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

// Deliver hands messages from another replica to the loop.
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
