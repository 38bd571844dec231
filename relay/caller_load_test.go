package relay_test

import (
	"bufio"
	"bytes"
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/rs/zerolog"
	"github.com/stretchr/testify/require"

	"buckthornpin"
	"buckthornpin/conn"
	"buckthornpin/event"
	"buckthornpin/peer"
	platf "buckthornpin/platform"
	"buckthornpin/relay"
	"buckthornpin/site"
	"buckthornpin/stand"
)

const (
	// routerLinkRate is the capacity of a router's link, 10 Mbit/s, in bytes per second.
	routerLinkRate = 1_250_000
	// answerMargin is the time after a route's timeout within which the final answer has
	// to arrive.
	answerMargin = 500 * time.Millisecond
	// balancerDetection is how long the load balancer takes to notice that a router takes
	// no new connections: two health checks, a second apart, and a margin.
	balancerDetection = 2300 * time.Millisecond
	// linkSilence is the silence after which a connection is given up: half of the contact
	// timeout of a site with such links.
	linkSilence = 2 * time.Second
)

// requestKind is a kind of request: its share of the load, the size of its body, its
// route's timeout and objective, and how long the caller waits for an answer.
type requestKind struct {
	path      string
	share     float64
	bytes     int
	timeout   time.Duration
	objective time.Duration
	patience  time.Duration
}

// requestKinds is a mix of long prompts and short requests.
var requestKinds = []requestKind{
	{path: "/long/", share: 0.21, bytes: 17_000, timeout: 8 * time.Second, objective: 600 * time.Millisecond, patience: 8 * time.Second},
	{path: "/middle/", share: 0.19, bytes: 9_200, timeout: 4 * time.Second, objective: 600 * time.Millisecond, patience: 4 * time.Second},
	{path: "/short/", share: 0.34, bytes: 1_500, timeout: 8 * time.Second, objective: 500 * time.Millisecond, patience: 8 * time.Second},
	{path: "/plain/", share: 0.26, bytes: 600, timeout: 2 * time.Second, objective: 300 * time.Millisecond, patience: 4 * time.Second},
}

// callerLoad simulates a caller whose requests all reach one router, the router, the
// routers that it gossips with, and endpoints. All of the router's connections share its
// link.
type callerLoad struct {
	t       *testing.T
	network stand.Network
	link    *stand.Link
	guard   *relay.Guard
	random  *rand.Rand
	closers []func()

	mu   sync.Mutex
	idle []net.Conn
	// sent counts the requests, answered those that succeeded, refused those that got
	// another status, late those without a final answer at their route's timeout, overdue
	// those of them that still had none answerMargin later, and elsewhere those that went
	// to another router.
	sent, answered, refused, late, overdue, elsewhere int
}

// dial opens a connection of the router.
func (c *callerLoad) dial(ctx context.Context, address string) (net.Conn, error) {
	return c.network.Dial(ctx, c.link, address)
}

func (c *callerLoad) serve(address string, l *stand.Link, h http.Handler) {
	s := c.network.Serve(address, l, h)
	c.closers = append(c.closers, func() { _ = s.Close() })
}

func (c *callerLoad) mesh(address string, l *stand.Link, seeds []string) *peer.Mesh {
	nodes := &peer.Nodes{Self: peer.Node{VM: address, Address: address, Incarnation: 1}, AliveFor: time.Minute, ForgetAfter: time.Hour}
	directory := &peer.Directory{Events: &event.Timeline{VM: address, Clock: &event.Clock{}}, DeadAfter: time.Hour, Addresses: func() []string { return nil }}
	dialer := &conn.Dialer{SilenceTimeout: linkSilence, Dial: func(ctx context.Context, to string) (net.Conn, error) { return c.network.Dial(ctx, l, to) }}
	client := dialer.InternalClient()
	c.closers = append(c.closers, client.CloseIdleConnections)
	m := &peer.Mesh{Nodes: nodes, Directory: directory, HTTP: client, Scheme: "http", Seeds: func() []string { return seeds }, Log: zerolog.Nop()}
	m.Open()
	mux := http.NewServeMux()
	m.Register(mux)
	c.serve(address, l, mux)
	return m
}

