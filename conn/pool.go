package conn

import (
	"bufio"
	"context"
	"io"
	"net"
	"sync"
	"syscall"
	"time"

	"github.com/go-faster/errors"
	"golang.org/x/sys/unix"
)

// Pool sends requests over HTTP/1.1 connections and keeps idle ones for reuse. Unlike
// net/http it never sends a request twice, and it reports whether any byte of a request
// has left this process. Its exported fields are set before first use.
type Pool struct {
	// DialTimeout bounds the opening of a connection.
	DialTimeout time.Duration
	// SilenceTimeout is how long the other side may leave data or keep-alive probes
	// without an acknowledgement before the connection is considered dead.
	SilenceTimeout time.Duration
	// OnDial is called before each new connection is opened, if set. It serves to count
	// them.
	OnDial func()
	// Traffic counts the connections' bytes, if set.
	Traffic *Traffic
	// Dial opens a connection. If nil, TCP is used.
	Dial func(ctx context.Context, address string) (net.Conn, error)

	mu   sync.Mutex
	idle map[string][]*Connection
}

func (p *Pool) putIdle(c *Connection) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.idle == nil {
		p.idle = map[string][]*Connection{}
	}
	p.idle[c.address] = append(p.idle[c.address], c)
}

// connection returns a reusable idle connection or a new one.
func (p *Pool) connection(ctx context.Context, address string) (*Connection, error) {
	for {
		c := p.takeIdle(address)
		if c == nil {
			return p.dial(ctx, address)
		}
		if time.Now().Before(c.idleUntil) && c.prepareReuse() {
			return c, nil
		}
		_ = c.Close()
	}
}

func (p *Pool) takeIdle(address string) *Connection {
	p.mu.Lock()
	defer p.mu.Unlock()
	all := p.idle[address]
	if len(all) == 0 {
		return nil
	}
	c := all[len(all)-1]
	p.idle[address] = all[:len(all)-1]
	return c
}

// IdleCount returns the number of idle connections to an address.
func (p *Pool) IdleCount(address string) int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return len(p.idle[address])
}

// Sweep closes the idle connections whose idle timeout has passed.
func (p *Pool) Sweep(now time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for address, all := range p.idle {
		kept := all[:0]
		for _, c := range all {
			if now.Before(c.idleUntil) {
				kept = append(kept, c)
				continue
			}
			_ = c.Close()
		}
		p.idle[address] = kept
		if len(kept) == 0 {
			delete(p.idle, address)
		}
	}
}

func (p *Pool) dial(ctx context.Context, address string) (*Connection, error) {
	if p.OnDial != nil {
		p.OnDial()
	}
	ctx, cancel := context.WithTimeout(ctx, p.DialTimeout)
	defer cancel()
	c, err := p.open(ctx, address)
	if err != nil {
		return nil, err
	}
	head := &headReader{Reader: p.trafficReader(c)}
	return &Connection{Conn: c, pool: p, address: address, reader: bufio.NewReaderSize(head, readBufferBytes), head: head}, nil
}

func (p *Pool) open(ctx context.Context, address string) (net.Conn, error) {
	if p.Dial != nil {
		return p.Dial(ctx, address)
	}
	return newDialer(p.SilenceTimeout).DialContext(ctx, "tcp", address)
}

// trafficReader returns the reading side of a connection, with its bytes counted if
// Traffic is set.
func (p *Pool) trafficReader(c net.Conn) io.Reader {
	if p.Traffic == nil {
		return c
	}
	return countedReader{Reader: c, traffic: p.Traffic}
}

// countWritten counts written bytes, if Traffic is set.
func (p *Pool) countWritten(n int64) {
	if p.Traffic != nil {
		p.Traffic.out.Add(n)
	}
}

// newDialer returns a dialer whose connections fail when the other side is silent for
// the given time.
func newDialer(silenceTimeout time.Duration) *net.Dialer {
	return &net.Dialer{KeepAliveConfig: keepAliveConfig(silenceTimeout), Control: setUserTimeout(silenceTimeout)}
}

// probeCount is the number of keep-alive probes that may stay without an answer.
const probeCount = 3

// keepAliveConfig returns a configuration that detects a silent peer within about the
// given time.
func keepAliveConfig(silenceTimeout time.Duration) net.KeepAliveConfig {
	if silenceTimeout <= 0 {
		return net.KeepAliveConfig{}
	}
	interval := max(silenceTimeout/probeCount, time.Second)
	return net.KeepAliveConfig{Enable: true, Idle: interval, Interval: interval, Count: probeCount}
}

// setUserTimeout returns a function that sets TCP_USER_TIMEOUT, which ends a connection
// whose sent data stays without an acknowledgement for d.
func setUserTimeout(d time.Duration) func(network, address string, c syscall.RawConn) error {
	if d <= 0 {
		return nil
	}
	return func(_, _ string, c syscall.RawConn) error {
		var err error
		ctrlErr := c.Control(func(fd uintptr) {
			err = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(d.Milliseconds()))
		})
		return errors.Join(ctrlErr, err)
	}
}

// prepareReuse reports whether an idle connection is open and has no unread bytes: they
// could not be the answer to the next request. It clears the deadline of such a
// connection. A connection without a file descriptor isn't checked.
func (c *Connection) prepareReuse() bool {
	sc, ok := c.Conn.(syscall.Conn)
	if !ok {
		return true
	}
	raw, err := sc.SyscallConn()
	if err != nil {
		return false
	}
	openAndEmpty := false
	err = raw.Read(func(fd uintptr) bool {
		var one [1]byte
		_, _, err := unix.Recvfrom(int(fd), one[:], unix.MSG_PEEK|unix.MSG_DONTWAIT)
		openAndEmpty = errors.Is(err, unix.EAGAIN)
		return true
	})
	return err == nil && openAndEmpty && c.SetDeadline(time.Time{}) == nil
}
