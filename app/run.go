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

// Run serves until ctx ends, then stops gracefully: it turns readiness off,
// refuses new requests and finishes those in progress. A second signal has no
// effect.
func (p *Process) Run(ctx context.Context) error {
	taskCtx, stop := context.WithCancel(context.WithoutCancel(ctx))
	defer stop()
	tasks, err := p.tasks(taskCtx)
	if err != nil {
		return err
	}
	p.record(buckthornpin.EventStarted, p.Build.Version)
	p.Log.Info().Str("build", p.Build.Version).Msg("started")
	err = runTasks(ctx, taskCtx, tasks, func() { p.drain(taskCtx) }, func() {
		p.record(buckthornpin.EventStopping, "")
		stop()
	})
	p.Log.Info().Err(err).Msg("stopped")
	return err
}

// drain waits for the drain delay, refuses new requests, and waits until those in
// progress have ended or the drain timeout has passed. It then gives the leases
// back.
func (p *Process) drain(ctx context.Context) {
	p.draining.Store(true)
	p.Log.Info().Msg("draining")
	if p.router == nil {
		return
	}
	p.callerHandler.StartClosing()
	buckthornpin.Wait(ctx, time.Duration(p.Settings.Balancer.DrainDelay))
	p.refusingRequests.Store(true)
	done := make(chan struct{})
	go func() {
		p.router.Drain()
		close(done)
	}()
	select {
	case <-done:
	case <-time.After(time.Duration(p.Settings.Balancer.DrainTimeout)):
		p.Log.Error().Int64("requests", p.router.InProgress()).Msg("drain timeout has passed with requests in progress")
	}
	p.leases.Close(ctx)
}

// tasks returns the long-running tasks of the process.
func (p *Process) tasks(ctx context.Context) ([]task, error) {
	tasks := []task{{"batcher", p.batcher.Run}, {"mirror", p.mirror.Run}, p.healthTask()}
	operators, err := p.operatorServer.Handler()
	if err != nil {
		return nil, err
	}
	tasks = append(tasks, p.serve("oper", p.Listeners.Oper, operators, p.serverTLS(false), 0))
	if p.Settings.HasRole(config.RoleControl) {
		p.transport.Open(ctx)
		service := &ctrl.Service{Replica: p.replica, Events: p.timeline}
		tasks = append(tasks, task{"replica", p.replica.Run}, task{"links", p.transport.Run},
			p.serveInternal("ctrl", p.Listeners.Ctrl, p.connectMux(service.Register)))
	}
	if p.Settings.HasRole(config.RoleRouter) {
		return p.routerTasks(ctx, tasks)
	}
	return tasks, nil
}

func (p *Process) routerTasks(ctx context.Context, tasks []task) ([]task, error) {
	p.router.Open(ctx)
	callers, err := p.callerServer.Handler()
	if err != nil {
		return nil, err
	}
	p.callerHandler.Handler = callers
	announcements, err := p.announcements.Handler()
	if err != nil {
		return nil, err
	}
	return append(tasks, task{"register", p.register}, task{"gossip", p.gossip.Run}, task{"purse", p.leases.Run},
		p.serve("caller", p.Listeners.Caller, &p.callerHandler, p.serverTLS(false), p.Settings.Caller.MaxConnections),
		p.serve("endpt", p.Listeners.Endpt, announcements, nil, 0),
		p.serveInternal("peer", p.Listeners.Peer, p.connectMux(p.gossip.Register))), nil
}

func (p *Process) healthTask() task {
	s := &health.Server{Ready: p.Ready, Draining: p.draining.Load, Metrics: p.metrics}
	return p.serve("platf", p.Listeners.Platf, s.Handler(), nil, 0)
}

func (p *Process) serverTLS(mutual bool) *tls.Config {
	if p.tlsFiles == nil {
		return nil
	}
	return p.tlsFiles.ServerConfig(mutual)
}

func (p *Process) serve(name string, l net.Listener, h http.Handler, t *tls.Config, maxConnections int) task {
	s := &conn.Server{
		Listener: l, Handler: h, TLS: t, MaxConnections: maxConnections,
		MaxHeaderBytes: p.Settings.Caller.MaxHeaderBytes, DrainTimeout: stopTimeout, ErrorLog: p.errorLog(name),
	}
	return task{name, s.Run}
}

// serveInternal serves calls of other processes of the system. With TLS, both
// sides present certificates.
func (p *Process) serveInternal(name string, l net.Listener, h http.Handler) task {
	s := &conn.Server{Listener: p.traffic.Listener(l), Handler: h, TLS: p.serverTLS(true), DrainTimeout: internalStopTimeout, UnencryptedHTTP2: true, ErrorLog: p.errorLog(name)}
	return task{name, s.Run}
}

// errorLog returns a logger that writes the messages of an HTTP server as JSON
// lines.
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
