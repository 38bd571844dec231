package conn

import (
	"bytes"
	"context"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// scriptedConn is a connection that yields bytes once, some at a time, and then ends.
type scriptedConn struct {
	endlessConn
	data *bytes.Reader
	step int
}

func (c *scriptedConn) Read(p []byte) (int, error) { return c.data.Read(p[:min(len(p), c.step)]) }

// FuzzAnswer checks that whatever an endpoint sends, the exchange ends, that an answer has a status
// and names of fields which HTTP allows, and that a connection is kept only if nothing is left on it.
func FuzzAnswer(f *testing.F) {
	for _, a := range []string{
		okAnswer, okAnswer + okAnswer, "HTTP/1.1 103 Early Hints\r\n\r\n" + okAnswer,
		"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2;x=y\r\nok\r\n0\r\nX: y\r\n\r\n",
		"HTTP/1.1 200 OK\r\n\r\nuntil the end", "HTTP/1.0 200 OK\r\nContent-Length: 5\r\n\r\nok", "\x00\xff",
		"HTTP/1.1 200 OK\r\nContent-Length: 2\r\nContent-Length: 3\r\n\r\nok", "HTTP/1.1 204 No Content\r\nKeep-Alive: timeout=2\r\n\r\n",
		"HTTP/1.1 000 X\r\nContent-Length: 2\r\n\r\nok", "HTTP/1.1 101 X\r\n\r\n", "HTTP/1.1 600 X\r\nContent-Length: 0\r\n\r\n",
		"HTTP/1.1 200 OK\r\nContent-Length : 2\r\n\r\nok", "HTTP/1.1 200 OK\r\nX: y\r\n Z: w\r\nContent-Length: 2\r\n\r\nok",
		"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n0\r\nX Y: z\r\n\r\n",
	} {
		f.Add([]byte(a), byte(7))
	}
	f.Fuzz(func(t *testing.T, data []byte, step byte) {
		c := &scriptedConn{data: bytes.NewReader(data), step: int(step) + 1}
		p := &Pool{DialTimeout: time.Second, Dial: func(context.Context, string) (net.Conn, error) { return c, nil }}
		r, err := p.Exchange(context.Background(), "endpoint", http.MethodGet, []byte("GET /x HTTP/1.1\r\n\r\n"), nil)
		if err != nil {
			require.True(t, c.closed)
			return
		}
		require.True(t, r.StatusCode >= 200 && r.StatusCode <= 599, r.Status)
		requireNames(t, r.Header)
		body, err := io.ReadAll(r.Body)
		require.NoError(t, r.Body.Close())
		if err == nil {
			requireNames(t, r.Trailer)
		}
		if err == nil && r.ContentLength >= 0 {
			require.Len(t, body, int(r.ContentLength))
		}
		require.NotEqual(t, c.closed, p.IdleCount("endpoint") == 1)
	})
}

// requireNames checks that each name of a field consists of letters, digits and the other bytes of a
// token (RFC 9110, section 5.6.2).
func requireNames(t *testing.T, h http.Header) {
	t.Helper()
	for name := range h {
		require.Regexp(t, "^[!#$%&'*+.^_`|~0-9A-Za-z-]+$", name)
	}
}
