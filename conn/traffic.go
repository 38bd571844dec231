package conn

import (
	"expvar"
	"io"
	"net"
)

// Traffic counts the bytes of connections since the process started.
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

// In returns the bytes that have come in.
func (t *Traffic) In() int64 { return t.in.Value() }

// Out returns the bytes that have gone out.
func (t *Traffic) Out() int64 { return t.out.Value() }

// Listener returns a listener whose connections are counted.
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

// CloseWrite ends the connection in one direction, as net/http does before it closes
// a connection whose request it hasn't read.
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

// countedReader counts what is read from a pooled connection. That isn't wrapped itself:
// head and body of a request leave it in one call only as a TCP connection.
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
