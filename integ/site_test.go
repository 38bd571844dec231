package integ

import (
	"context"
	"encoding/json"
	"fmt"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/google/uuid"
	"github.com/stretchr/testify/require"

	"buckthornpin"
	"buckthornpin/caller"
	"buckthornpin/config"
	"buckthornpin/conn"
	"buckthornpin/event"
	"buckthornpin/oper"
	"buckthornpin/wire"
)

const (
	operatorKey = "operator-key-of-the-tests"
	modelName   = "briefing"
	serviceName = "permits"
	// stepTimeout is how long a step may take before the test fails.
	stepTimeout = 20 * time.Second
	// pollInterval is the time between two checks of a condition.
	pollInterval = 5 * time.Millisecond
)

// site is a complete installation made of real processes.
type site struct {
	t        testing.TB
	folder   string
	controls []*vm
	routers  []*vm
	engines  []*vm
	vms      map[string]*vm
	// links are keyed by the names of the source and the target VM. The source is empty for
	// a link to an endpoint.
	links             map[[2]string]*link
	controlAddresses  []string
	announceAddresses []string
	callerKeys        map[string]string
	adjustSettings    func(*config.Settings)
	requestLimit      float64
	engineArgs        []string
	offline           map[string]bool
}

// plan describes the processes of a site.
type plan struct {
	controls, routers, engines, services int
	// adjustSettings, if set, changes the settings of each process.
	adjustSettings func(*config.Settings)
	// requestLimit is the requests a second that each engine names as its limit; 0 names
	// none.
	requestLimit float64
	// engineArgs are further arguments of each engine.
	engineArgs []string
	// direct makes the endpoints announce their own addresses instead of a proxy's.
	direct bool
}

// startSite starts a site and waits until it is ready.
func startSite(t testing.TB, p plan) *site {
	t.Helper()
	s := &site{
		t: t, folder: t.TempDir(), vms: map[string]*vm{}, links: map[[2]string]*link{}, callerKeys: map[string]string{},
		adjustSettings: p.adjustSettings, requestLimit: p.requestLimit, engineArgs: p.engineArgs, offline: map[string]bool{},
	}
	t.Cleanup(s.stopAll)
	addresses := s.addresses(p)
	for i := range p.controls {
		s.addControl(i, addresses)
	}
	for i := range p.routers {
		s.addRouter(i, addresses)
	}
	s.linkAll()
	for _, v := range append(append([]*vm{}, s.controls...), s.routers...) {
		s.launch(v)
	}
	for i := range p.engines + p.services {
		s.addEndpoint(i, i < p.engines, p.direct)
	}
	s.waitReady(p.engines + p.services)
	return s
}

// addresses picks a free port for each listener of the site.
func (s *site) addresses(p plan) []string {
	s.t.Helper()
	var out []string
	for range (p.controls + p.routers) * 6 {
		out = append(out, s.freeAddress())
	}
	return out
}

// lastPort counts through a range of ports below the ephemeral ports of the system, so
// that no outgoing connection takes a port on which a process will listen.
var lastPort atomic.Int32

const (
	firstPort = 15000
	portCount = 15000
)

// freeAddress returns an address on which nothing listens and that no other test of this
// process uses.
func (s *site) freeAddress() string {
	s.t.Helper()
	for range portCount {
		address := fmt.Sprintf("127.0.0.1:%d", firstPort+lastPort.Add(1)%portCount)
		l, err := net.Listen("tcp", address)
		if err != nil {
			continue
		}
		require.NoError(s.t, l.Close())
		return address
	}
	require.FailNow(s.t, "no free port was found")
	return ""
}

func (s *site) baseSettings(name string, n int, role string, addresses []string) config.Settings {
	set := config.Defaults()
	listeners := addresses[n*6 : n*6+6]
	set.VM = name
	set.Zones = []string{"zone-1", "zone-2", "zone-3", "zone-4"}
	set.Zone = set.Zones[n%4]
	set.Roles = []string{role}
	set.Operator.Address, set.Balancer.Address, set.Control.Address = listeners[0], listeners[1], listeners[2]
	set.Caller.Address, set.Endpoint.Address, set.Peer.Address = listeners[3], listeners[4], listeners[5]
	set.Operator.KeyHashes = []string{caller.HashKey(operatorKey)}
	set.Balancer.DrainDelay = config.Duration(100 * time.Millisecond)
	set.Control.DataDir = filepath.Join(s.folder, name)
	set.Endpoint.Silence = config.Duration(time.Second)
	if s.adjustSettings != nil {
		s.adjustSettings(&set)
	}
	return set
}