// endpoint answers a request after 50 ms.
func (c *callerLoad) endpoint(w http.ResponseWriter, r *http.Request) {
	_, _ = io.Copy(io.Discard, r.Body)
	time.Sleep(50 * time.Millisecond)
	platf.EncodeEndpointAnswer(w.Header(), platf.DecodeEndpointRequest(r.Header).ID, "seal", false)
	_, _ = w.Write(bytes.Repeat([]byte("a"), 800))
}

// meshedRouter adapts relay.Router to the ingress. open connects it as a process does: with
// callers, guard, connection pool and mesh.
type meshedRouter struct{ *relay.Router }

// Serve implements the ingress's router.
func (r meshedRouter) Serve(h *http.Request, q *relay.Request, reply relay.Reply) {
	r.Router.Serve(h.Context(), q, reply)
}

func (c *callerLoad) open(ctx context.Context) {
	c.link = &stand.Link{BytesPerSecond: routerLinkRate}
	others := []string{"peer-1:80", "peer-2:80", "peer-3:80"}
	for _, a := range others {
		m := c.mesh(a, nil, others)
		go func() { _ = m.Run(ctx) }()
	}
	m := c.mesh("router", c.link, others)
	traffic := &conn.Traffic{}
	c.guard = &relay.Guard{LinkBytesPerSecond: routerLinkRate, BalancerDetectionTime: balancerDetection, Traffic: traffic, Log: zerolog.Nop()}
	m.RoundTrips = c.guard
	for i := range 4 {
		address := fmt.Sprint("endpoint-", i)
		c.serve(address, nil, http.HandlerFunc(c.endpoint))
		m.Directory.Put(buckthornpin.Endpoint{ID: address, Address: address, Services: []string{"app"}, Capacity: 100, Sequence: 1, Incarnation: 1, SeenAt: time.Now()})
	}
	table := site.NewTable(c.configuration())
	router := &relay.Router{
		Site: func() *site.Table { return table }, Directory: m.Directory, Loads: m, Limits: &m.Limits, Guard: c.guard, Log: zerolog.Nop(),
		Endpoints: &platf.Endpoints{Pool: &conn.Pool{DialTimeout: 1300 * time.Millisecond, Dial: c.dial, Traffic: traffic}},
		Retries:   &relay.Retries{Ratio: 0.2, Slack: 200, Window: 10 * time.Second, Routers: func() int { return 86 }},
	}
	router.Open()
	go func() { _ = m.Run(ctx) }()
	go func() { _ = c.guard.Run(ctx) }()
	ingress := &platf.Ingress{Router: meshedRouter{router}, MaxBodyBytes: func() int64 { return 4 << 20 }}
	s := &http.Server{Handler: ingress} //nolint:gosec // a test's server.
	listener := &conn.PausableListener{
		Listener: c.network.Listen("callers", c.link), Listen: func() (net.Listener, error) { return c.network.Listen("callers", c.link), nil },
		AcceptsConnections: c.guard.AcceptsConnections, Log: zerolog.Nop(),
	}
	go func() { _ = listener.Run(ctx) }()
	go func() { _ = s.Serve(traffic.Listener(listener)) }()
	c.closers = append(c.closers, func() { _ = s.Close() })
}

func (c *callerLoad) configuration() site.Configuration {
	out := site.Configuration{Version: 1, Services: []site.Service{{Name: "app"}}}
	for _, k := range requestKinds {
		out.Routes = append(out.Routes, site.Route{
			Name: k.path, Host: "h", PathPrefix: k.path, Kind: site.KindNonIdempotent, Timeout: k.timeout, Objective: k.objective,
			MaxAttempts: 1, Anonymous: true, Shares: []site.Share{{Service: "app", Weight: 1}},
		})
	}
	return out
}

// balance acts as the load balancer: it asks the router once a second whether its link is
// full. Two full checks in a row take the router out of rotation, one success puts it back.
func (c *callerLoad) balance(ctx context.Context, inRotation func(bool)) {
	misses := 0
	for ctx.Err() == nil {
		misses++
		if !c.guard.LinkFull(time.Now()) {
			misses = 0
		}
		inRotation(misses < 2)
		time.Sleep(time.Second)
	}
}

