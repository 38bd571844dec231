package endpt

import (
	"errors"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"

	"buckthornpin"
)

// TestAnyAnswerSaysThatItsEndpointLeaves guards against work for an endpoint that has said in an
// answer that it is leaving, and against taking a failed attempt for one that wasn't run because
// its answer says so too.
func TestAnyAnswerSaysThatItsEndpointLeaves(t *testing.T) {
	scenarios := []struct {
		description string
		status      int
		notRun      bool
		kind        Kind
	}{
		{"a complete answer", http.StatusOK, false, ""},
		{"turned away", http.StatusServiceUnavailable, true, KindLeaving},
		{"failed", http.StatusInternalServerError, false, KindBroken},
	}
	for _, s := range scenarios {
		t.Run(s.description, func(t *testing.T) {
			engine := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
				w.Header().Set(LeavingHeader, "true")
				if s.notRun {
					w.Header().Set(NotRunHeader, "true")
				}
				w.WriteHeader(s.status)
			}))
			t.Cleanup(engine.Close)
			var left []string
			c := &Client{
				HTTP: engine.Client(), UnpooledHTTP: engine.Client(), Scheme: "http", Secret: func() string { return "" },
				ObserveLeaving: func(a Attempt) { left = append(left, a.Endpoint.ID) },
			}
			stream, err := c.Chat(t.Context(), Attempt{Endpoint: buckthornpin.Endpoint{ID: "e", Address: strings.TrimPrefix(engine.URL, "http://")}})
			require.Equal(t, []string{"e"}, left)
			if s.kind == "" {
				require.NoError(t, err)
				stream.Close()
				return
			}
			var failure *Error
			require.True(t, errors.As(err, &failure), "%v", err)
			require.Equal(t, s.kind, failure.Kind)
		})
	}
}
