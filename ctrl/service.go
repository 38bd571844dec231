package ctrl

import (
	"context"
	"net/http"
	"slices"
	"time"

	"connectrpc.com/connect"
	"github.com/go-faster/errors"
	"google.golang.org/protobuf/proto"

	"buckthornpin"
	"buckthornpin/ledger"
	"buckthornpin/quorum"
	"buckthornpin/wire"
)

// maxSyncWait bounds how long a Sync call may wait for a change.
const maxSyncWait = 30 * time.Second

// Service makes the replica available to other replicas, routers and operators.
type Service struct {
	Replica *Replica
	Events  buckthornpin.Recorder
}

// Register adds the service's handlers to mux.
func (s *Service) Register(mux *http.ServeMux, opts ...connect.HandlerOption) {
	mux.Handle(wire.NewReplicasHandler(s, opts...))
	mux.Handle(wire.NewControlHandler(s, opts...))
}

// Deliver implements wire.ReplicasHandler.
func (s *Service) Deliver(ctx context.Context, stream *connect.ClientStream[wire.DeliverRequest]) (*wire.DeliverReply, error) {
	for stream.Receive() {
		if err := s.Replica.Deliver(ctx, stream.Msg().GetMessages()); err != nil {
			return nil, err
		}
	}
	return &wire.DeliverReply{}, stream.Err()
}

// Execute implements wire.ControlHandler.
func (s *Service) Execute(ctx context.Context, r *wire.ExecuteRequest) (*wire.ExecuteReply, error) {
	results, err := s.Replica.Execute(ctx, r.GetCommands())
	if notLeader(err) {
		return &wire.ExecuteReply{NotLeader: true, LeaderAddress: s.Replica.LeaderAddress()}, nil
	}
	if err != nil {
		return nil, connect.NewError(connect.CodeUnavailable, err)
	}
	s.recordChanges(r.GetCommands(), results)
	return &wire.ExecuteReply{Results: results}, nil
}

func (s *Service) recordChanges(commands []*wire.Command, results []*wire.Result) {
	for i, c := range commands {
		if e, ok := changeEvent(c, results[i]); ok {
			s.Events.Record(e)
		}
	}
}

// changeEvent returns the event for a change made by an operator or by a router that
// starts. It reports false for all other commands.
func changeEvent(c *wire.Command, r *wire.Result) (buckthornpin.Event, bool) {
	e := buckthornpin.Event{Kind: buckthornpin.EventLedgerChange, Request: c.GetId(), Detail: r.GetKind().String()}
	switch op := c.GetOp().(type) {
	case *wire.Command_TopUp:
		e.Organisation = op.TopUp.GetOrganisation()
	case *wire.Command_PutOrganisation:
		e.Organisation = op.PutOrganisation.GetOrganisation()
	case *wire.Command_PutConfiguration:
		e.Kind = buckthornpin.EventConfigurationChange
	case *wire.Command_RegisterRouter:
		e.Detail = "router " + op.RegisterRouter.GetRouter()
	default:
		return e, false
	}
	return e, true
}

// Sync implements wire.ControlHandler. It answers at once if the router is behind, and
// otherwise waits for the next revision. So a change reaches the router within a round
// trip, and the router's next call makes up for a reply that got lost.
func (s *Service) Sync(ctx context.Context, r *wire.SyncRequest) (*wire.SyncReply, error) {
	wait := min(time.Duration(r.GetWaitMs())*time.Millisecond, maxSyncWait)
	timer := time.NewTimer(wait)
	defer timer.Stop()
	for {
		changed := s.Replica.Changed()
		reply, err := s.changedSince(ctx, r)
		if err != nil || reply.GetNotLeader() || reply.GetRevision() > r.GetRevision() || reply.GetSite() != nil || wait <= 0 {
			return reply, err
		}
		select {
		case <-changed:
		case <-timer.C:
			return reply, nil
		case <-ctx.Done():
			return nil, ctx.Err()
		}
	}
}

func (s *Service) changedSince(ctx context.Context, r *wire.SyncRequest) (*wire.SyncReply, error) {
	var reply *wire.SyncReply
	err := s.Replica.Read(ctx, func(l *ledger.Ledger) {
		reply = proto.CloneOf(l.ChangedSince(r.GetRevision()))
		if l.Site().GetVersion() > r.GetSiteVersion() {
			reply.Site = l.Site()
		}
	})
	if notLeader(err) {
		return &wire.SyncReply{NotLeader: true, LeaderAddress: s.Replica.LeaderAddress()}, nil
	}
	return reply, err
}

