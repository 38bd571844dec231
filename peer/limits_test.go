package peer

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"buckthornpin"
	"buckthornpin/route"
)

// limitNode is a router's knowledge of endpoints and their limits.
type limitNode struct {
	*Directory
	limits route.RateLimits
}

func newLimitNode() *limitNode { return &limitNode{Directory: newDirectory(2)} }

// tell sends everything that n knows to another router.
func (n *limitNode) tell(to *limitNode) {
	to.Merge(n.States())
	mergeLimits(&to.limits, to.Directory, limitStates(n.limits.All()), time.Now())
}

// forgetEnded lets the time pass after which ended endpoints are forgotten.
func (n *limitNode) forgetEnded() {
	n.Sweep(time.Now().Add(endedEndpointRetention + time.Second))
	n.limits.Retain(n.Has)
}

// TestLimitsEndWithTheirEndpoints guards against limits of endpoints that are gone which
// routers report to each other forever, because they don't forget them at the same moment.
func TestLimitsEndWithTheirEndpoints(t *testing.T) {
	a, b := newLimitNode(), newLimitNode()
	e := newEngine(1)
	a.Put(e)
	a.limits.Observe(&e, buckthornpin.StatedLimit{Stated: true, PerSecond: 1}, time.Now(), time.Now())
	a.tell(b)
	require.Equal(t, a.limits.All(), b.limits.All())

	a.Leave(e.ID, 0)
	a.tell(b)
	require.Len(t, b.limits.All(), 1, "an endpoint that leaves may still get requests")
	a.forgetEnded()
	mergeLimits(&a.limits, a.Directory, limitStates(b.limits.All()), time.Now())
	require.Empty(t, a.limits.All())
	b.forgetEnded()
	a.tell(b)
	require.Empty(t, b.limits.All())
}
