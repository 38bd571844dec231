//go:build review

package main

import (
	"encoding/json"
	"fmt"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"
)

// The bounds of the deployment, as on the sheet of kkp-permitdesk.
const (
	contact   = 3 * time.Second
	catchUp   = 4 * time.Second
	grace     = 8 * time.Second
	heartbeat = 1200 * time.Millisecond
	hostName  = "desk.example"
	// memoryMB is the memory of a front machine.
	memoryMB = 284
	apiKey   = "key-of-cafe"
	tenant   = "cafe"
)

// world is one play of a case: the fleet, its servers and the record.
type world struct {
	trouble bool
	folder  string
	temp    string
	net     int
	ports   map[string]int
	started time.Time

	mu       sync.Mutex
	out      *os.File
	nodes    []*node
	engines  []*engine
	stopping bool
}

// node is a process of the fleet.
type node struct {
	name, role, ip string
	settings       map[string]any
	cmd            *exec.Cmd
	ended          chan struct{}
}

func newWorld(folder string, trouble bool) *world {
	out, err := os.Create(filepath.Join(folder, "record.txt"))
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(exitNotRun)
	}
	temp, err := os.MkdirTemp("", "review-")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(exitNotRun)
	}
	w := &world{trouble: trouble, folder: folder, temp: temp, out: out, started: time.Now(), ports: map[string]int{}}
	w.net = 10 + os.Getpid()%200
	for _, p := range []string{"front", "ready", "control", "mesh", "metrics", "engine"} {
		w.ports[p] = freePort()
	}
	w.record("trouble %v", trouble)
	return w
}

func freePort() int {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	must(err)
	defer l.Close()
	return l.Addr().(*net.TCPAddr).Port
}

func must(err error) {
	if err != nil {
		panic(err)
	}
}

// record writes a line to record.txt, with the time since the start of the case.
func (w *world) record(format string, args ...any) {
	w.mu.Lock()
	defer w.mu.Unlock()
	fmt.Fprintf(w.out, "%8.3f %s\n", time.Since(w.started).Seconds(), fmt.Sprintf(format, args...))
}

func (w *world) close() {
	_ = w.out.Close()
	_ = os.RemoveAll(w.temp)
}

func (w *world) address(ip, port string) string {
	return net.JoinHostPort(ip, fmt.Sprint(w.ports[port]))
}

func (w *world) controlIP(i int) string { return fmt.Sprintf("127.%d.1.%d", w.net, i+1) }

func (w *world) routerIP(i int) string { return fmt.Sprintf("127.%d.2.%d", w.net, i+1) }

func (w *world) engineIP(i int) string { return fmt.Sprintf("127.%d.3.%d", w.net, i+1) }

var zones = []string{"kgn-a", "kgn-b", "spanish-town", "portmore"}

// startFleet starts control and router processes for the first time.
func (w *world) startFleet(controls, routers int) { w.startFleetWith(controls, routers, memoryMB) }

// startFleetWith starts them with the given memory of a machine.
func (w *world) startFleetWith(controls, routers, memory int) {
	for i := range controls {
		w.nodes = append(w.nodes, w.newNode(fmt.Sprintf("core-%d", i+1), "control", w.controlIP(i), i, controls))
	}
	for i := range routers {
		w.nodes = append(w.nodes, w.newNode(fmt.Sprintf("front-%d", i+1), "router", w.routerIP(i), i, controls))
	}
	for _, n := range w.nodes {
		n.settings["platform"].(map[string]any)["memory_mb"] = memory
		w.start(n, true)
	}
}

// newNode returns a process with the settings that deploy/settings.json.tmpl gives.
func (w *world) newNode(name, role, ip string, i, controls int) *node {
	var seeds []string
	for k := range min(controls, 3) {
		seeds = append(seeds, w.address(w.controlIP(k), "control"))
	}
	p := map[string]any{
		"enabled": true, "ip": ip, "caller_address": "", "ready_address": "", "control_address": "",
		"mesh_port": w.ports["mesh"], "metrics_port": w.ports["metrics"], "seeds": strings.Join(seeds, ","),
		"memory_mb": memoryMB, "link_mbps": 1000.0, "heartbeat": heartbeat.String(), "contact": contact.String(),
		"catch_up": catchUp.String(), "grace": grace.String(), "retry_ratio": 0.2, "retry_slack": 52, "retry_window": "10s",
	}
	data := ""
	if role == "router" {
		p["caller_address"], p["ready_address"] = w.address(ip, "front"), w.address(ip, "ready")
	} else {
		p["control_address"] = w.address(ip, "control")
		data = filepath.Join(w.temp, name)
	}
	return &node{name: name, role: role, ip: ip, settings: map[string]any{
		"vm": name, "zone": zones[i%len(zones)], "zones": zones, "roles": []string{role},
		"ctrl": map[string]any{"data_dir": data}, "platform": p,
	}}
}

// start starts a process with the command of deploy/system.toml.
func (w *world) start(n *node, first bool) {
	n.settings["platform"].(map[string]any)["first_start"] = first
	data, err := json.Marshal(n.settings)
	must(err)
	path := filepath.Join(w.temp, n.name+".json")
	must(os.WriteFile(path, data, 0o600))
	log, err := os.OpenFile(filepath.Join(w.temp, n.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	must(err)
	defer log.Close()
	n.cmd = exec.Command("target/buckthornpin", "serve", "-platform")
	n.cmd.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), "BUCKTHORNPIN_SETTINGS=" + path}
	n.cmd.Stdout, n.cmd.Stderr = log, log
	must(n.cmd.Start())
	ended := make(chan struct{})
	n.ended = ended
	cmd := n.cmd
	go func() {
		_ = cmd.Wait()
		close(ended)
	}()
	w.record("started %s, pid %d, at %s", n.name, n.cmd.Process.Pid, n.ip)
}

func (w *world) node(name string) *node {
	for _, n := range w.nodes {
		if n.name == name {
			return n
		}
	}
	panic("no node " + name)
}

// signal sends a signal to a process of the fleet.
func (w *world) signal(n *node, s syscall.Signal) {
	w.record("%s gets %v", n.name, s)
	_ = n.cmd.Process.Signal(s)
}

// killed ends a process and waits for its end.
func (w *world) kill(n *node) {
	w.signal(n, syscall.SIGKILL)
	<-n.ended
}

// stopAll ends everything that the case started.
func (w *world) stopAll() {
	w.mu.Lock()
	w.stopping = true
	engines := w.engines
	w.mu.Unlock()
	for _, e := range engines {
		e.end()
	}
	for _, n := range w.nodes {
		if n.cmd != nil {
			_ = n.cmd.Process.Signal(syscall.SIGCONT)
			_ = n.cmd.Process.Kill()
			<-n.ended
		}
	}
	if keep := os.Getenv("KEEP_LOGS"); keep != "" {
		for _, n := range w.nodes {
			data, _ := os.ReadFile(filepath.Join(w.temp, n.name+".log"))
			_ = os.WriteFile(filepath.Join(keep, n.name+".log"), data, 0o600)
		}
	}
}

// eventually waits until ok holds; the case can't run if it doesn't.
func (w *world) eventually(what string, limit time.Duration, ok func() bool) {
	end := time.Now().Add(limit)
	for !ok() {
		if time.Now().After(end) {
			panic("not within " + limit.String() + ": " + what)
		}
		time.Sleep(50 * time.Millisecond)
	}
	w.record("%s", what)
}
