package integ

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"slices"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"buckthornpin/caller"
	"buckthornpin/config"
	"buckthornpin/oper"
	platf "buckthornpin/platform"
	sitecfg "buckthornpin/site"
)

// fleet is a site of real processes that speak the platform's protocol, with
// stand-ins for its endpoints, callers, balancer and operator in the test. Each VM
// has a loopback address of its own, since ports are the same on all VMs. Every
// link between two processes goes through a proxy.
type fleet struct {
	*site
	ports   ports
	plan    fleetPlan
	view    *view
	balance *balancer
	stop    context.CancelFunc
	ctx     context.Context
	parts   sync.WaitGroup
	engines []*engine
	// acked is the highest version that was acknowledged.
	acked atomic.Int64
}

type fleetPlan struct {
	controls, routers, models, plain int
	// prepaid are the totals of the organisations.
	prepaid map[string]int64
}

type ports struct{ caller, ready, control, mesh, metrics, oper string }

// Times of the fleets under test. The platform's are about twice as long.
const (
	fleetContact   = 1500 * time.Millisecond
	fleetHeartbeat = 300 * time.Millisecond
	fleetGrace     = 8 * time.Second
	// fleetRecovery is the longest time from the end of all faults until requests
	// are served again (recovery-s of the sites seen is 12 s).
	fleetRecovery = 12 * time.Second
	// configApply is the longest time until an acknowledged version is in force.
	configApply = 2 * time.Second
	fleetHost   = "fleet.example"
	modelSvc    = "llm"
	plainSvc    = "records"
	fleetSlots  = 16
	eventTokens = 6
)

// fleets numbers the fleets of the test process. With the process's id that gives
// each fleet a loopback network of its own, also beside other test processes.
var fleets atomic.Int32

const (
	firstLoopback = 40
	loopbackNets  = 200
)

func startFleet(t testing.TB, p fleetPlan) *fleet {
	t.Helper()
	f := &fleet{
		site: &site{t: t, folder: t.TempDir(), vms: map[string]*vm{}, links: map[[2]string]*link{}, offline: map[string]bool{}},
		plan: p, view: newView(),
	}
	f.ctx, f.stop = context.WithCancel(context.Background())
	t.Cleanup(f.close)
	port := func() string {
		_, port, err := net.SplitHostPort(f.freeAddress())
		require.NoError(t, err)
		return port
	}
	f.ports = ports{port(), port(), port(), port(), port(), port()}
	number := (fleets.Add(1) + int32(os.Getpid())) % loopbackNets
	for i := range p.controls {
		f.addVM(controlName(i), config.RoleControl, fmt.Sprintf("127.%d.1.%d", firstLoopback+number, i+1), i)
	}
	for i := range p.routers {
		f.addVM(routerName(i), config.RoleRouter, fmt.Sprintf("127.%d.2.%d", firstLoopback+number, i+1), i)
	}
	f.linkFleet()
	for _, v := range f.all() {
		f.launchFleet(v, true)
	}
	f.balance = &balancer{fleet: f}
	f.run(f.balance.watch)
	for i := range p.models + p.plain {
		f.addEngine(i < p.models)
	}
	f.put(f.configuration(1))
	f.eventually("all routers are ready", func() bool { return len(f.balance.rotation()) == p.routers })
	return f
}

func (f *fleet) close() {
	f.stop()
	f.parts.Wait()
	f.stopAll()
}

func (f *fleet) run(part func(ctx context.Context)) {
	f.parts.Go(func() { part(f.ctx) })
}

func (f *fleet) all() []*vm { return append(slices.Clone(f.controls), f.routers...) }

func (f *fleet) addVM(name, role, ip string, i int) {
	set := config.Defaults()
	set.VM = name
	set.Zones = []string{"zone-1", "zone-2", "zone-3", "zone-4"}
	set.Zone = set.Zones[i%4]
	set.Roles = []string{role}
	set.Ctrl.DataDir = filepath.Join(f.folder, name)
	set.Oper.Address = net.JoinHostPort(ip, f.ports.oper)
	set.Oper.KeyHashes = []string{caller.Hash(operatorKey)}
	mesh, _ := strconv.Atoi(f.ports.mesh)
	metrics, _ := strconv.Atoi(f.ports.metrics)
	set.Platform = config.PlatformSettings{
		Enabled: true, IP: ip, CallerAddress: net.JoinHostPort(ip, f.ports.caller), ReadyAddress: net.JoinHostPort(ip, f.ports.ready),
		ControlAddress: net.JoinHostPort(ip, f.ports.control), MeshPort: mesh, MetricsPort: metrics,
		Heartbeat: config.Duration(fleetHeartbeat), Contact: config.Duration(fleetContact), CatchUp: config.Duration(2 * time.Second),
		Grace: config.Duration(fleetGrace), RetryRatio: 0.2, RetrySlack: 50, RetryWindow: config.Duration(10 * time.Second),
	}
	v := &vm{name: name, settings: set}
	f.vms[name] = v
	if role == config.RoleControl {
		f.controls = append(f.controls, v)
		return
	}
	f.routers = append(f.routers, v)
}

