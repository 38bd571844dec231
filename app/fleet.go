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

	"buckthornpin/budget"
	"buckthornpin/config"
	"buckthornpin/conn"
	"buckthornpin/ctrl"
	"buckthornpin/event"
	"buckthornpin/peer"
	platf "buckthornpin/platform"
	"buckthornpin/relay"
	"buckthornpin/site"
	"buckthornpin/store"
	"buckthornpin/wire"
)

const (
	// beatsToDeath is how many heartbeats an endpoint may miss before it counts as
	// dead: one may be lost, and one may be a second or two late.
	beatsToDeath = 4
	// nodeForget is how long a silent process is remembered, in times of contact.
	nodeForget = 20
	// memoryShare is the part of the VM's memory that the heap may take, in
	// percent; the rest is for stacks, buffers of the kernel and what grows while
	// the collector runs.
	memoryShare = 70
	// snapshotBytes is the size of the log that starts a snapshot: a few hundred
	// configurations of a small site.
	snapshotBytes = 4 << 20
	// balancerNotices is the time after which the balancer sends a process that
	// isn't ready no new connections: two checks, a second apart, and a margin.
	balancerNotices = 2300 * time.Millisecond
	// horizonContacts is how long shares of budgets should last without control,
	// in times of contact: a cut of a few times that is what sites see.
	horizonContacts = 3
	// stopMargin is kept from the grace at the end of a stop.
	stopMargin = 800 * time.Millisecond
)

// Fleet is a process on the users' platform: a router or a control replica. Its
// exported fields are set before Open.
type Fleet struct {
	Settings config.Settings
	// Reload returns the settings as the file has them now.
	Reload func() (config.Settings, error)
	// Reloads tells of settings that may have changed.
	Reloads <-chan struct{}
	Build   BuildInfo
	Log     zerolog.Logger

	events    *loggedEvents
	seeds     atomic.Pointer[[]string]
	dialer    *conn.Dialer
	client    *ctrl.Client
	nodes     *peer.Nodes
	directory *peer.Directory
	mesh      *peer.Mesh
	replica   *ctrl.Replica
	links     *ctrl.StreamTransport
	joiner    *ctrl.Joiner
	mirror    *ctrl.SiteMirror
	wallet    *budget.ShareManager
	router    *relay.Router
	pool      *conn.Pool
	dialed    expvar.Int
	callers   conn.ConnectionCounter
	draining  atomic.Bool
	started   time.Time
	metrics   *expvar.Map
	servers   []*http.Server
}

// Open sets the process up.
func (f *Fleet) Open() error {
	f.started = time.Now()
	p := f.Settings.Platform
	if p.MemoryMB > 0 {
		debug.SetMemoryLimit(p.MemoryMB << 20 / 100 * memoryShare)
	}
	f.Log = f.Log.With().Str("vm", f.Settings.VM).Str("zone", f.Settings.Zone).Str("role", roleName(f.Settings)).Logger()
	line := &event.Line{VM: f.Settings.VM, Role: roleName(f.Settings), Clock: &event.Clock{}}
	f.events = &loggedEvents{line: line, log: f.Log}
	f.metrics = new(expvar.Map)
	f.metrics.Set("log_lines_dropped", &droppedLines)
	f.setSeeds(p)
	f.openMesh()
	if f.Settings.Has(config.RoleControl) {
		return f.openControl()
	}
	f.openRouter()
	return nil
}

func (f *Fleet) setSeeds(p config.PlatformSettings) {
	seeds := p.MeshSeeds()
	f.seeds.Store(&seeds)
}

