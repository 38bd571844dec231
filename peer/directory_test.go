package peer

import (
	"fmt"
	"math/rand"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"google.golang.org/protobuf/proto"

	"buckthornpin"
	"buckthornpin/wire"
)

type discardEvents struct{}

func (discardEvents) Record(buckthornpin.Event) {}

func newDirectory(routers int) *Directory {
	addresses := make([]string, routers)
	return &Directory{Events: discardEvents{}, DeadAfter: time.Second, Addresses: func() []string { return addresses }}
}

func newEngine(sequence int64) buckthornpin.Endpoint {
	return buckthornpin.Endpoint{
		ID: "engine", Models: []string{"m"}, Services: []string{"s"}, Capacity: 1, Incarnation: 1, Sequence: sequence, SeenAt: time.Now(),
	}
}

// runSplitOrNot runs a test with directories that keep the services of an id apart, and with others.
func runSplitOrNot(t *testing.T, description string, test func(t *testing.T, splitByService bool)) {
	t.Run(description, func(t *testing.T) { test(t, false) })
	t.Run(description+", split by service", func(t *testing.T) { test(t, true) })
}

// onlyEndpoint returns the endpoint that a directory knows. With SplitByService, a record that an
// incarnation has left may stand beside it.
func onlyEndpoint(t *testing.T, d *Directory) *buckthornpin.Endpoint {
	t.Helper()
	known := d.Serving(buckthornpin.Target{Service: "s"})
	if !d.SplitByService || len(known) == 0 {
		known = d.Endpoints()
	}
	require.Len(t, known, 1)
	return known[0]
}

func TestAnnouncements(t *testing.T) {
	scenarios := []struct {
		description   string
		run           func(d *Directory)
		leaving, dead bool
	}{
		{"a heartbeat", func(d *Directory) { d.Put(newEngine(2)) }, false, false},
		{"leaving", func(d *Directory) { d.Put(newEngine(2).WithLeaving()) }, true, false},
		{"a heartbeat that arrives after leaving", func(d *Directory) { d.Put(newEngine(3).WithLeaving()); d.Put(newEngine(2)) }, true, false},
		{"leaving lasts for the incarnation", func(d *Directory) { d.Put(newEngine(2).WithLeaving()); d.Put(newEngine(3)) }, true, false},
		{"an answer that says it is leaving", func(d *Directory) { d.MarkLeaving("engine", 1) }, true, false},
		{"a later announcement that another process heard before it left", func(d *Directory) {
			d.MarkLeaving("engine", 1)
			d.MergeEndpoint(newEngine(7))
		}, true, false},
		{"a report that it is dead doesn't end that it leaves", func(d *Directory) {
			d.MarkLeaving("engine", 1)
			d.MergeEndpoint(newEngine(7).WithDead(true))
		}, true, true},
		{"a reported new incarnation is living again", func(d *Directory) {
			d.MarkLeaving("engine", 1)
			next := newEngine(1)
			next.Incarnation = 2
			d.MergeEndpoint(next)
		}, false, false},
		{"a new incarnation is living again", func(d *Directory) {
			d.Put(newEngine(9).WithLeaving())
			next := newEngine(1)
			next.Incarnation = 2
			d.Put(next)
		}, false, false},
		{"an old incarnation changes nothing", func(d *Directory) {
			old := newEngine(99).WithLeaving()
			old.Incarnation = 0
			d.Put(old)
		}, false, false},
		{"silence", func(d *Directory) { d.Sweep(time.Now().Add(2 * time.Second)) }, false, true},
		{"a heartbeat after silence", func(d *Directory) { d.Sweep(time.Now().Add(2 * time.Second)); d.Put(newEngine(2)) }, false, false},
		{"an outdated report of another router that it is dead", func(d *Directory) { d.Put(newEngine(5)); d.MergeEndpoint(newEngine(1).WithDead(true)) }, false, false},
		{"a later report of another router that it is dead", func(d *Directory) { d.MergeEndpoint(newEngine(7).WithDead(true)) }, false, true},
	}
	for _, s := range scenarios {
		runSplitOrNot(t, s.description, func(t *testing.T, split bool) {
			d := newDirectory(4)
			d.SplitByService = split
			d.Put(newEngine(1))
			s.run(d)
			require.Equal(t, s.leaving, onlyEndpoint(t, d).Leaving)
			require.Equal(t, s.dead, onlyEndpoint(t, d).Dead)
		})
	}
}

