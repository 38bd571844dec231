package budget

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

var policy = Policy{Horizon: 10 * time.Second, IdleAfter: time.Minute}

func TestPlan(t *testing.T) {
	scenarios := []struct {
		description   string
		demand        Demand
		ask, giveBack int64
	}{
		{"no request yet", Demand{}, 0, 0},
		{"the first request", Demand{LargestBound: 100}, 400, 0},
		{"demand beyond the lease", Demand{LargestBound: 100, Rate: 200, Unspent: 900}, 1100, 0},
		{"a lease that is still sufficient", Demand{LargestBound: 100, Rate: 200, Unspent: 1200}, 0, 0},
		{"demand that has fallen", Demand{LargestBound: 100, Rate: 50, Unspent: 2000}, 0, 1500},
		{"idle", Demand{LargestBound: 100, Rate: 50, Unspent: 700, Idle: 2 * time.Minute}, 0, 700},
		{"recalled lease", Demand{LargestBound: 100, Rate: 200, Unspent: 700, Recalled: true}, 0, 700},
		{"recalled lease without tokens", Demand{LargestBound: 100, Rate: 200, Recalled: true}, 0, 0},
	}
	for _, s := range scenarios {
		t.Run(s.description, func(t *testing.T) {
			ask, giveBack := policy.Plan(s.demand)
			require.Equal(t, [2]int64{s.ask, s.giveBack}, [2]int64{ask, giveBack})
		})
	}
}

// TestPlanIsStable checks that no change is left to make after one that was granted in
// full, and that no more is given back than the lease holds.
func TestPlanIsStable(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		d := Demand{
			Unspent:      rapid.Int64Range(0, 1<<40).Draw(rt, "have"),
			Rate:         rapid.Float64Range(0, 1e6).Draw(rt, "rate"),
			LargestBound: rapid.Int64Range(0, 1<<20).Draw(rt, "largest"),
			Recalled:     rapid.Bool().Draw(rt, "recalled"),
		}
		ask, giveBack := policy.Plan(d)
		require.True(rt, ask == 0 || giveBack == 0)
		require.LessOrEqual(rt, giveBack, d.Unspent)
		d.Unspent += ask - giveBack
		ask, giveBack = policy.Plan(d)
		require.Zero(rt, ask+giveBack)
	})
}
