package app

import (
	"context"
	"net"
	"net/http"
	"strconv"
	"time"

	"connectrpc.com/connect"
	"github.com/go-faster/errors"

	"buckthornpin/conn"
	"buckthornpin/ctrl"
	"buckthornpin/health"
	platf "buckthornpin/platform"
	"buckthornpin/relay"
	"buckthornpin/store"
)

// parts returns the goroutines of the process.
func (f *Fleet) parts(ctx context.Context) ([]part, error) {
	mux := http.NewServeMux()
	opts := []connect.HandlerOption{connect.WithReadMaxBytes(store.MaxRecordBytes), connect.WithCompressMinBytes(compressMinBytes)}
	f.mesh.Register(mux, opts...)
	parts := []part{{"mesh", f.mesh.Run}, {"reload", f.reload}}
	if f.replica != nil {
		f.links.Open(ctx)
		(&ctrl.Service{Replica: f.replica, Events: f.events}).Register(mux, opts...)
		parts = append(parts, part{"replica", f.replica.Run}, part{"links", f.links.Run}, part{"joiner", f.joiner.Run})
	} else {
		parts = append(parts, part{"mirror", f.mirror.Run}, part{"wallet", f.wallet.Run}, part{"loads", f.mesh.RunLoads}, part{"guard", f.router.Guard.Run}, part{"router", f.router.Run}, part{"sweep", f.sweep})
	}
	served := f.addressesServed(mux)
	if f.replica != nil && len(f.Settings.Oper.KeyHashes) > 0 {
		h, err := f.operators()
		if err != nil {
			return nil, &Error{Op: "open operators' interface", Kind: KindSetup, Err: err}
		}
		served = append(served, servedAddress{name: "operators", address: f.Settings.Oper.Address, server: &http.Server{Handler: h, ReadHeaderTimeout: callerHeaderTimeout}})
	}
	for _, s := range served {
		l, err := net.Listen("tcp", s.address)
		if err != nil {
			return nil, &Error{Op: "listen", Kind: KindSetup, Err: err}
		}
		if s.wanted != nil {
			gate := &conn.PausableListener{
				Listener: l, Listen: func() (net.Listener, error) { return net.Listen("tcp", s.address) }, AcceptsConnections: s.wanted, Log: f.Log,
			}
			parts = append(parts, part{"gate", gate.Run})
			l = gate
		}
		parts = append(parts, part{s.name, f.serve(f.dialer.Traffic.Listener(l), s.server)})
	}
	return parts, nil
}

type servedAddress struct {
	name, address string
	server        *http.Server
	// wanted reports whether new connections are taken; nil is always.
	wanted func(now time.Time) bool
}

// addressesServed are the listeners of the process; a router's callers come
// first.
func (f *Fleet) addressesServed(internal http.Handler) []servedAddress {
	p := f.Settings.Platform
	var out []servedAddress
	if f.router != nil {
		ingress := &platf.Ingress{Router: f, MaxBodyBytes: f.maxBody}
		front := &http.Server{Handler: ingress, ReadHeaderTimeout: callerHeaderTimeout, IdleTimeout: callerIdle, MaxHeaderBytes: callerHeaderBytes}
		f.callers.CountConnections(front)
		out = append(out, servedAddress{name: "callers", address: p.CallerAddress, server: front, wanted: f.router.Guard.AcceptsConnections})
		out = append(out, servedAddress{name: "ready", address: p.ReadyAddress, server: &http.Server{Handler: platf.ReadyHandler(f.Ready), ReadHeaderTimeout: callerHeaderTimeout}})
	} else {
		s := &platf.ControlServer{Control: &fleetControl{fleet: f}, Log: f.Log, Timeout: controlTimeout}
		out = append(out, servedAddress{name: "control", address: p.ControlAddress, server: &http.Server{Handler: s.Handler(), ReadHeaderTimeout: callerHeaderTimeout}})
	}
	mesh := &http.Server{Handler: internal, Protocols: new(http.Protocols), ReadHeaderTimeout: callerHeaderTimeout}
	mesh.Protocols.SetHTTP1(true)
	mesh.Protocols.SetUnencryptedHTTP2(true)
	mesh.HTTP2 = &http.HTTP2Config{SendPingTimeout: time.Duration(p.Contact) / 4, PingTimeout: time.Duration(p.Contact) / 2}
	out = append(out, servedAddress{name: "internal", address: p.MeshAddress(), server: mesh})
	m := &health.Server{Ready: f.alive, Draining: f.draining.Load, Metrics: f.metrics}
	metrics := &http.Server{Handler: m.Handler(), ReadHeaderTimeout: callerHeaderTimeout}
	out = append(out, servedAddress{name: "metrics", address: net.JoinHostPort(p.IP, strconv.Itoa(p.MetricsPort)), server: metrics})
	for _, s := range out {
		f.servers = append(f.servers, s.server)
	}
	return out
}

func (f *Fleet) alive() bool { return f.router == nil || f.Ready() }

func (f *Fleet) maxBody() int64 {
	if t := f.mirror.Table(); t != nil && t.Limits.MaxBodyBytes > 0 {
		return t.Limits.MaxBodyBytes
	}
	return defaultBodyBytes
}

// Admit implements the ingress's router.
func (f *Fleet) Admit(id, host, path string, bytes int64, now time.Time) relay.Admission {
	return f.router.Admit(id, host, path, bytes, now)
}

// Serve implements the ingress's router.
func (f *Fleet) Serve(r *http.Request, q *relay.Request, reply relay.Reply) {
	f.router.Serve(r.Context(), q, reply)
}

// serve runs a server until ctx ends.
func (f *Fleet) serve(l net.Listener, s *http.Server) func(ctx context.Context) error {
	return func(ctx context.Context) error {
		done := make(chan error, 1)
		go func() { done <- s.Serve(l) }()
		select {
		case err := <-done:
			if errors.Is(err, http.ErrServerClosed) {
				<-ctx.Done()
				return nil
			}
			return err
		case <-ctx.Done():
			return s.Close()
		}
	}
}
