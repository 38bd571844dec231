package integ

import (
	"fmt"
	"net/http"
	"os"
	"regexp"
	"strconv"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

var peakMemory = regexp.MustCompile(`VmHWM:\s*(\d+) kB`)

// peakBytes returns the most memory that a process has used.
func (v *vm) peakBytes(t testing.TB) int64 {
	t.Helper()
	status, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", v.cmd.Process.Pid))
	require.NoError(t, err)
	kb, err := strconv.ParseInt(string(peakMemory.FindSubmatch(status)[1]), 10, 64)
	require.NoError(t, err)
	return kb << 10
}

// TestEndpointsThatPourOutBytes guards against routers that run out of memory, pass on what is
// no answer or stop serving because endpoints answer with bytes without end.
func TestEndpointsThatPourOutBytes(t *testing.T) {
	f := startFleet(t, fleetPlan{controls: 3, routers: 3, modelEndpoints: 3, plainEndpoints: 2, prepaid: amplePrepaid})
	end := f.startLoad(6, 20*time.Millisecond, 3)
	f.wait(time.Second)
	began := time.Now()
	for _, e := range f.endpoints {
		e.pours.Store(e == f.endpoints[0] || e == f.endpoints[3])
	}
	f.wait(3 * time.Second)
	for _, e := range f.endpoints {
		e.pours.Store(false)
	}
	ended := time.Now()
	f.wait(2 * time.Second)
	end()
	var repeatable []attempt
	for _, a := range f.observed.attemptsBetween(began, ended) {
		if a.kind == "safe" || a.kind == "resume" {
			repeatable = append(repeatable, a)
		}
	}
	f.requireServed(repeatable, 0.95, "others serve what may be repeated")
	for _, v := range f.routers {
		t.Logf("%s used %d MB", v.name, v.peakBytes(t)>>20)
		require.Less(t, v.peakBytes(t), int64(vmMemoryMB)<<20, v.name)
	}
	f.requireNoViolations()
}

// TestManyStreamsThatStallInALongEvent guards against a router that runs out of memory by events
// that are each within the limit, but never end: what all of them take is bounded, and requests
// of other callers are served meanwhile.
func TestManyStreamsThatStallInALongEvent(t *testing.T) {
	f := startFleet(t, fleetPlan{controls: 3, routers: 1, modelEndpoints: 10, plainEndpoints: 1, prepaid: amplePrepaid})
	for _, e := range f.endpoints {
		e.stalls.Store(e.service == modelService)
	}
	var stalled sync.WaitGroup
	for range 10 * endpointSlots {
		stalled.Go(func() { f.sendOnce(f.routers[0], "chat") })
	}
	began := time.Now()
	for time.Since(began) < 3*time.Second {
		a := f.sendOnce(f.routers[0], "safe")
		require.Equal(t, http.StatusOK, a.status, a.detail)
	}
	stalled.Wait()
	t.Logf("router used %d MB", f.routers[0].peakBytes(t)>>20)
	require.Less(t, f.routers[0].peakBytes(t), int64(vmMemoryMB)<<20)
	f.requireNoViolations()
}
