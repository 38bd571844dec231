package quorum

import (
	"slices"

	"buckthornpin/wire"
)

// membership keeps the members in force and, for a truncated log, the earlier
// ones.
type membership struct {
	// index of the entry that brought the members in force; 0 for a snapshot.
	index   uint64
	history []memberChange
}

type memberChange struct {
	index   uint64
	members *wire.Members
}

func (m *membership) reset(ms *wire.Members) {
	if ms == nil {
		ms = &wire.Members{}
	}
	m.index = 0
	m.history = []memberChange{{members: ms}}
}

func (m *membership) latest() *wire.Members {
	return m.history[len(m.history)-1].members
}

// at returns the members as of index.
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
	m.index = e.GetIndex()
}

// truncate forgets the changes from index on.
func (m *membership) truncate(index uint64) {
	for len(m.history) > 1 && m.history[len(m.history)-1].index >= index {
		m.history = m.history[:len(m.history)-1]
	}
	m.index = m.history[len(m.history)-1].index
}

// compact forgets the changes that a later one up to index has replaced.
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

func (m *membership) voter(id string) bool {
	return slices.Contains(m.voters(), id)
}

// quorum reports whether ok holds for a majority of the voters.
func (m *membership) quorum(ok func(id string) bool) bool {
	vs := m.voters()
	n := 0
	for _, id := range vs {
		if ok(id) {
			n++
		}
	}
	return n > len(vs)/2
}

// oneVoterApart reports whether the change adds or removes at most one voter,
// so that the old and the new majorities overlap.
func (m *membership) oneVoterApart(next *wire.Members) bool {
	after := membership{history: []memberChange{{members: next}}}
	old, now := m.voters(), after.voters()
	diff := 0
	for _, id := range old {
		if !slices.Contains(now, id) {
			diff++
		}
	}
	for _, id := range now {
		if !slices.Contains(old, id) {
			diff++
		}
	}
	return diff <= 1 && len(now) > 0
}
