package stream

import (
	"container/list"

	"buckthornpin"
)

// Store keeps whole answers for callers that come again with their key. It
// isn't safe for concurrent use. Its exported fields are set before first use.
type Store struct {
	// MaxBytes bounds the kept answers; the oldest make room.
	MaxBytes int

	bytes   int
	order   list.List
	answers map[buckthornpin.RequestKey]*list.Element
}

type kept struct {
	key    buckthornpin.RequestKey
	digest string
	answer *Answer
	bytes  int
}

// Keep adds an answer that has ended.
func (s *Store) Keep(k buckthornpin.RequestKey, digest string, a *Answer) {
	if s.answers == nil {
		s.answers = map[buckthornpin.RequestKey]*list.Element{}
	}
	s.remove(s.answers[k])
	e := &kept{key: k, digest: digest, answer: a, bytes: a.Bytes()}
	if e.bytes > s.MaxBytes {
		return
	}
	s.bytes += e.bytes
	s.answers[k] = s.order.PushBack(e)
	for s.bytes > s.MaxBytes {
		s.remove(s.order.Front())
	}
}

// Lookup returns a kept answer and its request's digest, or nil.
func (s *Store) Lookup(k buckthornpin.RequestKey) (*Answer, string) {
	e := s.answers[k]
	if e == nil {
		return nil, ""
	}
	v := e.Value.(*kept)
	return v.answer, v.digest
}

func (s *Store) remove(e *list.Element) {
	if e == nil {
		return
	}
	v := s.order.Remove(e).(*kept)
	s.bytes -= v.bytes
	delete(s.answers, v.key)
}
