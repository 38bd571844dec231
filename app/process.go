// Package app assembles the components of a process and implements the commands
// of the command line.
package app

import (
	"context"
	"expvar"
	"net"
	"net/http"
	"sync/atomic"
	"time"

	"connectrpc.com/connect"
	"github.com/go-faster/errors"
	"github.com/google/uuid"
	"github.com/rs/zerolog"

	"buckthornpin"
	"buckthornpin/budget"
	"buckthornpin/caller"
	"buckthornpin/config"
	"buckthornpin/conn"
	"buckthornpin/ctrl"
	"buckthornpin/endpt"
	"buckthornpin/event"
	"buckthornpin/oper"
	"buckthornpin/peer"
	"buckthornpin/route"
	"buckthornpin/router"
	"buckthornpin/store"
	"buckthornpin/wire"
)

const (
	// stopTimeout bounds how long servers may take to close when the process stops.
	stopTimeout = 5 * time.Second
	// internalStopTimeout is the same bound for servers of calls between processes of
	// the system. Their callers retry interrupted calls elsewhere.
	internalStopTimeout = 200 * time.Millisecond
	// registerRetryInterval is the pause between two attempts to register.
	registerRetryInterval = 200 * time.Millisecond
	// compressMinBytes is the smallest size of a reply between processes that is
	// compressed.
	compressMinBytes = 16 << 10
)

// Listeners holds the listeners of a process. Open opens those that are nil and
// needed, at their addresses in the settings.
type Listeners struct {
	Caller, Endpt, Peer, Ctrl, Oper, Platf net.Listener
}

// Process is one process of the system. Its exported fields are set before
// Open.
type Process struct {
	Settings  config.Settings
	Build     BuildInfo
	Log       zerolog.Logger
	Listeners Listeners

	timeline *event.Timeline
	clock    *event.Clock
	tlsFiles *conn.TLSFiles
	dialer   *conn.Dialer
	// traffic counts the bytes exchanged with other processes of the system.
	traffic          *conn.Traffic
	secret           string
	replica          *ctrl.Replica
	transport        *ctrl.StreamTransport
	client           *ctrl.Client
	batcher          *ctrl.Batcher
	mirror           *ctrl.Mirror
	directory        *peer.Directory
	gossip           *peer.Gossip
	leases           *budget.LeaseManager
	router           *router.Router
	callerServer     *caller.Server
	callerHandler    conn.ClosingHandler
	operatorServer   *oper.Server
	announcements    *endpt.AnnouncementServer
	incarnation      atomic.Int64
	draining         atomic.Bool
	refusingRequests atomic.Bool
	metrics          *expvar.Map
}

// Open sets the process up and opens its listeners.
func (p *Process) Open() error {
	p.clock = &event.Clock{}
	p.timeline = &event.Timeline{VM: p.Settings.VM, Role: roleName(p.Settings), Clock: p.clock}
	p.metrics = new(expvar.Map)
	p.Log = p.Log.With().Str("vm", p.Settings.VM).Str("zone", p.Settings.Zone).Str("role", roleName(p.Settings)).Logger()
	for _, step := range []func() error{p.openTLS, p.openSecret, p.openListeners, p.openReplica, p.openClient, p.openRouter} {
		if err := step(); err != nil {
			return &Error{Op: "open", Kind: KindSetup, Err: err}
		}
	}
	p.openOperators()
	return nil
}

func roleName(s config.Settings) string {
	if s.HasRole(config.RoleRouter) && s.HasRole(config.RoleControl) {
		return config.RoleRouter + "+" + config.RoleControl
	}
	return s.Roles[0]
}

func (p *Process) openTLS() error {
	p.traffic = &conn.Traffic{}
	p.metrics.Set("internal", p.traffic.Metrics())
	p.dialer = &conn.Dialer{Traffic: p.traffic, Overrides: dialOverrides(p.Settings)}
	t := p.Settings.TLS
	if !t.Enabled {
		return nil
	}
	p.tlsFiles = &conn.TLSFiles{CertFile: t.CertFile, KeyFile: t.KeyFile, CAFile: t.CAFile}
	var err error
	p.dialer.TLS, err = p.tlsFiles.ClientConfig()
	p.metrics.Set("unauthorised_processes", p.tlsFiles.Refused())
	return err
}

// dialOverrides returns the addresses that the process reaches through other
// addresses.
func dialOverrides(s config.Settings) []conn.DialOverride {
	var out []conn.DialOverride
	for _, v := range s.Dial {
		out = append(out, conn.DialOverride{Address: v.Address, Through: v.Through})
	}
	return out
}

func (p *Process) openSecret() error {
	path := p.Settings.Endpoint.SecretFile
	if path == "" {
		return nil
	}
	secret, err := readSecret(path)
	p.secret = secret
	return err
}

