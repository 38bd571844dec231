package conn

import (
	"bytes"
	"context"
	"crypto/tls"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// endingConn is a connection whose other side answers an upload early and then ends the
// connection. Reads get the answer and the connection's end; the write of the upload goes on until
// the scenario ends it.
type endingConn struct {
	net.Conn
	answer io.Reader
	// writeEnd returns the result of the write, once it has one.
	writeEnd func(c *endingConn) error
	// writeBegun is closed by the first write, writeEnded when the upload's has a result, readEnded
	// when reads have come to the end.
	writeBegun, writeEnded, readEnded, closed chan struct{}
	// waits makes the end of reads come after that of the write.
	waits   bool
	written int

	beginOnce, readOnce, closeOnce sync.Once
}

func newEndingConn(answer string, waits bool, writeEnd func(c *endingConn) error) *endingConn {
	return &endingConn{
		answer: strings.NewReader(answer), waits: waits, writeEnd: writeEnd,
		writeBegun: make(chan struct{}), writeEnded: make(chan struct{}), readEnded: make(chan struct{}), closed: make(chan struct{}),
	}
}

func (c *endingConn) Read(p []byte) (int, error) {
	<-c.writeBegun
	n, err := c.answer.Read(p)
	if err == nil {
		return n, nil
	}
	if c.waits {
		<-c.writeEnded
	}
	c.readOnce.Do(func() { close(c.readEnded) })
	return n, err
}

func (c *endingConn) Write(p []byte) (int, error) {
	c.beginOnce.Do(func() { close(c.writeBegun) })
	c.written += len(p)
	if c.written <= maxBlockingWriteBytes {
		return len(p), nil
	}
	err := c.writeEnd(c)
	if c.waits {
		close(c.writeEnded)
	}
	if err != nil {
		return 0, err
	}
	return len(p), nil
}

func (c *endingConn) SetDeadline(time.Time) error { return nil }

func (c *endingConn) Close() error {
	c.closeOnce.Do(func() { close(c.closed) })
	return nil
}

// TestEndOfAConnectionDuringAWrite checks what the end of a connection says about an answer that
// only this end ends, while the request is still being written: nothing is whole whose connection
// was reset, whichever of the read and the write got to know of it.
func TestEndOfAConnectionDuringAWrite(t *testing.T) {
	fails := func(err error) func(*endingConn) error { return func(*endingConn) error { return err } }
	later := func(err error) func(*endingConn) error {
		return func(c *endingConn) error {
			<-c.readEnded
			return err
		}
	}
	scenarios := []struct {
		description string
		waits       bool
		writeEnd    func(c *endingConn) error
		whole       bool
	}{
		{"the write got the reset", true, fails(syscall.ECONNRESET), false},
		{"the write gets the reset behind the end", false, later(syscall.ECONNRESET), false},
		{"the connection was closed, then reset", false, later(syscall.EPIPE), false},
		{"the write succeeds behind the end", false, later(nil), true},
		{"the write goes on", false, func(c *endingConn) error {
			<-c.closed
			return net.ErrClosed
		}, true},
	}
	for _, s := range scenarios {
		start := func() *endingConn { return newEndingConn("HTTP/1.1 200 OK\r\n\r\nok", s.waits, s.writeEnd) }
		t.Run("pool/"+s.description, func(t *testing.T) {
			t.Parallel()
			c := start()
			p := &Pool{DialTimeout: time.Second, Dial: func(context.Context, string) (net.Conn, error) { return c, nil }}
			r, err := p.Exchange(t.Context(), "endpoint", http.MethodPost, []byte("POST /x HTTP/1.1\r\n\r\n"), textBody(strings.Repeat("x", 1<<20)))
			require.NoError(t, err)
			requireEnd(t, r.Response, s.whole)
			require.Zero(t, p.IdleCount("endpoint"))
		})
		t.Run("external client/"+s.description, func(t *testing.T) {
			t.Parallel()
			c := start()
			d := &Dialer{Dial: func(context.Context, string) (net.Conn, error) { return c, nil }}
			q, err := http.NewRequestWithContext(t.Context(), http.MethodPost, "http://endpoint/x", bytes.NewReader(make([]byte, 1<<20)))
			require.NoError(t, err)
			r, err := d.ExternalClient().Do(q)
			if err != nil {
				require.False(t, s.whole, "%v", err)
				return
			}
			requireEnd(t, r, s.whole)
		})
	}
}

// requireEnd checks whether an answer's body comes to its end.
func requireEnd(t *testing.T, r *http.Response, whole bool) {
	t.Helper()
	body, err := io.ReadAll(r.Body)
	require.NoError(t, r.Body.Close())
	require.Equal(t, "ok", string(body))
	if whole {
		require.NoError(t, err)
		return
	}
	require.ErrorIs(t, err, errRequestCutOff)
}

// TestResetBelowTLS guards against the same on a TLS connection, where net/http doesn't have the
// connection itself.
func TestResetBelowTLS(t *testing.T) {
	s := httptest.NewTLSServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		c, _, err := http.NewResponseController(w).Hijack()
		if err != nil {
			return
		}
		_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\n\r\nhalf")
		_ = c.(*tls.Conn).NetConn().(*net.TCPConn).SetLinger(0)
		_ = c.(*tls.Conn).NetConn().Close()
	}))
	t.Cleanup(s.Close)
	d := &Dialer{TLS: s.Client().Transport.(*http.Transport).TLSClientConfig}
	for n := range 20 {
		t.Run(strconv.Itoa(n), func(t *testing.T) {
			q, err := http.NewRequestWithContext(t.Context(), http.MethodPost, s.URL, bytes.NewReader(make([]byte, 12<<20)))
			require.NoError(t, err)
			r, err := d.UnpooledClient().Do(q)
			if err != nil {
				return
			}
			_, err = io.ReadAll(r.Body)
			require.NoError(t, r.Body.Close())
			require.Error(t, err)
		})
	}
}
