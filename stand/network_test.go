package stand

import (
	"io"
	"net"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"
)

// TestConnectionsShareLink checks that the bytes that two connections send to one VM wait
// in the queue of its link, and that what the VM sends doesn't wait for them.
func TestConnectionsShareLink(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var n Network
		link := &Link{BytesPerSecond: 1_000_000}
		l := n.Listen("vm", link)
		var clients, accepted []net.Conn
		for range 2 {
			c, err := n.Dial(t.Context(), nil, "vm")
			require.NoError(t, err)
			a, err := l.Accept()
			require.NoError(t, err)
			clients, accepted = append(clients, c), append(accepted, a)
		}
		started := time.Now()
		for i, c := range clients {
			_, err := c.Write(make([]byte, 20_000))
			require.NoError(t, err)
			_, err = accepted[i].Write([]byte("ready"))
			require.NoError(t, err)
			_, err = io.ReadFull(c, make([]byte, 5))
			require.NoError(t, err)
			require.Less(t, time.Since(started), 10*time.Millisecond, "answers don't wait for requests")
		}
		in, out := link.QueueDelays()
		require.InDelta(t, 41_800*time.Microsecond, in+time.Since(started), float64(3*time.Millisecond))
		require.Zero(t, out)
	})
}

// TestWriteBlocksWhileWindowIsFull checks that a writer waits until its deadline while its
// peer doesn't read, and that nothing can be sent to a closed end.
func TestWriteBlocksWhileWindowIsFull(t *testing.T) {
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
