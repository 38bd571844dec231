package quorum

import (
	"slices"

	"google.golang.org/protobuf/proto"

	"buckthornpin/wire"
)

// doubtHeartbeats is the number of unanswered heartbeats from which on a member isn't
// counted on, and which a leader has to have sent itself before it changes the group for
// a member's silence.
const doubtHeartbeats = 5

// minVotersForRemoval is the smallest number of voters at which one is removed without a
// replacement: with fewer, the remaining group wouldn't survive the loss of another one.
const minVotersForRemoval = 4

// ChangeKind is the kind of a membership change.
type ChangeKind string

const (
	// ChangePromote makes a learner a voter.
	ChangePromote ChangeKind = "promote"
	// ChangeReplace starts the replacement of a lost voter by a learner.
	ChangeReplace ChangeKind = "replace"
	// ChangeFinishReplacement ends a replacement: the lost voter is no longer a member.
	ChangeFinishReplacement ChangeKind = "finish_replacement"
	// ChangeRemove removes a lost member.
	ChangeRemove ChangeKind = "remove"
)

// MemberChange is a membership change with the members that it leads to. Joining and
// Leaving are the ids of the members that it concerns, if any.
type MemberChange struct {
	Kind    ChangeKind
	Joining string
	Leaving string
	Next    *wire.Members
}

// MemberState is what a leader knows of one member.
type MemberState struct {
	// CaughtUp is set if the member holds everything that is committed.
	CaughtUp bool
	// Known is the number of heartbeat intervals since this leader has known the member.
	Known int
	// Silence is the number of heartbeat intervals since the member last answered this
	// leader or, if it led before, since it was last heard as the leader.
	Silence int
	// Unanswered is the part of Silence that this leader has measured itself.
	Unanswered int
}

// MemberRule decides who votes, as one VM after another is lost and replaced. It follows
// from how many more losses a group survives:
//   - A lost voter is replaced by a learner that has caught up. Both sets of voters decide
//     together until the replacement is committed. So neither the loss of the learner
//     meanwhile nor the return of a voter that was wrongly believed lost costs the majority.
//   - From an even number of voters, a lost one is removed without a replacement: the
//     remaining ones survive one more loss.
//   - From an odd number, a removal alone doesn't help against the next loss, and only
//     prepares for the one after. It has to be sure that no replacement comes.
//
// Times are in heartbeat intervals; 0 means never.
type MemberRule struct {
	// ReplaceAfter is the silence after which a voter is replaced, or removed from an
	// even number.
	ReplaceAfter int
	// RemoveAfter is the silence after which a member is removed in any other case.
	RemoveAfter int
}

// Next returns the next change to the members, or nil.
func (r MemberRule) Next(m *wire.Members, state func(id string) MemberState) *MemberChange {
	if isReplacing(m) {
		return finishReplacement(m)
	}
	if c := r.admitLearner(m, state); c != nil {
		return c
	}
	return r.removeLost(m, state)
}

func finishReplacement(m *wire.Members) *MemberChange {
	c := &MemberChange{Kind: ChangeFinishReplacement, Next: &wire.Members{}}
	for _, v := range m.GetMembers() {
		if v.GetLeaving() {
			c.Leaving = v.GetId()
			continue
		}
		if v.GetJoining() {
			c.Joining = v.GetId()
			v = proto.CloneOf(v)
			v.Joining = false
		}
		c.Next.Members = append(c.Next.Members, v)
	}
	return c
}

// admitLearner makes the oldest learner that has caught up a voter, in place of a lost one
// if there is one. While a voter's silence is too short to tell, it waits: a learner often
// comes right after a loss, and as a further voter it would only raise the majority.
func (r MemberRule) admitLearner(m *wire.Members, state func(id string) MemberState) *MemberChange {
	learner := firstMember(m, func(v *wire.Member) bool {
		s := state(v.GetId())
		return v.GetLearner() && !isReplacedAtItsAddress(m, v) && s.CaughtUp && s.Unanswered < doubtHeartbeats
	})
	if learner == nil {
		return nil
	}
	if lost := firstMember(m, func(v *wire.Member) bool { return !v.GetLearner() && r.isLost(m, v, state) }); lost != nil {
		return startReplacement(m, lost.GetId(), learner.GetId())
	}
	if r.ReplaceAfter > 0 && (state(learner.GetId()).Known <= doubtHeartbeats || isAnyVoterDoubted(m, state)) {
		return nil
	}
	next := proto.CloneOf(m)
	memberByID(next, learner.GetId()).Learner = false
	return &MemberChange{Kind: ChangePromote, Joining: learner.GetId(), Next: next}
}

