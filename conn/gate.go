package conn

import (
	"context"
	"net"
	"sync"
	"time"

	"github.com/rs/zerolog"

	"buckthornpin"
)

// gateInterval is the time between two looks at whether connections are taken: the
// queue of a link that is offered twice what it carries grows by as much meanwhile.
const gateInterval = 50 * time.Millisecond

// Gate is a listener that closes its address for as long as new connections aren't
// wanted: a refused connection costs a link two packets, and tells its caller at once to
// go elsewhere. Its exported fields are set before Run.
type Gate struct {
	// Opened is the open listener; its address is what Listen opens again.
	Opened net.Listener
	Listen func() (net.Listener, error)
	// Wanted reports whether new connections are taken.
	Wanted func(now time.Time) bool
	Log    zerolog.Logger

	mu sync.Mutex
	// shut says that the address is closed for now, closed that it is for good.
	shut, closed bool
	// changed is made by those that wait for the address to open, and closed then.
	changed chan struct{}
}

// Run opens and closes the address until ctx ends.
func (g *Gate) Run(ctx context.Context) error {
	buckthornpin.Every(ctx, gateInterval, func(_ context.Context, now time.Time) { g.look(now) })
	return nil
}

// look closes or opens the address if that has changed.
func (g *Gate) look(now time.Time) {
	wanted := g.Wanted(now)
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.closed || wanted != g.shut {
		return
	}
	if !wanted {
		g.shut = true
		err := g.Opened.Close()
		g.Log.Info().Err(err).Stringer("address", g.Opened.Addr()).Msg("new connections are refused")
		return
	}
	l, err := g.Listen()
	if err != nil {
		g.Log.Error().Err(err).Msg("address can't be opened again")
		return
	}
	g.Opened, g.shut = l, false
	g.wake()
	g.Log.Info().Stringer("address", l.Addr()).Msg("new connections are taken again")
}

// wake wakes those that wait for the address to open. The caller holds mu.
func (g *Gate) wake() {
	if g.changed != nil {
		close(g.changed)
		g.changed = nil
	}
}

// Accept implements net.Listener.
func (g *Gate) Accept() (net.Conn, error) {
	for {
		l, opens := g.current()
		if opens != nil {
			<-opens
			continue
		}
		if l == nil {
			return nil, net.ErrClosed
		}
		c, err := l.Accept()
		if now, _ := g.current(); err == nil || now == l {
			return c, err
		}
	}
}

// current returns the open listener, nil if the gate was closed for good, and a channel
// that ends with the wait for it while it is shut.
func (g *Gate) current() (net.Listener, <-chan struct{}) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.closed {
		return nil, nil
	}
	if !g.shut {
		return g.Opened, nil
	}
	if g.changed == nil {
		g.changed = make(chan struct{})
	}
	return nil, g.changed
}

// Close implements net.Listener.
func (g *Gate) Close() error {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.closed {
		return nil
	}
	g.closed = true
	g.wake()
	if g.shut {
		return nil
	}
	return g.Opened.Close()
}

// Addr implements net.Listener.
func (g *Gate) Addr() net.Addr {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.Opened.Addr()
}
