package conn

import (
	"context"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// endlessConn is a connection on which the same bytes come again and again after a start.
type endlessConn struct {
	net.Conn
	start, repeated string
	at              int
	read            int
	closed          bool
}

// endlessBytes ends a test that would otherwise use up the memory.
const endlessBytes = 64 << 20

func (c *endlessConn) Read(p []byte) (int, error) {
	if c.read > endlessBytes {
		return 0, io.ErrUnexpectedEOF
	}
	n := 0
	for n < len(p) {
		if c.at < len(c.start) {
			k := copy(p[n:], c.start[c.at:])
			n, c.at = n+k, c.at+k
			continue
		}
		k := copy(p[n:], c.repeated[(c.at-len(c.start))%len(c.repeated):])
		n, c.at = n+k, c.at+k
	}
	c.read += n
	return n, nil
}

func (c *endlessConn) Write(p []byte) (int, error)      { return len(p), nil }
func (c *endlessConn) SetDeadline(time.Time) error      { return nil }
func (c *endlessConn) SetReadDeadline(time.Time) error  { return nil }
func (c *endlessConn) SetWriteDeadline(time.Time) error { return nil }
func (c *endlessConn) Close() error {
	c.closed = true
	return nil
}

// TestEndlessAnswers guards against an endpoint that pours out bytes which are no answer: the
// exchange fails after a bounded number of them, and its connection is closed.
func TestEndlessAnswers(t *testing.T) {
	const ok = "HTTP/1.1 200 OK\r\n"
	for name, c := range map[string]*endlessConn{
		"status line":       {start: "HTTP/1.1 200 ", repeated: "O"},
		"no answer at all":  {repeated: "\x00\xff\x17"},
		"header line":       {start: ok + "X: ", repeated: "x"},
		"header lines":      {start: ok, repeated: "X: x\r\n"},
		"folded lines":      {start: ok + "X: x\r\n", repeated: " x\r\n"},
		"interim answers":   {repeated: "HTTP/1.1 103 Early Hints\r\nX: x\r\n\r\n"},
		"chunk size":        {start: ok + "Transfer-Encoding: chunked\r\n\r\n", repeated: "0"},
		"chunk extension":   {start: ok + "Transfer-Encoding: chunked\r\n\r\n2;x=", repeated: "x"},
		"trailer line":      {start: ok + "Transfer-Encoding: chunked\r\n\r\n0\r\nX: ", repeated: "x"},
		"trailer lines":     {start: ok + "Transfer-Encoding: chunked\r\n\r\n0\r\n", repeated: "X: x\r\n"},
		"tiny chunks":       {start: ok + "Transfer-Encoding: chunked\r\n\r\n", repeated: "1;" + strings.Repeat("x", 200) + "\r\nx\r\n"},
		"after a late head": {start: ok + "Content-Length: 0\r\n\r\n" + ok + "X: ", repeated: "x"},
	} {
		t.Run(name, func(t *testing.T) {
			p := &Pool{DialTimeout: time.Second, Dial: func(context.Context, string) (net.Conn, error) { return c, nil }}
			r, err := p.Exchange(context.Background(), "endpoint", http.MethodPost, []byte("POST /x HTTP/1.1\r\n\r\n"), nil)
			if err == nil && name == "after a late head" {
				r, err = r.ReadNext(http.MethodPost)
			}
			if err == nil {
				_, err = io.Copy(io.Discard, r.Body)
				require.NoError(t, r.Body.Close())
			}
			require.Error(t, err)
			require.LessOrEqual(t, c.read, 2*maxHeadBytes, "bytes read")
			require.True(t, c.closed || name == "after a late head")
			require.Zero(t, p.IdleCount("endpoint"))
		})
	}
}

// TestLargeHeadPasses checks that a large head of an honest answer passes whole, and that the
// bound is that of each head, not of all answers on a connection.
func TestLargeHeadPasses(t *testing.T) {
	large := "HTTP/1.1 200 OK\r\nX: " + strings.Repeat("x", maxHeadBytes/2) + "\r\nContent-Length: 2\r\n\r\nok"
	s, p := newScriptedServer(t, large, large, large), &Pool{DialTimeout: time.Second}
	for range 3 {
		got, err := exchange(t, p, s, "abc")
		require.NoError(t, err)
		require.Equal(t, "ok", got)
	}
}

// TestEndlessHeadForExternalClients guards against endpoints of our own interface that take a
// router's memory with a head without end.
func TestEndlessHeadForExternalClients(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	go func() {
		c, err := l.Accept()
		if err != nil {
			return
		}
		_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\n")
		_, _ = io.Copy(c, struct{ io.Reader }{&endlessConn{repeated: "X: x\r\n"}})
		_ = c.Close()
	}()
	t.Cleanup(func() { _ = l.Close() })
	r, err := http.NewRequestWithContext(t.Context(), http.MethodGet, "http://"+l.Addr().String(), nil)
	require.NoError(t, err)
	d := &Dialer{Traffic: &Traffic{}}
	_, err = d.ExternalClient().Do(r) //nolint:bodyclose // There is no answer.
	require.Error(t, err)
	require.LessOrEqual(t, d.Traffic.In(), int64(2*maxHeadBytes), "bytes read")
}
