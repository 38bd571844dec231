package conn

import (
	"net"
	"testing"
	"time"

	"github.com/rs/zerolog"
	"github.com/stretchr/testify/require"
)

// openGate is a gate on loopback and what it accepts.
func openGate(t *testing.T, wanted *bool) (g *Gate, accepted chan net.Conn, ended chan error) {
	t.Helper()
	address := "127.0.0.1:0"
	g = &Gate{Wanted: func(time.Time) bool { return *wanted }, Log: zerolog.Nop()}
	listen := func() (net.Listener, error) {
		l, err := net.Listen("tcp", address) //nolint:noctx // a test's listener.
		if err == nil {
			address = l.Addr().String()
		}
		return l, err
	}
	l, err := listen()
	require.NoError(t, err)
	g.Opened, g.Listen = l, listen
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

// TestGateClosesAndOpens: connections are refused while none are wanted, those that are
// open stay, and the same address takes connections again afterwards.
func TestGateClosesAndOpens(t *testing.T) {
	wanted, now := true, time.Unix(1_000, 0)
	g, accepted, ended := openGate(t, &wanted)
	dial := func() (net.Conn, error) { return net.Dial("tcp", g.Addr().String()) } //nolint:noctx // a test's connection.
	first, err := dial()
	require.NoError(t, err)
	kept := <-accepted

	wanted = false
	g.look(now)
	_, err = dial()
	require.Error(t, err)

	wanted = true
	g.look(now)
	second, err := dial()
	require.NoError(t, err)
	<-accepted
	_, err = kept.Write([]byte("x"))
	require.NoError(t, err)
	_, err = first.Read(make([]byte, 1))
	require.NoError(t, err, "an open connection goes on")
	require.NoError(t, second.Close())
	require.NoError(t, first.Close())

	require.NoError(t, g.Close())
	require.ErrorIs(t, <-ended, net.ErrClosed)
	g.look(now)
	_, err = dial()
	require.Error(t, err, "a gate that was closed for good stays closed")
}

// TestGateEndsWhileClosed: a server that stops while no connections are wanted ends.
func TestGateEndsWhileClosed(t *testing.T) {
	wanted := false
	g, _, ended := openGate(t, &wanted)
	g.look(time.Unix(1_000, 0))
	require.NoError(t, g.Close())
	require.ErrorIs(t, <-ended, net.ErrClosed)
}
