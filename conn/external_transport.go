package conn

import (
	"context"
	"io"
	"net"
	"net/http"
	"net/http/httptrace"
	"sync/atomic"

	"github.com/go-faster/errors"
)

// externalTransport sends requests over HTTP/1.1 connections whose end counts as a read error if
// the write of a request has failed.
type externalTransport struct {
	*http.Transport
}

// RoundTrip implements http.RoundTripper.
func (t *externalTransport) RoundTrip(r *http.Request) (*http.Response, error) {
	var write atomic.Pointer[pendingWrite]
	trace := &httptrace.ClientTrace{
		// Called again if net/http sends the request once more, on another connection.
		GotConn: func(i httptrace.GotConnInfo) {
			w := newPendingWrite()
			write.Store(w)
			if c := endCheckedConnOf(i.Conn); c != nil {
				c.write.Store(w)
			}
		},
		WroteRequest: func(i httptrace.WroteRequestInfo) { write.Load().end(i.Err) },
	}
	return t.Transport.RoundTrip(r.WithContext(httptrace.WithClientTrace(r.Context(), trace)))
}

// endCheckedConn is a connection whose end counts as a read error if the other side didn't take
// the whole request.
type endCheckedConn struct {
	net.Conn
	write atomic.Pointer[pendingWrite]
}

// endCheckedConnOf returns the connection below TLS, or c itself if it is plain. It returns nil if
// that isn't an endCheckedConn.
func endCheckedConnOf(c net.Conn) *endCheckedConn {
	if secure, ok := c.(interface{ NetConn() net.Conn }); ok {
		c = secure.NetConn()
	}
	checked, _ := c.(*endCheckedConn)
	return checked
}

// Read implements net.Conn.
func (c *endCheckedConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if !errors.Is(err, io.EOF) {
		return n, err
	}
	if cut := c.write.Load().checkEnd(); cut != nil {
		return n, cut
	}
	return n, err
}

// dialEndChecked opens a connection for externalTransport.
func (d *Dialer) dialEndChecked(ctx context.Context, network, address string) (net.Conn, error) {
	c, err := d.dial(ctx, network, address)
	if err != nil {
		return nil, err
	}
	return &endCheckedConn{Conn: c}, nil
}
