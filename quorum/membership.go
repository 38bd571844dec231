package quorum

import (
	"slices"

	"buckthornpin/wire"
)

// membership holds the members in force and the earlier ones, which come back into
// force if the log is truncated.
type membership struct {
	// changeIndex is the index of the entry that brought the members into force, or 0
	// if they come from a snapshot.
	changeIndex uint64
	history     []memberChange
}

type memberChange struct {
	index   uint64
	members *wire.Members
}

func (m *membership) reset(ms *wire.Members) {
	if ms == nil {
		ms = &wire.Members{}
	}
	m.changeIndex = 0
	m.history = []memberChange{{members: ms}}
}

func (m *membership) latest() *wire.Members {
	return m.history[len(m.history)-1].members
}

// at returns the members in force at index.
func (m *membership) at(index uint64) *wire.Members {
	ms := m.history[0].members
	for _, c := range m.history {
		if c.index <= index {
			ms = c.members
		}
	}
	return ms
}

func (m *membership) append(e *wire.Entry) {
	if e.GetMembers() == nil {
		return
	}
	m.history = append(m.history, memberChange{index: e.GetIndex(), members: e.GetMembers()})
	m.changeIndex = e.GetIndex()
}

// truncate removes the changes from index onwards.
func (m *membership) truncate(index uint64) {
	for len(m.history) > 1 && m.history[len(m.history)-1].index >= index {
		m.history = m.history[:len(m.history)-1]
	}
	m.changeIndex = m.history[len(m.history)-1].index
}

// compact removes the changes that were replaced by a later one up to index.
func (m *membership) compact(index uint64) {
	for len(m.history) > 1 && m.history[1].index <= index {
		m.history = m.history[1:]
	}
}

func (m *membership) voters() []string {
	var out []string
	for _, v := range m.latest().GetMembers() {
		if !v.GetLearner() {
			out = append(out, v.GetId())
		}
	}
	return out
}

func (m *membership) isVoter(id string) bool {
	return slices.Contains(m.voters(), id)
}

// hasQuorum reports whether ok holds for a majority of the voters.
func (m *membership) hasQuorum(ok func(id string) bool) bool {
	voters := m.voters()
	n := 0
	for _, id := range voters {
		if ok(id) {
			n++
		}
	}
	return n > len(voters)/2
}

// differsByAtMostOneVoter reports whether next adds or removes at most one voter,
// so that every old majority overlaps every new one, and leaves at least one.
func (m *membership) differsByAtMostOneVoter(next *wire.Members) bool {
	nextMembership := membership{history: []memberChange{{members: next}}}
	current, proposed := m.voters(), nextMembership.voters()
	changed := 0
	for _, id := range current {
		if !slices.Contains(proposed, id) {
			changed++
		}
	}
	for _, id := range proposed {
		if !slices.Contains(current, id) {
			changed++
		}
	}
	return changed <= 1 && len(proposed) > 0
}
