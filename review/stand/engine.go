//go:build review

package main

import (
	"bufio"
	"bytes"
	"encoding/json"
	"flag"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/url"
	"os"
	"os/exec"
	"os/signal"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"
)

// engine is a server process, which the platform starts again some seconds after a crash.
type engine struct {
	world   *world
	number  int
	service string
	args    []string
	mu      sync.Mutex
	cmd     *exec.Cmd
	over    bool
}

// backAfter is how long a crashed engine is away: "the engine is back after some seconds".
const backAfter = 2 * time.Second

// startEngine starts a server process of a service with further arguments.
func (w *world) startEngine(service string, controls int, args ...string) *engine {
	var heads []string
	for i := range controls {
		heads = append(heads, w.address(w.controlIP(i), "control"))
	}
	return w.startEngineAt(service, heads, args...)
}

// startEngineAt starts a server process that reaches control at the given addresses.
func (w *world) startEngineAt(service string, heads []string, args ...string) *engine {
	e := &engine{world: w, number: len(w.engines), service: service}
	e.args = append([]string{
		engineVerb, "-address", w.address(w.engineIP(e.number), "engine"), "-service", service, "-zone", zones[e.number%len(zones)],
		"-control", strings.Join(heads, ","), "-runs", filepath.Join(w.temp, "runs.txt"),
	}, args...)
	w.mu.Lock()
	w.engines = append(w.engines, e)
	w.mu.Unlock()
	go e.keep()
	return e
}

// keep runs the process and starts it again as a new boot under a new id.
func (e *engine) keep() {
	self, err := os.Executable()
	must(err)
	for boot := 1; ; boot++ {
		id := fmt.Sprintf("i-%d-%d", e.number+1, boot)
		e.mu.Lock()
		if e.over {
			e.mu.Unlock()
			return
		}
		cmd := exec.Command(self, append(e.args, "-id", id)...)
		cmd.Stderr = os.Stderr
		must(cmd.Start())
		e.cmd = cmd
		e.mu.Unlock()
		e.world.record("started server %s of %s, pid %d", id, e.service, cmd.Process.Pid)
		_ = cmd.Wait()
		e.mu.Lock()
		over := e.over
		e.mu.Unlock()
		if over {
			return
		}
		e.world.record("server %s has ended", id)
		time.Sleep(backAfter)
	}
}

func (e *engine) end() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.over = true
	if e.cmd != nil {
		_ = e.cmd.Process.Kill()
	}
}

// run is a line of runs.txt: a server began to work on a request.
type run struct {
	At     int64  `json:"at"`
	Engine string `json:"engine"`
	ID     string `json:"id"`
	Path   string `json:"path"`
	What   string `json:"what"`
	Tenant string `json:"tenant"`
	Bytes  int    `json:"bytes"`
}

// runs reads what the servers have written down.
func (w *world) runs() []run {
	f, err := os.Open(filepath.Join(w.temp, "runs.txt"))
	if err != nil {
		return nil
	}
	defer f.Close()
	var out []run
	lines := bufio.NewScanner(f)
	for lines.Scan() {
		var r run
		if json.Unmarshal(lines.Bytes(), &r) == nil {
			out = append(out, r)
		}
	}
	return out
}

// recordRuns writes down what the servers have run.
func (w *world) recordRuns() {
	for _, r := range w.runs() {
		w.record("at %.3f s server %s: %s %s %s, tenant %q, %d bytes", float64(r.At-w.started.UnixMilli())/1000, r.Engine, r.What, r.ID, r.Path, r.Tenant, r.Bytes)
	}
}

// server is the engine's own process.
type server struct {
	id, address, service, zone string
	controls                   []string
	born                       int64
	runs                       *os.File
	work                       time.Duration
	crash                      string
	model                      bool
	// crashPart is the part of prompts that crashes engines, crashAfter the number of events
	// that they have written by then.
	crashPart  string
	crashAfter int
	pause      time.Duration
	mu         sync.Mutex
}

