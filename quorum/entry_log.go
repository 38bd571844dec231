package quorum

import "buckthornpin/wire"

// entryLog holds the entries after the latest snapshot.
type entryLog struct {
	snapshotIndex uint64
	snapshotTerm  uint64
	entries       []*wire.Entry
}

func (l *entryLog) lastIndex() uint64 {
	return l.snapshotIndex + uint64(len(l.entries))
}

func (l *entryLog) lastTerm() uint64 {
	t, _ := l.term(l.lastIndex())
	return t
}

// term returns the term of the entry at index. ok is false if the log doesn't hold
// that entry.
func (l *entryLog) term(index uint64) (term uint64, ok bool) {
	if index == l.snapshotIndex {
		return l.snapshotTerm, true
	}
	if index < l.snapshotIndex || index > l.lastIndex() {
		return 0, false
	}
	return l.entries[index-l.snapshotIndex-1].GetTerm(), true
}

func (l *entryLog) append(e *wire.Entry) {
	l.entries = append(l.entries, e)
}

// truncate removes the entries from index onwards.
func (l *entryLog) truncate(index uint64) {
	l.entries = l.entries[: index-l.snapshotIndex-1 : index-l.snapshotIndex-1]
}

func (l *entryLog) from(index uint64) []*wire.Entry {
	return l.between(index, l.lastIndex())
}

// between returns the entries from first to last, both included.
func (l *entryLog) between(first, last uint64) []*wire.Entry {
	first = max(first, l.snapshotIndex+1)
	if first > last {
		return nil
	}
	return l.entries[first-l.snapshotIndex-1 : last-l.snapshotIndex]
}

func (l *entryLog) compact(index, term uint64) {
	l.entries = append([]*wire.Entry(nil), l.from(index+1)...)
	l.snapshotIndex, l.snapshotTerm = index, term
}

// upToDate reports whether a log whose last entry has the given index and term is
// at least as up to date as this one.
func (l *entryLog) upToDate(index, term uint64) bool {
	if term != l.lastTerm() {
		return term > l.lastTerm()
	}
	return index >= l.lastIndex()
}