// Inspect implements wire.ControlHandler.
func (s *Service) Inspect(ctx context.Context, r *wire.InspectRequest) (*wire.InspectReply, error) {
	out := &wire.InspectReply{}
	err := s.Replica.Read(ctx, func(l *ledger.Ledger) {
		out.Organisations = cloneAll(l.Organisations())
		out.Routers = cloneAll(l.Routers())
		out.Leases = cloneAll(l.Leases())
		out.OpenReservations = l.OpenReservations()
		out.Configurations = cloneAll(selectConfigurations(l, r.GetHistory()))
	})
	if notLeader(err) {
		return &wire.InspectReply{NotLeader: true, LeaderAddress: s.Replica.LeaderAddress()}, nil
	}
	status := s.Replica.Status()
	out.Members = status.Members
	out.Applied = status.Applied
	return out, err
}

func selectConfigurations(l *ledger.Ledger, history bool) []*wire.ConfigurationState {
	all := l.Configurations()
	if history || len(all) == 0 {
		return all
	}
	return all[len(all)-1:]
}

// ChangeMembers implements wire.ControlHandler. An added replica starts as a learner and
// becomes a voter once it holds the committed log.
func (s *Service) ChangeMembers(ctx context.Context, r *wire.ChangeMembersRequest) (*wire.ChangeMembersReply, error) {
	err := s.Replica.ChangeMembers(ctx, func(m *wire.Members) *wire.Members { return membersAfterChange(m, r) })
	out := &wire.ChangeMembersReply{Members: s.Replica.Status().Members}
	if notLeader(err) {
		out.NotLeader = true
		out.LeaderAddress = s.Replica.LeaderAddress()
		return out, nil
	}
	if err != nil {
		out.Problem = err.Error()
	}
	return out, nil
}

// membersAfterChange returns the members after the requested removal and addition.
func membersAfterChange(m *wire.Members, r *wire.ChangeMembersRequest) *wire.Members {
	out := &wire.Members{}
	for _, old := range m.GetMembers() {
		if old.GetId() != r.GetRemove() && old.GetId() != r.GetAdd().GetId() {
			out.Members = append(out.Members, old)
		}
	}
	if r.GetAdd() != nil {
		out.Members = append(out.Members, &wire.Member{Id: r.GetAdd().GetId(), Address: r.GetAdd().GetAddress(), Learner: true})
	}
	return out
}

// Join implements wire.ControlHandler. The new replica starts as a learner. The caller
// asks again until it is a voter.
func (s *Service) Join(ctx context.Context, r *wire.JoinRequest) (*wire.JoinReply, error) {
	err := s.Replica.ChangeMembers(ctx, func(m *wire.Members) *wire.Members { return membersAfterJoin(m, r.GetMember()) })
	if notLeader(err) {
		return &wire.JoinReply{NotLeader: true, LeaderAddress: s.Replica.LeaderAddress()}, nil
	}
	if err != nil {
		return &wire.JoinReply{Problem: err.Error()}, nil
	}
	return &wire.JoinReply{}, nil
}

// Leave implements wire.ControlHandler. It answers once the group no longer counts on the
// replica, or has decided to keep it as a member.
func (s *Service) Leave(ctx context.Context, r *wire.LeaveRequest) (*wire.LeaveReply, error) {
	err := s.Replica.CommitMembers(ctx, func(m *wire.Members) *wire.Members { return quorum.MembersAfterLeave(m, r.GetReplica()) })
	if notLeader(err) {
		return &wire.LeaveReply{NotLeader: true, LeaderAddress: s.Replica.LeaderAddress()}, nil
	}
	if err != nil {
		return &wire.LeaveReply{Problem: err.Error()}, nil
	}
	return &wire.LeaveReply{}, nil
}

// membersAfterJoin returns the members with the joiner as a learner, or nil if it is a
// member already.
func membersAfterJoin(m *wire.Members, joiner *wire.Member) *wire.Members {
	if slices.ContainsFunc(m.GetMembers(), func(v *wire.Member) bool { return v.GetId() == joiner.GetId() }) {
		return nil
	}
	learner := &wire.Member{Id: joiner.GetId(), Address: joiner.GetAddress(), Learner: true}
	return &wire.Members{Members: append(slices.Clone(m.GetMembers()), learner)}
}

func cloneAll[M proto.Message](ms []M) []M {
	out := make([]M, 0, len(ms))
	for _, m := range ms {
		out = append(out, proto.CloneOf(m))
	}
	return out
}

func notLeader(err error) bool {
	return errors.Is(err, &Error{Kind: KindNotLeader})
}
