package integ

import (
	"math/rand/v2"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// TestFleetCutFromControl guards against an outage and against overspending while control
// is unreachable. All routers are cut off from all control VMs for longer than an endpoint
// is kept without heartbeats, but they still reach each other and the endpoints.
// Organisations with budget must be served throughout, none may overspend, and a
// configuration that was put during the cut must be in force after it.
func TestFleetCutFromControl(t *testing.T) {
	prepaid := map[string]int64{"head-office": 2_000_000, "portmore": 1_000_000, "small": 20_000}
	f := startFleet(t, fleetPlan{controls: 3, routers: 3, modelEndpoints: 3, plainEndpoints: 2, prepaid: prepaid})
	end := f.startLoad(3, 25*time.Millisecond, 3)
	f.wait(3 * time.Second)
	cut := time.Now()
	f.cutFromControl()
	f.wait(2 * fleetContactTimeout)
	c := f.configuration(2)
	c.Routes[3].PathPrefix = "/moved/"
	f.putUntilAcked(c)
	healed := time.Now()
	f.healAll()
	f.eventually("the new configuration is in force", func() bool {
		recent := f.observed.attemptsBetween(time.Now().Add(-500*time.Millisecond), time.Now())
		n := 0
		for _, x := range recent {
			if x.kind == "safe" && x.status == 404 {
				n++
			}
		}
		return n >= 3
	})
	require.Less(t, time.Since(healed), fleetContactTimeout+2*maxApplyTime)
	end()
	f.requireNoViolations()
	var expected []attempt
	for _, a := range f.observed.attemptsBetween(cut, healed) {
		if a.organisation != "small" {
			expected = append(expected, a)
		}
	}
	f.requireServed(expected, 0.95, "during the cut")
	f.requireAckedConfiguration()
}

// TestFleetStartsInACut guards against a router that can't start without control. It is
// killed and started again while all routers are cut off from control. It must serve with
// what it learns from the other routers.
func TestFleetStartsInACut(t *testing.T) {
	f := startFleet(t, fleetPlan{controls: 3, routers: 3, modelEndpoints: 3, plainEndpoints: 2, prepaid: amplePrepaid})
	end := f.startLoad(3, 25*time.Millisecond, 6)
	defer end()
	f.wait(2 * time.Second)
	f.cutFromControl()
	v := f.routers[0]
	f.kill(v)
	f.relaunch(v, false)
	f.eventually("the router has the configuration from another router and is ready", func() bool {
		return strings.Contains(v.log.String(), `"from":"router"`) && slices.Contains(f.lb.readyRouters(), v)
	})
	f.eventually("the router serves each kind of request", func() bool {
		for _, kind := range requestKinds {
			if a := f.sendOnce(v, kind); a.status != 200 || !a.complete {
				return false
			}
		}
		return true
	})
	f.healAll()
	f.requireRecovery("the cut")
	f.requireNoViolations()
}

// TestFleetFinalFault guards against losing an acknowledged configuration in a full outage.
// All processes are killed right after a configuration was acknowledged, and started again.
// The configuration must still be there, and requests must be served again in time.
func TestFleetFinalFault(t *testing.T) {
	f := startFleet(t, fleetPlan{controls: 3, routers: 3, modelEndpoints: 2, plainEndpoints: 2, prepaid: amplePrepaid})
	end := f.startLoad(3, 25*time.Millisecond, 4)
	defer end()
	f.wait(2 * time.Second)
	f.putUntilAcked(f.configuration(5))
	for _, v := range f.allVMs() {
		f.kill(v)
	}
	for _, v := range f.allVMs() {
		f.relaunch(v, false)
	}
	f.requireRecovery("all processes were killed")
	f.requireAckedConfiguration()
	f.requireNoViolations()
}

// requireRecovery requires that requests are served again within maxRecoveryTime.
func (f *fleet) requireRecovery(after string) {
	f.t.Helper()
	began := time.Now()
	window := time.Second
	f.eventually("requests are served again after: "+after, func() bool {
		recent := f.observed.attemptsBetween(time.Now().Add(-window), time.Now())
		fraction, _ := servedFraction(recent)
		return time.Since(began) > window && len(recent) > 10 && fraction > 0.9
	})
	require.Less(f.t, time.Since(began), maxRecoveryTime)
}

// TestFleetLostDisks guards against losing acknowledged configurations with the disks of
// control VMs. Three times, one control VM loses its disk and comes back at its old address.
// The group must admit it again, nothing acknowledged may be lost, and requests must be
// served.
func TestFleetLostDisks(t *testing.T) {
	f := startFleet(t, fleetPlan{controls: 3, routers: 2, modelEndpoints: 2, plainEndpoints: 1, prepaid: amplePrepaid})
	end := f.startLoad(3, 25*time.Millisecond, 5)
	defer end()
	random := rand.New(rand.NewPCG(5, 5))
	for i := range 3 {
		f.putUntilAcked(f.configuration(int64(10 + i)))
		v := f.controls[(i+random.IntN(2))%3]
		f.kill(v)
		f.relaunch(v, true)
		f.waitForVoter(v)
		f.requireAckedConfiguration()
	}
	f.requireRecovery("three disks were lost, one after the other")
	f.requireNoViolations()
}

// waitForVoter waits until a control VM is a voter again and its replica reports a leader.
// The replica then has what is committed.
func (f *fleet) waitForVoter(v *vm) {
	f.t.Helper()
	f.eventually(v.name+" votes again", func() bool {
		st, err := f.fleetOperator(v).Status(f.ctx)
		return err == nil && st.Replica != nil && (st.Replica.Role == "follower" || st.Replica.Role == "leader") && st.Replica.Leader != ""
	})
}
