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
	read, write   *oneWay
	local, remote networkAddress
}

// Read implements net.Conn.
func (c *Conn) Read(p []byte) (int, error) { return c.read.read(p) }

// Write implements net.Conn.
func (c *Conn) Write(p []byte) (int, error) { return c.write.send(p) }

// CloseWrite ends the connection in one direction.
func (c *Conn) CloseWrite() error {
	c.write.end()
	return nil
}

// Close implements net.Conn.
func (c *Conn) Close() error {
	c.write.end()
	c.read.abandon()
	return nil
}

// LocalAddr implements net.Conn.
func (c *Conn) LocalAddr() net.Addr { return c.local }

// RemoteAddr implements net.Conn.
func (c *Conn) RemoteAddr() net.Addr { return c.remote }

// SetDeadline implements net.Conn.
func (c *Conn) SetDeadline(t time.Time) error {
	c.read.setDeadline(&c.read.readBy, t)
	c.write.setDeadline(&c.write.writeBy, t)
	return nil
}

// SetReadDeadline implements net.Conn.
func (c *Conn) SetReadDeadline(t time.Time) error {
	c.read.setDeadline(&c.read.readBy, t)
	return nil
}

// SetWriteDeadline implements net.Conn.
func (c *Conn) SetWriteDeadline(t time.Time) error {
	c.write.setDeadline(&c.write.writeBy, t)
	return nil
}

// oneWay is one direction of a connection.
type oneWay struct {
	from, to *Link

	mu      sync.Mutex
	packets []packet
	// held are bytes that were sent and not read.
	held            int
	ended, gone     bool
	readBy, writeBy time.Time
	// changed is closed at each change.
	changed chan struct{}
}

type packet struct {
	at   time.Time
	data []byte
}

func newStream(from, to *Link) *oneWay {
	return &oneWay{from: from, to: to, changed: make(chan struct{})}
}

// arrival sends n bytes and returns when they arrive.
func (o *oneWay) arrival(n int) time.Time {
	at := time.Now()
	if o.from != nil {
		at = o.from.out.pass(n+packetHead, o.from.BytesPerSecond, at)
	}
	at = at.Add(networkDelay)
	if o.to != nil {
		at = o.to.in.pass(n+packetHead, o.to.BytesPerSecond, at)
	}
	return at
}

func (o *oneWay) send(p []byte) (int, error) {
	o.mu.Lock()
	defer o.mu.Unlock()
	sent := 0
	for sent < len(p) {
		switch {
		case o.ended:
			return sent, net.ErrClosed
		case o.gone:
			return sent, syscall.EPIPE
		case passed(o.writeBy):
			return sent, os.ErrDeadlineExceeded
		case o.held >= windowBytes:
			o.wait(o.writeBy)
			continue
		}
		n := min(len(p)-sent, packetBytes, windowBytes-o.held)
		o.packets = append(o.packets, packet{at: o.arrival(n), data: append([]byte(nil), p[sent:sent+n]...)})
		o.held += n
		sent += n
		o.notify()
	}
	return sent, nil
}

func (o *oneWay) read(p []byte) (int, error) {
	o.mu.Lock()
	defer o.mu.Unlock()
	for {
		if o.gone {
			return 0, net.ErrClosed
		}
		if passed(o.readBy) {
			return 0, os.ErrDeadlineExceeded
		}
		if len(o.packets) == 0 {
			if o.ended {
				return 0, io.EOF
			}
			o.wait(o.readBy)
			continue
		}
		first := &o.packets[0]
		if first.at.After(time.Now()) {
			o.wait(first.at, o.readBy)
			continue
		}
		n := copy(p, first.data)
		if first.data = first.data[n:]; len(first.data) == 0 {
			o.packets = o.packets[1:]
		}
		o.held -= n
		o.notify()
		return n, nil
	}
}

func passed(t time.Time) bool { return !t.IsZero() && !time.Now().Before(t) }

// wait waits for a change or the earliest of some times. The caller holds mu.
func (o *oneWay) wait(until ...time.Time) {
	changed := o.changed
	var earliest time.Time
	for _, t := range until {
		if !t.IsZero() && (earliest.IsZero() || t.Before(earliest)) {
			earliest = t
		}
	}
	o.mu.Unlock()
	defer o.mu.Lock()
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

// notify wakes all that wait. The caller holds mu.
func (o *oneWay) notify() {
	close(o.changed)
	o.changed = make(chan struct{})
}

func (o *oneWay) end() {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.ended = true
	o.notify()
}

// abandon drops what wasn't read: the other side can send no more.
func (o *oneWay) abandon() {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.gone = true
	o.packets = nil
	o.notify()
}

func (o *oneWay) setDeadline(which *time.Time, t time.Time) {
	o.mu.Lock()
	defer o.mu.Unlock()
	*which = t
	o.notify()
}
