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
	// readyPoll is how often a site is asked whether it is ready.
	readyPoll = 10 * time.Millisecond
)

// LocalSite is a whole site in one process, on loopback: control replicas,
// routers and stand-in endpoints. Its exported fields are set before Open.
type LocalSite struct {
	Controls int
	Routers  int
	Engines  int
	Services int
	// Folder holds the replicas' data folders.
	Folder string
	Log    zerolog.Logger
	Build  BuildInfo
	// Pace is the stand-ins' time between tokens.
	Pace time.Duration
	// Change adjusts the settings of each process.
	Change func(s *config.Settings)

	OperatorKey string
	Processes   []*Process
	Endpoints   []*stand.Endpoint

	processes []running
	endpoints []running
}

// running is a part of the site that has been started.
type running struct {
	name  string
	stop  context.CancelFunc
	ended chan error
}

// close stops the part and waits for its end.
func (r running) close() error {
	r.stop()
	err := <-r.ended
	r.ended <- err
	return buckthornpin.WrapIf(err, r.name)
}

func launch(ctx context.Context, name string, run func(context.Context) error) running {
	inner, stop := context.WithCancel(context.WithoutCancel(ctx))
	r := running{name: name, stop: stop, ended: make(chan error, 1)}
	go func() { r.ended <- run(inner) }()
	return r
}

// Open starts the site's parts; they run until Close.
func (s *LocalSite) Open(ctx context.Context) error {
	s.OperatorKey = "operator-" + uuid.NewString()
	group, listeners, err := s.openGroup()
	if err != nil {
		return err
	}
	for i := range s.Controls {
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

func (s *LocalSite) openGroup() ([]string, []net.Listener, error) {
	var group []string
	var listeners []net.Listener
	for range s.Controls {
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
	set := s.settings(controlName(i), config.RoleControl, group)
	set.Ctrl.DataDir = filepath.Join(s.Folder, set.VM)
	members := &wire.Members{}
	for j, address := range group {
		members.Members = append(members.Members, &wire.Member{Id: controlName(j), Address: address})
	}
	if err := ctrl.InitFolder(set.Ctrl.DataDir, set.VM, members); err != nil {
		return err
	}
	s.addProcess(set, Listeners{Ctrl: l})
	return nil
}

func controlName(i int) string { return fmt.Sprintf("control-%d", i+1) }

func (s *LocalSite) settings(vm, role string, group []string) config.Settings {
	set := config.Defaults()
	n := len(s.Processes)
	set.VM = vm
	set.Zones = []string{"zone-1", "zone-2", "zone-3", "zone-4"}
	set.Zone = set.Zones[n%len(set.Zones)]
	set.Roles = []string{role}
	set.Ctrl.Group = group
	for _, a := range []*string{&set.Caller.Address, &set.Endpt.Address, &set.Peer.Address, &set.Ctrl.Address, &set.Oper.Address, &set.Platf.Address} {
		*a = "127.0.0.1:0"
	}
	set.Platf.DrainDelay = 0
	set.Oper.KeyHashes = []string{caller.Hash(s.OperatorKey)}
	if s.Change != nil {
		s.Change(&set)
	}
	return set
}

func (s *LocalSite) addProcess(set config.Settings, l Listeners) {
	s.Processes = append(s.Processes, &Process{Settings: set, Build: s.Build, Log: s.Log, Listeners: l})
}

func (s *LocalSite) addEndpoints() error {
	var announce []string
	for _, p := range s.RouterProcesses() {
		announce = append(announce, p.Settings.Endpt.Address)
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
		e.Pace = s.Pace
		e.Listener = l
		e.Routers = announce
		e.Crash = func() {}
		s.Endpoints = append(s.Endpoints, e)
	}
	return nil
}

func (s *LocalSite) start(ctx context.Context) {
	for _, p := range s.Processes {
		s.processes = append(s.processes, launch(ctx, p.Settings.VM, p.Run))
	}
	for _, e := range s.Endpoints {
		s.endpoints = append(s.endpoints, launch(ctx, e.ID, e.Run))
	}
}

// waitReady waits until each router takes work and knows each endpoint.
func (s *LocalSite) waitReady(ctx context.Context) error {
	ticker := time.NewTicker(readyPoll)
	defer ticker.Stop()
	for !s.ready() {
		select {
		case <-ticker.C:
		case <-ctx.Done():
			return errors.Wrap(ctx.Err(), "wait for the site")
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

// RouterProcesses returns the routers.
func (s *LocalSite) RouterProcesses() []*Process {
	return s.Processes[s.Controls:]
}

// Operator returns a client of the operators' interface of process i.
func (s *LocalSite) Operator(i int) *oper.Client {
	return &oper.Client{HTTP: (&conn.Dialer{}).ExternalClient(), URL: "http://" + s.Processes[i].Settings.Oper.Address, Key: s.OperatorKey}
}

// AddOrganisation creates an organisation with a budget and returns a key.
func (s *LocalSite) AddOrganisation(ctx context.Context, name string, tokens int64) (string, error) {
	key := "caller-" + uuid.NewString()
	changes := []*wire.Command{
		{Op: &wire.Command_PutOrganisation{PutOrganisation: &wire.PutOrganisation{Organisation: name}}},
		{Op: &wire.Command_TopUp{TopUp: &wire.TopUp{Organisation: name, Tokens: tokens}}},
		{Op: &wire.Command_PutKey{PutKey: &wire.PutKey{Organisation: name, Hash: caller.Hash(key)}}},
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
	return key, s.waitKey(ctx, caller.Hash(key))
}

func (s *LocalSite) waitKey(ctx context.Context, hash string) error {
	for _, p := range s.RouterProcesses() {
		for {
			if _, ok := p.mirror.Caller(hash); ok {
				break
			}
			if ctx.Err() != nil {
				return errors.Wrap(ctx.Err(), "wait for the key")
			}
			wait(ctx, readyPoll)
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
	for i := len(s.processes) - 1; i >= 0; i-- {
		problems = append(problems, s.processes[i].close())
	}
	for _, e := range s.endpoints {
		problems = append(problems, e.close())
	}
	return errors.Join(problems...)
}
