package conn_test

import (
	"context"
	"io"
	"net"
	"net/http"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"buckthornpin/conn"
	"buckthornpin/stand"
)

// linkBytesPerSecond is slow enough for one connection to keep a queue of 1 to 2 s.
const linkBytesPerSecond = 28_000

// fillQueue keeps the queue of a link full until ctx ends.
func fillQueue(ctx context.Context, t *testing.T, n *stand.Network, link *stand.Link) {
	t.Helper()
	l := n.Listen("sink", link)
	c, err := n.Dial(ctx, nil, "sink")
	require.NoError(t, err)
	accepted, err := l.Accept()
	require.NoError(t, err)
	go func() { _, _ = io.Copy(io.Discard, accepted) }()
	go func() {
		for ctx.Err() == nil {
			_, _ = c.Write(make([]byte, 1_000))
		}
	}()
	context.AfterFunc(ctx, func() { _ = c.Close(); _ = accepted.Close() })
}

// TestCallsOutliveAFullLink guards against a router that loses its connections to all
// other processes while its link is saturated, and so receives nothing from them. It
// happens if the timeout of pings is shorter than the delay of the link.
func TestCallsOutliveAFullLink(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, stop := context.WithCancel(t.Context())
		var n stand.Network
		link := &stand.Link{BytesPerSecond: linkBytesPerSecond}
		s := n.Serve("control:80", nil, http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { _, _ = w.Write([]byte("x")) }))
		fillQueue(ctx, t, &n, link)
		time.Sleep(5 * time.Second)

		d := &conn.Dialer{SilenceTimeout: 2 * time.Second, Dial: func(ctx context.Context, to string) (net.Conn, error) { return n.Dial(ctx, link, to) }}
		c := d.InternalClient()
		defer func() {
			c.CloseIdleConnections()
			_ = s.Close()
			stop()
			time.Sleep(time.Minute)
		}()
		for range 5 {
			began := time.Now()
			r, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://control/", nil)
			require.NoError(t, err)
			answer, err := c.Do(r)
			require.NoError(t, err)
			require.NoError(t, answer.Body.Close())
			require.Greater(t, time.Since(began), time.Second, "the link is saturated")
		}
	})
}
