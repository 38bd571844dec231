package stand

import (
	"context"
	"encoding/json"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"buckthornpin/conn"
	"buckthornpin/endpt"
)

const (
	// DefaultPace is the time between two tokens.
	DefaultPace = 2 * time.Millisecond
	// heartbeat is the time between two announcements.
	heartbeat = 500 * time.Millisecond
	// announceTo is how many routers hear each announcement.
	announceTo = 3
	// drainTimeout bounds how long requests in progress may take at a stop.
	drainTimeout = time.Minute
	// maxBodyBytes bounds a request's body.
	maxBodyBytes = 16 << 20
	// serviceBreak in the body of a call to a plain service breaks the connection
	// after the call has run.
	serviceBreak = "@break"
)

// RunsPath serves how often a stand-in service ran each body, as JSON.
const RunsPath = "/standin/runs"

// Endpoint is a stand-in endpoint. Its exported fields are set before Run.
type Endpoint struct {
	ID       string
	Zone     string
	Models   []string
	Adapters []string
	Services []string
	Capacity int
	// Pace is the time between two tokens; DefaultPace if 0.
	Pace time.Duration
	// Routers are the first addresses to announce to.
	Routers []string
	Secret  string
	// Advertise is the announced address; that of Listener if empty.
	Advertise string
	// Listener is the open listener; Run closes it.
	Listener net.Listener
	// Crash is called by a request that asks for it.
	Crash func()

	incarnation int64
	sequence    atomic.Int64
	running     atomic.Int64
	leaving     atomic.Bool
	mu          sync.Mutex
	routers     []string
	cancels     map[string]context.CancelFunc
	runs        map[string]int
	// misses counts announcements in a row that a router didn't take.
	misses map[string]int
}

// Run serves and announces until ctx ends. It then tells the routers that it is
// leaving and finishes what is in progress.
func (e *Endpoint) Run(ctx context.Context) error {
	e.Open()
	serveCtx, stop := context.WithCancel(context.WithoutCancel(ctx))
	defer stop()
	served := make(chan error, 1)
	s := &conn.Server{Listener: e.Listener, Handler: e, DrainTimeout: drainTimeout}
	go func() { served <- s.Run(serveCtx) }()
	e.announceAll(ctx)
	e.leaving.Store(true)
	e.announce(serveCtx, e.targets(len(e.routers)))
	stop()
	return <-served
}

// Open prepares the stand-in. Run calls it.
func (e *Endpoint) Open() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.incarnation = time.Now().UnixNano()
	e.routers = append([]string(nil), e.Routers...)
	e.cancels = map[string]context.CancelFunc{}
	e.runs = map[string]int{}
	e.misses = map[string]int{}
	if e.Pace == 0 {
		e.Pace = DefaultPace
	}
}

// Runs counts the runs of a plain service's calls by their bodies.
func (e *Endpoint) Runs() map[string]int {
	e.mu.Lock()
	defer e.mu.Unlock()
	out := map[string]int{}
	for k, n := range e.runs {
		out[k] = n
	}
	return out
}

// ServeHTTP implements http.Handler.
func (e *Endpoint) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	switch {
	case e.Secret != "" && r.Header.Get(endpt.SecretHeader) != e.Secret:
		w.WriteHeader(http.StatusUnauthorized)
	case r.Method == http.MethodDelete:
		e.cancel(w, r)
	case r.URL.Path == RunsPath:
		_ = json.NewEncoder(w).Encode(e.Runs())
	case e.leaving.Load():
		notRun(w, endpt.LeavingHeader)
	case e.running.Add(1) > int64(e.Capacity):
		e.running.Add(-1)
		notRun(w, "")
	default:
		defer e.running.Add(-1)
		e.run(w, r)
	}
}

func notRun(w http.ResponseWriter, header string) {
	w.Header().Set(endpt.NotRunHeader, "true")
	if header != "" {
		w.Header().Set(header, "true")
	}
	w.WriteHeader(http.StatusServiceUnavailable)
}

func (e *Endpoint) run(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxBodyBytes))
	if err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	if r.URL.Path == endpt.ChatPath {
		e.chat(w, r, body)
		return
	}
	e.service(w, r, body)
}

// serviceAnswer is what the plain service answers.
type serviceAnswer struct {
	Service string `json:"service"`
	Request string `json:"request"`
	Bytes   int    `json:"bytes"`
	Run     int    `json:"run"`
}

func (e *Endpoint) service(w http.ResponseWriter, r *http.Request, body []byte) {
	id := r.Header.Get(endpt.RequestHeader)
	e.mu.Lock()
	e.runs[string(body)]++
	n := e.runs[string(body)]
	e.mu.Unlock()
	if strings.Contains(string(body), serviceBreak) {
		panic(http.ErrAbortHandler)
	}
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(serviceAnswer{Service: r.URL.Path, Request: id, Bytes: len(body), Run: n})
}

func (e *Endpoint) cancel(w http.ResponseWriter, r *http.Request) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if cancel := e.cancels[r.URL.Path[len(endpt.CancelPath):]]; cancel != nil {
		cancel()
	}
	w.WriteHeader(http.StatusNoContent)
}

func (e *Endpoint) chat(w http.ResponseWriter, r *http.Request, body []byte) {
	p, err := DecodePrompt(body)
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	f, err := p.Faults()
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	a := newAnswer(e, w, r, p, f)
	ctx, cancel := context.WithCancel(r.Context())
	defer cancel()
	e.mu.Lock()
	e.cancels[a.id] = cancel
	e.mu.Unlock()
	defer func() {
		e.mu.Lock()
		delete(e.cancels, a.id)
		e.mu.Unlock()
	}()
	a.run(ctx)
}
