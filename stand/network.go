package stand

import (
	"context"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/go-faster/errors"

	"buckthornpin"
)

// Network is an in-memory network for tests that run on a fake clock (testing/synctest):
// its connections block only on channels and timers. Its zero value is ready to use.
type Network struct {
	mu        sync.Mutex
	listeners map[string]*Listener
}

// Link is a VM's link to a Network. It has one queue in each direction, shared by all
// connections of the VM. Its exported fields are set before use. A nil Link has unlimited
// bandwidth.
type Link struct {
	// BytesPerSecond is the bandwidth of each direction.
	BytesPerSecond float64
	in, out        queue
}

// QueueDelays returns how long bytes that reach the link now wait in its queues for each
// direction.
func (l *Link) QueueDelays() (in, out time.Duration) { return l.in.delay(), l.out.delay() }

// queue is one direction of a link.
type queue struct {
	mu sync.Mutex
	// freeAt is the time when all bytes sent so far have passed the queue.
	freeAt time.Time
}

// delay returns how long bytes that arrive now wait.
func (q *queue) delay() time.Duration {
	q.mu.Lock()
	defer q.mu.Unlock()
	return max(time.Until(q.freeAt), 0)
}

// enqueue adds n bytes that reach the queue at a given time. It returns when they have
// passed it.
func (q *queue) enqueue(n int, rate float64, at time.Time) time.Time {
	q.mu.Lock()
	defer q.mu.Unlock()
	if q.freeAt.Before(at) {
		q.freeAt = at
	}
	q.freeAt = q.freeAt.Add(time.Duration(float64(n) / rate * float64(time.Second)))
	return q.freeAt
}

const (
	// propagationDelay is the time that bytes take in addition to waiting in queues, as
	// within an availability zone.
	propagationDelay = time.Millisecond
	// windowBytes is the largest number of unread bytes that a connection holds in each
	// direction.
	windowBytes = 32 << 10
	// maxPayloadBytes is the largest payload of a packet, which passes a queue as a whole.
	maxPayloadBytes = 1448
	// packetHeaderBytes is the size of a packet's headers.
	packetHeaderBytes = 66
	// headerTimeout limits how long a client may take to send its headers. It is longer
	// than any test runs on its fake clock.
	headerTimeout = time.Hour
	// backlog is the number of connections that may wait to be accepted by a listener.
	backlog = 512
)

// Listen opens a listener at an address of the VM with link l.
func (n *Network) Listen(address string, l *Link) *Listener {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.listeners == nil {
		n.listeners = map[string]*Listener{}
	}
	out := &Listener{address: networkAddress(address), link: l, pending: make(chan net.Conn, backlog), closed: make(chan struct{})}
	n.listeners[address] = out
	return out
}

// Serve serves HTTP/1.1 and HTTP/2 without TLS at an address of the VM with link l.
func (n *Network) Serve(address string, l *Link, h http.Handler) *http.Server {
	s := &http.Server{Handler: h, Protocols: new(http.Protocols), ReadHeaderTimeout: headerTimeout}
	s.Protocols.SetHTTP1(true)
	s.Protocols.SetUnencryptedHTTP2(true)
	listener := n.Listen(address, l)
	go func() { _ = s.Serve(listener) }()
	return s
}

// Dial connects the VM with link from to an address. The handshake passes both links.
func (n *Network) Dial(ctx context.Context, from *Link, address string) (net.Conn, error) {
	n.mu.Lock()
	l := n.listeners[address]
	n.mu.Unlock()
	if l == nil || l.isClosed() {
		return nil, errors.Errorf("nothing listens at %s", address)
	}
	toServer, toClient := newStream(from, l.link), newStream(l.link, from)
	if err := sleep(ctx, time.Until(toServer.transmit(1))); err != nil {
		return nil, err
	}
	replyDelay := time.Until(toClient.transmit(1))
	client := &Conn{in: toClient, out: toServer, local: "caller", remote: l.address}
	if !l.enqueue(&Conn{in: toServer, out: toClient, local: l.address, remote: "caller"}) {
		return nil, errors.Errorf("%s is closed or its backlog is full", address)
	}
	return client, sleep(ctx, replyDelay)
}

// sleep waits for d or until ctx ends, which is an error.
func sleep(ctx context.Context, d time.Duration) error {
	buckthornpin.Wait(ctx, d)
	return ctx.Err()
}

// Listener is a net.Listener of a Network.
type Listener struct {
	address networkAddress
	link    *Link
	pending chan net.Conn
	mu      sync.Mutex
	closed  chan struct{}
}

// enqueue adds a connection to accept. It returns false if the listener is closed or its
// backlog is full.
func (l *Listener) enqueue(c net.Conn) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.isClosed() {
		return false
	}
	select {
	case l.pending <- c:
		return true
	default:
		return false
	}
}

// Accept implements net.Listener.
func (l *Listener) Accept() (net.Conn, error) {
	select {
	case c := <-l.pending:
		return c, nil
	case <-l.closed:
		return nil, net.ErrClosed
	}
}

// Close implements net.Listener. It closes the connections that wait to be accepted.
func (l *Listener) Close() error {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.isClosed() {
		return nil
	}
	close(l.closed)
	for {
		select {
		case c := <-l.pending:
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