func (f *Fleet) openMesh() {
	p := f.Settings.Platform
	contact := time.Duration(p.Contact)
	f.dialer = &conn.Dialer{SilenceTimeout: contact / 2, Traffic: &conn.Traffic{}, Overrides: vias(f.Settings)}
	f.metrics.Set("traffic", f.dialer.Traffic.Metrics())
	f.nodes = &peer.Nodes{
		Self: peer.Node{
			VM: f.Settings.VM, Zone: f.Settings.Zone, Address: p.MeshAddress(),
			Control: f.Settings.Has(config.RoleControl), Incarnation: f.started.UnixMilli(),
		},
		AliveFor: contact, ForgetAfter: nodeForget * contact, OnJoin: f.noteNode,
	}
	f.directory = &peer.Directory{Events: f.events, DeadAfter: beatsToDeath * time.Duration(p.Heartbeat), Addresses: f.addresses}
	f.mesh = &peer.Mesh{
		Nodes: f.nodes, Directory: f.directory, HTTP: f.dialer.InternalClient(), Scheme: f.dialer.Scheme(),
		Seeds: f.otherSeeds, Log: f.Log,
	}
	f.mesh.Open()
	f.client = &ctrl.Client{LearnedAddresses: f.controls, HTTP: f.dialer.InternalClient(), Scheme: f.dialer.Scheme()}
}

func (f *Fleet) noteNode(n peer.Node) {
	f.Log.Info().Str("node", n.VM).Str("address", n.Address).Bool("control", n.Control).Msg("process has joined")
}

// addresses are those of all living processes, for the number of tellings.
func (f *Fleet) addresses() []string {
	var out []string
	for _, n := range f.nodes.Living(time.Now()) {
		out = append(out, n.Address)
	}
	return out
}

func (f *Fleet) otherSeeds() []string {
	var out []string
	for _, a := range *f.seeds.Load() {
		if a != f.nodes.Self.Address {
			out = append(out, a)
		}
	}
	return out
}

// controls are the addresses at which control may answer: the seeds, those that
// were learned, and a replica's own group.
func (f *Fleet) controls() []string {
	out := slices.Clone(*f.seeds.Load())
	for _, n := range f.nodes.ControlNodes() {
		out = append(out, n.Address)
	}
	if f.replica == nil {
		return out
	}
	out = append(out, f.nodes.Self.Address)
	for _, m := range f.replica.Status().Members.GetMembers() {
		out = append(out, m.GetAddress())
	}
	return out
}

func (f *Fleet) openControl() error {
	p := f.Settings.Platform
	formation := &ctrl.Bootstrap{
		Path: f.Settings.Ctrl.DataDir, Address: p.MeshAddress(), Founders: p.MeshSeeds(), FirstStart: p.FirstStart,
		NewID: func() string { return p.MeshAddress() + "-" + uuid.NewString() }, Log: f.Log,
	}
	if err := formation.EnsureFolder(); err != nil {
		return &Error{Op: "form", Kind: KindSetup, Err: err}
	}
	f.links = &ctrl.StreamTransport{HTTP: f.dialer.InternalClient(), Scheme: f.dialer.Scheme()}
	f.replica = &ctrl.Replica{
		Folder: &store.Folder{Path: f.Settings.Ctrl.DataDir}, Transport: f.links, Events: f.events, Log: f.Log,
		SnapshotBytes: snapshotBytes, ReopenInterval: time.Duration(p.Contact) / 10, RemoveSilentAfter: 2 * (time.Duration(p.CatchUp) + time.Duration(p.Contact)),
	}
	if err := f.replica.Open(); err != nil {
		return &Error{Op: "open", Kind: KindSetup, Err: err}
	}
	f.metrics.Set("replica", f.replica.Metrics())
	f.joiner = &ctrl.Joiner{Replica: f.replica, Client: f.client, Address: p.MeshAddress(), Log: f.Log}
	return nil
}