// connection returns an idle connection, or a new one if the router is in rotation; nil if
// there is none.
func (c *callerLoad) connection(ctx context.Context, inRotation bool) net.Conn {
	c.mu.Lock()
	if n := len(c.idle); n > 0 {
		out := c.idle[n-1]
		c.idle = c.idle[:n-1]
		c.mu.Unlock()
		return out
	}
	c.mu.Unlock()
	if !inRotation {
		return nil
	}
	ctx, cancel := context.WithTimeout(ctx, time.Second)
	defer cancel()
	out, err := c.network.Dial(ctx, nil, "callers")
	if err != nil {
		return nil
	}
	return out
}

// request sends one request and counts whether and when its final answer arrived.
func (c *callerLoad) request(ctx context.Context, id string, k requestKind, inRotation bool) {
	connection := c.connection(ctx, inRotation)
	if connection == nil {
		c.count(&c.elsewhere)
		return
	}
	c.count(&c.sent)
	sent := time.Now()
	_ = connection.SetDeadline(sent.Add(k.patience + time.Second))
	r, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://h"+k.path, bytes.NewReader(make([]byte, k.bytes)))
	require.NoError(c.t, err)
	platf.EncodeCallerRequest(r.Header, relay.Request{ID: id, Deadline: sent.Add(k.patience)})
	status := 0
	keep := false
	written := make(chan struct{})
	go func() { defer close(written); _ = r.Write(connection) }()
	if answer, err := http.ReadResponse(bufio.NewReader(connection), r); err == nil {
		_, err := io.Copy(io.Discard, answer.Body)
		status, keep = answer.StatusCode, err == nil && !answer.Close
		_ = answer.Body.Close()
	}
	took := time.Since(sent)
	if !keep {
		_ = connection.Close()
	}
	<-written
	c.mu.Lock()
	defer c.mu.Unlock()
	if keep {
		c.idle = append(c.idle, connection)
	}
	switch {
	case status == http.StatusOK:
		c.answered++
	case status != 0:
		c.refused++
	}
	if took > k.timeout {
		c.late++
	}
	if took > k.timeout+answerMargin {
		c.overdue++
	}
}

func (c *callerLoad) count(n *int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	*n++
}

func (c *callerLoad) kind() requestKind {
	at := c.random.Float64()
	for _, k := range requestKinds {
		if at -= k.share; at < 0 {
			return k
		}
	}
	return requestKinds[len(requestKinds)-1]
}

// phase is a part of a load: a number of requests per second and its duration.
type phase struct {
	rate     int
	duration time.Duration
}

func runCallerLoad(t *testing.T, seed uint64, load []phase) *callerLoad {
	t.Helper()
	c := &callerLoad{t: t, random: rand.New(rand.NewPCG(seed, 1))}
	synctest.Test(t, func(t *testing.T) {
		ctx, stop := context.WithCancel(t.Context())
		c.t = t
		c.open(ctx)
		in := true
		go c.balance(ctx, func(now bool) { c.mu.Lock(); in = now; c.mu.Unlock() })
		time.Sleep(2 * time.Second)
		require.Positive(t, c.guard.LinkDelay(time.Now()), "the mesh measures the link's delay")
		var all sync.WaitGroup
		n := 0
		for _, p := range load {
			for end := time.Now().Add(p.duration); time.Now().Before(end); time.Sleep(time.Second / time.Duration(p.rate)) {
				n++
				k, id := c.kind(), fmt.Sprint("r", n)
				c.mu.Lock()
				inRotation := in
				c.mu.Unlock()
				all.Go(func() { c.request(ctx, id, k, inRotation) })
			}
		}
		all.Wait()
		stop()
		for _, i := range c.idle {
			_ = i.Close()
		}
		for _, closeOne := range c.closers {
			closeOne()
		}
		time.Sleep(time.Minute)
	})
	t.Logf("sent %d, elsewhere %d, answered %d, refused %d, unanswered at the timeout %d, overdue %d", c.sent, c.elsewhere, c.answered, c.refused, c.late, c.overdue)
	return c
}
