package stand

import (
	"context"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/go-faster/errors"
)

// Network is a network in memory, for tests on a clock of their own: its connections
// only wait on channels and timers. Its zero value is ready.
type Network struct {
	mu        sync.Mutex
	listeners map[string]*Listener
}

// Link is a VM's link to a Network: one queue in each direction, shared by all
// connections of the VM. Its exported fields are set before use; a nil Link is
// unbounded.
type Link struct {
	// BytesPerSecond is what each direction carries.
	BytesPerSecond float64
	in, out        queue
}

// Waits returns how long bytes that arrive now wait on their way in and out.
func (l *Link) Waits() (in, out time.Duration) { return l.in.wait(), l.out.wait() }

// queue is one direction of a link.
type queue struct {
	mu sync.Mutex
	// freeAt is when all that was sent has passed.
	freeAt time.Time
}

func (q *queue) wait() time.Duration {
	q.mu.Lock()
	defer q.mu.Unlock()
	return max(time.Until(q.freeAt), 0)
}

// pass returns when n bytes that reach the queue at a time have passed it.
func (q *queue) pass(n int, rate float64, at time.Time) time.Time {
	q.mu.Lock()
	defer q.mu.Unlock()
	if q.freeAt.Before(at) {
		q.freeAt = at
	}
	q.freeAt = q.freeAt.Add(time.Duration(float64(n) / rate * float64(time.Second)))
	return q.freeAt
}

const (
	// networkDelay is the time that bytes take beside their waits: a zone's.
	networkDelay = time.Millisecond
	// windowBytes is what a connection carries in a direction before it is read.
	windowBytes = 32 << 10
	// packetBytes is the longest part of a message that passes a queue at once.
	packetBytes = 1448
	// packetHead is what a packet carries besides.
	packetHead = 66
	// headerTimeout is how long a client may take for its headers: longer than tests play.
	headerTimeout = time.Hour
	// backlog is the number of connections that wait for a listener.
	backlog = 512
)

// Listen opens an address on a link.
func (n *Network) Listen(address string, l *Link) *Listener {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.listeners == nil {
		n.listeners = map[string]*Listener{}
	}
	out := &Listener{address: networkAddress(address), link: l, waiting: make(chan net.Conn, backlog), closed: make(chan struct{})}
	n.listeners[address] = out
	return out
}

// Serve serves HTTP/1.1 and HTTP/2 without TLS at an address on a link.
func (n *Network) Serve(address string, l *Link, h http.Handler) *http.Server {
	s := &http.Server{Handler: h, Protocols: new(http.Protocols), ReadHeaderTimeout: headerTimeout}
	s.Protocols.SetHTTP1(true)
	s.Protocols.SetUnencryptedHTTP2(true)
	listener := n.Listen(address, l)
	go func() { _ = s.Serve(listener) }()
	return s
}

// Dial connects a VM's link to an address. The handshake passes both links.
func (n *Network) Dial(ctx context.Context, from *Link, address string) (net.Conn, error) {
	n.mu.Lock()
	l := n.listeners[address]
	n.mu.Unlock()
	if l == nil || l.isClosed() {
		return nil, errors.Errorf("nothing listens at %s", address)
	}
	there, back := newStream(from, l.link), newStream(l.link, from)
	if err := sleep(ctx, time.Until(there.arrival(1))); err != nil {
		return nil, err
	}
	accepted := time.Until(back.arrival(1))
	here := &Conn{read: back, write: there, local: "caller", remote: l.address}
	if !l.offer(&Conn{read: there, write: back, local: l.address, remote: "caller"}) {
		return nil, errors.Errorf("%s is closed, or too many wait there", address)
	}
	return here, sleep(ctx, accepted)
}

func sleep(ctx context.Context, d time.Duration) error {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

// Listener implements net.Listener in memory.
type Listener struct {
	address networkAddress
	link    *Link
	waiting chan net.Conn
	mu      sync.Mutex
	closed  chan struct{}
}

// offer puts a connection before the listener, if that is open.
func (l *Listener) offer(c net.Conn) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.isClosed() {
		return false
	}
	select {
	case l.waiting <- c:
		return true
	default:
		return false
	}
}

// Accept implements net.Listener.
func (l *Listener) Accept() (net.Conn, error) {
	select {
	case c := <-l.waiting:
		return c, nil
	case <-l.closed:
		return nil, net.ErrClosed
	}
}

// Close implements net.Listener. Connections that wait to be accepted end.
func (l *Listener) Close() error {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.isClosed() {
		return nil
	}
	close(l.closed)
	for {
		select {
		case c := <-l.waiting:
			_ = c.Close()
		default:
			return nil
		}
	}
}

func (l *Listener) isClosed() bool {
	select {
	case <-l.closed:
		return true
	default:
		return false
	}
}

// Addr implements net.Listener.
func (l *Listener) Addr() net.Addr { return l.address }

type networkAddress string

// Network implements net.Addr.
func (networkAddress) Network() string { return "memory" }

// String implements net.Addr.
func (a networkAddress) String() string { return string(a) }
