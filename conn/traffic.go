package conn

import (
	"expvar"
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
