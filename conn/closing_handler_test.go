package conn

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"testing"

	"github.com/stretchr/testify/require"
)

// TestRequestAfterAStreamDuringAStop guards against cutting off a request on a kept connection
// of a stopping server: the connection was closed without notice when a stream on it ended
// whose headers had been sent before the stop.
func TestRequestAfterAStreamDuringAStop(t *testing.T) {
	begun, end := make(chan struct{}), make(chan struct{})
	h := &ClosingHandler{Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path == "/stream" {
			_ = http.NewResponseController(w).Flush()
			close(begun)
			<-end
		}
		_, _ = io.WriteString(w, "ok")
	})}
	s := httptest.NewServer(h)
	t.Cleanup(s.Close)
	connection, err := net.Dial("tcp", s.Listener.Addr().String())
	require.NoError(t, err)
	t.Cleanup(func() { _ = connection.Close() })
	reader := bufio.NewReader(connection)
	exchange := func(path string) *http.Response {
		_, err := io.WriteString(connection, "GET "+path+" HTTP/1.1\r\nHost: a\r\n\r\n")
		require.NoError(t, err)
		r, err := http.ReadResponse(reader, nil) //nolint:bodyclose // readAnswer closes it.
		require.NoError(t, err)
		return r
	}
	readAnswer := func(r *http.Response) {
		body, err := io.ReadAll(r.Body)
		require.NoError(t, err)
		require.NoError(t, r.Body.Close())
		require.Equal(t, "ok", string(body))
	}

	stream := exchange("/stream")
	<-begun
	h.StartClosing()
	close(end)
	readAnswer(stream)
	require.False(t, stream.Close)

	last := exchange("/last")
	readAnswer(last)
	require.True(t, last.Close)
	_, err = reader.ReadByte()
	require.ErrorIs(t, err, io.EOF)
}
