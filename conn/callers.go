package conn

import (
	"context"
	"expvar"
	"net"
	"net/http"
	"sync/atomic"
	"time"
)

// Callers counts a server's connections and the requests that each has carried. Its
// zero value is ready.
type Callers struct {
	open   atomic.Int64
	opened expvar.Int
}

// Use is what one connection has carried.
type Use struct {
	// OpenedAt is when the connection was accepted.
	OpenedAt time.Time
	// Requests counts those that were read from it. One request is read at a time.
	Requests int64
}

type useKey struct{}

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
		return context.WithValue(ctx, useKey{}, &Use{OpenedAt: time.Now()})
	}
}

// Open returns the number of open connections.
func (c *Callers) Open() int64 { return c.open.Load() }

// Metrics returns the counters.
func (c *Callers) Metrics() *expvar.Map {
	m := new(expvar.Map)
	m.Set("open", expvar.Func(func() any { return c.open.Load() }))
	m.Set("opened", &c.opened)
	return m
}

// CountRequest notes a request on its connection and returns what the connection has
// carried, this one included; the zero value if the server isn't watched.
func CountRequest(ctx context.Context) Use {
	u, ok := ctx.Value(useKey{}).(*Use)
	if !ok {
		return Use{}
	}
	u.Requests++
	return *u
}
