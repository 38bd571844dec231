package conn

import (
	"context"
	"io"
	"net"
	"net/http"
	"net/http/httptrace"
	"sync"
	"sync/atomic"
	"time"

	"github.com/go-faster/errors"
)

// externalTransport sends requests over HTTP/1.1 connections. It holds answers to the same rules as
// Pool does: the end of a connection counts as a read error if the write of a request has failed,
// and a head that isn't one of an answer is an error.
type externalTransport struct {
	*http.Transport
}

// sentRequest is a request on its connection.
type sentRequest struct {
	on    net.Conn
	write *pendingWrite
}

// RoundTrip implements http.RoundTripper.
func (t *externalTransport) RoundTrip(r *http.Request) (*http.Response, error) {
	var sent atomic.Pointer[sentRequest]
	trace := &httptrace.ClientTrace{
		// Called again if net/http sends the request once more, on another connection.
		GotConn: func(i httptrace.GotConnInfo) {
			s := &sentRequest{on: i.Conn, write: newPendingWrite()}
			sent.Store(s)
			if c := endCheckedConnOf(i.Conn); c != nil {
				c.write.Store(s.write)
			}
		},
		WroteRequest: func(i httptrace.WroteRequestInfo) { sent.Load().write.end(i.Err) },
	}
	res, err := t.Transport.RoundTrip(r.WithContext(httptrace.WithClientTrace(r.Context(), trace)))
	if err != nil {
		return nil, err
	}
	if err := checkHead(res); err != nil {
		_ = sent.Load().on.Close() // Closing the body may leave the connection to the next request.
		_ = res.Body.Close()
		return nil, err
	}
	res.Body = checkTrailer(res)
	return res, nil
}

// endCheckedConn is a connection whose end counts as a read error if the other side didn't take
// the whole request.
type endCheckedConn struct {
	net.Conn
	write atomic.Pointer[pendingWrite]
	// readEnded is closed once nothing more will be read.
	readEnded chan struct{}
	endRead   sync.Once
}

func newEndCheckedConn(c net.Conn) *endCheckedConn {
	return &endCheckedConn{Conn: c, readEnded: make(chan struct{})}
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
	if err != nil {
		c.markReadEnded()
	}
	if !errors.Is(err, io.EOF) {
		return n, err
	}
	if cut := c.write.Load().checkEnd(); cut != nil {
		return n, cut
	}
	return n, err
}

// Write implements net.Conn. It returns an error only once reads have ended, or resetTimeout has
// passed: net/http gives the exchange up then, though the whole answer may have come.
func (c *endCheckedConn) Write(p []byte) (int, error) {
	n, err := c.Conn.Write(p)
	if err == nil {
		return n, nil
	}
	if w := c.write.Load(); w != nil {
		w.end(err)
	}
	timer := time.NewTimer(resetTimeout)
	defer timer.Stop()
	select {
	case <-c.readEnded:
	case <-timer.C:
	}
	return n, err
}

// Close implements net.Conn.
func (c *endCheckedConn) Close() error {
	c.markReadEnded()
	return c.Conn.Close()
}

func (c *endCheckedConn) markReadEnded() { c.endRead.Do(func() { close(c.readEnded) }) }

// dialEndChecked opens a connection for externalTransport.
func (d *Dialer) dialEndChecked(ctx context.Context, network, address string) (net.Conn, error) {
	c, err := d.dial(ctx, network, address)
	if err != nil {
		return nil, err
	}
	return newEndCheckedConn(c), nil
}
