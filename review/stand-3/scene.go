//go:build review3

package main

import (
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"runtime"
	"strconv"
	"strings"
	"sync"
	"time"

	"golang.org/x/sys/unix"
)

// scene is a small deployment with its stand-ins. Each machine has a loopback address of its own,
// and all machines use the same ports.
type scene struct {
	// trouble is false if the disruption is left out.
	trouble bool
	started time.Time
	folder  string
	network string
	ports   map[string]int
	seeds   []string

	mu       sync.Mutex
	record   io.WriteCloser
	machines []*machine
	engines  []*engine
	closed   bool
}

// machine is a machine of the deployment with its process.
type machine struct {
	name, ip string
	control  bool
	process  *exec.Cmd
	ended    chan struct{}
}

func newScene(record string, trouble bool) (*scene, error) {
	file, err := os.Create(record)
	if err != nil {
		return nil, err
	}
	folder, err := os.MkdirTemp("", "review3-")
	if err != nil {
		return nil, err
	}
	s := &scene{
		trouble: trouble, started: time.Now(), folder: folder, record: file, ports: map[string]int{},
		network: fmt.Sprintf("127.%d.%d.", 60+rand.IntN(150), 1+rand.IntN(250)),
	}
	for _, use := range []string{"front", "ready", "control", "mesh"} {
		if s.ports[use], err = freePort(s.network + "1"); err != nil {
			return nil, err
		}
	}
	s.note("disruption: %v", trouble)
	return s, nil
}

func freePort(ip string) (int, error) {
	l, err := net.Listen("tcp", ip+":0")
	if err != nil {
		return 0, err
	}
	defer func() { _ = l.Close() }()
	return l.Addr().(*net.TCPAddr).Port, nil
}

// note writes a line with the time since the start to the record and to standard output.
func (s *scene) note(format string, args ...any) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.closed {
		return
	}
	line := fmt.Sprintf("%8.3f  ", time.Since(s.started).Seconds()) + strings.ReplaceAll(fmt.Sprintf(format, args...), s.network, "127.0.0.") + "\n"
	_, _ = io.WriteString(s.record, line)
	fmt.Print(line)
}

// close ends all processes that the scene started and removes their folder.
func (s *scene) close() {
	s.mu.Lock()
	if s.closed {
		s.mu.Unlock()
		return
	}
	s.closed = true
	machines, engines := s.machines, s.engines
	s.mu.Unlock()
	for _, m := range machines {
		m.kill()
	}
	for _, e := range engines {
		e.stop()
	}
	_ = os.RemoveAll(s.folder)
	_ = s.record.Close()
}

// start starts control replicas and routers for the first time.
func (s *scene) start(controls, routers int) error {
	for i := range controls {
		s.machines = append(s.machines, &machine{name: fmt.Sprintf("core-%d", i+1), ip: fmt.Sprintf("%s1%d", s.network, i+1), control: true})
	}
	for i := range routers {
		s.machines = append(s.machines, &machine{name: fmt.Sprintf("front-%d", i+1), ip: fmt.Sprintf("%s2%d", s.network, i+1)})
	}
	for _, m := range s.machines[:controls] {
		s.seeds = append(s.seeds, s.address(m, "control"))
	}
	for _, m := range s.machines {
		if err := s.launch(m, true); err != nil {
			return err
		}
	}
	return nil
}

func (s *scene) address(m *machine, use string) string {
	return net.JoinHostPort(m.ip, strconv.Itoa(s.ports[use]))
}

// settings fills in the settings template of the deploy file, with the figures of the site
// kkp-permitdesk.
func (s *scene) settings(m *machine, first bool) ([]byte, error) {
	role, folder, memory, link := "router", "", 284, 1000
	p := map[string]any{"caller_address": s.address(m, "front"), "ready_address": s.address(m, "ready"), "control_address": ""}
	if m.control {
		role, folder, memory, link = "control", filepath.Join(s.folder, m.name), 280, 170
		p = map[string]any{"caller_address": "", "ready_address": "", "control_address": s.address(m, "control")}
	}
	for k, v := range map[string]any{
		"enabled": true, "ip": m.ip, "mesh_port": s.ports["mesh"], "metrics_port": 9100, "seeds": strings.Join(s.seeds[:min(3, len(s.seeds))], ","),
		"first_start": first, "memory_mb": memory, "link_mbps": link, "heartbeat": "1200ms", "contact": "3000ms", "catch_up": "4s", "grace": "8s",
		"retry_ratio": 0.2, "retry_slack": 52, "retry_window": "10s",
	} {
		p[k] = v
	}
	return json.Marshal(map[string]any{
		"vm": m.name, "zone": "kgn-a", "zones": []string{"kgn-a"}, "roles": []string{role}, "ctrl": map[string]any{"data_dir": folder}, "platform": p,
	})
}

// launch starts the process of a machine with the command of the deploy file.
func (s *scene) launch(m *machine, first bool) error {
	settings, err := s.settings(m, first)
	if err != nil {
		return err
	}
	path := filepath.Join(s.folder, m.name+".json")
	if err := os.WriteFile(path, settings, 0o600); err != nil {
		return err
	}
	log, err := os.OpenFile(filepath.Join(s.folder, m.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	defer func() { _ = log.Close() }()
	c := exec.Command("target/buckthornpin", "serve", "-platform")
	c.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), "LANG=" + os.Getenv("LANG"), "BUCKTHORNPIN_SETTINGS=" + path}
	c.Stdout, c.Stderr = log, log
	if err := startOnOneCore(c); err != nil {
		return err
	}
	ended := make(chan struct{})
	go func() {
		_ = c.Wait()
		close(ended)
	}()
	m.process, m.ended = c, ended
	return nil
}

// startOnOneCore starts a process that may use one core only, as the settings of the site say. The
// core is one that this process may use itself.
func startOnOneCore(c *exec.Cmd) error {
	runtime.LockOSThread()
	defer runtime.UnlockOSThread()
	var all, one unix.CPUSet
	if err := unix.SchedGetaffinity(0, &all); err != nil {
		return err
	}
	nth := rand.IntN(all.Count())
	for cpu := 0; ; cpu++ {
		if !all.IsSet(cpu) {
			continue
		}
		if nth == 0 {
			one.Set(cpu)
			break
		}
		nth--
	}
	if err := unix.SchedSetaffinity(0, &one); err != nil {
		return err
	}
	defer func() { _ = unix.SchedSetaffinity(0, &all) }()
	return c.Start()
}

// kill ends the process of a machine with SIGKILL.
func (m *machine) kill() {
	if m.process == nil {
		return
	}
	_ = m.process.Process.Kill()
	<-m.ended
}

func (s *scene) isClosed() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.closed
}

func (s *scene) controls() []*machine {
	var out []*machine
	for _, m := range s.machines {
		if m.control {
			out = append(out, m)
		}
	}
	return out
}

func (s *scene) routers() []*machine {
	var out []*machine
	for _, m := range s.machines {
		if !m.control {
			out = append(out, m)
		}
	}
	return out
}

// eventually waits until a condition holds.
func eventually(within time.Duration, what string, ok func() bool) error {
	for end := time.Now().Add(within); time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
		if ok() {
			return nil
		}
	}
	return fmt.Errorf("%s: not within %v", what, within)
}
