package route

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// simulateFailing sends 100 requests a second for 21 s to four endpoints that take 50 ms
// for each. For the first 10 s, one of them fails the given number of every ten requests
// at once. It returns how many requests failed, and how many requests that endpoint got
// in the last second.
func simulateFailing(failing int, work Work) (failed, lastSecond int) {
	var tracker Tracker
	all := newEndpoints(4)
	start := time.Unix(1_000, 0)
	type running struct {
		run *Run
		end time.Time
	}
	var inProgress []running
	received := 0
	for i := range 2100 {
		now := start.Add(time.Duration(i) * 10 * time.Millisecond)
		for len(inProgress) > 0 && !inProgress[0].end.After(now) {
			inProgress[0].run.End()
			tracker.RecordAnswer(inProgress[0].run.endpoint, 200, now)
			inProgress = inProgress[1:]
		}
		c, _ := tracker.Choose(all, work, "z", now)
		r := tracker.Start(c, work, now)
		if c.Endpoint.ID == "e0" {
			if received++; i < 1000 && received%10 < failing {
				failed++
				r.End()
				tracker.RecordAnswer("e0", 500, now)
				continue
			}
			if i >= 2000 {
				lastSecond++
			}
		}
		inProgress = append(inProgress, running{r, now.Add(50 * time.Millisecond)})
	}
	return failed, lastSecond
}

// TestFailingEndpointDoesNotDrawRequests covers an endpoint that fails all or some of its
// requests at once while its heartbeats are good (srv_lying_health, srv_grey). It has few
// requests in progress, so that a choice by load alone would send it the most. At most a
// tenth of an even share of the requests may fail, and the endpoint is tried again once it
// has recovered.
func TestFailingEndpointDoesNotDrawRequests(t *testing.T) {
	cases := map[string]struct {
		failing int
		work    Work
	}{
		"all of its requests, plain":  {10, Work{}},
		"four in ten, plain":          {4, Work{}},
		"all of its requests, prompt": {10, Work{ModelEngine: true, PromptTokens: 2_000}},
		"four in ten, prompt":         {4, Work{ModelEngine: true, PromptTokens: 2_000}},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			failed, lastSecond := simulateFailing(c.failing, c.work)
			require.LessOrEqual(t, failed, 1000/4/10)
			require.Positive(t, lastSecond, "the endpoint gets requests again")
		})
	}
}
