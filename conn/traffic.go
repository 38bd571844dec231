package conn

import (
	"expvar"
	"io"
	"net"
)

// Traffic counts the bytes received and sent on connections since the process started.
type Traffic struct {
	in, out expvar.Int
}

// Metrics returns the counters.
func (t *Traffic) Metrics() *expvar.Map {
	m := new(expvar.Map)
	m.Set("bytes_in", &t.in)
	m.Set("bytes_out", &t.out)
	return m
}

// In returns the number of received bytes.
func (t *Traffic) In() int64 { return t.in.Value() }

// Out returns the number of sent bytes.
func (t *Traffic) Out() int64 { return t.out.Value() }

// Listener wraps a listener so that the bytes of its connections are counted.
func (t *Traffic) Listener(l net.Listener) net.Listener {
	return &countedListener{Listener: l, traffic: t}
}

type countedListener struct {
	net.Listener
	traffic *Traffic
}

// Accept implements net.Listener.
func (l *countedListener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return &countedConn{Conn: c, traffic: l.traffic}, nil
}

type countedConn struct {
	net.Conn
	traffic *Traffic
}

// CloseWrite closes the writing side. net/http calls it before it closes a connection
// whose request it hasn't read whole.
func (c *countedConn) CloseWrite() error {
	if half, ok := c.Conn.(interface{ CloseWrite() error }); ok {
		return half.CloseWrite()
	}
	return nil
}

// Read implements net.Conn.
func (c *countedConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	c.traffic.in.Add(int64(n))
	return n, err
}

// Write implements net.Conn.
func (c *countedConn) Write(p []byte) (int, error) {
	n, err := c.Conn.Write(p)
	c.traffic.out.Add(int64(n))
	return n, err
}

// countedReader counts the bytes read from a pooled connection. The connection itself
// isn't wrapped, since only a *net.TCPConn sends the head and the body of a request in
// one call.
type countedReader struct {
	io.Reader
	traffic *Traffic
}

// Read implements io.Reader.
func (r countedReader) Read(p []byte) (int, error) {
	n, err := r.Reader.Read(p)
	r.traffic.in.Add(int64(n))
	return n, err
}
