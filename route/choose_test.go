package route

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"buckthornpin"
)

var now = time.Unix(1000, 0)

func candidate(id, zone string, inFlight int) Candidate {
	return Candidate{
		Endpoint: &buckthornpin.Endpoint{ID: id, Zone: zone, Models: []string{"m"}, Capacity: 10},
		InFlight: inFlight,
	}
}

func TestChoose(t *testing.T) {
	leaving := candidate("leaving", "z1", 0)
	leaving.Endpoint.Leaving = true
	dead := candidate("dead", "z1", 0)
	dead.Endpoint.Dead = true
	open := candidate("open", "z1", 0)
	open.OpenUntil = now.Add(time.Second)
	tried := candidate("tried", "z1", 0)
	tried.Tried = true
	denied := candidate("denied", "z1", 0)
	paused := candidate("paused", "z1", 0)
	paused.PausedUntil = now.Add(time.Second)
	limited := candidate("limited", "z1", 0)
	limited.LimitWait = time.Second
	scenarios := []struct {
		description string
		candidates  []Candidate
		want        string
		verdict     Verdict
	}{
		{"nobody", nil, "", Unserved},
		{"the least loaded", []Candidate{candidate("a", "z1", 5), candidate("b", "z1", 2)}, "b", Chosen},
		{"the router's zone at equal load", []Candidate{candidate("a", "z2", 1), candidate("b", "z1", 1)}, "b", Chosen},
		{"another zone if the router's zone is loaded", []Candidate{candidate("a", "z2", 0), candidate("b", "z1", 8)}, "a", Chosen},
		{"no full endpoint", []Candidate{candidate("a", "z1", 10)}, "", Busy},
		{"no leaving, dead, failing or denied endpoint", []Candidate{leaving, dead, open, denied}, "", Unserved},
		{"no endpoint that wants a pause", []Candidate{paused, leaving}, "", Paused},
		{"no endpoint whose limit is used up", []Candidate{paused, limited}, "", Limited},
		{"another endpoint than the one that wants a pause", []Candidate{paused, candidate("b", "z2", 9)}, "b", Chosen},
		{"a tried endpoint only as the last resort", []Candidate{tried, candidate("b", "z2", 9)}, "b", Chosen},
		{"a tried endpoint if there is no other", []Candidate{tried}, "tried", Chosen},
	}
	for _, s := range scenarios {
		t.Run(s.description, func(t *testing.T) {
			got := Choose(s.candidates, Query{Target: buckthornpin.Target{Model: "m"}, Zone: "z1", Now: now, Denied: []string{"denied"}})
			require.Equal(t, s.verdict, got.Verdict)
			if s.want != "" {
				require.Equal(t, s.want, s.candidates[got.Index].Endpoint.ID)
			}
		})
	}
}

func BenchmarkChoose(b *testing.B) {
	for _, n := range []int{24, 240, 1300} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			var cs []Candidate
			for i := range n {
				cs = append(cs, candidate(fmt.Sprint(i), fmt.Sprintf("z%d", i%15), i%9))
			}
			q := Query{Target: buckthornpin.Target{Model: "m"}, Zone: "z1", Now: now, Seed: 1}
			b.ReportAllocs()
			for b.Loop() {
				Choose(cs, q)
			}
		})
	}
}
