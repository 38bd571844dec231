package integ

import (
	"math/rand/v2"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// TestFleetCutFromControl: description: all routers are cut from all control VMs
// for longer than an endpoint lives without heartbeats, while they reach each other
// and the endpoints. Organisations with budget are served all the while, none
// overspends, and a configuration that was put meanwhile is in force after it.
func TestFleetCutFromControl(t *testing.T) {
	prepaid := map[string]int64{"head-office": 2_000_000, "portmore": 1_000_000, "small": 20_000}
	f := startFleet(t, fleetPlan{controls: 3, routers: 3, models: 3, plain: 2, prepaid: prepaid})
	end := f.startLoad(3, 25*time.Millisecond, 3)
	f.lasting(3 * time.Second)
	cut := time.Now()
	f.cutFromControl()
	f.lasting(2 * fleetContact)
	c := f.configuration(2)
	c.Routes[3].PathPrefix = "/moved/"
	f.put(c)
	healed := time.Now()
	f.healAll()
	f.eventually("the new configuration is in force", func() bool {
		a := f.view.between(time.Now().Add(-500*time.Millisecond), time.Now())
		n := 0
		for _, x := range a {
			if x.kind == "safe" && x.status == 404 {
				n++
			}
		}
		return n >= 3
	})
	require.Less(t, time.Since(healed), fleetContact+2*configApply)
	end()
	f.requireRules()
	var owed []attempt
	for _, a := range f.view.between(cut, healed) {
		if a.organisation != "small" {
			owed = append(owed, a)
		}
	}
	f.requireServed(owed, 0.95, "in the cut")
	f.requireReadBack()
}

// TestFleetStartsInACut: description: a router is killed and started again while all
// routers are cut from control. It serves by what the other routers know.
func TestFleetStartsInACut(t *testing.T) {
	f := startFleet(t, fleetPlan{controls: 3, routers: 3, models: 3, plain: 2, prepaid: plenty})
	end := f.startLoad(3, 25*time.Millisecond, 6)
	defer end()
	f.lasting(2 * time.Second)
	f.cutFromControl()
	v := f.routers[0]
	f.kill(v)
	f.relaunch(v, false)
	f.eventually("the router has the configuration from another one and is ready", func() bool {
		return strings.Contains(v.log.String(), `"from":"router"`) && slices.Contains(f.balance.rotation(), v)
	})
	f.eventually("the router serves", func() bool {
		for _, kind := range requestKinds {
			if a := f.ask(v, kind); a.status != 200 || !a.whole {
				return false
			}
		}
		return true
	})
	f.healAll()
	f.requireRecovery("the cut")
	f.requireRules()
}

// TestFleetFinalFault: description: right after a configuration was acknowledged
// all processes are killed. It isn't lost, and requests are served again in time.
func TestFleetFinalFault(t *testing.T) {
	f := startFleet(t, fleetPlan{controls: 3, routers: 3, models: 2, plain: 2, prepaid: plenty})
	end := f.startLoad(3, 25*time.Millisecond, 4)
	defer end()
	f.lasting(2 * time.Second)
	f.put(f.configuration(5))
	for _, v := range f.all() {
		f.kill(v)
	}
	for _, v := range f.all() {
		f.relaunch(v, false)
	}
	f.requireRecovery("all processes were killed")
	f.requireReadBack()
	f.requireRules()
}

// requireRecovery expects that requests are served again within the time for it.
func (f *fleet) requireRecovery(after string) {
	f.t.Helper()
	began := time.Now()
	window := time.Second
	f.eventually("requests are served again after: "+after, func() bool {
		recent := f.view.between(time.Now().Add(-window), time.Now())
		part, _ := served(recent)
		return time.Since(began) > window && len(recent) > 10 && part > 0.9
	})
	require.Less(f.t, time.Since(began), fleetRecovery)
}

// TestFleetLostDisks: description: one control VM after the other loses its disk
// and comes back at its address. The group takes each in again, nothing that was
// acknowledged is lost, and requests are served.
func TestFleetLostDisks(t *testing.T) {
	f := startFleet(t, fleetPlan{controls: 3, routers: 2, models: 2, plain: 1, prepaid: plenty})
	end := f.startLoad(3, 25*time.Millisecond, 5)
	defer end()
	random := rand.New(rand.NewPCG(5, 5))
	for i := range 3 {
		f.put(f.configuration(int64(10 + i)))
		v := f.controls[(i+random.IntN(2))%3]
		f.kill(v)
		f.relaunch(v, true)
		f.waitVoter(v)
		f.requireReadBack()
	}
	f.requireRecovery("three disks were lost, one after the other")
	f.requireRules()
}

// waitVoter waits until a control VM votes again and has what is committed.
func (f *fleet) waitVoter(v *vm) {
	f.t.Helper()
	f.eventually(v.name+" votes again", func() bool {
		st, err := f.fleetOperator(v).Status(f.ctx)
		return err == nil && st.Replica != nil && (st.Replica.Role == "follower" || st.Replica.Role == "leader") && st.Replica.Leader != ""
	})
}
