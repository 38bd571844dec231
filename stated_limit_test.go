package buckthornpin

import (
	"testing"

	"github.com/stretchr/testify/require"
)

func TestParseStatedLimit(t *testing.T) {
	require.Equal(t, StatedLimit{}, ParseStatedLimit(""))
	require.Equal(t, StatedLimit{Stated: true, PerSecond: 1.25}, ParseStatedLimit("1.25"))
	require.Equal(t, StatedLimit{Stated: true}, ParseStatedLimit("0"))
	for _, text := range []string{"many", "-1", "NaN", "Inf", "1,5"} {
		l := ParseStatedLimit(text)
		require.True(t, l.Stated, text)
		require.Error(t, l.Err, text)
	}
}
