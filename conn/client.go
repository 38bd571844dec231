// Package conn makes the HTTP clients and servers of all links, with the limits
// and timeouts that find connections which have gone silent.
package conn

import (
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
)

// InternalClient returns a client for the calls between our own processes:
// HTTP/2, with pings.
func InternalClient(tlsConfig *tls.Config) *http.Client {
	t := transport(tlsConfig)
	t.Protocols = new(http.Protocols)
	t.Protocols.SetHTTP2(true)
	t.Protocols.SetUnencryptedHTTP2(tlsConfig == nil)
	t.HTTP2 = &http.HTTP2Config{SendPingTimeout: PingAfter, PingTimeout: PingTimeout}
	return &http.Client{Transport: t}
}

// ExternalClient returns a client for endpoints and operators: HTTP/1.1, whose
// connections carry one request at a time.
func ExternalClient(tlsConfig *tls.Config) *http.Client {
	t := transport(tlsConfig)
	t.Protocols = new(http.Protocols)
	t.Protocols.SetHTTP1(true)
	return &http.Client{Transport: t}
}

// FreshClient returns a client that opens a new connection for each request.
func FreshClient(tlsConfig *tls.Config) *http.Client {
	c := ExternalClient(tlsConfig)
	c.Transport.(*http.Transport).DisableKeepAlives = true
	return c
}

func transport(tlsConfig *tls.Config) *http.Transport {
	d := &net.Dialer{Timeout: DialTimeout, KeepAlive: PingAfter}
	return &http.Transport{
		DialContext:         d.DialContext,
		TLSClientConfig:     tlsConfig,
		TLSHandshakeTimeout: DialTimeout,
		IdleConnTimeout:     IdleTimeout,
		MaxIdleConnsPerHost: maxIdlePerHost,
		DisableCompression:  true,
	}
}

// Scheme returns the URL scheme for a link.
func Scheme(tlsConfig *tls.Config) string {
	if tlsConfig == nil {
		return "http"
	}
	return "https"
}
