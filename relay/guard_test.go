package relay

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// TestGuardOnAFullLink: the pattern is an organisation whose callers all reach one
// router with far more than its link carries. About the link's part is admitted,
// evenly over time, and nothing is turned away at a load that fits.
func TestGuardOnAFullLink(t *testing.T) {
	const link, body, seconds = 1_250_000, 17_000, 10
	admitted := func(perSecond int) int {
		g, n := &Guard{LinkBytes: link}, 0
		start := time.Unix(1_000, 0)
		for i := range perSecond * seconds {
			if g.Admits(body, time.Second, start.Add(time.Duration(i)*time.Second/time.Duration(perSecond))) {
				n++
			}
		}
		return n
	}
	const part = link * linkShare * seconds / body
	require.InDelta(t, part, admitted(500), part/10)
	require.Equal(t, 30*seconds, admitted(30))
}

// TestGuardOnABusyProcessor: requests are turned away as long as the process gets
// the processor too late for their objective, and taken again soon after.
func TestGuardOnABusyProcessor(t *testing.T) {
	g, now := &Guard{}, time.Unix(1_000, 0)
	require.True(t, g.Admits(1, 300*time.Millisecond, now))
	g.observe(100 * time.Millisecond)
	require.False(t, g.Admits(1, 300*time.Millisecond, now))
	require.True(t, g.Admits(1, 2*time.Second, now))
	g.observe(0)
	g.observe(0)
	require.True(t, g.Admits(1, 300*time.Millisecond, now))
	require.Equal(t, int64(1), g.Turned())
}
