package clock

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// TestReadingsRise checks that a derived reading never passes a later one of the clock
// itself.
func TestReadingsRise(t *testing.T) {
	first := ReadBoot()
	require.NotZero(t, first.ID)
	require.Positive(t, first.ReadingNS)
	for range 1000 {
		derived := first.ReadingAt(time.Now())
		later := ReadBoot()
		require.Equal(t, first.ID, later.ID)
		require.GreaterOrEqual(t, later.ReadingNS, derived)
		require.GreaterOrEqual(t, derived, first.ReadingNS)
	}
}
