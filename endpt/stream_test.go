package endpt

import (
	"bufio"
	"bytes"
	"fmt"
	"io"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"
)

func streamOf(text string) *Stream {
	return &Stream{
		attempt: Attempt{RequestID: "req", Number: 2}, cancel: func(error) {},
		reader: bufio.NewReaderSize(strings.NewReader(text), 64), body: io.NopCloser(bytes.NewReader(nil)),
	}
}

func event(id, data string) string {
	return fmt.Sprintf("id: %s\ndata: %s\n\n", id, data)
}

func TestStreamReadsFrames(t *testing.T) {
	long := `{"id":"req","x":"` + strings.Repeat("y", 500) + `"}`
	s := streamOf(": hello\n\n" + event("2-0-1", `{"id":"req"}`) + event("2-1-3", long) + "data: [DONE]\n\n")
	f, err := s.Next()
	require.NoError(t, err)
	require.Equal(t, [2]int{0, 1}, [2]int{f.StartOffset, f.EndOffset})
	f, err = s.Next()
	require.NoError(t, err)
	require.Equal(t, long, string(f.Data), "a line longer than the buffer")
	f, err = s.Next()
	require.NoError(t, err)
	require.True(t, f.End)
}

func TestStreamRejectsBadFrames(t *testing.T) {
	scenarios := []struct {
		description, text string
		kind              Kind
	}{
		{"an answer that ends without the end mark", event("2-0-1", `{"id":"req"}`)[:5], KindBroken},
		{"another request", event("2-0-1", `{"id":"other"}`), KindMismatch},
		{"another attempt", event("1-0-1", `{"id":"req"}`), KindMismatch},
		{"no id", "data: {\"id\":\"req\"}\n\n", KindMismatch},
		{"a range that ends before it starts", event("2-3-1", `{"id":"req"}`), KindMismatch},
		{"one number too many", event("2-0-1-4", `{"id":"req"}`), KindMismatch},
		{"a negative offset", event("2--1-1", `{"id":"req"}`), KindMismatch},
	}
	for _, sc := range scenarios {
		t.Run(sc.description, func(t *testing.T) {
			_, err := streamOf(sc.text).Next()
			require.ErrorIs(t, err, &Error{Kind: sc.kind})
		})
	}
}

func FuzzStream(f *testing.F) {
	f.Add(event("2-0-1", `{"id":"req"}`) + "data: [DONE]\n\n")
	f.Add("id: 2-0-\ndata: {}\n")
	f.Fuzz(func(t *testing.T, text string) {
		s := streamOf(text)
		for {
			frame, err := s.Next()
			if err != nil || frame.End {
				return
			}
			require.LessOrEqual(t, frame.StartOffset, frame.EndOffset)
		}
	})
}
