package peer

import (
	"context"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"buckthornpin"
	"buckthornpin/event"
	"buckthornpin/route"
	"buckthornpin/wire"
)

// meshNode is a process of a mesh, served on loopback.
type meshNode struct {
	*Mesh
	server *httptest.Server
}

func newMeshNode(t *testing.T, control bool, seeds *[]string) *meshNode {
	t.Helper()
	mux := http.NewServeMux()
	n := &meshNode{server: httptest.NewServer(mux)}
	t.Cleanup(n.server.Close)
	address := strings.TrimPrefix(n.server.URL, "http://")
	line := &event.Timeline{VM: address, Clock: &event.Clock{}}
	nodes := &Nodes{
		Self:     Node{VM: address, Address: address, Control: control, Incarnation: 1},
		AliveFor: time.Minute, ForgetAfter: time.Hour,
	}
	n.Mesh = &Mesh{
		Nodes: nodes, HTTP: n.server.Client(), Scheme: "http", Seeds: func() []string { return *seeds },
		Directory: &Directory{Events: line, DeadAfter: time.Minute, Addresses: func() []string { return nil }},
	}
	n.Register(mux)
	return n
}

// TestNewsFromControlThatIsNoSeed: a router learns of an endpoint that announced
// itself to a control process which is no seed and which no other process knew at
// first.
func TestNewsFromControlThatIsNoSeed(t *testing.T) {
	var seeds []string
	seed := newMeshNode(t, true, &seeds)
	other := newMeshNode(t, true, &seeds)
	router := newMeshNode(t, false, &seeds)
	seeds = []string{seed.Nodes.Self.Address}
	ctx := context.Background()

	other.Directory.Put(buckthornpin.Endpoint{ID: "engine", Address: "10.0.0.1:80", Services: []string{"s"}, Sequence: 1})
	for range 4 {
		other.round(ctx, time.Now())
		router.round(ctx, time.Now())
		seed.round(ctx, time.Now())
	}

	require.Len(t, router.Directory.Serving(buckthornpin.Target{Service: "s"}), 1)
	require.Len(t, router.Nodes.ControlNodes(), 2)
}

// TestProcessStartsAfterClockWasSetBack guards against a process that the others ignore
// because the clock of its VM was set back between two starts. The others must accept
// the later process as soon as it has learned of the earlier one.
func TestProcessStartsAfterClockWasSetBack(t *testing.T) {
	const address = "127.0.0.1:1"
	now := time.Now()
	start := func(incarnation int64) *Nodes {
		return &Nodes{Self: Node{VM: "b", Address: address, Incarnation: incarnation}, AliveFor: time.Minute, ForgetAfter: time.Hour}
	}
	joined := 0
	a := &Nodes{
		Self: Node{VM: "a", Address: "127.0.0.1:2", Incarnation: 1}, AliveFor: time.Minute, ForgetAfter: time.Hour,
		OnJoin: func(Node) { joined++ },
	}
	earlier := start(2_000)
	earlier.StartRound(now)
	a.Merge(earlier.States(), now)

	later := start(500)
	later.Merge(a.States(), now)
	later.StartRound(now)
	a.Merge(later.States(), now.Add(time.Hour))
	require.Len(t, a.Living(now.Add(time.Hour)), 1, "the later process is alive to the others")
	a.StartRound(now.Add(time.Hour))
	require.Equal(t, 1, a.LivingRouterCount())
	a.StartRound(now.Add(2 * time.Hour))
	require.Zero(t, a.LivingRouterCount())
	require.Len(t, a.SilentRouters(now.Add(2*time.Hour)), 1)
	require.Equal(t, 2, joined)
	require.Equal(t, int64(2_001), a.Living(now.Add(time.Hour))[0].Incarnation)
}

// tripLog records its calls.
type tripLog struct {
	rtts          []time.Duration
	began, failed []time.Time
}

// ObserveRound implements RoundTripObserver.
func (l *tripLog) ObserveRound(began time.Time) { l.began = append(l.began, began) }

// ObserveRoundTrip implements RoundTripObserver.
func (l *tripLog) ObserveRoundTrip(d time.Duration, _ time.Time) { l.rtts = append(l.rtts, d) }

// ForgetRound implements RoundTripObserver.
func (l *tripLog) ForgetRound(began time.Time) { l.failed = append(l.failed, began) }

// TestShortestRoundTrip: a round reports only its shortest round trip, when the first
// reply arrives, and a round in which all messages fail is reported as failed.
func TestShortestRoundTrip(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		log := &tripLog{}
		m := &Mesh{RoundTrips: log}
		answered := m.startRoundTrip(true)
		time.Sleep(4 * time.Millisecond)
		answered.replied()
		require.Equal(t, []time.Duration{4 * time.Millisecond}, log.rtts)
		time.Sleep(26 * time.Millisecond)
		answered.replied()
		time.Sleep(870 * time.Millisecond)
		answered.replied()
		answered.ended()
		require.Empty(t, log.failed)

		m.startRoundTrip(true).ended()
		m.startRoundTrip(false).ended()
		require.Equal(t, []time.Duration{4 * time.Millisecond}, log.rtts)
		require.Len(t, log.began, 2, "a round without messages reports nothing")
		require.Equal(t, log.began[1:], log.failed)
	})
}

// TestOthersSumsUpLoads: the newest report of a router replaces its earlier one, and an
// expired report is no longer included.
func TestOthersSumsUpLoads(t *testing.T) {
	m := &Mesh{OwnLoads: func() map[string]route.Load { return nil }}
	now := time.Unix(1_000, 0)
	report := func(vm string, running int32, tokens int64, at time.Time) {
		m.recordLoads(&wire.TellRequest{Vm: vm, Loads: []*wire.LoadState{{Endpoint: "e", Running: running, PromptTokens: tokens}}}, at)
	}
	report("a", 1, 100, now)
	report("b", 2, 50, now)
	report("a", 3, 10, now.Add(loadExpiry))
	require.Equal(t, route.Load{Running: 5, PromptTokens: 60}, m.Others("e"))
	m.expireLoads(now.Add(loadExpiry + time.Millisecond))
	require.Equal(t, route.Load{Running: 3, PromptTokens: 10}, m.Others("e"))
	m.recordLoads(&wire.TellRequest{Vm: "a"}, now)
	require.Empty(t, m.others)
}
