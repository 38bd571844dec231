package stream

import (
	"context"
	"errors"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"

	"buckthornpin"
)

func readAll(t *testing.T, r *Reader) (string, bool, error) {
	t.Helper()
	var b strings.Builder
	frames, whole, err := r.ReadAll(t.Context())
	for _, f := range frames {
		b.Write(f.Data)
	}
	return b.String(), whole, err
}

func TestReadersGetAllFramesAfterTheirOffset(t *testing.T) {
	a := &Answer{RetainFrames: true}
	first := a.NewReader(0)
	a.Append(1, []byte("a"))
	a.Append(2, []byte("b"))
	late := a.NewReader(1)
	a.Append(3, []byte("c"))
	a.End(nil)
	scenarios := []struct {
		description string
		reader      *Reader
		want        string
	}{
		{"from the start", first, "abc"},
		{"after an offset", late, "bc"},
		{"after the end", a.NewReader(0), "abc"},
		{"after the last token", a.NewReader(3), ""},
	}
	for _, s := range scenarios {
		t.Run(s.description, func(t *testing.T) {
			text, whole, err := readAll(t, s.reader)
			require.NoError(t, err)
			require.True(t, whole)
			require.Equal(t, s.want, text)
		})
	}
}

func TestBrokenAnswerIsNeverWhole(t *testing.T) {
	a := &Answer{}
	r := a.NewReader(0)
	a.Append(1, []byte("a"))
	broken := errors.New("broken")
	a.End(broken)
	_, whole, err := readAll(t, r)
	require.False(t, whole)
	require.ErrorIs(t, err, broken)
}

func TestAppendCopiesData(t *testing.T) {
	a := &Answer{}
	r := a.NewReader(0)
	data := []byte("abc")
	a.Append(1, data)
	data[0] = 'x'
	a.End(nil)
	text, _, err := readAll(t, r)
	require.NoError(t, err)
	require.Equal(t, "abc", text)
}

func TestAbandonedIsCalledForTheLastReader(t *testing.T) {
	calls := 0
	a := &Answer{OnAbandoned: func() { calls++ }}
	one, two := a.NewReader(0), a.NewReader(0)
	one.Close()
	require.Zero(t, calls)
	two.Close()
	require.Equal(t, 1, calls)
	a.End(nil)
	a.NewReader(0).Close()
	require.Equal(t, 1, calls, "an answer that has ended is not abandoned")
}

func TestReaderStopsWithItsContext(t *testing.T) {
	ctx, cancel := context.WithCancel(t.Context())
	cancel()
	_, _, err := (&Answer{}).NewReader(0).Next(ctx)
	require.ErrorIs(t, err, context.Canceled)
}

func TestStoreEvictsOldestAnswers(t *testing.T) {
	s := &Store{MaxBytes: 10}
	key := func(k string) buckthornpin.RequestKey { return buckthornpin.RequestKey{Organisation: "o", Key: k} }
	keep := func(k string, n int) {
		a := &Answer{RetainFrames: true}
		a.Append(1, make([]byte, n))
		a.End(nil)
		s.Put(key(k), "digest", a)
	}
	keep("a", 6)
	keep("b", 4)
	keep("c", 5)
	keep("too large", 11)
	for k, want := range map[string]bool{"a": false, "b": true, "c": true, "too large": false} {
		a, _ := s.Lookup(key(k))
		require.Equal(t, want, a != nil, k)
	}
}
