package conn

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"
)

// countedServer serves on loopback and counts its connections and bytes.
func countedServer(t *testing.T, h http.HandlerFunc) (url string, counter *ConnectionCounter, traffic *Traffic) {
	t.Helper()
	counter, traffic = &ConnectionCounter{}, &Traffic{}
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	s := &http.Server{Handler: h} //nolint:gosec // a test's server.
	counter.CountConnections(s)
	go func() { _ = s.Serve(traffic.Listener(l)) }()
	t.Cleanup(func() { _ = s.Close() })
	return "http://" + l.Addr().String(), counter, traffic
}

// TestConnectionCounter: CountRequest returns the number of requests on the connection,
// and ConnectionCounter the number of open connections.
func TestConnectionCounter(t *testing.T) {
	url, counter, traffic := countedServer(t, func(w http.ResponseWriter, r *http.Request) {
		_, _ = fmt.Fprint(w, CountRequest(r.Context()))
	})
	for n := range 3 {
		r, err := http.Get(url) //nolint:gosec,noctx // a test's server.
		require.NoError(t, err)
		body, err := io.ReadAll(r.Body)
		require.NoError(t, err)
		require.NoError(t, r.Body.Close())
		require.Equal(t, fmt.Sprint(n+1), string(body))
	}
	require.Equal(t, int64(1), counter.Open())
	require.Positive(t, traffic.In())
	require.Positive(t, traffic.Out())
}

// TestCountedConnectionClosesItsWritingSide guards against an answer that is lost when
// the server hasn't read the body of the request. The caller gets the answer only if
// the writing side is closed before the connection.
func TestCountedConnectionClosesItsWritingSide(t *testing.T) {
	url, _, _ := countedServer(t, func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Connection", "close")
		w.WriteHeader(http.StatusServiceUnavailable)
	})
	c, err := net.Dial("tcp", strings.TrimPrefix(url, "http://")) //nolint:noctx // a test's server.
	require.NoError(t, err)
	defer func() { _ = c.Close() }()
	_, err = io.WriteString(c, "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 1000000\r\n\r\nabc")
	require.NoError(t, err)
	answer, err := io.ReadAll(c)
	require.NoError(t, err)
	require.Contains(t, string(answer), "503")
}
