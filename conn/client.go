// Package conn provides the HTTP clients and servers for all connections, with limits
// and with timeouts that detect connections on which the other side has gone silent.
package conn

import (
	"context"
	"crypto/tls"
	"net"
	"net/http"
	"time"
)

const (
	// DialTimeout bounds the opening of a connection.
	DialTimeout = 2 * time.Second
	// PingAfter is how long an HTTP/2 connection may be silent before a ping is sent.
	PingAfter = 2 * time.Second
	// PingTimeout bounds the wait for the answer to a ping.
	PingTimeout = 2 * time.Second
	// IdleTimeout closes idle pooled connections before the network path between the
	// two sides drops their state.
	IdleTimeout = 20 * time.Second
	// maxIdlePerHost bounds the idle pooled connections to one host.
	maxIdlePerHost = 256
	// externalBufferBytes is the size of the buffers of a connection to an endpoint. It
	// is small because each open stream has its own connection.
	externalBufferBytes = 1 << 10
)

// DialOverride redirects the connections to an address to another address.
type DialOverride struct {
	// Address is the address that is replaced.
	Address string
	// Through is the address that is dialed instead.
	Through string
}

// Dialer makes HTTP clients. Its exported fields are set before first use.
type Dialer struct {
	// TLS is nil for plain connections.
	TLS *tls.Config
	// Overrides holds the redirected addresses.
	Overrides []DialOverride
	// Traffic counts the connections' bytes, if set.
	Traffic *Traffic
	// SilenceTimeout is how long sent bytes may stay without an acknowledgement before
	// a connection is considered dead. It also bounds the opening of a connection, and
	// the wait for the answer to a ping, which is sent when a connection has received
	// nothing for half of that time. If 0, DialTimeout, PingTimeout and PingAfter apply.
	SilenceTimeout time.Duration
	// MaxIdlePerHost bounds the idle pooled connections of an external client to one host. If 0,
	// maxIdlePerHost applies.
	MaxIdlePerHost int
	// Dial opens a connection. If nil, TCP is used.
	Dial func(ctx context.Context, address string) (net.Conn, error)
}

// InternalClient returns a client for calls between processes of the system. It uses
// HTTP/2 with pings.
func (d *Dialer) InternalClient() *http.Client {
	t := d.transport()
	t.Protocols = new(http.Protocols)
	t.Protocols.SetHTTP2(true)
	t.Protocols.SetUnencryptedHTTP2(d.TLS == nil)
	t.HTTP2 = &http.HTTP2Config{SendPingTimeout: PingAfter, PingTimeout: PingTimeout}
	if d.SilenceTimeout > 0 {
		t.HTTP2 = &http.HTTP2Config{SendPingTimeout: d.SilenceTimeout / 2, PingTimeout: d.SilenceTimeout}
	}
	return &http.Client{Transport: t}
}

// ExternalClient returns a client for calls to endpoints and from operators. It uses
// HTTP/1.1, whose connections carry one request at a time.
func (d *Dialer) ExternalClient() *http.Client {
	t := d.transport()
	t.DialContext = d.dialEndChecked
	t.Protocols = new(http.Protocols)
	t.Protocols.SetHTTP1(true)
	t.MaxResponseHeaderBytes = maxHeadBytes
	t.ReadBufferSize = externalBufferBytes
	t.WriteBufferSize = externalBufferBytes
	if d.MaxIdlePerHost > 0 {
		t.MaxIdleConnsPerHost = d.MaxIdlePerHost
	}
	return &http.Client{Transport: &externalTransport{Transport: t}}
}

// UnpooledClient returns a client that opens a new connection for each request.
func (d *Dialer) UnpooledClient() *http.Client {
	c := d.ExternalClient()
	c.Transport.(*externalTransport).DisableKeepAlives = true
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
	for _, v := range d.Overrides {
		if v.Address == address {
			address = v.Through
			break
		}
	}
	if d.Dial != nil {
		return d.Dial(ctx, address)
	}
	plain := &net.Dialer{Timeout: DialTimeout, KeepAlive: PingAfter}
	if d.SilenceTimeout > 0 {
		plain = newDialer(d.SilenceTimeout)
		plain.Timeout = d.SilenceTimeout
	}
	c, err := plain.DialContext(ctx, network, address)
	if err != nil || d.Traffic == nil {
		return c, err
	}
	return &countedConn{Conn: c, traffic: d.Traffic}, nil
}
