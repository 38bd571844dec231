package integ

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// TestNamedLimitIsKept guards against routers that each send an engine more than its share
// of the limit that it names in our own interface. What is beyond the limit is refused at
// once.
func TestNamedLimitIsKept(t *testing.T) {
	const perSecond = 2
	s := startSite(t, plan{controls: 1, routers: 2, engines: 1, requestLimit: perSecond})
	s.createOrganisation("fleet", 10_000_000)
	var answered []time.Time
	refused := 0
	start := time.Now()
	for i := 0; time.Since(start) < 3*time.Second+2*limitWindow; i++ {
		r := s.send([]string{"router-1", "router-2"}[i%2], callerRequest{organisation: "fleet", content: "brief @tokens=2"})
		if r.complete {
			answered = append(answered, time.Now())
			continue
		}
		require.Equal(t, "overload", r.code)
		require.NotEmpty(t, r.retryAfter)
		require.Less(t, r.took, time.Second, "a refusal that is certain is given at once")
		refused++
	}
	require.Positive(t, refused)
	var counted []time.Time
	for _, at := range answered {
		if at.After(start.Add(3 * time.Second)) {
			counted = append(counted, at)
		}
	}
	require.LessOrEqual(t, mostInWindow(counted), allowedInWindow(perSecond))
	require.GreaterOrEqual(t, len(counted), perSecond*int(limitWindow.Seconds()), "the limit is used")
}
