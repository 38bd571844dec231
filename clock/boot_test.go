package clock

import (
	"testing"

	"github.com/stretchr/testify/require"
)

func TestReadingsRise(t *testing.T) {
	last := ReadingNS()
	require.Positive(t, last)
	for range 1000 {
		next := ReadingNS()
		require.GreaterOrEqual(t, next, last)
		last = next
	}
}

func TestBootStaysTheSame(t *testing.T) {
	require.NotZero(t, Boot())
	require.Equal(t, Boot(), Boot())
}
