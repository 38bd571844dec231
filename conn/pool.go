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

// Pool holds idle HTTP/1.1 connections. Unlike net/http it never sends a request
// twice, and tells whether any byte of it has left. Its exported fields are set
// before first use.
type Pool struct {
	// DialTimeout bounds how long a new connection may take.
	DialTimeout time.Duration
	// SilentAfter is how long a peer may leave data or keep-alive probes without
	// an acknowledgement before the connection counts as dead.
	SilentAfter time.Duration
	// Dialed counts new connections, if set.
	Dialed func()
	// Traffic counts the connections' bytes, if set.
	Traffic *Traffic
	// Dial opens a connection; nil is TCP.
	Dial func(ctx context.Context, address string) (net.Conn, error)

	mu   sync.Mutex
	idle map[string][]*Link
}

func (p *Pool) put(l *Link) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.idle == nil {
		p.idle = map[string][]*Link{}
	}
	p.idle[l.address] = append(p.idle[l.address], l)
}

// link returns a living idle connection or a new one.
func (p *Pool) link(ctx context.Context, address string) (*Link, error) {
	for {
		l := p.take(address)
		if l == nil {
			return p.dial(ctx, address)
		}
		if time.Now().Before(l.until) && l.quiet() {
			return l, nil
		}
		_ = l.Close()
	}
}

func (p *Pool) take(address string) *Link {
	p.mu.Lock()
	defer p.mu.Unlock()
	all := p.idle[address]
	if len(all) == 0 {
		return nil
	}
	l := all[len(all)-1]
	p.idle[address] = all[:len(all)-1]
	return l
}

// Idle counts the idle connections to an address.
func (p *Pool) Idle(address string) int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return len(p.idle[address])
}

// Sweep closes the connections whose idle time has passed.
func (p *Pool) Sweep(now time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for address, all := range p.idle {
		kept := all[:0]
		for _, l := range all {
			if now.Before(l.until) {
				kept = append(kept, l)
				continue
			}
			_ = l.Close()
		}
		p.idle[address] = kept
		if len(kept) == 0 {
			delete(p.idle, address)
		}
	}
}

func (p *Pool) dial(ctx context.Context, address string) (*Link, error) {
	if p.Dialed != nil {
		p.Dialed()
	}
	ctx, cancel := context.WithTimeout(ctx, p.DialTimeout)
	defer cancel()
	c, err := p.open(ctx, address)
	if err != nil {
		return nil, err
	}
	return &Link{Conn: c, pool: p, address: address, br: bufio.NewReaderSize(p.counted(c), exchangeBuffer)}, nil
}

func (p *Pool) open(ctx context.Context, address string) (net.Conn, error) {
	if p.Dial != nil {
		return p.Dial(ctx, address)
	}
	return dialer(p.SilentAfter).DialContext(ctx, "tcp", address)
}

// counted returns the reading side of a connection.
func (p *Pool) counted(c net.Conn) io.Reader {
	if p.Traffic == nil {
		return c
	}
	return countedReader{Reader: c, traffic: p.Traffic}
}

// wrote counts bytes that were written.
func (p *Pool) wrote(n int64) {
	if p.Traffic != nil {
		p.Traffic.out.Add(n)
	}
}

// dialer opens connections that end when the other side has been silent.
func dialer(silentAfter time.Duration) *net.Dialer {
	return &net.Dialer{KeepAliveConfig: probes(silentAfter), Control: userTimeout(silentAfter)}
}

// probeCount is how many keep-alive probes may stay without an answer.
const probeCount = 3

// probes finds a peer that has gone silent within about the given time.
func probes(silentAfter time.Duration) net.KeepAliveConfig {
	if silentAfter <= 0 {
		return net.KeepAliveConfig{}
	}
	every := max(silentAfter/probeCount, time.Second)
	return net.KeepAliveConfig{Enable: true, Idle: every, Interval: every, Count: probeCount}
}

// userTimeout sets TCP_USER_TIMEOUT, which ends a connection whose data isn't
// acknowledged.
func userTimeout(d time.Duration) func(network, address string, c syscall.RawConn) error {
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

// quiet reports whether an idle connection is open and has sent nothing: what
// waits there can't be the answer to the next request.
func (l *Link) quiet() bool {
	sc, ok := l.Conn.(syscall.Conn)
	if !ok {
		return true
	}
	raw, err := sc.SyscallConn()
	if err != nil {
		return false
	}
	quiet := false
	err = raw.Read(func(fd uintptr) bool {
		var one [1]byte
		_, _, err := unix.Recvfrom(int(fd), one[:], unix.MSG_PEEK|unix.MSG_DONTWAIT)
		quiet = errors.Is(err, unix.EAGAIN)
		return true
	})
	return err == nil && quiet && l.SetDeadline(time.Time{}) == nil
}
