package conn

import (
	"context"
	"crypto/tls"
	"log"
	"net"
	"net/http"
	"time"

	"github.com/go-faster/errors"
	"golang.org/x/net/netutil"

	"buckthornpin"
)

const (
	// readHeaderTimeout bounds how long a client may take to send the headers of a
	// request.
	readHeaderTimeout = 10 * time.Second
	// serverIdleTimeout is how long a connection without a request is kept open.
	serverIdleTimeout = 2 * time.Minute
)

// Server serves one address until its context ends. Its exported fields are set before
// Run.
type Server struct {
	// Listener is the open listener; Run closes it.
	Listener net.Listener
	Handler  http.Handler
	// TLS is nil for plain connections.
	TLS *tls.Config
	// MaxConnections bounds the open connections; 0 means no bound.
	MaxConnections int
	// MaxHeaderBytes bounds the size of a request's headers.
	MaxHeaderBytes int
	// DrainTimeout bounds how long requests in progress may take after the context has
	// ended.
	DrainTimeout time.Duration
	// UnencryptedHTTP2 allows HTTP/2 without TLS.
	UnencryptedHTTP2 bool
	// ErrorLog receives the errors of connections. If nil, the standard logger is used.
	ErrorLog *log.Logger
}

// Run serves until ctx ends, and then waits for the requests in progress, at most for
// DrainTimeout.
func (s *Server) Run(ctx context.Context) error {
	srv := &http.Server{
		Handler:           s.Handler,
		ErrorLog:          s.ErrorLog,
		ReadHeaderTimeout: readHeaderTimeout,
		IdleTimeout:       serverIdleTimeout,
		MaxHeaderBytes:    s.MaxHeaderBytes,
		Protocols:         new(http.Protocols),
		HTTP2:             &http.HTTP2Config{SendPingTimeout: PingAfter, PingTimeout: PingTimeout, MaxConcurrentStreams: 1 << 16},
	}
	srv.Protocols.SetHTTP1(true)
	srv.Protocols.SetHTTP2(true)
	srv.Protocols.SetUnencryptedHTTP2(s.UnencryptedHTTP2 && s.TLS == nil)
	done := make(chan error, 1)
	go func() { done <- srv.Serve(s.listener()) }()
	select {
	case err := <-done:
		return errors.Wrap(err, "serve")
	case <-ctx.Done():
	}
	return s.drain(ctx, srv)
}

func (s *Server) drain(ctx context.Context, srv *http.Server) error {
	drainCtx, cancel := context.WithTimeout(context.WithoutCancel(ctx), s.DrainTimeout)
	defer cancel()
	if err := srv.Shutdown(drainCtx); err != nil {
		return buckthornpin.WrapIf(srv.Close(), "close")
	}
	return nil
}

func (s *Server) listener() net.Listener {
	l := s.Listener
	if s.MaxConnections > 0 {
		l = netutil.LimitListener(l, s.MaxConnections)
	}
	if s.TLS != nil {
		return tls.NewListener(l, s.TLS)
	}
	return l
}
