package app

import (
	"expvar"
	"net/http"
	"runtime/debug"
	"slices"
	"sync/atomic"
	"time"

	"github.com/google/uuid"
	"github.com/rs/zerolog"

	"buckthornpin"
	"buckthornpin/budget"
	"buckthornpin/clock"
	"buckthornpin/config"
	"buckthornpin/conn"
	"buckthornpin/ctrl"
	"buckthornpin/event"
	"buckthornpin/memory"
	"buckthornpin/peer"
	platf "buckthornpin/platform"
	"buckthornpin/relay"
	"buckthornpin/route"
	"buckthornpin/site"
	"buckthornpin/store"
)

const (
	// deadAfterHeartbeats is the time without a heartbeat, in heartbeat intervals,
	// after which an endpoint is considered dead: one heartbeat may be lost, and one
	// may be a second or two late.
	deadAfterHeartbeats = 4
	// forgetAfterContacts is how long a process that sends nothing is remembered, in
	// multiples of the contact setting.
	forgetAfterContacts = 20
	// heapPercent is the percentage of the VM's memory that the heap may take. The
	// rest is for stacks, kernel buffers and what is allocated while the garbage
	// collector runs.
	heapPercent = 70
	// heldPercent is the percentage of the VM's memory that may be held for callers, endpoints
	// and other processes. The process itself and what waits for the garbage collector need the
	// rest of heapPercent.
	heldPercent = 50
	// snapshotBytes is the log size at which a snapshot is taken. A log of this size
	// holds a few hundred configurations of a small site.
	snapshotBytes = 4 << 20
	// balancerDetectionTime is how long the load balancer may continue to send new
	// connections to a process that isn't ready: two health checks, a second apart,
	// and a margin.
	balancerDetectionTime = 2300 * time.Millisecond
	// shareHorizonContacts is how long shares of budgets should last without
	// control, in multiples of the contact setting: the interruptions that sites see
	// last a few times that setting.
	shareHorizonContacts = 3
	// stopMargin is the part of the grace period that is reserved for the last steps
	// of a stop.
	stopMargin = 800 * time.Millisecond
	// leaveTimeout bounds how long a control replica that stops waits for its group.
	leaveTimeout = 500 * time.Millisecond
)

// PlatformProcess is a process on the hosting platform: a router or a control
// replica. Its exported fields are set before Open.
type PlatformProcess struct {
	Settings config.Settings
	// Reload reads the settings again.
	Reload func() (config.Settings, error)
	// Reloads receives a value when the settings may have changed.
	Reloads <-chan struct{}
	Build   BuildInfo
	Log     zerolog.Logger

	events            *eventRecorder
	seeds             atomic.Pointer[[]string]
	memory            *memory.Account
	dialer            *conn.Dialer
	client            *ctrl.Client
	nodes             *peer.Nodes
	directory         *peer.Directory
	mesh              *peer.Mesh
	replica           *ctrl.Replica
	transport         *ctrl.StreamTransport
	joiner            *ctrl.Joiner
	mirror            *ctrl.SiteMirror
	shares            *budget.ShareManager
	router            *relay.Router
	pool              *conn.Pool
	endpointDials     expvar.Int
	callerConnections conn.ConnectionCounter
	callerHandler     conn.ClosingHandler
	draining          atomic.Bool
	started           time.Time
	metrics           *expvar.Map
	servers           []*http.Server
}

// Open sets the process up.
func (p *PlatformProcess) Open() error {
	p.started = time.Now()
	platform := p.Settings.Platform
	if platform.MemoryMB > 0 {
		debug.SetMemoryLimit(platform.MemoryMB << 20 / 100 * heapPercent)
	}
	p.Log = p.Log.With().Str("vm", p.Settings.VM).Str("zone", p.Settings.Zone).Str("role", roleName(p.Settings)).Logger()
	timeline := &event.Timeline{VM: p.Settings.VM, Role: roleName(p.Settings), Clock: &event.Clock{}}
	p.events = &eventRecorder{timeline: timeline, log: p.Log}
	p.metrics = new(expvar.Map)
	p.metrics.Set("log_lines_dropped", &droppedLines)
	p.memory = &memory.Account{Size: platform.MemoryMB << 20 / 100 * heldPercent}
	p.metrics.Set("memory", p.memory.Metrics())
	p.setSeeds(platform)
	p.openMesh()
	if p.Settings.HasRole(config.RoleControl) {
		return p.openControl()
	}
	p.openRouter()
	return nil
}

func (p *PlatformProcess) setSeeds(platform config.PlatformSettings) {
	seeds := platform.MeshSeeds()
	p.seeds.Store(&seeds)
}

