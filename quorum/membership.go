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

// voters returns all that vote, before or after a replacement that is in progress.
func (m *membership) voters() []string {
	return memberIDs(m.latest(), func(v *wire.Member) bool { return !v.GetLearner() })
}

func (m *membership) isVoter(id string) bool {
	return slices.Contains(m.voters(), id)
}

// voterSets returns the sets of voters of which each has to agree: one, or two while a
// voter is being replaced.
func (m *membership) voterSets() [][]string {
	old, replaced := votersBefore(m.latest()), votersAfter(m.latest())
	if slices.Equal(old, replaced) {
		return [][]string{old}
	}
	return [][]string{old, replaced}
}

// hasQuorum reports whether ok holds for a majority of each set of voters.
func (m *membership) hasQuorum(ok func(id string) bool) bool {
	for _, voters := range m.voterSets() {
		if !isMajority(voters, ok) {
			return false
		}
	}
	return true
}

func isMajority(voters []string, ok func(id string) bool) bool {
	n := 0
	for _, id := range voters {
		if ok(id) {
			n++
		}
	}
	return n > len(voters)/2
}

// votersBefore returns the voters without those that replace others.
func votersBefore(m *wire.Members) []string {
	return memberIDs(m, func(v *wire.Member) bool { return !v.GetLearner() && !v.GetJoining() })
}

// votersAfter returns the voters without those that are being replaced.
func votersAfter(m *wire.Members) []string {
	return memberIDs(m, func(v *wire.Member) bool { return !v.GetLearner() && !v.GetLeaving() })
}

func memberIDs(m *wire.Members, want func(*wire.Member) bool) []string {
	var out []string
	for _, v := range m.GetMembers() {
		if want(v) {
			out = append(out, v.GetId())
		}
	}
	slices.Sort(out)
	return out
}

// allows reports whether every majority under the members in force overlaps every
// majority under next, so that the two can't decide independently of each other.
// A single voter may be added or removed at once. Voters are replaced in two changes:
// the first brings both sets of voters into force together, the second only the new one.
func (m *membership) allows(next *wire.Members) bool {
	current := m.latest()
	before, after := votersBefore(next), votersAfter(next)
	if len(before) == 0 || len(after) == 0 {
		return false
	}
	if isReplacing(current) {
		return slices.Equal(after, votersAfter(current)) && (slices.Equal(before, after) || slices.Equal(before, votersBefore(current)))
	}
	if isReplacing(next) {
		return slices.Equal(before, votersBefore(current))
	}
	return countDifferences(votersAfter(current), after) <= 1
}

// isReplacing reports whether a voter is being replaced.
func isReplacing(m *wire.Members) bool {
	return slices.ContainsFunc(m.GetMembers(), func(v *wire.Member) bool { return v.GetJoining() || v.GetLeaving() })
}

func countDifferences(a, b []string) int {
	n := 0
	for _, id := range a {
		if !slices.Contains(b, id) {
			n++
		}
	}
	for _, id := range b {
		if !slices.Contains(a, id) {
			n++
		}
	}
	return n
}