func runEngine(args []string) {
	s := &server{born: time.Now().UnixMilli()}
	f := flag.NewFlagSet(engineVerb, flag.ExitOnError)
	f.StringVar(&s.id, "id", "", "id of this boot")
	f.StringVar(&s.address, "address", "", "IP:PORT")
	f.StringVar(&s.service, "service", "", "service")
	f.StringVar(&s.zone, "zone", "", "zone")
	f.DurationVar(&s.work, "work", 60*time.Millisecond, "time that a request takes")
	f.StringVar(&s.crash, "crash", "body", "where a request that crashes engines does so: head or body")
	f.BoolVar(&s.model, "model", false, "the server is a model engine")
	f.StringVar(&s.crashPart, "crash-part", "", "part of prompts that crashes engines")
	f.DurationVar(&s.pause, "pause", eventPause, "pause between two events")
	f.IntVar(&s.crashAfter, "crash-after", 0, "events written before such a crash")
	control := f.String("control", "", "control addresses")
	runs := f.String("runs", "", "file of runs")
	must(f.Parse(args))
	s.controls = strings.Split(*control, ",")
	var err error
	s.runs, err = os.OpenFile(*runs, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	must(err)
	l, err := net.Listen("tcp", s.address)
	must(err)
	leave := make(chan os.Signal, 1)
	signal.Notify(leave, syscall.SIGUSR1)
	go s.heartbeats(leave)
	must((&http.Server{Handler: s, IdleTimeout: 15 * time.Second}).Serve(l))
}

// heartbeats sends a liveness report at each interval, to the next node after a failure.
func (s *server) heartbeats(leave chan os.Signal) {
	c := &http.Client{Timeout: time.Second}
	at := 0
	for sequence := 1; ; sequence++ {
		select {
		case <-leave:
			s.leave(c, at)
			return
		default:
		}
		report := map[string]any{
			"service": s.service, "address": s.address, "zone": s.zone, "version": "v1", "slots": 6, "state": "ready",
			"cold-remaining-ms": 0, "sequence": sequence, "born": s.born,
		}
		if s.model {
			report["slots"], report["stage"] = modelSlots, "both"
			report["models"] = []map[string]any{{"name": modelName, "version": 1, "adapters": []string{}}}
		}
		body, err := json.Marshal(report)
		must(err)
		for range s.controls {
			r, err := http.NewRequest(http.MethodPut, "http://"+s.controls[at]+"/buckthornpin/instances/"+s.id, bytes.NewReader(body))
			must(err)
			r.Header.Set("Content-Type", "application/json")
			a, err := c.Do(r)
			if err == nil {
				_, _ = io.Copy(io.Discard, a.Body)
				_ = a.Body.Close()
				if a.StatusCode == http.StatusOK {
					break
				}
			}
			at = (at + 1) % len(s.controls)
		}
		time.Sleep(heartbeat)
	}
}

// leave reports that the server is gone, as those do that never report draining, and goes on
// serving for stayAfter.
func (s *server) leave(c *http.Client, at int) {
	for {
		r, err := http.NewRequest(http.MethodDelete, "http://"+s.controls[at]+"/buckthornpin/instances/"+s.id, nil)
		must(err)
		a, err := c.Do(r)
		if err == nil {
			_, _ = io.Copy(io.Discard, a.Body)
			_ = a.Body.Close()
			if a.StatusCode == http.StatusOK {
				break
			}
		}
		at = (at + 1) % len(s.controls)
		time.Sleep(100 * time.Millisecond)
	}
	s.note(&http.Request{URL: &url.URL{Path: s.controls[at]}}, nil, noteLeft)
	time.Sleep(stayAfter)
	os.Exit(0)
}

// stayAfter is how long a server serves after the confirmation that it leaves: "for `drain-ms`
// after the confirmation and a little longer (at times many seconds)".
const stayAfter = 10 * time.Second

// note writes a run down before the work begins.
func (s *server) note(r *http.Request, body []byte, what string) {
	line, err := json.Marshal(run{
		At: time.Now().UnixMilli(), Engine: s.id, ID: r.Header.Get("Attempt-Id"), Path: r.URL.Path, What: what,
		Tenant: r.Header.Get("Tenant"), Bytes: len(body),
	})
	must(err)
	s.mu.Lock()
	defer s.mu.Unlock()
	_, err = s.runs.Write(append(line, '\n'))
	must(err)
}

const (
	eventStream  = "text/event-stream"
	modelName    = "m"
	modelSlots   = 48
	eventTokens  = 6
	streamEvents = 20
	eventPause   = 20 * time.Millisecond
	plainBytes   = 800
	poison       = "crashes engines"
	noteRun      = "run"
	noteCrash    = "crash"
	noteLeft     = "left"
	crashAtHead  = "head"
	writtenBytes = 200
)

// ServeHTTP answers a request as a plain service.
func (s *server) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	id := r.Header.Get("Attempt-Id")
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	w.Header().Set("Attempt-Id", id)
	if r.URL.Path == "/health" {
		w.Header().Set("Instance-Id", s.id)
		return
	}
	if r.Header.Get("Expect-Instance") != s.id {
		w.Header().Set("Not-Executed", "1")
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	crashes := bytes.Contains(body, []byte(poison))
	if crashes {
		s.note(r, body, noteCrash)
	} else {
		s.note(r, body, noteRun)
	}
	if crashes && s.crash == crashAtHead {
		time.Sleep(s.work / 2)
		_ = syscall.Kill(os.Getpid(), syscall.SIGKILL)
	}
	select {
	case <-time.After(s.work):
	case <-r.Context().Done():
		return
	}
	if s.model && r.Header.Get("Accept") == eventStream {
		s.stream(w, r, body)
		return
	}
	w.Header().Set("Content-Type", "application/octet-stream")
	w.Header().Set("Content-Length", strconv.Itoa(plainBytes))
	w.Header().Set("Server-Seal", "seal-"+s.id)
	answer := bytes.Repeat([]byte("a"), plainBytes)
	if crashes {
		_, _ = w.Write(answer[:writtenBytes])
		_ = http.NewResponseController(w).Flush()
		time.Sleep(5 * time.Millisecond)
		_ = syscall.Kill(os.Getpid(), syscall.SIGKILL)
	}
	_, _ = w.Write(answer)
}

// stream answers a request as a model engine, in events of eventTokens tokens each. One
// part of a prompt crashes each engine that begins to write an answer on it.
func (s *server) stream(w http.ResponseWriter, r *http.Request, body []byte) {
	crashes := s.crashPart != "" && strings.Contains(r.Header.Get("Prompt-Prefix"), s.crashPart+":")
	w.Header().Set("Content-Type", eventStream)
	w.Header().Set("Server-Seal", "seal-"+s.id)
	w.Header().Set("Weight-Versions", "1")
	for n := 1; n <= streamEvents; n++ {
		if crashes && n > s.crashAfter {
			s.note(r, body, noteCrash)
			_ = http.NewResponseController(w).Flush()
			time.Sleep(5 * time.Millisecond)
			_ = syscall.Kill(os.Getpid(), syscall.SIGKILL)
		}
		if _, err := fmt.Fprintf(w, "id: %d\ndata: some words\n\n", n); err != nil {
			return
		}
		_ = http.NewResponseController(w).Flush()
		select {
		case <-time.After(s.pause):
		case <-r.Context().Done():
			return
		}
	}
}
