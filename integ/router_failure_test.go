package integ

import (
	"context"
	"sync"
	"testing"

	"github.com/stretchr/testify/require"

	"buckthornpin"
)

// TestRouterKilledWithStreamsOpen guards against lost or doubly billed requests when a
// router crashes. It is killed with streams open, and the callers retry their requests
// through another router. Each must get a complete answer and be billed once.
func TestRouterKilledWithStreamsOpen(t *testing.T) {
	s := startSite(t, plan{controls: 3, routers: 2, engines: 2})
	s.createOrganisation("fleet", 10_000_000)
	const callers = 8
	var all sync.WaitGroup
	var cost int64
	for i := range callers {
		req := callerRequest{organisation: "fleet", key: "brief-" + string(rune('a'+i)), content: "a long brief @tokens=150 @pace_ms=10"}
		cost += req.cost()
		all.Go(func() { s.send("router-1", req) })
	}
	s.eventually("all streams are open", func() bool { return s.requestsInProgress("router-1") == callers })
	s.kill(s.routers[0])
	all.Wait()
	for i := range callers {
		req := callerRequest{organisation: "fleet", key: "brief-" + string(rune('a'+i)), content: "a long brief @tokens=150 @pace_ms=10"}
		all.Go(func() {
			r, _ := s.retryUntilComplete(1, req)
			s.requireCompleteAnswer(req, r)
		})
	}
	all.Wait()
	s.requireBill("fleet", cost)
}

func (s *site) requestsInProgress(router string) int64 {
	st, err := s.operator(router).Status(s.t.Context())
	if err != nil {
		return -1
	}
	return st.Requests
}

// TestSameKeyThroughTwoRouters guards against billing a request twice when two routers get
// it at the same time. Each of many keys is sent to two routers at once. Both callers must
// get the complete, correct answer, and each request must be billed once.
func TestSameKeyThroughTwoRouters(t *testing.T) {
	s := startSite(t, plan{controls: 3, routers: 2, engines: 2})
	s.createOrganisation("fleet", 10_000_000)
	const keys, callers = 1000, 16
	queue := make(chan callerRequest)
	var cost int64
	var all sync.WaitGroup
	var mu sync.Mutex
	completeAnswers := map[string]int{}
	for range callers {
		all.Go(func() {
			for req := range queue {
				var pair sync.WaitGroup
				for _, router := range []string{"router-1", "router-2"} {
					pair.Go(func() {
						r := s.send(router, req)
						if r.complete && r.code == "" && r.text == req.expectedText() {
							mu.Lock()
							completeAnswers[req.key]++
							mu.Unlock()
						}
					})
				}
				pair.Wait()
			}
		})
	}
	for i := range keys {
		req := callerRequest{organisation: "fleet", key: "k" + string(rune('a'+i/100)) + string(rune('a'+i/10%10)) + string(rune('a'+i%10)), content: "short @tokens=2 @pace_ms=1"}
		cost += req.cost()
		queue <- req
	}
	close(queue)
	all.Wait()
	require.Len(t, completeAnswers, keys, "each key must get a complete answer")
	for k, n := range completeAnswers {
		require.Equal(t, 2, n, "both callers of %s must get the complete answer", k)
	}
	s.requireBill("fleet", cost)
}

// TestRetryJoinsTheAnswerInProgress guards against running a request twice because its
// caller retries too early. The caller sends the request again through another router while
// the first router still works on it. Both calls must get the same answer, and only the
// first router may bill it.
func TestRetryJoinsTheAnswerInProgress(t *testing.T) {
	s := startSite(t, plan{controls: 1, routers: 2, engines: 2})
	s.createOrganisation("fleet", 100_000)
	req := callerRequest{organisation: "fleet", key: "brief", content: "a long brief @tokens=100 @pace_ms=10"}
	answered := make(chan reply, 1)
	go func() { answered <- s.send("router-1", req) }()
	s.eventually("the request runs", func() bool { return s.requestsInProgress("router-1") == 1 })
	s.requireCompleteAnswer(req, s.send("router-2", req))
	s.requireCompleteAnswer(req, <-answered)
	s.requireBill("fleet", req.cost())
	for _, e := range s.timeline(s.routers[1]) {
		require.NotEqual(t, buckthornpin.EventSettled, e.Kind, "the second router must not bill the request")
	}
}

// TestCallerGoneMidStream guards against work and held tokens that outlive their caller. A
// caller without a key closes its connection in the middle of a stream. The engine's work
// must be cancelled, and no tokens may stay held.
func TestCallerGoneMidStream(t *testing.T) {
	s := startSite(t, plan{controls: 1, routers: 1, engines: 1})
	s.createOrganisation("fleet", 100_000)
	ctx, cancel := context.WithCancel(t.Context())
	gone := make(chan struct{})
	go func() {
		s.sendContext(ctx, "router-1", callerRequest{organisation: "fleet", content: "a long brief @tokens=190 @pace_ms=50"})
		close(gone)
	}()
	s.eventually("the stream is open", func() bool { return s.requestsInProgress("router-1") == 1 })
	cancel()
	<-gone
	s.eventually("the request has ended", func() bool { return s.requestsInProgress("router-1") == 0 })
	s.eventually("no tokens are held", func() bool { return s.budget("fleet").GetHeld() == 0 })
	require.Less(t, s.budget("fleet").GetSettled(), int64(190))
}

// TestRollingRestart guards against streams that are cut off by a graceful restart. All
// routers are restarted one after the other under load, each with a long stream open.
func TestRollingRestart(t *testing.T) {
	s := startSite(t, plan{controls: 3, routers: 2, engines: 2})
	s.createOrganisation("fleet", 10_000_000)
	load := s.startTraffic(4)
	for _, r := range s.routers {
		load.waitForMore(8)
		req := callerRequest{organisation: "fleet", key: "held-by-" + r.name, content: "a long brief @tokens=100 @pace_ms=10"}
		answered := make(chan reply, 1)
		go func() { answered <- s.send(r.name, req) }()
		s.eventually("the long request runs", func() bool { return s.requestsInProgress(r.name) > 0 })
		require.NoError(t, s.terminate(r))
		s.requireCompleteAnswer(req, <-answered)
		load.mu.Lock()
		load.cost += req.cost()
		load.mu.Unlock()
		s.restart(r)
		s.eventually("the router is ready and knows both endpoints", func() bool {
			st, err := s.operator(r.name).Status(t.Context())
			return err == nil && st.Ready && len(st.Endpoints) == 2
		})
	}
	load.stopAndCheck()
}