func (f *Fleet) openRouter() {
	p := f.Settings.Platform
	f.wallet = &budget.ShareManager{
		Control: f.client, Lenders: f.mesh, Address: p.MeshAddress(), Incarnation: f.started.UnixNano(),
		Horizon: horizonContacts * time.Duration(p.Contact), Log: f.Log,
	}
	f.wallet.Open()
	f.mirror = &ctrl.SiteMirror{
		Client: f.client, Router: f.Settings.VM, Decode: decodeSite, BeforeApply: f.takeSite, Log: f.Log,
	}
	f.pool = &conn.Pool{
		DialTimeout: time.Duration(p.Contact) / 3, SilenceTimeout: time.Duration(p.Contact), OnDial: func() { f.dialed.Add(1) },
		Traffic: f.dialer.Traffic,
	}
	guard := &relay.Guard{
		LinkBytesPerSecond: p.LinkMbps * 1e6 / 8, BalancerDetectionTime: balancerNotices, Traffic: f.dialer.Traffic, Connections: f.callers.Open, Log: f.Log,
	}
	f.router = &relay.Router{
		Zone: f.Settings.Zone, Site: f.mirror.Table, Directory: f.directory, Endpoints: &platf.Endpoints{Pool: f.pool},
		Funds: f.wallet, Loads: f.mesh, Log: f.Log, Guard: guard,
		Routers: f.routers,
		Retries: &relay.Retries{
			Ratio: p.RetryRatio, Slack: p.RetrySlack, Window: time.Duration(p.RetryWindow), Routers: f.routers,
		},
	}
	f.router.Open()
	f.mesh.Budgets = f.wallet
	f.mesh.Site = f.mirror
	f.mesh.OwnLoads = f.router.OwnLoads
	f.mesh.RoundTrips = guard
	f.mesh.Crashes = f.crashes
	f.mesh.RecordCrash = f.takeCrash
	f.metrics.Set("router", f.router.Metrics())
	f.metrics.Set("link", guard.LinkMetrics())
	f.metrics.Set("caller_connections", f.callers.Metrics())
	f.metrics.Set("budget", f.wallet.Metrics())
	f.metrics.Set("endpoint_connections", &f.dialed)
}

// routers is the number of living routers, this one included.
func (f *Fleet) routers() int { return 1 + f.nodes.LivingRouterCount() }

// crashes are those that other routers should hear of.
func (f *Fleet) crashes() []*wire.CrashState {
	var out []*wire.CrashState
	for _, c := range f.router.CrashTracker().RecentCrashes(time.Now()) {
		out = append(out, &wire.CrashState{Request: c.Request, Endpoint: c.Endpoint})
	}
	return out
}

func (f *Fleet) takeCrash(c *wire.CrashState) {
	f.router.CrashTracker().RecordCrash(relay.Crash{Request: c.GetRequest(), Endpoint: c.GetEndpoint()}, time.Now())
}

// takeSite asks for shares of the budgets that a configuration names.
func (f *Fleet) takeSite(t *site.Table) {
	var charged []string
	for _, o := range t.Organisations {
		if o.Prepaid != site.Unlimited {
			charged = append(charged, o.Name)
		}
	}
	f.wallet.RequestShares(charged)
}

// Ready reports whether a router takes new work: it knows a configuration and
// endpoints, its link isn't full, and it isn't stopping.
func (f *Fleet) Ready() bool {
	return !f.draining.Load() && f.mirror.Table() != nil && len(f.directory.Endpoints()) > 0 && !f.router.Guard.LinkFull(time.Now())
}

const (
	// callerHeaderTimeout bounds how long a client may take for its headers; the
	// platform's callers stay within the limit of the configuration, which is
	// shorter.
	callerHeaderTimeout = 10 * time.Second
	// callerIdle is longer than callers reuse idle connections for.
	callerIdle = 90 * time.Second
	// callerHeaderBytes bounds the headers of a request.
	callerHeaderBytes = 64 << 10
	// defaultBodyBytes bounds bodies until a configuration names a limit.
	defaultBodyBytes = 4 << 20
	// controlTimeout bounds an operator's call: it asks elsewhere after a second
	// or a few.
	controlTimeout = 3 * time.Second
)
