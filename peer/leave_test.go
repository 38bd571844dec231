package peer

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"buckthornpin"
)

// leavingMesh is a mesh of two control processes and two routers. The first control process
// is the one that an endpoint reports to when it leaves.
type leavingMesh struct {
	t        *testing.T
	control  *meshNode
	other    *meshNode
	routers  []*meshNode
	endpoint buckthornpin.Endpoint
}

// newLeavingMesh starts a mesh whose routers know an endpoint and whose first control
// process has just started.
func newLeavingMesh(t *testing.T, splitByService bool) *leavingMesh {
	t.Helper()
	var seeds []string
	m := &leavingMesh{t: t, endpoint: buckthornpin.Endpoint{
		ID: "engine", Address: "10.0.0.1:80", Services: []string{"s"}, Incarnation: 7, Sequence: 20,
	}}
	m.control, m.other = newMeshNode(t, true, &seeds), newMeshNode(t, true, &seeds)
	m.routers = []*meshNode{newMeshNode(t, false, &seeds), newMeshNode(t, false, &seeds)}
	seeds = []string{m.other.Nodes.Self.Address}
	for _, n := range m.all() {
		n.Directory.SplitByService = splitByService
	}
	for _, n := range m.routers {
		n.Directory.Put(m.endpoint)
		for len(n.Directory.NextUpdates()) > 0 {
		}
	}
	return m
}

// meet makes all processes known to each other, without a comparison of what they know of
// endpoints.
func (m *leavingMesh) meet() {
	now := time.Now()
	for _, n := range m.all() {
		n.Nodes.StartRound(now)
	}
	for _, n := range m.all() {
		for _, k := range m.all() {
			n.Nodes.Merge(k.Nodes.States(), now)
		}
	}
}

func (m *leavingMesh) all() []*meshNode { return append([]*meshNode{m.control, m.other}, m.routers...) }

// requireLeft requires that no router sends requests to the endpoint any more.
func (m *leavingMesh) requireLeft() {
	m.t.Helper()
	for _, n := range m.routers {
		known := n.Directory.Serving(buckthornpin.Target{Service: "s"})
		require.Len(m.t, known, 1)
		require.True(m.t, known[0].Leaving, "incarnation %d, announcement %d", known[0].Incarnation, known[0].Sequence)
	}
}

// TestLeaveReachesRouters guards against an acknowledgement that an endpoint leaves which
// the routers ignore, because control knew less of the endpoint than they did.
func TestLeaveReachesRouters(t *testing.T) {
	ctx := context.Background()
	scenarios := []struct {
		description string
		known       func(m *leavingMesh)
	}{
		{"control knows the endpoint", func(m *leavingMesh) { m.control.Directory.Put(m.endpoint) }},
		{"control doesn't know the endpoint", func(*leavingMesh) {}},
		{"control knows an earlier announcement", func(m *leavingMesh) {
			e := m.endpoint
			e.Sequence = 3
			m.control.Directory.Put(e)
		}},
		{"control knows an earlier incarnation", func(m *leavingMesh) {
			e := m.endpoint
			e.Incarnation, e.Sequence = 6, 99
			m.control.Directory.Put(e)
		}},
		{"control knows an earlier incarnation that has left", func(m *leavingMesh) {
			e := m.endpoint.WithLeaving()
			e.Incarnation, e.Sequence = 6, 99
			m.control.Directory.Put(e)
		}},
	}
	for _, s := range scenarios {
		runSplitOrNot(t, s.description, func(t *testing.T, split bool) {
			m := newLeavingMesh(t, split)
			m.meet()
			m.control.comparedWithRouter.Store(true)
			s.known(m)
			require.NoError(t, m.control.Leave(ctx, "engine", 0))
			m.requireLeft()
		})
	}
}

// TestLeaveIsRefusedUntilRoutersAreKnown guards against an acknowledgement by a control
// process that has just started and can't tell any router. It learns from the routers what
// they know as soon as it reaches them.
func TestLeaveIsRefusedUntilRoutersAreKnown(t *testing.T) {
	ctx := context.Background()
	m := newLeavingMesh(t, true)
	require.Error(t, m.control.Leave(ctx, "engine", 0))
	m.control.Directory.Put(m.endpoint.WithLeaving())
	require.Error(t, m.control.ConfirmLeaving(ctx, "engine"))

	m.meet()
	require.Error(t, m.control.Leave(ctx, "engine", 0), "no router has told its endpoints yet")
	m.control.round(ctx, time.Now())
	require.NoError(t, m.control.Leave(ctx, "engine", 0))
	m.requireLeft()
}

