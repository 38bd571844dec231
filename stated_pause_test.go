package buckthornpin

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

func TestParseStatedPause(t *testing.T) {
	now := time.Date(2026, 12, 4, 14, 0, 0, 0, time.UTC)
	const date = "Fri, 04 Dec 2026 13:00:00 GMT"
	for value, want := range map[string]time.Duration{
		"": 0, "0": 0, "-3": 0, "2": 2 * time.Second, " 1.25 ": 1250 * time.Millisecond, "1e2": 100 * time.Second,
		"100000": MaxPause, "1e300": MaxPause, "1e999": MaxPause, "Inf": MaxPause, "-Inf": 0,
		"Fri, 04 Dec 2026 13:00:07 GMT": 7 * time.Second, "Fri, 04 Dec 2026 12:00:00 GMT": 0, "Fri, 04 Dec 2099 12:00:00 GMT": MaxPause,
	} {
		p := ParseStatedPause(value, date, now)
		require.NoError(t, p.Err, value)
		require.Equal(t, want, p.For, value)
	}
	for _, value := range []string{"soon", "NaN", "1,5", "2 s", "Fri, 04 Dec"} {
		p := ParseStatedPause(value, date, now)
		require.Error(t, p.Err, value)
		require.Zero(t, p.For, value)
	}
	require.Equal(t, 5*time.Second, ParseStatedPause("Fri, 04 Dec 2026 14:00:05 GMT", "", now).For, "an answer without a date")
}
