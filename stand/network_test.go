package stand

import (
	"io"
	"net"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"
)

// TestNetworkShares: what two connections send to one VM waits in the queue of its link,
// and what the VM sends doesn't wait for it.
func TestNetworkShares(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var n Network
		link := &Link{BytesPerSecond: 1_000_000}
		l := n.Listen("vm", link)
		var callers, accepted []net.Conn
		for range 2 {
			c, err := n.Dial(t.Context(), nil, "vm")
			require.NoError(t, err)
			a, err := l.Accept()
			require.NoError(t, err)
			callers, accepted = append(callers, c), append(accepted, a)
		}
		began := time.Now()
		for i, c := range callers {
			_, err := c.Write(make([]byte, 20_000))
			require.NoError(t, err)
			_, err = accepted[i].Write([]byte("ready"))
			require.NoError(t, err)
			_, err = io.ReadFull(c, make([]byte, 5))
			require.NoError(t, err)
			require.Less(t, time.Since(began), 10*time.Millisecond, "answers don't wait for requests")
		}
		in, out := link.Waits()
		require.InDelta(t, 41_800*time.Microsecond, in+time.Since(began), float64(3*time.Millisecond))
		require.Zero(t, out)
	})
}

// TestNetworkWindow: a writer waits while its peer doesn't read, until its deadline, and
// an end that was closed can't be sent to.
func TestNetworkWindow(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var n Network
		l := n.Listen("vm", nil)
		c, err := n.Dial(t.Context(), nil, "vm")
		require.NoError(t, err)
		accepted, err := l.Accept()
		require.NoError(t, err)
		require.NoError(t, c.SetWriteDeadline(time.Now().Add(time.Second)))
		sent, err := c.Write(make([]byte, 2*windowBytes))
		require.Error(t, err)
		require.Equal(t, windowBytes, sent)
		require.NoError(t, c.SetWriteDeadline(time.Time{}))
		require.NoError(t, accepted.Close())
		_, err = c.Write([]byte("x"))
		require.Error(t, err)
	})
}
