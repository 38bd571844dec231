package quorum

import "buckthornpin/wire"

// entryLog holds the entries after the newest snapshot.
type entryLog struct {
	snapIndex uint64
	snapTerm  uint64
	entries   []*wire.Entry
}

func (l *entryLog) lastIndex() uint64 {
	return l.snapIndex + uint64(len(l.entries))
}

func (l *entryLog) lastTerm() uint64 {
	t, _ := l.term(l.lastIndex())
	return t
}

// term returns the term of an entry; ok is false where the log doesn't hold it.
func (l *entryLog) term(index uint64) (term uint64, ok bool) {
	if index == l.snapIndex {
		return l.snapTerm, true
	}
	if index < l.snapIndex || index > l.lastIndex() {
		return 0, false
	}
	return l.entries[index-l.snapIndex-1].GetTerm(), true
}

func (l *entryLog) append(e *wire.Entry) {
	l.entries = append(l.entries, e)
}

// truncate drops the entries from index on.
func (l *entryLog) truncate(index uint64) {
	l.entries = l.entries[: index-l.snapIndex-1 : index-l.snapIndex-1]
}

func (l *entryLog) from(index uint64) []*wire.Entry {
	return l.between(index, l.lastIndex())
}

// between returns the entries from first to last, both included.
func (l *entryLog) between(first, last uint64) []*wire.Entry {
	first = max(first, l.snapIndex+1)
	if first > last {
		return nil
	}
	return l.entries[first-l.snapIndex-1 : last-l.snapIndex]
}

func (l *entryLog) compact(index, term uint64) {
	l.entries = append([]*wire.Entry(nil), l.from(index+1)...)
	l.snapIndex, l.snapTerm = index, term
}

// upToDate reports whether a log that ends at index and term is at least as
// new as this one.
func (l *entryLog) upToDate(index, term uint64) bool {
	if term != l.lastTerm() {
		return term > l.lastTerm()
	}
	return index >= l.lastIndex()
}