func (p *PlatformProcess) openMesh() {
	platform := p.Settings.Platform
	contact := time.Duration(platform.Contact)
	p.dialer = &conn.Dialer{SilenceTimeout: contact / 2, Traffic: &conn.Traffic{}, Overrides: dialOverrides(p.Settings)}
	p.metrics.Set("traffic", p.dialer.Traffic.Metrics())
	p.nodes = &peer.Nodes{
		Self: peer.Node{
			VM: p.Settings.VM, Zone: p.Settings.Zone, Address: platform.MeshAddress(),
			Control: p.Settings.HasRole(config.RoleControl), Incarnation: p.started.UnixMilli(),
		},
		AliveFor: contact, ForgetAfter: forgetAfterContacts * contact, OnJoin: p.logJoinedNode,
	}
	p.directory = &peer.Directory{
		Events: p.events, DeadAfter: deadAfterHeartbeats * time.Duration(platform.Heartbeat), Addresses: p.livingAddresses, SplitByService: true,
	}
	p.mesh = &peer.Mesh{
		Nodes: p.nodes, Directory: p.directory, HTTP: p.dialer.InternalClient(), Scheme: p.dialer.Scheme(),
		Seeds: p.otherSeeds, Log: p.Log,
	}
	p.mesh.Open()
	p.client = &ctrl.Client{LearnedAddresses: p.controlAddresses, HTTP: p.dialer.InternalClient(), Scheme: p.dialer.Scheme()}
}

func (p *PlatformProcess) logJoinedNode(n peer.Node) {
	p.Log.Info().Str("node", n.VM).Str("address", n.Address).Bool("control", n.Control).Msg("process joined the mesh")
}

// livingAddresses returns the addresses of all living processes. The directory
// uses their number to decide how often it passes an update on.
func (p *PlatformProcess) livingAddresses() []string {
	var out []string
	for _, n := range p.nodes.Living(time.Now()) {
		out = append(out, n.Address)
	}
	return out
}

func (p *PlatformProcess) otherSeeds() []string {
	var out []string
	for _, a := range *p.seeds.Load() {
		if a != p.nodes.Self.Address {
			out = append(out, a)
		}
	}
	return out
}

// controlAddresses returns the addresses at which a control replica may answer:
// the seeds, those learned from the mesh and, on a replica, its own address and
// the members of its group.
func (p *PlatformProcess) controlAddresses() []string {
	out := slices.Clone(*p.seeds.Load())
	for _, n := range p.nodes.ControlNodes() {
		out = append(out, n.Address)
	}
	if p.replica == nil {
		return out
	}
	out = append(out, p.nodes.Self.Address)
	for _, m := range p.replica.Status().Members.GetMembers() {
		out = append(out, m.GetAddress())
	}
	return out
}

func (p *PlatformProcess) openControl() error {
	platform := p.Settings.Platform
	bootstrap := &ctrl.Bootstrap{
		Path: p.Settings.Control.DataDir, Address: platform.MeshAddress(), Founders: platform.MeshSeeds(), FirstStart: platform.FirstStart,
		NewID: func() string { return platform.MeshAddress() + "-" + uuid.NewString() }, Log: p.Log,
	}
	if err := bootstrap.EnsureFolder(); err != nil {
		return &Error{Op: "form", Kind: KindSetup, Err: err}
	}
	p.transport = &ctrl.StreamTransport{HTTP: p.dialer.InternalClient(), Scheme: p.dialer.Scheme()}
	p.replica = &ctrl.Replica{
		Folder: &store.Folder{Path: p.Settings.Control.DataDir}, Transport: p.transport, Events: p.events, Log: p.Log,
		SnapshotBytes: snapshotBytes, ReopenInterval: time.Duration(platform.Contact) / 10,
		// A replacement has to be complete when the successor has had its time to catch up.
		ReplaceSilentAfter: time.Duration(platform.CatchUp) / 4,
		RemoveSilentAfter:  2 * (time.Duration(platform.CatchUp) + time.Duration(platform.Contact)),
	}
	if err := p.replica.Open(); err != nil {
		return &Error{Op: "open", Kind: KindSetup, Err: err}
	}
	p.metrics.Set("replica", p.replica.Metrics())
	p.joiner = &ctrl.Joiner{Replica: p.replica, Client: p.client, Address: platform.MeshAddress(), Log: p.Log}
	return nil
}