func (p *Process) openListeners() error {
	s, l := &p.Settings, &p.Listeners
	all := []struct {
		listener *net.Listener
		address  *string
		wanted   bool
	}{
		{&l.Oper, &s.Operator.Address, true},
		{&l.Platf, &s.Balancer.Address, true},
		{&l.Caller, &s.Caller.Address, s.HasRole(config.RoleRouter)},
		{&l.Endpt, &s.Endpoint.Address, s.HasRole(config.RoleRouter)},
		{&l.Peer, &s.Peer.Address, s.HasRole(config.RoleRouter)},
		{&l.Ctrl, &s.Control.Address, s.HasRole(config.RoleControl)},
	}
	for _, e := range all {
		if !e.wanted {
			continue
		}
		if err := openListener(e.listener, e.address); err != nil {
			return err
		}
	}
	return nil
}

// openListener opens a listener unless it is open, and stores its actual address.
func openListener(l *net.Listener, address *string) error {
	if *l == nil {
		opened, err := net.Listen("tcp", *address)
		if err != nil {
			return errors.Wrap(err, "listen")
		}
		*l = opened
	}
	*address = (*l).Addr().String()
	return nil
}

func (p *Process) openReplica() error {
	if !p.Settings.HasRole(config.RoleControl) {
		return nil
	}
	p.transport = &ctrl.StreamTransport{HTTP: p.dialer.InternalClient(), Scheme: p.dialer.Scheme(), Options: p.clientOptions()}
	p.replica = &ctrl.Replica{
		Folder: &store.Folder{Path: p.Settings.Control.DataDir}, Transport: p.transport, Events: p.timeline, Log: p.Log,
		Tick: time.Duration(p.Settings.Control.Tick), ElectionTicks: p.Settings.Control.ElectionTicks, SnapshotBytes: p.Settings.Control.SnapshotBytes,
	}
	if err := p.replica.Open(); err != nil {
		return err
	}
	p.metrics.Set("replica", p.replica.Metrics())
	return nil
}

func (p *Process) clientOptions() []connect.ClientOption {
	return []connect.ClientOption{connect.WithInterceptors(p.clock.Interceptor())}
}

func (p *Process) openClient() error {
	p.client = &ctrl.Client{
		Addresses: p.Settings.Control.Group, HTTP: p.dialer.InternalClient(),
		Scheme: p.dialer.Scheme(), Options: p.clientOptions(),
	}
	p.batcher = &ctrl.Batcher{Client: p.client}
	p.batcher.Open()
	p.mirror = &ctrl.Mirror{Client: p.client, Router: p.Settings.VM, Events: p.timeline, Log: p.Log}
	p.mirror.Open()
	return nil
}

func (p *Process) openRouter() error {
	if !p.Settings.HasRole(config.RoleRouter) {
		return nil
	}
	s := p.Settings
	plainDialer := &conn.Dialer{Overrides: p.dialer.Overrides}
	p.directory = &peer.Directory{Events: p.timeline, DeadAfter: time.Duration(s.Endpoint.DeadAfter), Addresses: p.mirror.AnnounceAddresses}
	p.gossip = &peer.Gossip{
		Router: s.VM, Address: s.Peer.Address, Directory: p.directory, HTTP: p.dialer.InternalClient(),
		Scheme: p.dialer.Scheme(), Options: p.clientOptions(), Peers: p.mirror.Peers,
		PeerAddress: func(vm string) string { return p.mirror.RouterState(vm).GetPeerAddress() },
	}
	p.leases = &budget.LeaseManager{
		Control: p.batcher, Router: s.VM, Incarnation: p.incarnation.Load, LastContact: p.mirror.LastReplyAt, Recalled: p.mirror.LeasesRecalled,
		Policy:          budget.Policy{Horizon: time.Duration(s.Budget.LeaseHorizon), IdleAfter: time.Duration(s.Budget.LeaseIdle)},
		MaxGrantPercent: s.Budget.LeasePercent, Events: p.timeline, Log: p.Log,
	}
	p.leases.Open()
	p.metrics.Set("budget", p.leases.Metrics())
	endpoints := &endpt.Client{
		HTTP: plainDialer.ExternalClient(), UnpooledHTTP: plainDialer.UnpooledClient(), Scheme: plainDialer.Scheme(), Secret: p.endpointSecret,
		SilenceTimeout: time.Duration(s.Endpoint.Silence), MaxAnswerBytes: s.Endpoint.MaxAnswerBytes,
		RefusesConnections: plainDialer.RefusesConnections,
	}
	p.router = &router.Router{
		VM: s.VM, Zone: s.Zone, Control: p.batcher, Leases: p.leases, Directory: p.directory, Holders: p.gossip, Events: p.timeline, Log: p.Log,
		Incarnation: p.incarnation.Load, Policy: p.mirror.Policy,
		MaxQueue: s.Route.MaxQueue, MaxAttempts: s.Route.MaxAttempts,
		ReserveTimeout: time.Duration(s.Budget.ReserveTimeout), SettleTimeout: time.Duration(s.Budget.SettleTimeout),
		ReconnectGrace: time.Duration(s.Caller.ReconnectGrace), KeptBytes: s.Caller.KeptBytes, ChargeOrphans: s.Budget.ChargeOrphans,
		Endpoints: endpoints, Limits: &p.gossip.Limits,
	}
	p.gossip.Limits.Fleet = func(time.Time) route.Fleet { return route.Fleet{Self: s.Peer.Address, Others: p.mirror.Peers()} }
	p.gossip.Limits.Changed = func(l route.RateLimit, heard bool) { logLimit(p.Log, l, heard) }
	endpoints.ObserveLimit = p.router.ObserveLimit
	endpoints.ObservePause = p.router.ObservePause
	endpoints.ObserveLeaving = p.router.ObserveLeaving
	p.gossip.HoldsKey = p.router.Holds
	p.gossip.Answer = p.router.Answer
	p.callerServer = &caller.Server{
		Accounts: p.mirror, Router: p.router, Models: p.directory, Events: p.timeline, MaxBodyBytes: s.Caller.MaxBodyBytes,
		DefaultDeadline: time.Duration(s.Caller.DefaultDeadline), KeepAlive: time.Duration(s.Caller.KeepAlive),
		WriteTimeout: time.Duration(s.Caller.WriteTimeout), Draining: p.refusingRequests.Load,
	}
	refused := new(expvar.Int)
	p.announcements = &endpt.AnnouncementServer{Directory: p.directory, Events: p.timeline, Secret: p.endpointSecret, UnauthorisedCalls: refused}
	p.metrics.Set("router", p.router.Metrics())
	p.metrics.Set("unauthorised_callers", p.callerServer.Unauthorised())
	p.metrics.Set("unauthorised_endpoints", refused)
	return nil
}

