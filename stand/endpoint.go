package stand

import (
	"context"
	"encoding/json"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"buckthornpin/conn"
	"buckthornpin/endpt"
)

const (
	// DefaultTokenInterval is the time between two tokens.
	DefaultTokenInterval = 2 * time.Millisecond
	// heartbeat is the time between two announcements.
	heartbeat = 500 * time.Millisecond
	// routersPerAnnouncement is the number of routers that each announcement is sent to.
	routersPerAnnouncement = 3
	// drainTimeout limits how long requests in progress may take when the endpoint stops.
	drainTimeout = time.Minute
	// maxBodyBytes limits the size of a request's body.
	maxBodyBytes = 16 << 20
	// breakDirective in the body of a call to a plain service breaks the connection
	// after the call has run.
	breakDirective = "@break"
)

// RunsPath is the path that serves, as JSON, how often a stand-in service has run a call
// with each body.
const RunsPath = "/standin/runs"

// Endpoint is a stand-in endpoint. Its exported fields are set before Run is called.
type Endpoint struct {
	ID       string
	Zone     string
	Models   []string
	Adapters []string
	Services []string
	Capacity int
	// TokenInterval is the time between two tokens; if 0, DefaultTokenInterval.
	TokenInterval time.Duration
	// RequestLimit is the requests a second that the endpoint names as its limit in its
	// answers; 0 names none.
	RequestLimit float64
	// Pause is for how long the endpoint wants no requests from a router after it has turned
	// one away because it is full; 0 asks for no pause.
	Pause time.Duration
	// Routers lists the addresses of the routers to announce to at first; more are learned
	// from their replies.
	Routers []string
	// Secret is the secret shared with the routers; if empty, requests need none.
	Secret string
	// AdvertisedAddress is the address to announce; if empty, that of Listener.
	AdvertisedAddress string
	// Listener is the open listener to serve on. Run closes it.
	Listener net.Listener
	// Crash is called when a request's crash_at directive takes effect.
	Crash func()

	incarnation     int64
	sequence        atomic.Int64
	running         atomic.Int64
	leaving         atomic.Bool
	mu              sync.Mutex
	routers         []string
	cancelByRequest map[string]context.CancelFunc
	runs            map[string]int
	// unanswered counts the announcements in a row that each router didn't answer.
	unanswered map[string]int
}

// Run serves and announces until ctx ends. It then announces to all routers that it is
// leaving, and finishes the requests in progress.
func (e *Endpoint) Run(ctx context.Context) error {
	e.initialise()
	serveCtx, stop := context.WithCancel(context.WithoutCancel(ctx))
	defer stop()
	served := make(chan error, 1)
	s := &conn.Server{Listener: e.Listener, Handler: e, DrainTimeout: drainTimeout}
	go func() { served <- s.Run(serveCtx) }()
	e.announceRegularly(ctx)
	e.leaving.Store(true)
	e.announce(serveCtx, e.announceTargets(len(e.routers)))
	stop()
	return <-served
}

// initialise sets the state that Run needs to its initial values.
func (e *Endpoint) initialise() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.incarnation = time.Now().UnixNano()
	e.routers = append([]string(nil), e.Routers...)
	e.cancelByRequest = map[string]context.CancelFunc{}
	e.runs = map[string]int{}
	e.unanswered = map[string]int{}
	if e.TokenInterval == 0 {
		e.TokenInterval = DefaultTokenInterval
	}
}

// Runs returns how often the plain services have run a call with each body.
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
	w.Header().Set(endpt.RequestHeader, r.Header.Get(endpt.RequestHeader))
	w.Header().Set(endpt.AttemptHeader, r.Header.Get(endpt.AttemptHeader))
	switch {
	case e.Secret != "" && r.Header.Get(endpt.SecretHeader) != e.Secret:
		w.WriteHeader(http.StatusUnauthorized)
	case r.Method == http.MethodDelete:
		e.cancel(w, r)
	case r.URL.Path == RunsPath:
		_ = json.NewEncoder(w).Encode(e.Runs())
	case e.leaving.Load():
		replyNotRun(w, endpt.LeavingHeader)
	case e.running.Add(1) > int64(e.Capacity):
		e.running.Add(-1)
		if e.Pause > 0 {
			w.Header().Set("Retry-After", strconv.FormatFloat(e.Pause.Seconds(), 'f', -1, 64))
		}
		replyNotRun(w, "")
	default:
		defer e.running.Add(-1)
		if e.RequestLimit > 0 {
			w.Header().Set(endpt.LimitHeader, strconv.FormatFloat(e.RequestLimit, 'f', -1, 64))
		}
		e.run(w, r)
	}
}

// replyNotRun refuses a request with the assurance that it hasn't run. header, if any, is
// set to "true" too.
func replyNotRun(w http.ResponseWriter, header string) {
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

// serviceAnswer is the answer of a plain service.
type serviceAnswer struct {
	Service string `json:"service"`
	Request string `json:"request"`
	Bytes   int    `json:"bytes"`
	Run     int    `json:"run"`
}

// service runs a call to a plain service.
func (e *Endpoint) service(w http.ResponseWriter, r *http.Request, body []byte) {
	id := r.Header.Get(endpt.RequestHeader)
	e.mu.Lock()
	e.runs[string(body)]++
	n := e.runs[string(body)]
	e.mu.Unlock()
	if strings.Contains(string(body), breakDirective) {
		panic(http.ErrAbortHandler)
	}
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(serviceAnswer{Service: r.URL.Path, Request: id, Bytes: len(body), Run: n})
}

// cancel cancels the chat request whose id the path ends with.
func (e *Endpoint) cancel(w http.ResponseWriter, r *http.Request) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if cancel := e.cancelByRequest[r.URL.Path[len(endpt.CancelPath):]]; cancel != nil {
		cancel()
	}
	w.WriteHeader(http.StatusNoContent)
}

// chat streams the answer to a chat request.
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
	e.cancelByRequest[a.requestID] = cancel
	e.mu.Unlock()
	defer func() {
		e.mu.Lock()
		delete(e.cancelByRequest, a.requestID)
		e.mu.Unlock()
	}()
	a.stream(ctx)
}