func controlName(i int) string { return fmt.Sprintf("control-%d", i+1) }
func routerName(i int) string  { return fmt.Sprintf("router-%d", i+1) }

func (s *site) addControl(i int, addresses []string) {
	v := &vm{name: controlName(i), settings: s.baseSettings(controlName(i), i, config.RoleControl, addresses)}
	s.controls = append(s.controls, v)
	s.vms[v.name] = v
	s.controlAddresses = append(s.controlAddresses, v.settings.Control.Address)
}

func (s *site) addRouter(i int, addresses []string) {
	v := &vm{name: routerName(i), settings: s.baseSettings(routerName(i), len(s.controls)+i, config.RoleRouter, addresses)}
	s.routers = append(s.routers, v)
	s.vms[v.name] = v
	s.announceAddresses = append(s.announceAddresses, v.settings.Endpoint.Address)
}

// linkAll puts a proxy between each pair of processes, one for each direction.
func (s *site) linkAll() {
	for _, from := range s.vms {
		from.settings.Control.Group = s.controlAddresses
		for _, to := range s.vms {
			if from != to {
				s.linkTo(from, to)
			}
		}
	}
}

func (s *site) linkTo(from, to *vm) {
	address := to.settings.Peer.Address
	if to.settings.HasRole(config.RoleControl) {
		address = to.settings.Control.Address
	}
	l := newLink(s.t, from.name+" to "+to.name, address)
	s.links[[2]string{from.name, to.name}] = l
	from.settings.Dial = append(from.settings.Dial, config.DialSettings{Address: address, Through: l.address()})
}

func (s *site) initialMembers() string {
	var out []string
	for _, c := range s.controls {
		out = append(out, c.name+"="+c.settings.Control.Address)
	}
	return strings.Join(out, ",")
}

// launch writes the settings of a process and starts it.
func (s *site) launch(v *vm) {
	s.t.Helper()
	path := filepath.Join(s.folder, v.name+".json")
	data, err := json.Marshal(v.settings)
	require.NoError(s.t, err)
	require.NoError(s.t, os.WriteFile(path, data, 0o600))
	if v.settings.HasRole(config.RoleControl) && v.args == nil {
		s.runCommand("init", "-config", path, "-members", s.initialMembers())
	}
	v.args = []string{"serve", "-config", path}
	s.spawn(v)
}

func (s *site) spawn(v *vm) {
	s.t.Helper()
	v.log = &processOutput{}
	v.cmd = exec.Command(program, v.args...)
	v.cmd.Stderr = v.log
	v.cmd.Stdout = v.log
	require.NoError(s.t, v.cmd.Start())
	v.exited = make(chan error, 1)
	go func() { v.exited <- v.cmd.Wait() }()
}

// runCommand runs the program to completion and returns what it printed.
func (s *site) runCommand(args ...string) string {
	s.t.Helper()
	out, err := exec.Command(program, args...).CombinedOutput()
	require.NoError(s.t, err, "%v: %s", args, out)
	return string(out)
}

func (s *site) addEndpoint(i int, engine, direct bool) {
	s.t.Helper()
	name := fmt.Sprintf("engine-%d", len(s.engines)+1)
	args := []string{"standin", "-id", name, "-routers", strings.Join(s.announceAddresses, ","), "-zone", fmt.Sprintf("zone-%d", i%4+1)}
	if engine {
		args = append(args, "-models", modelName, "-request-limit", strconv.FormatFloat(s.requestLimit, 'f', -1, 64))
		args = append(args, s.engineArgs...)
	} else {
		args = append(args, "-services", serviceName)
	}
	address := s.freeAddress()
	l := newLink(s.t, "to "+name, address)
	s.links[[2]string{"", name}] = l
	args = append(args, "-address", address)
	if !direct {
		args = append(args, "-advertise", l.address())
	}
	v := &vm{name: name, args: args}
	s.engines = append(s.engines, v)
	s.vms[name] = v
	s.spawn(v)
}

// waitReady waits until each router is ready and has at least the given number
// of endpoints.
func (s *site) waitReady(endpoints int) {
	s.t.Helper()
	for _, r := range s.routers {
		s.eventually("router "+r.name+" is ready", func() bool {
			st, err := s.operator(r.name).Status(s.t.Context())
			return err == nil && st.Ready && len(st.Endpoints) >= endpoints
		})
	}
}