func (f *fleet) linkFleet() {
	for _, from := range f.all() {
		for _, to := range f.all() {
			if from == to {
				continue
			}
			address := to.settings.Platform.MeshAddress()
			l := newLink(f.t, from.name+" to "+to.name, address)
			f.links[[2]string{from.name, to.name}] = l
			from.settings.Dial = append(from.settings.Dial, config.DialSettings{Address: address, Through: l.address()})
		}
	}
}

// launchFleet writes the settings of a process and starts it.
func (f *fleet) launchFleet(v *vm, first bool) {
	f.t.Helper()
	var seeds []string
	for _, c := range f.controls[:min(3, len(f.controls))] {
		seeds = append(seeds, c.settings.Platform.ControlAddress)
	}
	v.settings.Platform.Seeds = strings.Join(seeds, ",")
	v.settings.Platform.FirstStart = first
	path := filepath.Join(f.folder, v.name+".json")
	data, err := json.Marshal(v.settings)
	require.NoError(f.t, err)
	require.NoError(f.t, os.WriteFile(path, data, 0o600))
	v.args = []string{"serve", "-config", path}
	f.spawn(v)
}

// relaunch starts a process that has ended, with or without its disk.
func (f *fleet) relaunch(v *vm, wipe bool) {
	f.t.Helper()
	if wipe {
		require.NoError(f.t, os.RemoveAll(v.settings.Ctrl.DataDir))
	}
	f.launchFleet(v, false)
	delete(f.offline, v.name)
}

// cutFromControl silences the links between the routers and all control VMs.
func (f *fleet) cutFromControl() {
	for k, l := range f.links {
		if strings.HasPrefix(k[0], "router") != strings.HasPrefix(k[1], "router") {
			l.silence()
		}
	}
}

// configuration is a site with a route of each kind.
func (f *fleet) configuration(version int64) sitecfg.Configuration {
	route := func(name string, kind sitecfg.Kind, service string, attempts int) sitecfg.Route {
		return sitecfg.Route{
			Name: name, Host: fleetHost, PathPrefix: "/" + name + "/", Kind: kind, Shares: []sitecfg.Share{{Service: service, Weight: 1}},
			Timeout: 4 * time.Second, Objective: 600 * time.Millisecond, EventGap: 300 * time.Millisecond, MaxAttempts: attempts,
		}
	}
	c := sitecfg.Configuration{
		Version: version,
		Services: []sitecfg.Service{
			{Name: modelSvc, HealthPath: "/health", Engine: &sitecfg.Engine{Slots: fleetSlots, MemoryTokens: 400_000, EventTokens: eventTokens}},
			{Name: plainSvc, HealthPath: "/health"},
		},
		Routes: []sitecfg.Route{
			route("chat", sitecfg.KindStream, modelSvc, 2), route("resume", sitecfg.KindStream, modelSvc, 3),
			route("once", sitecfg.KindNonIdempotent, plainSvc, 2), route("safe", sitecfg.KindIdempotent, plainSvc, 3),
		},
		Limits: sitecfg.Limits{MaxHeaderBytes: 16 << 10, MaxBodyBytes: 4 << 20, HeaderTimeout: 3 * time.Second, IdleTimeout: 15 * time.Second},
	}
	c.Routes[1].Resumable = true
	for _, name := range sortedKeys(f.plan.prepaid) {
		c.Organisations = append(c.Organisations, sitecfg.Organisation{Name: name, Keys: []string{"key-" + name}, Prepaid: f.plan.prepaid[name]})
	}
	return c
}

// put puts a configuration through our own interface until it is acknowledged.
func (f *fleet) put(c sitecfg.Configuration) {
	f.t.Helper()
	f.eventually(fmt.Sprintf("version %d is acknowledged", c.Version), func() bool { return f.tryPut(c) })
}

// tryPut sends a configuration to each control VM in turn until one acknowledges.
func (f *fleet) tryPut(c sitecfg.Configuration) bool {
	for _, v := range f.controls {
		if f.putAt(v, c) {
			f.noteAcked(c.Version)
			return true
		}
	}
	return false
}

// putAt puts a configuration at one control VM: odd versions through our own
// interface, even ones through the platform's.
func (f *fleet) putAt(v *vm, c sitecfg.Configuration) bool {
	if c.Version%2 == 0 {
		return f.call(f.ctx, v, http.MethodPut, platf.PathConfig, platf.EncodeConfiguration(c))
	}
	ctx, cancel := context.WithTimeout(f.ctx, 2*time.Second)
	defer cancel()
	_, err := f.fleetOperator(v).PutSite(ctx, c)
	return err == nil
}

