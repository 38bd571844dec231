package relay_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// TestOneCallerFillsARoutersLink guards against requests that get no final answer at a
// router whose link is full: of those without one at their route's timeout, at most half
// may still have none half a second later.
func TestOneCallerFillsARoutersLink(t *testing.T) {
	for _, c := range []struct {
		name string
		load []phase
	}{
		{"steadily over the link", []phase{{200, 2 * time.Second}, {300, 15 * time.Second}}},
		{"far over it at once", []phase{{600, 8 * time.Second}, {100, 4 * time.Second}}},
		{"again and again", []phase{{100, 3 * time.Second}, {500, 3 * time.Second}, {100, 3 * time.Second}, {500, 3 * time.Second}, {100, 3 * time.Second}}},
	} {
		t.Run(c.name, func(t *testing.T) {
			for seed := range uint64(3) {
				p := runCallerLoad(t, seed, c.load)
				require.LessOrEqual(t, p.overdue*2, p.late)
			}
		})
	}
}
