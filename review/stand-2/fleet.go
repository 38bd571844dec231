//go:build review2

package main

import (
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"
)

// Bounds of the sites' pages that the processes get in their settings.
const (
	contact   = 3 * time.Second
	catchUp   = 4 * time.Second
	heartbeat = 1200 * time.Millisecond
	grace     = 8 * time.Second
)

// fleet is a small deployment of the project's own processes on loopback addresses.
type fleet struct {
	folder string
	record *record
	// network is the number of the loopback network, of which each VM has an address.
	network                               int
	caller, ready, control, mesh, metrics int
	vms                                   []*vm
	// seeds are the control addresses in the operator's list.
	seeds []string
}

// vm is one process of the system with its settings.
type vm struct {
	name, role, ip, zone string
	process              *exec.Cmd
	ended                chan struct{}
	// log is the output of the process.
	log *os.File
}

func newFleet(r *record) (*fleet, error) {
	folder, err := os.MkdirTemp("", "review-2-")
	if err != nil {
		return nil, err
	}
	f := &fleet{folder: folder, record: r, network: 20 + os.Getpid()%200}
	for _, p := range []*int{&f.caller, &f.ready, &f.control, &f.mesh, &f.metrics} {
		if *p, err = freePort(); err != nil {
			return nil, err
		}
	}
	return f, nil
}

func freePort() (int, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return 0, err
	}
	defer func() { _ = l.Close() }()
	return l.Addr().(*net.TCPAddr).Port, nil
}

// add adds a VM. Its process isn't started.
func (f *fleet) add(role string, number int) *vm {
	part := 1
	if role == "router" {
		part = 2
	}
	v := &vm{
		name: fmt.Sprintf("%s-%d", role, number), role: role, ip: fmt.Sprintf("127.%d.%d.%d", f.network, part, number),
		zone: "zone-" + strconv.Itoa(1+(number-1)%3),
	}
	f.vms = append(f.vms, v)
	return v
}

func (f *fleet) address(v *vm, port int) string { return net.JoinHostPort(v.ip, strconv.Itoa(port)) }

func (f *fleet) dataFolder(v *vm) string { return filepath.Join(f.folder, v.name) }

// settings returns the file that the platform makes of deploy/settings.json.tmpl.
func (f *fleet) settings(v *vm, firstStart bool) ([]byte, error) {
	callers, ready, control, data := "", "", "", ""
	if v.role == "router" {
		callers, ready = f.address(v, f.caller), f.address(v, f.ready)
	} else {
		control, data = f.address(v, f.control), f.dataFolder(v)
	}
	return json.MarshalIndent(map[string]any{
		"vm": v.name, "zone": v.zone, "zones": []string{"zone-1", "zone-2", "zone-3"}, "roles": []string{v.role},
		"ctrl": map[string]any{"data_dir": data},
		"platform": map[string]any{
			"enabled": true, "ip": v.ip, "caller_address": callers, "ready_address": ready, "control_address": control,
			"mesh_port": f.mesh, "metrics_port": f.metrics, "seeds": strings.Join(f.seeds, ","), "first_start": firstStart,
			"memory_mb": memoryMB, "link_mbps": 1000.0, "heartbeat": heartbeat.String(), "contact": contact.String(),
			"catch_up": catchUp.String(), "grace": grace.String(), "retry_ratio": 0.2, "retry_slack": 52.0, "retry_window": "10s",
		},
	}, "", " ")
}

// start starts the process of a VM with the command of the deploy file.
func (f *fleet) start(v *vm, firstStart bool) error {
	data, err := f.settings(v, firstStart)
	if err != nil {
		return err
	}
	path := filepath.Join(f.folder, v.name+".json")
	if err := os.WriteFile(path, data, 0o600); err != nil {
		return err
	}
	if v.role == "control" {
		if err := os.MkdirAll(f.dataFolder(v), 0o700); err != nil {
			return err
		}
	}
	if v.log == nil {
		if v.log, err = os.Create(filepath.Join(f.folder, v.name+".log")); err != nil {
			return err
		}
	}
	v.process = exec.Command("target/buckthornpin", "serve", "-platform")
	v.process.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), "BUCKTHORNPIN_SETTINGS=" + path}
	v.process.Stdout, v.process.Stderr = v.log, v.log
	v.process.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := v.process.Start(); err != nil {
		return err
	}
	ended := make(chan struct{})
	v.ended = ended
	p := v.process
	go func() {
		_ = p.Wait()
		close(ended)
	}()
	f.record.line("%s is started at %s, first start %v, seeds %s", v.name, v.ip, firstStart, strings.Join(f.seeds, ","))
	return nil
}

// startAll starts all processes as at the system's first start.
func (f *fleet) startAll() error {
	for _, v := range f.vms {
		if v.role == "control" && len(f.seeds) < 3 {
			f.seeds = append(f.seeds, f.address(v, f.control))
		}
	}
	for _, v := range f.vms {
		if err := f.start(v, true); err != nil {
			return err
		}
	}
	return nil
}

// signal sends a signal to the process of a VM.
func (f *fleet) signal(v *vm, s syscall.Signal) {
	f.record.line("%s gets %s", v.name, s)
	_ = v.process.Process.Signal(s)
}

// lose ends a VM for good: its process is killed and its disk is gone.
func (f *fleet) lose(v *vm) {
	f.signal(v, syscall.SIGKILL)
	<-v.ended
	_ = os.RemoveAll(f.dataFolder(v))
	f.record.line("%s is gone for good, with its disk", v.name)
}

// close ends all processes.
func (f *fleet) close() {
	var wg sync.WaitGroup
	for _, v := range f.vms {
		if v.process != nil {
			wg.Go(func() {
				_ = v.process.Process.Kill()
				<-v.ended
			})
		}
	}
	wg.Wait()
	if os.Getenv("KEEP") == "" {
		_ = os.RemoveAll(f.folder)
	}
}

// running returns the VMs of a role whose processes run.
func (f *fleet) running(role string) []*vm {
	var out []*vm
	for _, v := range f.vms {
		if v.role != role || v.process == nil {
			continue
		}
		select {
		case <-v.ended:
		default:
			out = append(out, v)
		}
	}
	return out
}

// waitReady waits until all routers say that they are ready.
func (f *fleet) waitReady(limit time.Duration) error {
	deadline := time.Now().Add(limit)
	for time.Now().Before(deadline) {
		ready := 0
		for _, v := range f.running("router") {
			r, err := httpClient.Get("http://" + f.address(v, f.ready) + "/buckthornpin/readiness")
			if err != nil {
				continue
			}
			_ = r.Body.Close()
			if r.StatusCode == http.StatusOK {
				ready++
			}
		}
		if ready == len(f.running("router")) {
			return nil
		}
		time.Sleep(100 * time.Millisecond)
	}
	return fmt.Errorf("not all routers were ready within %v", limit)
}