func isAnyVoterDoubted(m *wire.Members, state func(id string) MemberState) bool {
	return slices.ContainsFunc(m.GetMembers(), func(v *wire.Member) bool {
		return !v.GetLearner() && state(v.GetId()).Unanswered >= doubtHeartbeats
	})
}

func startReplacement(m *wire.Members, lost, learner string) *MemberChange {
	next := proto.CloneOf(m)
	memberByID(next, lost).Leaving = true
	joining := memberByID(next, learner)
	joining.Learner, joining.Joining = false, true
	return &MemberChange{Kind: ChangeReplace, Joining: learner, Leaving: lost, Next: next}
}

// isLost reports whether a voter may be replaced, or removed from an even number of voters.
func (r MemberRule) isLost(m *wire.Members, v *wire.Member, state func(id string) MemberState) bool {
	return isReplacedAtItsAddress(m, v) || isSilent(state(v.GetId()), r.ReplaceAfter)
}

func isSilent(s MemberState, after int) bool {
	return after > 0 && s.Silence > after && s.Unanswered >= doubtHeartbeats
}

// isReplacedAtItsAddress reports whether a newer member has v's address, which proves that
// v's disk is gone.
func isReplacedAtItsAddress(m *wire.Members, v *wire.Member) bool {
	newest := v.GetId()
	for _, other := range m.GetMembers() {
		if other.GetAddress() != "" && other.GetAddress() == v.GetAddress() {
			newest = other.GetId()
		}
	}
	return newest != v.GetId()
}

// removeLost removes a lost member without a replacement.
func (r MemberRule) removeLost(m *wire.Members, state func(id string) MemberState) *MemberChange {
	voters := votersAfter(m)
	answering := func(id string) bool { return !isSilent(state(id), r.ReplaceAfter) }
	mayShrink := len(voters) >= minVotersForRemoval && isMajority(voters, answering)
	isEven := len(voters)%2 == 0
	lost := firstMember(m, func(v *wire.Member) bool {
		switch {
		case v.GetLearner():
			return isReplacedAtItsAddress(m, v) || isSilent(state(v.GetId()), r.RemoveAfter)
		case !mayShrink:
			return false
		case isEven:
			return r.isLost(m, v, state)
		default:
			return isSilent(state(v.GetId()), r.RemoveAfter)
		}
	})
	if lost == nil {
		return nil
	}
	return &MemberChange{Kind: ChangeRemove, Leaving: lost.GetId(), Next: withoutMember(m, lost.GetId())}
}

// MembersAfterLeave returns the members without one that is about to stop, or nil if it has
// to stay a member: it may only restart, and an odd number of voters survives no more
// losses without it.
func MembersAfterLeave(m *wire.Members, id string) *wire.Members {
	v, voters := memberByID(m, id), votersAfter(m)
	switch {
	case v == nil || isReplacing(m):
		return nil
	case !v.GetLearner() && (len(voters) < minVotersForRemoval || len(voters)%2 != 0):
		return nil
	}
	return withoutMember(m, id)
}

func withoutMember(m *wire.Members, id string) *wire.Members {
	out := &wire.Members{}
	for _, v := range m.GetMembers() {
		if v.GetId() != id {
			out.Members = append(out.Members, v)
		}
	}
	return out
}

func firstMember(m *wire.Members, want func(*wire.Member) bool) *wire.Member {
	if i := slices.IndexFunc(m.GetMembers(), want); i >= 0 {
		return m.GetMembers()[i]
	}
	return nil
}

func memberByID(m *wire.Members, id string) *wire.Member {
	return firstMember(m, func(v *wire.Member) bool { return v.GetId() == id })
}

// NextMemberChange returns the change that the rule asks for, or nil. Only a leader makes
// changes.
func (n *Node) NextMemberChange(r MemberRule) *MemberChange {
	if n.role != Leader || n.members.changeIndex > n.hardState.GetCommit() {
		return nil
	}
	return r.Next(n.members.latest(), n.MemberState)
}

// MemberState returns what a leader knows of a member.
func (n *Node) MemberState(id string) MemberState {
	p := n.followers[id]
	if p == nil {
		return MemberState{CaughtUp: true}
	}
	return MemberState{
		CaughtUp: p.match > 0 && p.match >= n.hardState.GetCommit(), Unanswered: p.unansweredHeartbeats,
		Silence: p.unansweredHeartbeats + p.silenceBefore, Known: p.heartbeats,
	}
}
