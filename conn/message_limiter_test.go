package conn

import (
	"bytes"
	"io"
	"net/http"
	"net/http/httptest"
	"testing"

	"github.com/stretchr/testify/require"

	"buckthornpin/memory"
)

// TestMessageLimiter guards against a process that outgrows its memory because many large messages
// come at once: together they take at most their part of the account, small ones always pass, and
// everything is given back.
func TestMessageLimiter(t *testing.T) {
	account := &memory.Account{Size: 16 << 20}
	entered, leave := make(chan int, 10), make(chan struct{})
	s := httptest.NewServer(&MessageLimiter{Account: account, Use: memory.UseMessage, Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		data, err := io.ReadAll(r.Body)
		if err != nil {
			w.WriteHeader(http.StatusServiceUnavailable)
			return
		}
		if r.URL.Path == "/wait" {
			entered <- len(data)
			<-leave
		}
	})})
	t.Cleanup(s.Close)
	send := func(path string, size int, stated bool, contentType string) int {
		var body io.Reader = bytes.NewReader(make([]byte, size))
		if !stated {
			body = io.MultiReader(body)
		}
		a, err := s.Client().Post(s.URL+path, contentType, body)
		require.NoError(t, err)
		require.NoError(t, a.Body.Close())
		return a.StatusCode
	}
	ended := make(chan int, 1)
	go func() { ended <- send("/wait", 3<<20, true, "") }()
	require.Equal(t, 3<<20, <-entered)
	for _, stated := range []bool{true, false} {
		require.Equal(t, http.StatusServiceUnavailable, send("/", 3<<20, stated, ""))
		require.Equal(t, http.StatusOK, send("/", 10<<10, stated, ""))
		require.Equal(t, http.StatusOK, send("/", 100<<10, stated, ""))
		require.Equal(t, http.StatusOK, send("/", 3<<20, stated, "application/connect+proto"), "a stream isn't one message")
	}
	close(leave)
	require.Equal(t, http.StatusOK, <-ended)
	require.Equal(t, http.StatusOK, send("/", 3<<20, false, ""))
	require.Zero(t, account.Usage().Held)
}