func (f *fleet) noteAcked(version int64) {
	for {
		old := f.acked.Load()
		if old >= version || f.acked.CompareAndSwap(old, version) {
			return
		}
	}
}

func (f *fleet) fleetOperator(v *vm) *oper.Client {
	return &oper.Client{HTTP: operatorHTTP, URL: "http://" + v.settings.Oper.Address, Key: operatorKey}
}

// readBack reads the configuration's version by the platform's call. ok is false
// where the VM isn't certain of it or doesn't answer.
func (f *fleet) readBack(v *vm) (version int64, ok bool) {
	ctx, cancel := context.WithTimeout(f.ctx, 2*time.Second)
	defer cancel()
	r, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+v.settings.Platform.ControlAddress+platf.PathConfig, nil)
	if err != nil {
		return 0, false
	}
	a, err := operatorHTTP.Do(r)
	if err != nil {
		return 0, false
	}
	defer func() { _ = a.Body.Close() }()
	document, err := io.ReadAll(a.Body)
	if err != nil || a.StatusCode != http.StatusOK {
		return 0, false
	}
	c, err := platf.DecodeConfiguration(document)
	return c.Version, err == nil
}

// requireReadBack expects that a control VM shows what was acknowledged.
func (f *fleet) requireReadBack() {
	f.t.Helper()
	acked := f.acked.Load()
	f.eventually("a control VM reads the configuration back", func() bool {
		for _, v := range f.controls {
			if got, ok := f.readBack(v); ok {
				require.GreaterOrEqual(f.t, got, acked, "an acknowledged configuration was lost")
				return true
			}
		}
		return false
	})
}

func (f *fleet) addEngine(model bool) {
	f.t.Helper()
	e := &engine{fleet: f, id: fmt.Sprintf("engine-%d", len(f.engines)+1), service: plainSvc, born: time.Now().UnixMilli()}
	if model {
		e.service = modelSvc
	}
	e.open()
	f.engines = append(f.engines, e)
	f.run(e.beat)
}

// balancer watches which routers take new connections, as the platform does.
type balancer struct {
	fleet *fleet
	mu    sync.Mutex
	ready map[string]bool
	miss  map[string]int
}

// balancerInterval is the time between two checks of a router; the platform's is a
// second.
const balancerInterval = 250 * time.Millisecond

func (b *balancer) watch(ctx context.Context) {
	b.ready, b.miss = map[string]bool{}, map[string]int{}
	every(ctx, balancerInterval, func() {
		var all sync.WaitGroup
		for _, v := range b.fleet.routers {
			all.Go(func() { b.check(ctx, v) })
		}
		all.Wait()
	})
}

func (b *balancer) check(ctx context.Context, v *vm) {
	ctx, cancel := context.WithTimeout(ctx, balancerInterval)
	defer cancel()
	ok := false
	if r, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+v.settings.Platform.ReadyAddress+platf.PathReady, nil); err == nil {
		if a, err := operatorHTTP.Do(r); err == nil {
			_, _ = io.Copy(io.Discard, a.Body)
			_ = a.Body.Close()
			ok = a.StatusCode == http.StatusOK
		}
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	if ok {
		b.ready[v.name], b.miss[v.name] = true, 0
		return
	}
	if b.miss[v.name]++; b.miss[v.name] >= 2 {
		b.ready[v.name] = false
	}
}

// rotation are the routers that take new connections.
func (b *balancer) rotation() []*vm {
	b.mu.Lock()
	defer b.mu.Unlock()
	var out []*vm
	for _, v := range b.fleet.routers {
		if b.ready[v.name] {
			out = append(out, v)
		}
	}
	return out
}

// every calls step at once and then at an interval until ctx ends.
func every(ctx context.Context, interval time.Duration, step func()) {
	tick := time.NewTicker(interval)
	defer tick.Stop()
	for ctx.Err() == nil {
		step()
		select {
		case <-ctx.Done():
		case <-tick.C:
		}
	}
}

// call makes a call to control as endpoints do.
func (f *fleet) call(ctx context.Context, v *vm, method, path string, body []byte) bool {
	ctx, cancel := context.WithTimeout(ctx, time.Second)
	defer cancel()
	r, err := http.NewRequestWithContext(ctx, method, "http://"+v.settings.Platform.ControlAddress+path, bytes.NewReader(body))
	if err != nil {
		return false
	}
	a, err := operatorHTTP.Do(r)
	if err != nil {
		return false
	}
	_, _ = io.Copy(io.Discard, a.Body)
	_ = a.Body.Close()
	return a.StatusCode == http.StatusOK
}