func TestHeartbeatsAreNotSentOn(t *testing.T) {
	d := newDirectory(4)
	d.Put(newEngine(1))
	for len(d.NextUpdates()) > 0 {
	}
	d.Put(newEngine(2))
	require.Empty(t, d.NextUpdates())
	d.Put(newEngine(3).WithLeaving())
	require.Len(t, d.NextUpdates(), 1)
}

// epidemic is a set of directories that send each other updates as Gossip does.
type epidemic struct {
	rng         *rand.Rand
	directories []*Directory
	bytes       int
}

func newEpidemic(routers int) *epidemic {
	e := &epidemic{rng: rand.New(rand.NewSource(1))}
	for range routers {
		e.directories = append(e.directories, newDirectory(routers))
	}
	return e
}

func (e *epidemic) round() {
	for i, d := range e.directories {
		updates := d.NextUpdates()
		if len(updates) == 0 {
			continue
		}
		size := proto.Size(&wire.ExchangeRequest{Endpoints: updates})
		for range fanOut {
			to := e.rng.Intn(len(e.directories))
			if to != i {
				e.directories[to].Merge(updates)
				e.bytes += size
			}
		}
	}
}

func (e *epidemic) informedRouters() int {
	n := 0
	for _, d := range e.directories {
		if es := d.Endpoints(); len(es) == 1 && es[0].Leaving {
			n++
		}
	}
	return n
}

// TestLeavingReachesAllRouters: an endpoint announces to one router that it is leaving,
// and the update reaches all other routers within 3 s of gossip rounds.
func TestLeavingReachesAllRouters(t *testing.T) {
	for _, routers := range []int{2, 8, 64, 350} {
		t.Run(fmt.Sprintf("%d routers", routers), func(t *testing.T) {
			e := newEpidemic(routers)
			for _, d := range e.directories {
				d.MergeEndpoint(newEngine(1))
				for len(d.NextUpdates()) > 0 {
				}
			}
			e.directories[0].Put(newEngine(2).WithLeaving())
			rounds := 0
			for e.informedRouters() < routers {
				e.round()
				rounds++
			}
			require.LessOrEqual(t, time.Duration(rounds)*GossipInterval, 3*time.Second)
			t.Logf("%d rounds", rounds)
		})
	}
}

// BenchmarkEndpointUpdate reports the bytes that one change of one endpoint costs each
// router.
func BenchmarkEndpointUpdate(b *testing.B) {
	for _, routers := range []int{8, 64, 350} {
		b.Run(fmt.Sprintf("routers=%d", routers), func(b *testing.B) {
			sent := 0
			for b.Loop() {
				e := newEpidemic(routers)
				e.directories[0].Put(newEngine(1))
				for range 40 {
					e.round()
				}
				sent = e.bytes
			}
			b.ReportMetric(float64(sent)/float64(routers), "B/router/change")
		})
	}
}

// TestServicesOfOneIDAreSplit guards against an announcement under the id of an endpoint for another
// service that takes it out of service, and against a departure that doesn't reach all services.
func TestServicesOfOneIDAreSplit(t *testing.T) {
	other := func(incarnation int64) buckthornpin.Endpoint {
		e := newEngine(1 << 40)
		e.Services, e.Incarnation = []string{"other"}, incarnation
		return e
	}
	scenarios := []struct {
		description string
		run         func(d *Directory)
		leaving     bool
	}{
		{"a later start for another service", func(d *Directory) { d.Put(newEngine(1)); d.Put(other(9)); d.Put(newEngine(2)) }, false},
		{"that comes first", func(d *Directory) { d.Put(other(9)); d.Put(newEngine(1)) }, false},
		{"that is reported by another process", func(d *Directory) { d.Put(newEngine(1)); d.MergeEndpoint(other(9).WithLeaving()) }, false},
		{"the same start for another service, leaving", func(d *Directory) { d.Put(newEngine(1)); d.Put(other(1).WithLeaving()) }, false},
		{"the endpoint leaves", func(d *Directory) { d.Put(newEngine(1)); d.Put(other(9)); d.Leave("engine", 0) }, true},
		{"its incarnation leaves", func(d *Directory) { d.Put(newEngine(1)); d.Put(other(9)); d.Leave("engine", 1) }, true},
		{"another incarnation leaves", func(d *Directory) {
			d.Put(newEngine(1))
			d.Put(other(0))
			d.MergeEndpoint(buckthornpin.Endpoint{ID: "engine", Leaving: true})
		}, false},
	}
	for _, s := range scenarios {
		t.Run(s.description, func(t *testing.T) {
			d := newDirectory(4)
			d.SplitByService = true
			s.run(d)
			require.Equal(t, s.leaving, onlyEndpoint(t, d).Leaving)
		})
	}
}
