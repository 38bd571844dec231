package conn

import (
	"context"
	"net"
	"sync"
	"time"

	"github.com/rs/zerolog"

	"buckthornpin"
)

// acceptCheckInterval is the time between two calls of AcceptsConnections. It bounds
// the queue that builds up before the address is closed: a link that is offered twice
// what it can carry gets one interval behind.
const acceptCheckInterval = 50 * time.Millisecond

// PausableListener is a listener that closes its address while new connections are not
// wanted. A refused connection costs the link only two packets, and the caller learns
// at once that it has to go elsewhere. Its exported fields are set before Run.
type PausableListener struct {
	// Listener is the open listener. Listen opens its address again.
	Listener net.Listener
	Listen   func() (net.Listener, error)
	// AcceptsConnections reports whether new connections are accepted.
	AcceptsConnections func(now time.Time) bool
	Log                zerolog.Logger

	mu sync.Mutex
	// paused means that the address is closed temporarily, closed that it is closed
	// permanently.
	paused, closed bool
	// reopened is closed when the address opens again or is closed permanently. It is
	// nil while no call to Accept waits.
	reopened chan struct{}
}

// Run closes and reopens the address as AcceptsConnections demands until ctx ends.
func (p *PausableListener) Run(ctx context.Context) error {
	buckthornpin.Every(ctx, acceptCheckInterval, func(_ context.Context, now time.Time) { p.update(now) })
	return nil
}

// update closes or reopens the address if the result of AcceptsConnections has changed.
func (p *PausableListener) update(now time.Time) {
	accepts := p.AcceptsConnections(now)
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.closed || accepts != p.paused {
		return
	}
	if !accepts {
		p.paused = true
		err := p.Listener.Close()
		p.Log.Info().Err(err).Stringer("address", p.Listener.Addr()).Msg("new connections are refused")
		return
	}
	l, err := p.Listen()
	if err != nil {
		p.Log.Error().Err(err).Msg("cannot reopen the listening address")
		return
	}
	p.Listener, p.paused = l, false
	p.wakeWaiters()
	p.Log.Info().Stringer("address", l.Addr()).Msg("new connections are taken again")
}

// wakeWaiters wakes the calls to Accept that wait for the address to open. The caller
// holds mu.
func (p *PausableListener) wakeWaiters() {
	if p.reopened != nil {
		close(p.reopened)
		p.reopened = nil
	}
}

// Accept implements net.Listener.
func (p *PausableListener) Accept() (net.Conn, error) {
	for {
		l, reopened := p.current()
		if reopened != nil {
			<-reopened
			continue
		}
		if l == nil {
			return nil, net.ErrClosed
		}
		c, err := l.Accept()
		if open, _ := p.current(); err == nil || open == l {
			return c, err
		}
	}
}

// current returns the open listener, or nil if the address was closed permanently.
// While the address is closed temporarily, it returns nil and a channel that is closed
// when the wait is over.
func (p *PausableListener) current() (net.Listener, <-chan struct{}) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.closed {
		return nil, nil
	}
	if !p.paused {
		return p.Listener, nil
	}
	if p.reopened == nil {
		p.reopened = make(chan struct{})
	}
	return nil, p.reopened
}

// Close implements net.Listener.
func (p *PausableListener) Close() error {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.closed {
		return nil
	}
	p.closed = true
	p.wakeWaiters()
	if p.paused {
		return nil
	}
	return p.Listener.Close()
}

// Addr implements net.Listener.
func (p *PausableListener) Addr() net.Addr {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.Listener.Addr()
}
