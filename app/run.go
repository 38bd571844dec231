package app

import (
	"context"
	"crypto/tls"
	"log"
	"net"
	"net/http"
	"os"
	"strings"
	"time"

	"github.com/go-faster/errors"
	"github.com/rs/zerolog"

	"buckthornpin"
	"buckthornpin/config"
	"buckthornpin/conn"
	"buckthornpin/ctrl"
	"buckthornpin/health"
)

// Run serves until ctx ends, then stops gracefully: readiness off, no new work,
// each request in progress to its end. A second signal changes nothing.
func (p *Process) Run(ctx context.Context) error {
	inner, stop := context.WithCancel(context.WithoutCancel(ctx))
	defer stop()
	parts, err := p.parts(inner)
	if err != nil {
		return err
	}
	p.record(buckthornpin.EventStarted, p.Build.Version)
	p.Log.Info().Str("build", p.Build.Version).Msg("started")
	err = runParts(ctx, inner, parts, func() { p.drain(inner) }, func() {
		p.record(buckthornpin.EventStopping, "")
		stop()
	})
	p.Log.Info().Err(err).Msg("stopped")
	return err
}

// drain finishes what is in progress.
func (p *Process) drain(ctx context.Context) {
	p.draining.Store(true)
	p.Log.Info().Msg("draining")
	if p.router == nil {
		return
	}
	wait(ctx, time.Duration(p.Settings.Platf.DrainDelay))
	p.refusing.Store(true)
	done := make(chan struct{})
	go func() {
		p.router.Drain()
		close(done)
	}()
	select {
	case <-done:
	case <-time.After(time.Duration(p.Settings.Platf.DrainTimeout)):
		p.Log.Error().Int64("requests", p.router.InProgress()).Msg("drain timeout has passed with requests in progress")
	}
	p.purse.Close(ctx)
}

func wait(ctx context.Context, d time.Duration) {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
	case <-ctx.Done():
	}
}

// parts returns the goroutines of the process.
func (p *Process) parts(ctx context.Context) ([]part, error) {
	parts := []part{{"batcher", p.batcher.Run}, {"mirror", p.mirror.Run}, p.platform()}
	operators, err := p.operators.Handler()
	if err != nil {
		return nil, err
	}
	parts = append(parts, p.serve("oper", p.Listeners.Oper, operators, p.serverTLS(false), 0))
	if p.Settings.Has(config.RoleControl) {
		p.links.Open(ctx)
		service := &ctrl.Service{Replica: p.replica, Events: p.line}
		parts = append(parts, part{"replica", p.replica.Run}, part{"links", p.links.Run},
			p.serveInternal("ctrl", p.Listeners.Ctrl, p.connectMux(service.Register)))
	}
	if p.Settings.Has(config.RoleRouter) {
		return p.routerParts(ctx, parts)
	}
	return parts, nil
}

func (p *Process) routerParts(ctx context.Context, parts []part) ([]part, error) {
	p.router.Open(ctx)
	callers, err := p.callers.Handler()
	if err != nil {
		return nil, err
	}
	announcements, err := p.announce.Handler()
	if err != nil {
		return nil, err
	}
	return append(parts, part{"register", p.register}, part{"gossip", p.gossip.Run}, part{"purse", p.purse.Run},
		p.serve("caller", p.Listeners.Caller, callers, p.serverTLS(false), p.Settings.Caller.MaxConnections),
		p.serve("endpt", p.Listeners.Endpt, announcements, nil, 0),
		p.serveInternal("peer", p.Listeners.Peer, p.connectMux(p.gossip.Register))), nil
}

func (p *Process) platform() part {
	s := &health.Server{Ready: p.Ready, Draining: p.draining.Load, Metrics: p.metrics}
	return p.serve("platf", p.Listeners.Platf, s.Handler(), nil, 0)
}

func (p *Process) serverTLS(mutual bool) *tls.Config {
	if p.files == nil {
		return nil
	}
	return p.files.ServerConfig(mutual)
}

func (p *Process) serve(name string, l net.Listener, h http.Handler, t *tls.Config, maxConnections int) part {
	s := &conn.Server{
		Listener: l, Handler: h, TLS: t, MaxConnections: maxConnections,
		MaxHeaderBytes: p.Settings.Caller.MaxHeaderBytes, DrainTimeout: stopTimeout, ErrorLog: p.errorLog(name),
	}
	return part{name, s.Run}
}

// serveInternal serves our own processes, with certificates on both sides.
func (p *Process) serveInternal(name string, l net.Listener, h http.Handler) part {
	s := &conn.Server{Listener: p.traffic.Listener(l), Handler: h, TLS: p.serverTLS(true), DrainTimeout: internalStopTimeout, UnencryptedHTTP2: true, ErrorLog: p.errorLog(name)}
	return part{name, s.Run}
}

// errorLog turns what the HTTP servers say into JSON lines.
func (p *Process) errorLog(name string) *log.Logger {
	l := p.Log.With().Str("server", name).Str("level", zerolog.LevelWarnValue).Logger()
	return log.New(l, "", 0)
}

func readSecret(path string) (string, error) {
	data, err := os.ReadFile(path)
	if err != nil {
		return "", errors.Wrap(err, "secret")
	}
	return strings.TrimSpace(string(data)), nil
}
