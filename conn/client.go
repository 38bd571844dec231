// Package conn makes the HTTP clients and servers of all links, with the limits
// and timeouts that find connections which have gone silent.
package conn

import (
	"context"
	"crypto/tls"
	"net"
	"net/http"
	"time"
)

const (
	// DialTimeout bounds how long a new connection may take.
	DialTimeout = 2 * time.Second
	// PingAfter is how long an HTTP/2 connection may be silent before a ping.
	PingAfter = 2 * time.Second
	// PingTimeout is how long the answer to a ping may take.
	PingTimeout = 2 * time.Second
	// IdleTimeout closes pooled connections before the path between the two
	// ends forgets them.
	IdleTimeout = 20 * time.Second
	// maxIdlePerHost bounds the pooled connections to one host.
	maxIdlePerHost = 256
	// externalBuffer is the size of the buffers of a connection to an endpoint,
	// of which there is one for each open stream.
	externalBuffer = 1 << 10
)

// Via is an address that is reached through another one.
type Via struct {
	Address string
	Through string
}

// Dialer makes HTTP clients. Its exported fields are set before first use.
type Dialer struct {
	// TLS is nil for plain connections.
	TLS *tls.Config
	// Via are the addresses that are reached through another one.
	Via []Via
	// Traffic counts the connections' bytes, if set.
	Traffic *Traffic
	// SilentAfter is how long bytes may stay without an acknowledgement before a
	// connection counts as dead, and how long the answer to a ping may take, which is
	// sent after half of that without any bytes; PingAfter and PingTimeout apply if 0.
	SilentAfter time.Duration
	// Dial opens a connection; nil is TCP.
	Dial func(ctx context.Context, address string) (net.Conn, error)
}

// Internal returns a client for the calls between our own processes: HTTP/2,
// with pings.
func (d *Dialer) Internal() *http.Client {
	t := d.transport()
	t.Protocols = new(http.Protocols)
	t.Protocols.SetHTTP2(true)
	t.Protocols.SetUnencryptedHTTP2(d.TLS == nil)
	t.HTTP2 = &http.HTTP2Config{SendPingTimeout: PingAfter, PingTimeout: PingTimeout}
	if d.SilentAfter > 0 {
		t.HTTP2 = &http.HTTP2Config{SendPingTimeout: d.SilentAfter / 2, PingTimeout: d.SilentAfter}
	}
	return &http.Client{Transport: t}
}

// External returns a client for endpoints and operators: HTTP/1.1, whose
// connections carry one request at a time.
func (d *Dialer) External() *http.Client {
	t := d.transport()
	t.Protocols = new(http.Protocols)
	t.Protocols.SetHTTP1(true)
	t.ReadBufferSize = externalBuffer
	t.WriteBufferSize = externalBuffer
	return &http.Client{Transport: t}
}

// Fresh returns a client that opens a new connection for each request.
func (d *Dialer) Fresh() *http.Client {
	c := d.External()
	c.Transport.(*http.Transport).DisableKeepAlives = true
	return c
}

// Scheme returns the URL scheme of the connections.
func (d *Dialer) Scheme() string {
	if d.TLS == nil {
		return "http"
	}
	return "https"
}

func (d *Dialer) transport() *http.Transport {
	return &http.Transport{
		DialContext:         d.dial,
		TLSClientConfig:     d.TLS,
		TLSHandshakeTimeout: DialTimeout,
		IdleConnTimeout:     IdleTimeout,
		MaxIdleConnsPerHost: maxIdlePerHost,
		DisableCompression:  true,
	}
}

func (d *Dialer) dial(ctx context.Context, network, address string) (net.Conn, error) {
	for _, v := range d.Via {
		if v.Address == address {
			address = v.Through
			break
		}
	}
	if d.Dial != nil {
		return d.Dial(ctx, address)
	}
	plain := &net.Dialer{Timeout: DialTimeout, KeepAlive: PingAfter}
	if d.SilentAfter > 0 {
		plain = dialer(d.SilentAfter)
		plain.Timeout = d.SilentAfter
	}
	c, err := plain.DialContext(ctx, network, address)
	if err != nil || d.Traffic == nil {
		return c, err
	}
	return &countedConn{Conn: c, traffic: d.Traffic}, nil
}
