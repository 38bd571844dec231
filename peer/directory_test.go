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

type nothing struct{}

func (nothing) Record(buckthornpin.Event) {}

func newDirectory(routers int) *Directory {
	addresses := make([]string, routers)
	return &Directory{Events: nothing{}, DeadAfter: time.Second, Addresses: func() []string { return addresses }}
}

func engine(sequence int64) buckthornpin.Endpoint {
	return buckthornpin.Endpoint{ID: "engine", Models: []string{"m"}, Capacity: 1, Incarnation: 1, Sequence: sequence, SeenAt: time.Now()}
}

func only(t *testing.T, d *Directory) *buckthornpin.Endpoint {
	t.Helper()
	require.Len(t, d.Endpoints(), 1)
	return d.Endpoints()[0]
}

func TestAnnouncements(t *testing.T) {
	scenarios := []struct {
		description   string
		run           func(d *Directory)
		leaving, dead bool
	}{
		{"a heartbeat", func(d *Directory) { d.Put(engine(2)) }, false, false},
		{"leaving", func(d *Directory) { d.Put(engine(2).WithLeaving()) }, true, false},
		{"a heartbeat that was overtaken by leaving", func(d *Directory) { d.Put(engine(3).WithLeaving()); d.Put(engine(2)) }, true, false},
		{"leaving lasts for the incarnation", func(d *Directory) { d.Put(engine(2).WithLeaving()); d.Put(engine(3)) }, true, false},
		{"a new incarnation works again", func(d *Directory) {
			d.Put(engine(9).WithLeaving())
			next := engine(1)
			next.Incarnation = 2
			d.Put(next)
		}, false, false},
		{"an old incarnation changes nothing", func(d *Directory) {
			old := engine(99).WithLeaving()
			old.Incarnation = 0
			d.Put(old)
		}, false, false},
		{"silence", func(d *Directory) { d.Sweep(time.Now().Add(2 * time.Second)) }, false, true},
		{"a heartbeat after silence", func(d *Directory) { d.Sweep(time.Now().Add(2 * time.Second)); d.Put(engine(2)) }, false, false},
		{"another router's word that it is dead, refuted", func(d *Directory) { d.Put(engine(5)); d.Tell(engine(1).WithDead(true)) }, false, false},
		{"another router's later word that it is dead", func(d *Directory) { d.Tell(engine(7).WithDead(true)) }, false, true},
	}
	for _, s := range scenarios {
		t.Run(s.description, func(t *testing.T) {
			d := newDirectory(4)
			d.Put(engine(1))
			s.run(d)
			require.Equal(t, s.leaving, only(t, d).Leaving)
			require.Equal(t, s.dead, only(t, d).Dead)
		})
	}
}

func TestHeartbeatsAreNoNews(t *testing.T) {
	d := newDirectory(4)
	d.Put(engine(1))
	for len(d.News()) > 0 {
	}
	d.Put(engine(2))
	require.Empty(t, d.News())
	d.Put(engine(3).WithLeaving())
	require.Len(t, d.News(), 1)
}

// epidemic is many directories that tell each other news as Gossip does.
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
		news := d.News()
		if len(news) == 0 {
			continue
		}
		size := proto.Size(&wire.ExchangeRequest{Endpoints: news})
		for range fanOut {
			to := e.rng.Intn(len(e.directories))
			if to != i {
				e.directories[to].Merge(news)
				e.bytes += size
			}
		}
	}
}

func (e *epidemic) informed() int {
	n := 0
	for _, d := range e.directories {
		if es := d.Endpoints(); len(es) == 1 && es[0].Leaving {
			n++
		}
	}
	return n
}

// TestLeavingReachesAllRouters: one router hears that an endpoint leaves; the
// others hear of it within 3 s of rounds.
func TestLeavingReachesAllRouters(t *testing.T) {
	for _, routers := range []int{2, 8, 64, 350} {
		t.Run(fmt.Sprintf("%d routers", routers), func(t *testing.T) {
			e := newEpidemic(routers)
			for _, d := range e.directories {
				d.Tell(engine(1))
				for len(d.News()) > 0 {
				}
			}
			e.directories[0].Put(engine(2).WithLeaving())
			rounds := 0
			for e.informed() < routers {
				e.round()
				rounds++
			}
			require.LessOrEqual(t, time.Duration(rounds)*Interval, 3*time.Second)
			t.Logf("%d rounds", rounds)
		})
	}
}

// BenchmarkNews reports what one change of one endpoint costs each router.
func BenchmarkNews(b *testing.B) {
	for _, routers := range []int{8, 64, 350} {
		b.Run(fmt.Sprintf("routers=%d", routers), func(b *testing.B) {
			sent := 0
			for b.Loop() {
				e := newEpidemic(routers)
				e.directories[0].Put(engine(1))
				for range 40 {
					e.round()
				}
				sent = e.bytes
			}
			b.ReportMetric(float64(sent)/float64(routers), "B/router/change")
		})
	}
}
