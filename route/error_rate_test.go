package route

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// playFailing sends 100 requests a second for 21 s to four endpoints that take 50 ms.
// For the first 10 s one of them answers a part of its requests, in tenths, at once
// with a failure. It returns how many requests failed, and how many that endpoint got
// in the last second.
func playFailing(failing int, work Work) (failed, after int) {
	var tracker Tracker
	all := engines(4)
	start := time.Unix(1_000, 0)
	type running struct {
		run *Run
		end time.Time
	}
	var under []running
	sick := 0
	for i := range 2100 {
		now := start.Add(time.Duration(i) * 10 * time.Millisecond)
		for len(under) > 0 && !under[0].end.After(now) {
			under[0].run.End()
			tracker.Answered(under[0].run.endpoint, 200, now)
			under = under[1:]
		}
		c, _ := tracker.Choose(all, work, "z", now)
		r := tracker.Start(c, work, now)
		if c.Endpoint.ID == "e0" {
			if sick++; i < 1000 && sick%10 < failing {
				failed++
				r.End()
				tracker.Answered("e0", 500, now)
				continue
			}
			if i >= 2000 {
				after++
			}
		}
		under = append(under, running{r, now.Add(50 * time.Millisecond)})
	}
	return failed, after
}

// TestFailingEndpointDoesNotDrawRequests: the pattern is an endpoint that fails all or
// a part of its requests at once while its heartbeats are good (srv_lying_health,
// srv_grey). It has little under way, so that a choice by load alone would send it the
// most. Less than a tenth of an even part fails, and it is asked again once it is well.
func TestFailingEndpointDoesNotDrawRequests(t *testing.T) {
	cases := map[string]struct {
		failing int
		work    Work
	}{
		"all of its requests, plain":  {10, Work{}},
		"four in ten, plain":          {4, Work{}},
		"all of its requests, prompt": {10, Work{Model: true, Tokens: 2_000}},
		"four in ten, prompt":         {4, Work{Model: true, Tokens: 2_000}},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			failed, after := playFailing(c.failing, c.work)
			require.LessOrEqual(t, failed, 1000/4/10)
			require.Positive(t, after, "it is asked again")
		})
	}
}
