package stream

import (
	"container/list"

	"buckthornpin"
)

// Store keeps complete answers for callers that send a request again under the same
// key. It isn't safe for concurrent use. Its exported fields must be set before
// first use.
type Store struct {
	// MaxBytes is the largest total size of the stored answers; the oldest ones are
	// evicted to stay within it.
	MaxBytes int

	bytes int
	// order lists the answers, oldest first.
	order   list.List
	answers map[buckthornpin.RequestKey]*list.Element
}

type storedAnswer struct {
	key    buckthornpin.RequestKey
	digest string
	answer *Answer
	bytes  int
}

// Put stores an answer that has ended, in place of an earlier one under the same
// key. An answer larger than MaxBytes isn't stored.
func (s *Store) Put(k buckthornpin.RequestKey, digest string, a *Answer) {
	if s.answers == nil {
		s.answers = map[buckthornpin.RequestKey]*list.Element{}
	}
	s.remove(s.answers[k])
	v := &storedAnswer{key: k, digest: digest, answer: a, bytes: a.Bytes()}
	if v.bytes > s.MaxBytes {
		return
	}
	s.bytes += v.bytes
	s.answers[k] = s.order.PushBack(v)
	for s.bytes > s.MaxBytes {
		s.remove(s.order.Front())
	}
}

// Lookup returns a stored answer and the digest of its request, or nil if there is
// none.
func (s *Store) Lookup(k buckthornpin.RequestKey) (*Answer, string) {
	e := s.answers[k]
	if e == nil {
		return nil, ""
	}
	v := e.Value.(*storedAnswer)
	return v.answer, v.digest
}

func (s *Store) remove(e *list.Element) {
	if e == nil {
		return
	}
	v := s.order.Remove(e).(*storedAnswer)
	s.bytes -= v.bytes
	delete(s.answers, v.key)
}