// eventually polls a condition and fails the test if it isn't met within stepTimeout.
func (s *site) eventually(what string, condition func() bool) {
	s.t.Helper()
	deadline := time.NewTimer(stepTimeout)
	defer deadline.Stop()
	tick := time.NewTicker(pollInterval)
	defer tick.Stop()
	for !condition() {
		select {
		case <-tick.C:
		case <-deadline.C:
			s.printLogs()
			require.FailNow(s.t, "condition wasn't met in time", what)
		}
	}
}

func (s *site) printLogs() {
	for _, v := range s.vms {
		s.t.Logf("%s:\n%s", v.name, lastBytes(v.log.String(), 6000))
	}
}

func lastBytes(text string, n int) string {
	return text[max(len(text)-n, 0):]
}

var operatorHTTP = (&conn.Dialer{}).ExternalClient()

func (s *site) operator(name string) *oper.Client {
	return &oper.Client{HTTP: operatorHTTP, URL: "http://" + s.vms[name].settings.Operator.Address, Key: operatorKey}
}

// commitChange commits a change through any control process that accepts it.
func (s *site) commitChange(c *wire.Command) *wire.Result {
	s.t.Helper()
	if c.GetId() == "" {
		c.Id = uuid.NewString()
	}
	var out *wire.Result
	s.eventually("the change is accepted", func() bool {
		for _, v := range s.controls {
			if s.offline[v.name] {
				continue
			}
			ctx, cancel := context.WithTimeout(s.t.Context(), 3*time.Second)
			r, err := s.operator(v.name).Change(ctx, c)
			cancel()
			if err == nil {
				out = r
				return true
			}
		}
		return false
	})
	return out
}

// createOrganisation creates an organisation with a budget and a caller's key, and
// waits until each router accepts the key.
func (s *site) createOrganisation(name string, tokens int64) {
	s.t.Helper()
	key := "key-of-" + name
	s.callerKeys[name] = key
	for _, c := range []*wire.Command{
		{Op: &wire.Command_PutOrganisation{PutOrganisation: &wire.PutOrganisation{Organisation: name}}},
		{Op: &wire.Command_TopUp{TopUp: &wire.TopUp{Organisation: name, Tokens: tokens}}},
		{Op: &wire.Command_PutKey{PutKey: &wire.PutKey{Organisation: name, Hash: caller.HashKey(key)}}},
	} {
		require.Equal(s.t, wire.ResultKind_RESULT_KIND_OK, s.commitChange(c).GetKind())
	}
	for _, r := range s.routers {
		s.eventually("router "+r.name+" accepts the key", func() bool { return s.acceptsKey(r, key) })
	}
}

func (s *site) acceptsKey(r *vm, key string) bool {
	res := s.send(r.name, callerRequest{organisation: "", key: "", path: "/v1/models", method: "GET", bearer: key})
	return res.status == 200
}

// budget returns an organisation's budget as the control group sees it.
func (s *site) budget(name string) *wire.OrganisationState {
	s.t.Helper()
	var out *wire.OrganisationState
	s.eventually("a control process reports the budget", func() bool {
		for _, v := range s.controls {
			if s.offline[v.name] {
				continue
			}
			ctx, cancel := context.WithTimeout(s.t.Context(), 3*time.Second)
			reply, err := s.operator(v.name).System(ctx, false)
			cancel()
			if err != nil {
				continue
			}
			for _, o := range reply.GetOrganisations() {
				if o.GetOrganisation() == name {
					out = o
					return true
				}
			}
		}
		return false
	})
	return out
}

// leader waits until a reachable replica leads and returns it.
func (s *site) leader() *vm {
	s.t.Helper()
	var out *vm
	s.eventually("the control group has a leader", func() bool {
		for _, v := range s.controls {
			if s.offline[v.name] {
				continue
			}
			st, err := s.operator(v.name).Status(s.t.Context())
			if err == nil && st.Replica != nil && st.Replica.Role == "leader" {
				out = v
				return true
			}
		}
		return false
	})
	return out
}

// timeline returns all events that a process has recorded.
func (s *site) timeline(v *vm) []buckthornpin.Event {
	s.t.Helper()
	events, err := s.operator(v.name).Timeline(s.t.Context(), event.Filter{})
	require.NoError(s.t, err)
	return events
}
