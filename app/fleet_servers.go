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
	"buckthornpin/memory"
	platf "buckthornpin/platform"
	"buckthornpin/relay"
	"buckthornpin/store"
)

// tasks returns the long-running tasks of the process.
func (p *PlatformProcess) tasks(ctx context.Context) ([]task, error) {
	mux := http.NewServeMux()
	opts := []connect.HandlerOption{connect.WithReadMaxBytes(store.MaxRecordBytes), connect.WithCompressMinBytes(compressMinBytes)}
	p.mesh.Register(mux, opts...)
	tasks := []task{{"mesh", p.mesh.Run}, {"reload", p.reload}}
	if p.replica != nil {
		p.transport.Open(ctx)
		(&ctrl.Service{Replica: p.replica, Events: p.events}).Register(mux, opts...)
		tasks = append(tasks, task{"replica", p.replica.Run}, task{"links", p.transport.Run}, task{"joiner", p.joiner.Run})
	} else {
		tasks = append(tasks, task{"mirror", p.mirror.Run}, task{"wallet", p.shares.Run}, task{"loads", p.mesh.RunLoads}, task{"guard", p.router.Guard.Run}, task{"router", p.router.Run}, task{"sweep", p.sweep})
	}
	served := p.servedAddresses(mux)
	if p.replica != nil && len(p.Settings.Operator.KeyHashes) > 0 {
		h, err := p.operatorsHandler()
		if err != nil {
			return nil, &Error{Op: "open operators' interface", Kind: KindSetup, Err: err}
		}
		served = append(served, servedAddress{name: "operators", address: p.Settings.Operator.Address, server: &http.Server{Handler: p.limitMessages(memory.UseCall, h), ReadHeaderTimeout: callerHeaderTimeout}})
	}
	for _, s := range served {
		l, err := net.Listen("tcp", s.address)
		if err != nil {
			return nil, &Error{Op: "listen", Kind: KindSetup, Err: err}
		}
		if s.acceptsConnections != nil {
			pausable := &conn.PausableListener{
				Listener: l, Listen: func() (net.Listener, error) { return net.Listen("tcp", s.address) }, AcceptsConnections: s.acceptsConnections, Log: p.Log,
			}
			tasks = append(tasks, task{"gate", pausable.Run})
			l = pausable
		}
		tasks = append(tasks, task{s.name, p.serve(p.dialer.Traffic.Listener(l), s.server)})
	}
	return tasks, nil
}

type servedAddress struct {
	name, address string
	server        *http.Server
	// acceptsConnections reports whether new connections are accepted. A nil
	// function accepts them always.
	acceptsConnections func(now time.Time) bool
}

// servedAddresses returns the addresses that the process serves and their
// servers. On a router the callers' server comes first; drain relies on it.
func (p *PlatformProcess) servedAddresses(internal http.Handler) []servedAddress {
	platform := p.Settings.Platform
	var out []servedAddress
	if p.router != nil {
		p.callerHandler.Handler = &platf.Ingress{Router: p, MaxBodyBytes: p.maxBodyBytes}
		callerServer := &http.Server{Handler: &p.callerHandler, ReadHeaderTimeout: callerHeaderTimeout, IdleTimeout: callerIdleTimeout, MaxHeaderBytes: maxCallerHeaderBytes}
		p.callerConnections.CountConnections(callerServer)
		out = append(out, servedAddress{name: "callers", address: platform.CallerAddress, server: callerServer, acceptsConnections: p.router.Guard.AcceptsConnections})
		out = append(out, servedAddress{name: "ready", address: platform.ReadyAddress, server: &http.Server{Handler: platf.ReadyHandler(p.Ready), ReadHeaderTimeout: callerHeaderTimeout}})
	} else {
		s := &platf.ControlServer{Control: &platformControl{process: p}, Log: p.Log, Timeout: controlTimeout}
		server := &http.Server{Handler: p.limitMessages(memory.UseCall, s.Handler()), ReadHeaderTimeout: callerHeaderTimeout}
		conn.RememberIncarnations(server)
		out = append(out, servedAddress{name: "control", address: platform.ControlAddress, server: server})
	}
	mesh := &http.Server{Handler: p.limitMessages(memory.UseMessage, internal), Protocols: new(http.Protocols), ReadHeaderTimeout: callerHeaderTimeout}
	mesh.Protocols.SetHTTP1(true)
	mesh.Protocols.SetUnencryptedHTTP2(true)
	mesh.HTTP2 = &http.HTTP2Config{SendPingTimeout: time.Duration(platform.Contact) / 4, PingTimeout: time.Duration(platform.Contact) / 2}
	out = append(out, servedAddress{name: "internal", address: platform.MeshAddress(), server: mesh})
	m := &health.Server{Ready: p.processReady, Draining: p.draining.Load, Metrics: p.metrics}
	metrics := &http.Server{Handler: m.Handler(), ReadHeaderTimeout: callerHeaderTimeout}
	out = append(out, servedAddress{name: "metrics", address: net.JoinHostPort(platform.IP, strconv.Itoa(platform.MetricsPort)), server: metrics})
	for _, s := range out {
		p.servers = append(p.servers, s.server)
	}
	return out
}

// limitMessages bounds the memory that messages take which a handler receives.
func (p *PlatformProcess) limitMessages(u memory.Use, h http.Handler) http.Handler {
	return &conn.MessageLimiter{Account: p.memory, Use: u, Handler: h}
}

// processReady reports whether the process is ready: a router by Ready, a control
// replica always.
func (p *PlatformProcess) processReady() bool { return p.router == nil || p.Ready() }

func (p *PlatformProcess) maxBodyBytes() int64 {
	if t := p.mirror.Table(); t != nil && t.Limits.MaxBodyBytes > 0 {
		return t.Limits.MaxBodyBytes
	}
	return defaultMaxBodyBytes
}

// Admit implements the Router interface of platf.Ingress.
func (p *PlatformProcess) Admit(v relay.Arrival) relay.Admission { return p.router.Admit(v) }

// RefuseBody implements the Router interface of platf.Ingress.
func (p *PlatformProcess) RefuseBody(q *relay.Request, err error) relay.Refusal {
	return p.router.RefuseBody(q, err)
}

// Serve implements the Router interface of platf.Ingress.
func (p *PlatformProcess) Serve(r *http.Request, q *relay.Request, reply relay.Reply) {
	p.router.Serve(r.Context(), q, reply)
}

// serve returns a task that runs a server until ctx ends.
func (p *PlatformProcess) serve(l net.Listener, s *http.Server) func(ctx context.Context) error {
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
