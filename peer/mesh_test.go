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

// meshNode is a process of a mesh that is served on loopback.
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
	line := &event.Line{VM: address, Clock: &event.Clock{}}
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

// TestNewsFromControlThatIsNoSeed: an endpoint announces itself to a control
// process that no other process was told of.
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
	require.Len(t, router.Nodes.Controls(), 2)
}

// TestProcessThatStartsInThePast: the pattern is a VM whose time of day is set back
// between two starts of its process. The others listen to the later process all the
// same, as soon as it has heard of the earlier one.
func TestProcessThatStartsInThePast(t *testing.T) {
	const address = "127.0.0.1:1"
	now := time.Now()
	start := func(incarnation int64) *Nodes {
		return &Nodes{Self: Node{VM: "b", Address: address, Incarnation: incarnation}, AliveFor: time.Minute, ForgetAfter: time.Hour}
	}
	joined := 0
	a := &Nodes{
		Self: Node{VM: "a", Address: "127.0.0.1:2", Incarnation: 1}, AliveFor: time.Minute, ForgetAfter: time.Hour,
		Joined: func(Node) { joined++ },
	}
	earlier := start(2_000)
	earlier.Round(now)
	a.Merge(earlier.States(), now)

	later := start(500)
	later.Merge(a.States(), now)
	later.Round(now)
	a.Merge(later.States(), now.Add(time.Hour))
	require.Len(t, a.Living(now.Add(time.Hour)), 1, "the later process is alive to the others")
	a.Round(now.Add(time.Hour))
	require.Equal(t, 1, a.LivingRouters())
	a.Round(now.Add(2 * time.Hour))
	require.Zero(t, a.LivingRouters())
	require.Len(t, a.SilentRouters(now.Add(2*time.Hour)), 1)
	require.Equal(t, 2, joined)
	require.Equal(t, int64(2_001), a.Living(now.Add(time.Hour))[0].Incarnation)
}

// notedTrips notes what it is told.
type notedTrips struct {
	trips       []time.Duration
	began, lost []time.Time
}

// ObserveRound implements Trips.
func (n *notedTrips) ObserveRound(began time.Time) { n.began = append(n.began, began) }

// ObserveTrip implements Trips.
func (n *notedTrips) ObserveTrip(d time.Duration, _ time.Time) { n.trips = append(n.trips, d) }

// ForgetRound implements Trips.
func (n *notedTrips) ForgetRound(began time.Time) { n.lost = append(n.lost, began) }

// TestShortestTrip: of a round only the shortest trip is passed on, when its reply
// comes; a round in which all fail is told as lost.
func TestShortestTrip(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		noted := &notedTrips{}
		m := &Mesh{Trips: noted}
		answered := m.beginTrip(true)
		time.Sleep(4 * time.Millisecond)
		answered.replied()
		require.Equal(t, []time.Duration{4 * time.Millisecond}, noted.trips)
		time.Sleep(26 * time.Millisecond)
		answered.replied()
		time.Sleep(870 * time.Millisecond)
		answered.replied()
		answered.ended()
		require.Empty(t, noted.lost)

		m.beginTrip(true).ended()
		m.beginTrip(false).ended()
		require.Equal(t, []time.Duration{4 * time.Millisecond}, noted.trips)
		require.Len(t, noted.began, 2, "a round that asks nobody tells nothing")
		require.Equal(t, noted.began[1:], noted.lost)
	})
}

// TestOthersSumsUpLoads: a router's newest word replaces its earlier one, and what
// was told too long ago doesn't count.
func TestOthersSumsUpLoads(t *testing.T) {
	m := &Mesh{OwnLoads: func() map[string]route.Load { return nil }}
	now := time.Unix(1_000, 0)
	tell := func(vm string, running int32, tokens int64, at time.Time) {
		m.takeLoads(&wire.TellRequest{Vm: vm, Loads: []*wire.LoadState{{Endpoint: "e", Running: running, PromptTokens: tokens}}}, at)
	}
	tell("a", 1, 100, now)
	tell("b", 2, 50, now)
	tell("a", 3, 10, now.Add(loadsLast))
	require.Equal(t, route.Load{Running: 5, PromptTokens: 60}, m.Others("e"))
	m.forgetLoads(now.Add(loadsLast + time.Millisecond))
	require.Equal(t, route.Load{Running: 3, PromptTokens: 10}, m.Others("e"))
	m.takeLoads(&wire.TellRequest{Vm: "a"}, now)
	require.Empty(t, m.others)
}