// TestUnknownEndpointLeavesInACut guards against an acknowledgement for an endpoint that
// only routers know which can't be reached.
func TestUnknownEndpointLeavesInACut(t *testing.T) {
	ctx := context.Background()
	m := newLeavingMesh(t, true)
	m.meet()
	m.control.comparedWithRouter.Store(true)
	for _, n := range m.routers {
		n.server.Close()
	}
	require.Error(t, m.control.Leave(ctx, "engine", 0))
}

// TestLeaveReachesRoutersAfterACut guards against routers that go on using an endpoint
// because they were cut off from control for longer than an update is sent.
func TestLeaveReachesRoutersAfterACut(t *testing.T) {
	ctx := context.Background()
	m := newLeavingMesh(t, true)
	m.meet()
	m.control.round(ctx, time.Now())
	for _, n := range m.routers {
		require.True(t, m.control.Nodes.isCompared(n.Nodes.Self.Address))
	}

	m.control.Directory.Leave("engine", 0)
	for len(m.control.Directory.NextUpdates()) > 0 {
	}
	for _, n := range m.routers {
		m.control.Nodes.setCompared(n.Nodes.Self.Address, false)
	}
	m.control.round(ctx, time.Now())
	m.requireLeft()
}

// TestLateReportsOfAnEndpointThatLeft guards against an endpoint that returns to service
// with a late heartbeat after it has left, and against a new process under its id that is
// kept out of service by what is known of the earlier one.
func TestLateReportsOfAnEndpointThatLeft(t *testing.T) {
	next := newEngine(1)
	next.Incarnation = 2
	scenarios := []struct {
		description string
		run         func(d *Directory)
		leaving     bool
	}{
		{"a late heartbeat after an unknown endpoint has left", func(d *Directory) { d.Leave("engine", 0); d.Put(newEngine(1)) }, true},
		{"an announcement that it leaves identifies it", func(d *Directory) {
			d.Leave("engine", 0)
			d.Put(newEngine(1).WithLeaving())
			d.Put(newEngine(2))
		}, true},
		{"a new incarnation after an unknown endpoint has left", func(d *Directory) {
			d.Leave("engine", 0)
			time.Sleep(d.DeadAfter)
			d.Put(next)
		}, false},
		{"a new incarnation after a known endpoint has left", func(d *Directory) { d.Put(newEngine(1)); d.Leave("engine", 0); d.Put(next) }, false},
		{"a late report of the earlier incarnation itself that it leaves", func(d *Directory) { d.Put(next); d.Leave("engine", 1) }, false},
		{"a report of this incarnation itself that it leaves", func(d *Directory) { d.Put(next); d.Leave("engine", 2) }, true},
		{"a report of a later incarnation that it leaves", func(d *Directory) { d.Put(newEngine(9)); d.Leave("engine", 2) }, true},
		{"a late heartbeat of an unknown incarnation that has left", func(d *Directory) { d.Leave("engine", 1); d.Put(newEngine(4)) }, true},
		{"a report without incarnation that the earlier one has left", func(d *Directory) {
			d.Put(next)
			d.MergeEndpoint(buckthornpin.Endpoint{ID: "engine", Leaving: true})
		}, false},
		{"a report that the earlier incarnation has left", func(d *Directory) { d.Put(next); d.MergeEndpoint(newEngine(9).WithLeaving()) }, false},
		{"an outdated report that this incarnation has left", func(d *Directory) { d.Put(newEngine(9)); d.MergeEndpoint(newEngine(1).WithLeaving()) }, true},
		{"an outdated announcement that it leaves", func(d *Directory) { d.Put(newEngine(9)); d.Put(newEngine(1).WithLeaving()) }, true},
		{"a refuted report that it is dead and leaving", func(d *Directory) {
			d.Put(newEngine(3))
			d.Put(newEngine(9))
			d.MergeEndpoint(newEngine(4).WithLeaving().WithDead(true))
		}, true},
	}
	for _, s := range scenarios {
		runSplitOrNot(t, s.description, func(t *testing.T, split bool) {
			synctest.Test(t, func(t *testing.T) {
				d := newDirectory(4)
				d.SplitByService = split
				s.run(d)
				require.Equal(t, s.leaving, onlyEndpoint(t, d).Leaving)
			})
		})
	}
}
