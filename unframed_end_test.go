package buckthornpin

import (
	"context"
	"testing"

	"github.com/stretchr/testify/require"
)

// TestUnframedEnd checks which answers without a length count as whole.
func TestUnframedEnd(t *testing.T) {
	scenarios := []struct {
		description string
		end         UnframedEnd
		refuses     bool
		err         error
	}{
		{"endpoint goes on", UnframedEnd{Status: 200}, false, nil},
		{"endpoint has ended", UnframedEnd{Status: 200}, true, ErrEndedWithEndpoint},
		{"leaving endpoint has ended", UnframedEnd{Status: 200, Leaving: true}, true, nil},
		{"success without a body", UnframedEnd{Status: 200, Empty: true}, false, ErrNoBody},
		{"success without a body of a leaving endpoint", UnframedEnd{Status: 200, Empty: true, Leaving: true}, false, ErrNoBody},
		{"error without a body", UnframedEnd{Status: 404, Empty: true}, false, nil},
		{"error without a body, endpoint has ended", UnframedEnd{Status: 404, Empty: true}, true, ErrEndedWithEndpoint},
	}
	for _, s := range scenarios {
		t.Run(s.description, func(t *testing.T) {
			s.end.Address = "10.0.0.1:80"
			err := s.end.Check(t.Context(), func(_ context.Context, address string) bool {
				require.Equal(t, s.end.Address, address)
				return s.refuses
			})
			require.Equal(t, s.err, err)
		})
	}
}
