package app

import (
	"context"
	"fmt"
	"net"
	"path/filepath"
	"time"

	"github.com/go-faster/errors"
	"github.com/google/uuid"
	"github.com/rs/zerolog"

	"buckthornpin"
	"buckthornpin/caller"
	"buckthornpin/config"
	"buckthornpin/conn"
	"buckthornpin/ctrl"
	"buckthornpin/oper"
	"buckthornpin/stand"
	"buckthornpin/wire"
)

const (
	demoModel   = "briefing"
	demoService = "permits"
	// readyPollInterval is the time between two checks whether a site is ready.
	readyPollInterval = 10 * time.Millisecond
)

// LocalSite is a site within one process, on loopback: control replicas, routers
// and stand-in endpoints. Its exported fields are set before Open.
type LocalSite struct {
	ControlReplicas int
	Routers         int
	Engines         int
	Services        int
	// Folder holds the replicas' data folders.
	Folder string
	Log    zerolog.Logger
	Build  BuildInfo
	// Pace is the time between tokens of the stand-ins' answers; 0 keeps their
	// default.
	Pace time.Duration
	// ChangeSettings, if set, adjusts the settings of each process.
	ChangeSettings func(s *config.Settings)

	OperatorKey string
	Processes   []*Process
	Endpoints   []*stand.Endpoint

	runningProcesses []runningTask
	runningEndpoints []runningTask
}

// runningTask is a process or endpoint of the site that has been started.
type runningTask struct {
	name  string
	stop  context.CancelFunc
	ended chan error
}

// stopAndWait stops the task and waits for its end. The result stays in the
// channel, so that it can be called again.
func (r runningTask) stopAndWait() error {
	r.stop()
	err := <-r.ended
	r.ended <- err
	return buckthornpin.WrapIf(err, r.name)
}

func startTask(ctx context.Context, name string, run func(context.Context) error) runningTask {
	taskCtx, stop := context.WithCancel(context.WithoutCancel(ctx))
	r := runningTask{name: name, stop: stop, ended: make(chan error, 1)}
	go func() { r.ended <- run(taskCtx) }()
	return r
}

// Open starts the site's processes and endpoints, which run until Close, and
// waits until the routers are ready.
func (s *LocalSite) Open(ctx context.Context) error {
	s.OperatorKey = "operator-" + uuid.NewString()
	group, listeners, err := s.listenGroup()
	if err != nil {
		return err
	}
	for i := range s.ControlReplicas {
		if err := s.addControl(i, group, listeners[i]); err != nil {
			return err
		}
	}
	for i := range s.Routers {
		s.addProcess(s.settings(fmt.Sprintf("router-%d", i+1), config.RoleRouter, group), Listeners{})
	}
	for _, p := range s.Processes {
		if err := p.Open(); err != nil {
			return err
		}
	}
	if err := s.addEndpoints(); err != nil {
		return err
	}
	s.start(ctx)
	return s.waitReady(ctx)
}

func (s *LocalSite) listenGroup() ([]string, []net.Listener, error) {
	var group []string
	var listeners []net.Listener
	for range s.ControlReplicas {
		l, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			return nil, nil, errors.Wrap(err, "listen")
		}
		group = append(group, l.Addr().String())
		listeners = append(listeners, l)
	}
	return group, listeners, nil
}

func (s *LocalSite) addControl(i int, group []string, l net.Listener) error {
	settings := s.settings(controlName(i), config.RoleControl, group)
	settings.Control.DataDir = filepath.Join(s.Folder, settings.VM)
	members := &wire.Members{}
	for j, address := range group {
		members.Members = append(members.Members, &wire.Member{Id: controlName(j), Address: address})
	}
	if err := ctrl.InitFolder(settings.Control.DataDir, settings.VM, members); err != nil {
		return err
	}
	s.addProcess(settings, Listeners{Ctrl: l})
	return nil
}

func controlName(i int) string { return fmt.Sprintf("control-%d", i+1) }

func (s *LocalSite) settings(vm, role string, group []string) config.Settings {
	settings := config.Defaults()
	n := len(s.Processes)
	settings.VM = vm
	settings.Zones = []string{"zone-1", "zone-2", "zone-3", "zone-4"}
	settings.Zone = settings.Zones[n%len(settings.Zones)]
	settings.Roles = []string{role}
	settings.Control.Group = group
	for _, a := range []*string{&settings.Caller.Address, &settings.Endpoint.Address, &settings.Peer.Address, &settings.Control.Address, &settings.Operator.Address, &settings.Balancer.Address} {
		*a = "127.0.0.1:0"
	}
	settings.Balancer.DrainDelay = 0
	settings.Operator.KeyHashes = []string{caller.HashKey(s.OperatorKey)}
	if s.ChangeSettings != nil {
		s.ChangeSettings(&settings)
	}
	return settings
}

