package conn

import (
	"context"
	"expvar"
	"net"
	"net/http"
)

// ConnectionCounter counts the connections of a server and the requests on each of
// them. Its zero value is ready to use.
type ConnectionCounter struct {
	open, opened expvar.Int
}

// requestCountKey is the context key of the number of requests on a connection. The
// number needs no lock, since an HTTP/1.1 connection reads one request at a time.
type requestCountKey struct{}

// CountConnections makes c count the connections of a server. It must be called before
// the server runs.
func (c *ConnectionCounter) CountConnections(s *http.Server) {
	s.ConnState = func(_ net.Conn, state http.ConnState) {
		switch state {
		case http.StateNew:
			c.open.Add(1)
			c.opened.Add(1)
		case http.StateClosed, http.StateHijacked:
			c.open.Add(-1)
		default:
		}
	}
	s.ConnContext = func(ctx context.Context, _ net.Conn) context.Context {
		return context.WithValue(ctx, requestCountKey{}, new(int64))
	}
}

// Open returns the number of open connections.
func (c *ConnectionCounter) Open() int64 { return c.open.Value() }

// Metrics returns the counters of open connections and of all connections since the
// start.
func (c *ConnectionCounter) Metrics() *expvar.Map {
	m := new(expvar.Map)
	m.Set("open", &c.open)
	m.Set("opened", &c.opened)
	return m
}

// CountRequest counts a request on its connection and returns the number of requests on
// that connection so far, this one included. It returns 0 if no ConnectionCounter counts
// the connections of the server.
func CountRequest(ctx context.Context) int64 {
	n, ok := ctx.Value(requestCountKey{}).(*int64)
	if !ok {
		return 0
	}
	*n++
	return *n
}