func (p *PlatformProcess) openRouter() {
	platform := p.Settings.Platform
	p.shares = &budget.ShareManager{
		Control: p.client, Lenders: p.mesh, Address: platform.MeshAddress(), Incarnation: p.started.UnixNano(),
		Horizon: shareHorizonContacts * time.Duration(platform.Contact), LimitTime: time.Duration(platform.Contact), ReadBoot: clock.ReadBoot, Log: p.Log,
	}
	p.shares.Open()
	p.mirror = &ctrl.SiteMirror{
		Client: p.client, Router: p.Settings.VM, Decode: decodeSite, BeforeApply: p.requestShares, Log: p.Log,
	}
	p.pool = &conn.Pool{
		DialTimeout: time.Duration(platform.Contact) / 3, SilenceTimeout: time.Duration(platform.Contact), OnDial: func() { p.endpointDials.Add(1) },
		Traffic: p.dialer.Traffic,
	}
	guard := &relay.Guard{
		LinkBytesPerSecond: platform.LinkMbps * 1e6 / 8, BalancerDetectionTime: balancerDetectionTime, Traffic: p.dialer.Traffic, Connections: p.callerConnections.Open, Log: p.Log,
	}
	p.router = &relay.Router{
		Zone: p.Settings.Zone, Site: p.mirror.Table, Directory: p.directory, Endpoints: &platf.Endpoints{Pool: p.pool},
		Crashes: relay.CrashTracker{Quarantine: route.Quarantine{Self: platform.MeshAddress(), Routers: p.otherRouters}, Log: p.Log},
		Funds:   p.shares, Loads: p.mesh, Limits: &p.mesh.Limits, Log: p.Log, Guard: guard, Memory: p.memory,
		Routers: p.livingRouterCount,
		Retries: &relay.Retries{
			Ratio: platform.RetryRatio, Slack: platform.RetrySlack, Window: time.Duration(platform.RetryWindow), Routers: p.livingRouterCount,
		},
	}
	p.mesh.Limits.Fleet, p.mesh.Limits.Changed = p.fleet, p.limitChanged
	p.router.Open()
	p.mesh.Budgets = p.shares
	p.mesh.Site = p.mirror
	p.mesh.OwnLoads = p.router.OwnLoads
	p.mesh.RoundTrips = guard
	p.mesh.Crashes = &p.router.Crashes
	p.metrics.Set("router", p.router.Metrics())
	p.metrics.Set("link", guard.LinkMetrics())
	p.metrics.Set("caller_connections", p.callerConnections.Metrics())
	p.metrics.Set("budget", p.shares.Metrics())
	p.metrics.Set("endpoint_connections", &p.endpointDials)
}

// livingRouterCount returns the number of living routers, including this one.
func (p *PlatformProcess) livingRouterCount() int { return 1 + p.nodes.LivingRouterCount() }

// otherRouters returns the addresses of the other living routers that aren't stopping.
func (p *PlatformProcess) otherRouters(now time.Time) []string {
	var out []string
	for _, n := range p.nodes.Routers(now) {
		if !n.Stopping {
			out = append(out, n.Address)
		}
	}
	return out
}

// fleet returns the living routers, among which the limits of endpoints are divided.
func (p *PlatformProcess) fleet(now time.Time) route.Fleet {
	f := route.Fleet{Self: p.nodes.Self.Address}
	for _, n := range p.nodes.Routers(now) {
		if n.YieldsLimits {
			f.Yielding = append(f.Yielding, n.Address)
		} else {
			f.Others = append(f.Others, n.Address)
		}
	}
	return f
}

// limitChanged logs a changed limit of an endpoint and tells the other routers of it at
// once.
func (p *PlatformProcess) limitChanged(l route.RateLimit, heard bool) {
	logLimit(p.Log, l, heard)
	p.mesh.LoadChanged()
}

// requestShares requests shares of the prepaid budgets in a configuration.
func (p *PlatformProcess) requestShares(t *site.Table) {
	var charged []string
	for _, o := range t.Organisations {
		if o.Prepaid != site.Unlimited {
			charged = append(charged, o.Name)
		}
	}
	p.shares.RequestShares(charged)
}

// Ready reports whether a router takes new work: it has a configuration and knows an endpoint of
// one of its services, its network link isn't full, and it isn't stopping. It must not be called
// on a control replica.
func (p *PlatformProcess) Ready() bool {
	t := p.mirror.Table()
	return !p.draining.Load() && t != nil && slices.ContainsFunc(t.Services, p.knowsEndpoint) && !p.router.Guard.LinkFull(time.Now())
}

// knowsEndpoint reports whether the router knows an endpoint of a service. Others may be
// announced for services that aren't configured.
func (p *PlatformProcess) knowsEndpoint(s site.Service) bool {
	return len(p.directory.Serving(buckthornpin.Target{Service: s.Name})) > 0
}

const (
	// callerHeaderTimeout bounds how long a client may take to send its headers. The
	// hosting platform's callers stay within the limit of the configuration, which
	// is shorter.
	callerHeaderTimeout = 10 * time.Second
	// callerIdleTimeout is longer than the time for which callers reuse idle
	// connections.
	callerIdleTimeout = 90 * time.Second
	// maxCallerHeaderBytes bounds the headers of a request.
	maxCallerHeaderBytes = 64 << 10
	// defaultMaxBodyBytes bounds request bodies until a configuration sets a limit.
	defaultMaxBodyBytes = 4 << 20
	// controlTimeout bounds an operator's call. The operator tries another replica
	// after one to a few seconds.
	controlTimeout = 3 * time.Second
)
