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
		{"the first request", Demand{Largest: 100}, 400, 0},
		{"demand beyond the lease", Demand{Largest: 100, Rate: 200, Have: 900}, 1100, 0},
		{"a lease that still does", Demand{Largest: 100, Rate: 200, Have: 1200}, 0, 0},
		{"demand that has fallen", Demand{Largest: 100, Rate: 50, Have: 2000}, 0, 1500},
		{"idle", Demand{Largest: 100, Rate: 50, Have: 700, Idle: 2 * time.Minute}, 0, 700},
		{"called back", Demand{Largest: 100, Rate: 200, Have: 700, Recalled: true}, 0, 700},
		{"called back and empty", Demand{Largest: 100, Rate: 200, Recalled: true}, 0, 0},
	}
	for _, s := range scenarios {
		t.Run(s.description, func(t *testing.T) {
			ask, giveBack := policy.Plan(s.demand)
			require.Equal(t, [2]int64{s.ask, s.giveBack}, [2]int64{ask, giveBack})
		})
	}
}

// TestPlanComesToRest: after one step that is granted in full, nothing is left
// to do, and nobody gives back more than there is.
func TestPlanComesToRest(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		d := Demand{
			Have:     rapid.Int64Range(0, 1<<40).Draw(rt, "have"),
			Rate:     rapid.Float64Range(0, 1e6).Draw(rt, "rate"),
			Largest:  rapid.Int64Range(0, 1<<20).Draw(rt, "largest"),
			Recalled: rapid.Bool().Draw(rt, "recalled"),
		}
		ask, giveBack := policy.Plan(d)
		require.True(rt, ask == 0 || giveBack == 0)
		require.LessOrEqual(rt, giveBack, d.Have)
		d.Have += ask - giveBack
		ask, giveBack = policy.Plan(d)
		require.Zero(rt, ask+giveBack)
	})
}