func (s *LocalSite) addProcess(settings config.Settings, l Listeners) {
	s.Processes = append(s.Processes, &Process{Settings: settings, Build: s.Build, Log: s.Log, Listeners: l})
}

func (s *LocalSite) addEndpoints() error {
	var announce []string
	for _, p := range s.RouterProcesses() {
		announce = append(announce, p.Settings.Endpoint.Address)
	}
	for i := range s.Engines + s.Services {
		l, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			return errors.Wrap(err, "listen")
		}
		e := &stand.Endpoint{ID: fmt.Sprintf("engine-%d", i+1), Models: []string{demoModel}, Capacity: 64}
		if i >= s.Engines {
			e = &stand.Endpoint{ID: fmt.Sprintf("service-%d", i-s.Engines+1), Services: []string{demoService}, Capacity: 64}
		}
		e.Zone = fmt.Sprintf("zone-%d", i%4+1)
		e.TokenInterval = s.Pace
		e.Listener = l
		e.Routers = announce
		e.Crash = func() {}
		s.Endpoints = append(s.Endpoints, e)
	}
	return nil
}

func (s *LocalSite) start(ctx context.Context) {
	for _, p := range s.Processes {
		s.runningProcesses = append(s.runningProcesses, startTask(ctx, p.Settings.VM, p.Run))
	}
	for _, e := range s.Endpoints {
		s.runningEndpoints = append(s.runningEndpoints, startTask(ctx, e.ID, e.Run))
	}
}

// waitReady waits until each router takes requests and has each endpoint in its
// directory.
func (s *LocalSite) waitReady(ctx context.Context) error {
	ticker := time.NewTicker(readyPollInterval)
	defer ticker.Stop()
	for !s.ready() {
		select {
		case <-ticker.C:
		case <-ctx.Done():
			return errors.Wrap(ctx.Err(), "wait for the site to be ready")
		}
	}
	return nil
}

func (s *LocalSite) ready() bool {
	for _, p := range s.RouterProcesses() {
		if !p.Ready() || len(p.directory.Endpoints()) < len(s.Endpoints) {
			return false
		}
	}
	return true
}

// RouterProcesses returns the processes of the routers.
func (s *LocalSite) RouterProcesses() []*Process {
	return s.Processes[s.ControlReplicas:]
}

// Operator returns a client of the operators' interface of process i.
func (s *LocalSite) Operator(i int) *oper.Client {
	return &oper.Client{HTTP: (&conn.Dialer{}).ExternalClient(), URL: "http://" + s.Processes[i].Settings.Operator.Address, Key: s.OperatorKey}
}

// AddOrganisation creates an organisation with a budget in tokens and returns a
// caller's key once every router has received it.
func (s *LocalSite) AddOrganisation(ctx context.Context, name string, tokens int64) (string, error) {
	key := "caller-" + uuid.NewString()
	changes := []*wire.Command{
		{Op: &wire.Command_PutOrganisation{PutOrganisation: &wire.PutOrganisation{Organisation: name}}},
		{Op: &wire.Command_TopUp{TopUp: &wire.TopUp{Organisation: name, Tokens: tokens}}},
		{Op: &wire.Command_PutKey{PutKey: &wire.PutKey{Organisation: name, Hash: caller.HashKey(key)}}},
	}
	for _, c := range changes {
		c.Id = uuid.NewString()
		r, err := s.Operator(0).Change(ctx, c)
		if err != nil {
			return "", err
		}
		if r.GetKind() != wire.ResultKind_RESULT_KIND_OK {
			return "", errors.New(r.GetMessage())
		}
	}
	return key, s.waitKey(ctx, caller.HashKey(key))
}

func (s *LocalSite) waitKey(ctx context.Context, hash string) error {
	for _, p := range s.RouterProcesses() {
		for {
			if _, ok := p.mirror.OrganisationByKeyHash(hash); ok {
				break
			}
			if ctx.Err() != nil {
				return errors.Wrap(ctx.Err(), "wait for the routers to receive the key")
			}
			buckthornpin.Wait(ctx, readyPollInterval)
		}
	}
	return nil
}

// URL returns the callers' base URL of router i.
func (s *LocalSite) URL(i int) string {
	return "http://" + s.RouterProcesses()[i].Settings.Caller.Address
}

// Close stops the routers, then control, then the endpoints.
func (s *LocalSite) Close() error {
	var problems []error
	for i := len(s.runningProcesses) - 1; i >= 0; i-- {
		problems = append(problems, s.runningProcesses[i].stopAndWait())
	}
	for _, e := range s.runningEndpoints {
		problems = append(problems, e.stopAndWait())
	}
	return errors.Join(problems...)
}