func (p *Process) endpointSecret() string { return p.secret }

func (p *Process) openOperators() {
	p.operatorServer = &oper.Server{Control: p.client, Timeline: p.timeline, Status: p.Status, IsOperatorKey: p.isOperator, HashKey: caller.HashKey}
	p.metrics.Set("unauthorised_operators", p.operatorServer.Unauthorised())
	p.metrics.Set("version", expvar.Func(func() any { return p.mirror.Version() }))
}

func (p *Process) isOperator(hash string) bool {
	for _, h := range p.Settings.Operator.KeyHashes {
		if h == hash {
			return true
		}
	}
	return p.mirror.IsOperatorKey(hash)
}

// Ready reports whether the process takes new work.
func (p *Process) Ready() bool {
	if !p.Settings.HasRole(config.RoleRouter) {
		return true
	}
	return p.mirror.Ready() && p.incarnation.Load() > 0
}

// Status returns the state of the process as operators see it.
func (p *Process) Status() oper.Status {
	s := oper.Status{
		VM: p.Settings.VM, Zone: p.Settings.Zone, Roles: p.Settings.Roles, Build: p.Build.Version,
		Ready: p.Ready(), Draining: p.draining.Load(), Version: p.mirror.Version(),
	}
	if p.replica != nil {
		s.Replica = replicaStatus(p.replica)
	}
	if p.router != nil {
		s.Requests = p.router.InProgress()
		s.Endpoints = endpointStatus(p.directory)
	}
	return s
}

// register obtains the incarnation of the router, without which it takes no
// requests.
func (p *Process) register(ctx context.Context) error {
	c := &wire.Command{Id: "register-" + uuid.NewString(), Op: &wire.Command_RegisterRouter{RegisterRouter: &wire.RegisterRouter{
		Router: p.Settings.VM, Zone: p.Settings.Zone, OperAddress: p.Settings.Operator.Address,
		PeerAddress: p.Settings.Peer.Address, EndptAddress: p.Settings.Endpoint.Address,
	}}}
	for ctx.Err() == nil {
		results, err := p.client.Execute(ctx, []*wire.Command{c})
		if err == nil && results[0].GetKind() == wire.ResultKind_RESULT_KIND_OK {
			p.incarnation.Store(results[0].GetVersion())
			p.Log.Info().Int64("incarnation", results[0].GetVersion()).Msg("router is registered")
			return nil
		}
		select {
		case <-ctx.Done():
		case <-time.After(registerRetryInterval):
		}
	}
	return nil
}

func (p *Process) record(k buckthornpin.EventKind, detail string) {
	p.timeline.Record(buckthornpin.Event{Kind: k, Detail: detail})
}

func (p *Process) connectMux(register func(mux *http.ServeMux, opts ...connect.HandlerOption)) http.Handler {
	mux := http.NewServeMux()
	register(mux, connect.WithInterceptors(p.clock.Interceptor()), connect.WithReadMaxBytes(store.MaxRecordBytes), connect.WithCompressMinBytes(compressMinBytes))
	return mux
}
