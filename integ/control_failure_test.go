package integ

import (
	"fmt"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// traffic keeps callers busy until it is stopped. Each request has a key and is
// sent again until it is answered, as a patient caller does.
type traffic struct {
	s       *site
	org     string
	stop    chan struct{}
	done    sync.WaitGroup
	mu      sync.Mutex
	cost    int64
	count   int
	slowest time.Duration
	bad     []string
}

func (s *site) traffic(callers int) *traffic {
	t := &traffic{s: s, org: "fleet", stop: make(chan struct{})}
	for i := range callers {
		t.done.Go(func() { t.caller(i) })
	}
	return t
}

func (t *traffic) caller(i int) {
	for n := 0; ; n++ {
		select {
		case <-t.stop:
			return
		default:
		}
		a := ask{org: t.org, key: fmt.Sprintf("%s-%d-%d", t.org, i, n), content: fmt.Sprintf("brief %d of caller %d", n, i)}
		t.one(i, a)
	}
}

func (t *traffic) one(i int, a ask) {
	began := time.Now()
	for try := 0; ; try++ {
		r := t.s.send(routerName((i+try)%len(t.s.routers)), a)
		if r.err == nil && r.whole && r.code == "" {
			t.answered(a, r, time.Since(began))
			return
		}
		if time.Since(began) > patience {
			t.failed(fmt.Sprintf("%s: no answer: %v %s %s", a.key, r.err, r.code, r.text))
			return
		}
		time.Sleep(20 * time.Millisecond) // A caller that waits before it asks again.
	}
}

func (t *traffic) answered(a ask, r reply, took time.Duration) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.count++
	t.cost += a.cost()
	t.slowest = max(t.slowest, took)
	if r.text != a.want() {
		t.bad = append(t.bad, a.key+": got "+r.text)
	}
}

func (t *traffic) failed(text string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.bad = append(t.bad, text)
}

// end stops the callers and checks that each answer was whole and each request
// billed once.
func (t *traffic) end() {
	t.s.t.Helper()
	close(t.stop)
	t.done.Wait()
	require.Empty(t.s.t, t.bad)
	require.Positive(t.s.t, t.count)
	t.s.requireBill(t.org, t.cost)
	t.s.t.Logf("%d answers, the slowest after %v", t.count, t.slowest.Round(time.Millisecond))
}

// waitForMore waits until n more requests have been answered.
func (t *traffic) waitForMore(n int) {
	t.s.t.Helper()
	now := t.answers()
	t.s.eventually("more requests are answered", func() bool { return t.answers() >= now+n })
}

func (t *traffic) answers() int {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.count
}

// TestKilledLeaders: the leader of the control group is killed with kill -9
// again and again under load; no answer is lost, cut or billed twice.
func TestKilledLeaders(t *testing.T) {
	s := start(t, plan{controls: 3, routers: 2, engines: 2})
	s.organisation("fleet", 10_000_000)
	load := s.traffic(4)
	for range 3 {
		load.waitForMore(10)
		l := s.leader()
		s.kill(l)
		load.waitForMore(10)
		s.restart(l)
	}
	load.end()
}

// TestSilentlyCutLeader: all links of the leader go silent, then come back.
func TestSilentlyCutLeader(t *testing.T) {
	s := start(t, plan{controls: 3, routers: 2, engines: 2})
	s.organisation("fleet", 10_000_000)
	load := s.traffic(4)
	load.waitForMore(10)
	old := s.leader()
	s.cutOff(old, false)
	load.waitForMore(10)
	now := s.leader()
	require.NotEqual(t, old.name, now.name)
	term := s.term(now)
	s.healAll()
	load.waitForMore(10)
	s.eventually("the old leader follows", func() bool { return s.follows(old, now) })
	require.Equal(t, term, s.term(now), "its return starts no election")
	load.end()
}

// TestOneWayCutLeader: the leader's messages arrive, but nothing reaches it.
func TestOneWayCutLeader(t *testing.T) {
	s := start(t, plan{controls: 3, routers: 2, engines: 2})
	s.organisation("fleet", 10_000_000)
	load := s.traffic(4)
	load.waitForMore(10)
	old := s.leader()
	for k, l := range s.links {
		if k[0] == old.name {
			l.silenceReplies()
		}
	}
	s.cutOff(old, true)
	load.waitForMore(10)
	require.NotEqual(t, old.name, s.leader().name)
	s.healAll()
	load.waitForMore(10)
	load.end()
}

// TestFrozenLeader: the leader stops and goes on later, sure that it leads.
func TestFrozenLeader(t *testing.T) {
	s := start(t, plan{controls: 3, routers: 2, engines: 2})
	s.organisation("fleet", 10_000_000)
	load := s.traffic(4)
	load.waitForMore(10)
	old := s.leader()
	s.freeze(old)
	load.waitForMore(10)
	s.thaw(old)
	load.waitForMore(10)
	load.end()
}

func (s *site) term(v *vm) uint64 {
	s.t.Helper()
	st, err := s.operator(v.name).Status(s.t.Context())
	require.NoError(s.t, err)
	return st.Replica.Term
}

func (s *site) follows(v, leader *vm) bool {
	st, err := s.operator(v.name).Status(s.t.Context())
	return err == nil && st.Replica.Role == "follower" && st.Replica.Leader == leader.name
}
