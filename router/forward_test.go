package router

import (
	"fmt"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"

	"buckthornpin/stream"
)

// BenchmarkForward counts the allocations for passing a chunk from the flight to a reader,
// without the sockets on both sides.
func BenchmarkForward(b *testing.B) {
	data := []byte(fmt.Sprintf(`{"id":"x","choices":[{"index":0,"delta":{"content":%q}}]}`, strings.Repeat("w", 60)))
	a := &stream.Answer{}
	r := a.NewReader(0)
	defer r.Close()
	b.ReportAllocs()
	n := 0
	for b.Loop() {
		n++
		a.Append(n, data)
		frames, _, err := r.Next(b.Context())
		require.NoError(b, err)
		require.Len(b, frames, 1)
	}
}
