package conn

import (
	"net"
	"testing"
	"time"

	"github.com/rs/zerolog"
	"github.com/stretchr/testify/require"
)

// openGate returns a gate on loopback, the connections that it accepts and the error
// with which Accept ends.
func openGate(t *testing.T, wanted *bool) (g *PausableListener, accepted chan net.Conn, ended chan error) {
	t.Helper()
	address := "127.0.0.1:0"
	g = &PausableListener{AcceptsConnections: func(time.Time) bool { return *wanted }, Log: zerolog.Nop()}
	listen := func() (net.Listener, error) {
		l, err := net.Listen("tcp", address) //nolint:noctx // a test's listener.
		if err == nil {
			address = l.Addr().String()
		}
		return l, err
	}
	l, err := listen()
	require.NoError(t, err)
	g.Listener, g.Listen = l, listen
	accepted, ended = make(chan net.Conn, 8), make(chan error, 1)
	go func() {
		for {
			c, err := g.Accept()
			if err != nil {
				ended <- err
				return
			}
			accepted <- c
		}
	}()
	t.Cleanup(func() { _ = g.Close() })
	return g, accepted, ended
}

// TestGateClosesAndReopens: connections are refused while none are wanted, open
// connections stay open, and the same address accepts connections again afterwards.
func TestGateClosesAndReopens(t *testing.T) {
	wanted, now := true, time.Unix(1_000, 0)
	g, accepted, ended := openGate(t, &wanted)
	dial := func() (net.Conn, error) { return net.Dial("tcp", g.Addr().String()) } //nolint:noctx // a test's connection.
	first, err := dial()
	require.NoError(t, err)
	kept := <-accepted

	wanted = false
	g.update(now)
	_, err = dial()
	require.Error(t, err)

	wanted = true
	g.update(now)
	second, err := dial()
	require.NoError(t, err)
	<-accepted
	_, err = kept.Write([]byte("x"))
	require.NoError(t, err)
	_, err = first.Read(make([]byte, 1))
	require.NoError(t, err, "an open connection stays open")
	require.NoError(t, second.Close())
	require.NoError(t, first.Close())

	require.NoError(t, g.Close())
	require.ErrorIs(t, <-ended, net.ErrClosed)
	g.update(now)
	_, err = dial()
	require.Error(t, err, "a gate that was closed for good stays closed")
}

// TestGateEndsWhileShut: Accept returns when a server stops while its address is closed
// for now.
func TestGateEndsWhileShut(t *testing.T) {
	wanted := false
	g, _, ended := openGate(t, &wanted)
	g.update(time.Unix(1_000, 0))
	require.NoError(t, g.Close())
	require.ErrorIs(t, <-ended, net.ErrClosed)
}
