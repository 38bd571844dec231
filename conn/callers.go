package conn

import (
	"context"
	"expvar"
	"net"
	"net/http"
)

// Callers counts a server's connections and the requests that each has carried. Its
// zero value is ready.
type Callers struct {
	open, opened expvar.Int
}

// requestsKey is the key of a connection's number of requests, of which one is read at
// a time.
type requestsKey struct{}

// Watch counts the connections of a server. It comes before the server runs.
func (c *Callers) Watch(s *http.Server) {
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
		return context.WithValue(ctx, requestsKey{}, new(int64))
	}
}

// Open returns the number of open connections.
func (c *Callers) Open() int64 { return c.open.Value() }

// Metrics returns the counters.
func (c *Callers) Metrics() *expvar.Map {
	m := new(expvar.Map)
	m.Set("open", &c.open)
	m.Set("opened", &c.opened)
	return m
}

// CountRequest notes a request on its connection and returns how many that has carried,
// this one included; 0 if the server isn't watched.
func CountRequest(ctx context.Context) int64 {
	n, ok := ctx.Value(requestsKey{}).(*int64)
	if !ok {
		return 0
	}
	*n++
	return *n
}
