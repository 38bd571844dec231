package integ

import (
	"bytes"
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"syscall"
	"testing"

	"github.com/stretchr/testify/require"

	"buckthornpin/config"
)

// vm is one process of the site, with all that is needed to start it again.
type vm struct {
	name     string
	args     []string
	settings config.Settings
	cmd      *exec.Cmd
	log      *processOutput
	exited   chan error
}

// processOutput collects what a process writes. It can be read while the process runs.
type processOutput struct {
	mu   sync.Mutex
	text bytes.Buffer
}

// Write implements io.Writer.
func (o *processOutput) Write(p []byte) (int, error) {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.text.Write(p)
}

// String returns everything written so far.
func (o *processOutput) String() string {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.text.String()
}

// kill ends a process with SIGKILL.
func (s *site) kill(v *vm) {
	s.t.Helper()
	s.offline[v.name] = true
	require.NoError(s.t, v.cmd.Process.Kill())
	v.exited <- <-v.exited
}

// terminate sends SIGTERM to a process, waits for its end and returns the exit error.
func (s *site) terminate(v *vm) error {
	s.t.Helper()
	require.NoError(s.t, v.cmd.Process.Signal(syscall.SIGTERM))
	err := <-v.exited
	v.exited <- err
	return err
}

// restart starts a process that has ended.
func (s *site) restart(v *vm) {
	s.t.Helper()
	s.spawn(v)
	delete(s.offline, v.name)
}

// freeze suspends a process with SIGSTOP and waits until all of its threads have stopped,
// which they do some time after the signal on a busy machine; thaw resumes it.
func (s *site) freeze(v *vm) {
	s.t.Helper()
	s.offline[v.name] = true
	require.NoError(s.t, v.cmd.Process.Signal(syscall.SIGSTOP))
	s.eventually("all threads of "+v.name+" have stopped", func() bool { return threadsStopped(s.t, v.cmd.Process.Pid) })
}

// threadsStopped reports whether all threads of a process are in the state T of proc(5).
func threadsStopped(t testing.TB, pid int) bool {
	files, err := filepath.Glob(fmt.Sprintf("/proc/%d/task/*/stat", pid))
	require.NoError(t, err)
	for _, f := range files {
		stat, err := os.ReadFile(f)
		if err != nil {
			return false
		}
		// The state follows the name in parentheses, which may hold any character.
		if state := stat[bytes.LastIndexByte(stat, ')')+1:]; !bytes.HasPrefix(state, []byte(" T ")) {
			return false
		}
	}
	return len(files) > 0
}

func (s *site) thaw(v *vm) {
	s.t.Helper()
	delete(s.offline, v.name)
	require.NoError(s.t, v.cmd.Process.Signal(syscall.SIGCONT))
}

// cutOff silences all links from and to a process, or only those to it.
func (s *site) cutOff(v *vm, inboundOnly bool) {
	s.offline[v.name] = true
	for k, l := range s.links {
		if k[1] == v.name || k[0] == v.name && !inboundOnly {
			l.silence()
		}
	}
}

func (s *site) healAll() {
	for _, l := range s.links {
		l.heal()
	}
	clear(s.offline)
}

func (s *site) stopAll() {
	var all sync.WaitGroup
	for _, v := range s.vms {
		if v.cmd == nil {
			continue
		}
		all.Go(func() {
			_ = v.cmd.Process.Signal(syscall.SIGCONT)
			_ = v.cmd.Process.Kill()
			v.exited <- <-v.exited
		})
	}
	all.Wait()
	if s.t.Failed() {
		s.printLogs()
	}
}
