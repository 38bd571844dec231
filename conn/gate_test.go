package conn

import (
	"net"
	"testing"
	"time"

	"github.com/rs/zerolog"
	"github.com/stretchr/testify/require"
)

// openListener returns a listener on loopback, the connections that it accepts and the
// error with which Accept ends.
func openListener(t *testing.T, accepts *bool) (p *PausableListener, accepted chan net.Conn, ended chan error) {
	t.Helper()
	address := "127.0.0.1:0"
	p = &PausableListener{AcceptsConnections: func(time.Time) bool { return *accepts }, Log: zerolog.Nop()}
	listen := func() (net.Listener, error) {
		l, err := net.Listen("tcp", address) //nolint:noctx // a test's listener.
		if err == nil {
			address = l.Addr().String()
		}
		return l, err
	}
	l, err := listen()
	require.NoError(t, err)
	p.Listener, p.Listen = l, listen
	accepted, ended = make(chan net.Conn, 8), make(chan error, 1)
	go func() {
		for {
			c, err := p.Accept()
			if err != nil {
				ended <- err
				return
			}
			accepted <- c
		}
	}()
	t.Cleanup(func() { _ = p.Close() })
	return p, accepted, ended
}

// TestPausableListenerClosesAndReopens: connections are refused while none are wanted,
// open connections stay open, and the same address accepts connections again
// afterwards.
func TestPausableListenerClosesAndReopens(t *testing.T) {
	accepts, now := true, time.Unix(1_000, 0)
	p, accepted, ended := openListener(t, &accepts)
	dial := func() (net.Conn, error) { return net.Dial("tcp", p.Addr().String()) } //nolint:noctx // a test's connection.
	first, err := dial()
	require.NoError(t, err)
	kept := <-accepted

	accepts = false
	p.update(now)
	_, err = dial()
	require.Error(t, err)

	accepts = true
	p.update(now)
	second, err := dial()
	require.NoError(t, err)
	<-accepted
	_, err = kept.Write([]byte("x"))
	require.NoError(t, err)
	_, err = first.Read(make([]byte, 1))
	require.NoError(t, err, "an open connection stays open")
	require.NoError(t, second.Close())
	require.NoError(t, first.Close())

	require.NoError(t, p.Close())
	require.ErrorIs(t, <-ended, net.ErrClosed)
	p.update(now)
	_, err = dial()
	require.Error(t, err, "a listener that was closed permanently stays closed")
}

// TestPausableListenerEndsWhilePaused: a waiting call to Accept returns when a server
// stops while its address is closed temporarily.
func TestPausableListenerEndsWhilePaused(t *testing.T) {
	accepts := false
	p, _, ended := openListener(t, &accepts)
	p.update(time.Unix(1_000, 0))
	require.NoError(t, p.Close())
	require.ErrorIs(t, <-ended, net.ErrClosed)
}
