package stand

import (
	"io"
	"net"
	"os"
	"sync"
	"syscall"
	"time"
)

// Conn is one end of a connection of a Network.
type Conn struct {
	in, out       *stream
	local, remote networkAddress
}

// Read implements net.Conn.
func (c *Conn) Read(p []byte) (int, error) { return c.in.read(p) }

// Write implements net.Conn.
func (c *Conn) Write(p []byte) (int, error) { return c.out.write(p) }

// CloseWrite ends the direction that this end writes to.
func (c *Conn) CloseWrite() error {
	c.out.closeWrite()
	return nil
}

// Close implements net.Conn.
func (c *Conn) Close() error {
	c.out.closeWrite()
	c.in.closeRead()
	return nil
}

// LocalAddr implements net.Conn.
func (c *Conn) LocalAddr() net.Addr { return c.local }

// RemoteAddr implements net.Conn.
func (c *Conn) RemoteAddr() net.Addr { return c.remote }

// SetDeadline implements net.Conn.
func (c *Conn) SetDeadline(t time.Time) error {
	c.in.setDeadline(&c.in.readDeadline, t)
	c.out.setDeadline(&c.out.writeDeadline, t)
	return nil
}

// SetReadDeadline implements net.Conn.
func (c *Conn) SetReadDeadline(t time.Time) error {
	c.in.setDeadline(&c.in.readDeadline, t)
	return nil
}

// SetWriteDeadline implements net.Conn.
func (c *Conn) SetWriteDeadline(t time.Time) error {
	c.out.setDeadline(&c.out.writeDeadline, t)
	return nil
}

// stream is one direction of a connection.
type stream struct {
	from, to *Link

	mu      sync.Mutex
	packets []packet
	// unread is the number of bytes that were sent and not yet read.
	unread                      int
	writeClosed, readClosed     bool
	readDeadline, writeDeadline time.Time
	// changed is closed and replaced at each change.
	changed chan struct{}
}

type packet struct {
	arrivesAt time.Time
	data      []byte
}

func newStream(from, to *Link) *stream {
	return &stream{from: from, to: to, changed: make(chan struct{})}
}

// transmit passes a packet with n bytes through the queues of both links and returns when
// it arrives.
func (s *stream) transmit(n int) time.Time {
	at := time.Now()
	if s.from != nil {
		at = s.from.out.enqueue(n+packetHeaderBytes, s.from.BytesPerSecond, at)
	}
	at = at.Add(propagationDelay)
	if s.to != nil {
		at = s.to.in.enqueue(n+packetHeaderBytes, s.to.BytesPerSecond, at)
	}
	return at
}

// write sends p in packets. It waits while the window is full.
func (s *stream) write(p []byte) (int, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	sent := 0
	for sent < len(p) {
		switch {
		case s.writeClosed:
			return sent, net.ErrClosed
		case s.readClosed:
			return sent, syscall.EPIPE
		case hasPassed(s.writeDeadline):
			return sent, os.ErrDeadlineExceeded
		case s.unread >= windowBytes:
			s.wait(s.writeDeadline)
			continue
		}
		n := min(len(p)-sent, maxPayloadBytes, windowBytes-s.unread)
		s.packets = append(s.packets, packet{arrivesAt: s.transmit(n), data: append([]byte(nil), p[sent:sent+n]...)})
		s.unread += n
		sent += n
		s.notify()
	}
	return sent, nil
}

// read waits for a packet to arrive and copies from it.
func (s *stream) read(p []byte) (int, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for {
		if s.readClosed {
			return 0, net.ErrClosed
		}
		if hasPassed(s.readDeadline) {
			return 0, os.ErrDeadlineExceeded
		}
		if len(s.packets) == 0 {
			if s.writeClosed {
				return 0, io.EOF
			}
			s.wait(s.readDeadline)
			continue
		}
		first := &s.packets[0]
		if first.arrivesAt.After(time.Now()) {
			s.wait(first.arrivesAt, s.readDeadline)
			continue
		}
		n := copy(p, first.data)
		if first.data = first.data[n:]; len(first.data) == 0 {
			s.packets = s.packets[1:]
		}
		s.unread -= n
		s.notify()
		return n, nil
	}
}

// hasPassed reports whether a deadline has passed. A zero time never does.
func hasPassed(t time.Time) bool { return !t.IsZero() && !time.Now().Before(t) }

// wait waits for a change or for the earliest of the times that aren't zero. The caller
// holds mu, which is released meanwhile.
func (s *stream) wait(deadlines ...time.Time) {
	changed := s.changed
	var earliest time.Time
	for _, t := range deadlines {
		if !t.IsZero() && (earliest.IsZero() || t.Before(earliest)) {
			earliest = t
		}
	}
	s.mu.Unlock()
	defer s.mu.Lock()
	if earliest.IsZero() {
		<-changed
		return
	}
	t := time.NewTimer(time.Until(earliest))
	defer t.Stop()
	select {
	case <-changed:
	case <-t.C:
	}
}

// notify wakes all waiting readers and writers. The caller holds mu.
func (s *stream) notify() {
	close(s.changed)
	s.changed = make(chan struct{})
}

// closeWrite ends the stream behind the bytes that were sent.
func (s *stream) closeWrite() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.writeClosed = true
	s.notify()
}

// closeRead drops the unread packets. The other side can't send any more.
func (s *stream) closeRead() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.readClosed = true
	s.packets = nil
	s.notify()
}

// setDeadline sets one of the stream's deadlines.
func (s *stream) setDeadline(deadline *time.Time, t time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	*deadline = t
	s.notify()
}
