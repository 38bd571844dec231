package conn

import (
	"context"
	"net"
	"sync"
	"time"

	"github.com/rs/zerolog"

	"buckthornpin"
)

// gateInterval is the time between two checks of whether connections are accepted. It
// bounds the queue that builds up before the gate reacts: a link that is offered twice
// what it can carry gets one interval behind.
const gateInterval = 50 * time.Millisecond

// PausableListener is a listener that closes its address while new connections are not wanted. A
// refused connection costs the link only two packets, and the caller learns at once
// that it has to go elsewhere. Its exported fields are set before Run.
type PausableListener struct {
	// Listener is the open listener. Listen opens its address again.
	Listener net.Listener
	Listen   func() (net.Listener, error)
	// AcceptsConnections reports whether new connections are accepted.
	AcceptsConnections func(now time.Time) bool
	Log                zerolog.Logger

	mu sync.Mutex
	// shut means that the address is closed for now, closed that it is closed for good.
	shut, closed bool
	// reopened is closed when the address opens again or the gate is closed for good.
	// It is nil while no call to Accept waits.
	reopened chan struct{}
}

// Run closes and reopens the address as Wanted demands until ctx ends.
func (g *PausableListener) Run(ctx context.Context) error {
	buckthornpin.Every(ctx, gateInterval, func(_ context.Context, now time.Time) { g.update(now) })
	return nil
}

// update closes or reopens the address if Wanted has changed.
func (g *PausableListener) update(now time.Time) {
	wanted := g.AcceptsConnections(now)
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.closed || wanted != g.shut {
		return
	}
	if !wanted {
		g.shut = true
		err := g.Listener.Close()
		g.Log.Info().Err(err).Stringer("address", g.Listener.Addr()).Msg("new connections are refused")
		return
	}
	l, err := g.Listen()
	if err != nil {
		g.Log.Error().Err(err).Msg("cannot reopen the listening address")
		return
	}
	g.Listener, g.shut = l, false
	g.wakeWaiters()
	g.Log.Info().Stringer("address", l.Addr()).Msg("new connections are taken again")
}

// wakeWaiters wakes the calls to Accept that wait for the address to open. The caller
// holds mu.
func (g *PausableListener) wakeWaiters() {
	if g.reopened != nil {
		close(g.reopened)
		g.reopened = nil
	}
}

// Accept implements net.Listener.
func (g *PausableListener) Accept() (net.Conn, error) {
	for {
		l, waiting := g.current()
		if waiting != nil {
			<-waiting
			continue
		}
		if l == nil {
			return nil, net.ErrClosed
		}
		c, err := l.Accept()
		if open, _ := g.current(); err == nil || open == l {
			return c, err
		}
	}
}

// current returns the open listener, or nil if the gate was closed for good. While the
// address is closed for now it returns nil and a channel that is closed when the wait
// is over.
func (g *PausableListener) current() (net.Listener, <-chan struct{}) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.closed {
		return nil, nil
	}
	if !g.shut {
		return g.Listener, nil
	}
	if g.reopened == nil {
		g.reopened = make(chan struct{})
	}
	return nil, g.reopened
}

// Close implements net.Listener.
func (g *PausableListener) Close() error {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.closed {
		return nil
	}
	g.closed = true
	g.wakeWaiters()
	if g.shut {
		return nil
	}
	return g.Listener.Close()
}

// Addr implements net.Listener.
func (g *PausableListener) Addr() net.Addr {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.Listener.Addr()
}
