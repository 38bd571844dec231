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

// writeErrorDelay bounds how long a write error is held back while an answer is still being read.
const writeErrorDelay = 500 * time.Millisecond

// externalTransport sends requests over HTTP/1.1 connections. It applies the same checks to answers
// as Pool: the head and the trailer must be valid, and EOF is an error if the write of the request
// has failed.
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

// endCheckedConn is a connection on which EOF is an error if the write of the request has failed.
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

// Write implements net.Conn. It delays an error until reads have ended, at most by writeErrorDelay:
// net/http gives up the exchange on a write error, even if the whole answer has arrived.
func (c *endCheckedConn) Write(p []byte) (int, error) {
	n, err := c.Conn.Write(p)
	if err == nil {
		return n, nil
	}
	if w := c.write.Load(); w != nil {
		w.end(err)
	}
	timer := time.NewTimer(writeErrorDelay)
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

// dialEndChecked opens a connection on which EOF is checked.
func (d *Dialer) dialEndChecked(ctx context.Context, network, address string) (net.Conn, error) {
	c, err := d.dial(ctx, network, address)
	if err != nil {
		return nil, err
	}
	return newEndCheckedConn(c), nil
}
