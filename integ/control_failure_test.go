package integ

import (
	"fmt"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// traffic runs callers that send requests until it is stopped. Each request has a key
// and is retried under it until it gets a complete answer.
type traffic struct {
	s            *site
	organisation string
	stop         chan struct{}
	done         sync.WaitGroup
	mu           sync.Mutex
	cost         int64
	answered     int
	slowest      time.Duration
	failures     []string
}

func (s *site) startTraffic(callers int) *traffic {
	t := &traffic{s: s, organisation: "fleet", stop: make(chan struct{})}
	for i := range callers {
		t.done.Go(func() { t.runCaller(i) })
	}
	return t
}

func (t *traffic) runCaller(i int) {
	for n := 0; ; n++ {
		select {
		case <-t.stop:
			return
		default:
		}
		req := callerRequest{organisation: t.organisation, key: fmt.Sprintf("%s-%d-%d", t.organisation, i, n), content: fmt.Sprintf("brief %d of caller %d", n, i)}
		t.sendUntilAnswered(i, req)
	}
}

func (t *traffic) sendUntilAnswered(i int, req callerRequest) {
	began := time.Now()
	for try := 0; ; try++ {
		r := t.s.send(routerName((i+try)%len(t.s.routers)), req)
		if r.err == nil && r.complete && r.code == "" {
			t.recordAnswer(req, r, time.Since(began))
			return
		}
		if time.Since(began) > stepTimeout {
			t.recordFailure(fmt.Sprintf("%s: no complete answer: %v %s %s", req.key, r.err, r.code, r.text))
			return
		}
		time.Sleep(20 * time.Millisecond) // The caller's pause before a retry.
	}
}

func (t *traffic) recordAnswer(req callerRequest, r reply, took time.Duration) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.answered++
	t.cost += req.cost()
	t.slowest = max(t.slowest, took)
	if r.text != req.expectedText() {
		t.failures = append(t.failures, req.key+": got "+r.text)
	}
}

func (t *traffic) recordFailure(text string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.failures = append(t.failures, text)
}

// stopAndCheck stops the callers and requires that each answer was complete and each
// request was billed once.
func (t *traffic) stopAndCheck() {
	t.s.t.Helper()
	close(t.stop)
	t.done.Wait()
	require.Empty(t.s.t, t.failures)
	require.Positive(t.s.t, t.answered)
	t.s.requireBill(t.organisation, t.cost)
	t.s.t.Logf("%d answers, the slowest after %v", t.answered, t.slowest.Round(time.Millisecond))
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
	return t.answered
}

// TestKilledLeaders guards against answers that are lost, truncated or billed twice during
// a change of leader. The leader of the control group is killed with SIGKILL three times
// under load.
func TestKilledLeaders(t *testing.T) {
	s := startSite(t, plan{controls: 3, routers: 2, engines: 2})
	s.createOrganisation("fleet", 10_000_000)
	load := s.startTraffic(4)
	for range 3 {
		load.waitForMore(10)
		l := s.leader()
		s.kill(l)
		load.waitForMore(10)
		s.restart(l)
	}
	load.stopAndCheck()
}

// TestSilentlyCutLeader guards against a leader that loses contact without an error. All
// its links drop every byte under load, and heal later. Another replica must take over, and
// the return of the old leader must not start an election.
func TestSilentlyCutLeader(t *testing.T) {
	s := startSite(t, plan{controls: 3, routers: 2, engines: 2})
	s.createOrganisation("fleet", 10_000_000)
	load := s.startTraffic(4)
	load.waitForMore(10)
	old := s.leader()
	s.cutOff(old, false)
	load.waitForMore(10)
	now := s.leader()
	require.NotEqual(t, old.name, now.name)
	term := s.term(now)
	s.healAll()
	load.waitForMore(10)
	s.eventually("the old leader follows the new one", func() bool { return s.follows(old, now) })
	require.Equal(t, term, s.term(now), "the return of the old leader must not start an election")
	load.stopAndCheck()
}

// TestOneWayCutLeader guards against a leader that stays leader although it no longer
// receives anything. Its messages still arrive, but nothing reaches it. Another replica must
// take over, and no answer may be lost or billed twice.
func TestOneWayCutLeader(t *testing.T) {
	s := startSite(t, plan{controls: 3, routers: 2, engines: 2})
	s.createOrganisation("fleet", 10_000_000)
	load := s.startTraffic(4)
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
	load.stopAndCheck()
}

// TestFrozenLeader guards against a stale leader that acts after its successor was
// elected. The leader's process is frozen under load and resumes later, still in the
// state of a leader. No answer may be lost or billed twice.
func TestFrozenLeader(t *testing.T) {
	s := startSite(t, plan{controls: 3, routers: 2, engines: 2})
	s.createOrganisation("fleet", 10_000_000)
	load := s.startTraffic(4)
	load.waitForMore(10)
	old := s.leader()
	s.freeze(old)
	load.waitForMore(10)
	s.thaw(old)
	load.waitForMore(10)
	load.stopAndCheck()
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
