package route

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"buckthornpin"
)

// TestAvailability names the obstacle of each signal, and of several together the first one.
func TestAvailability(t *testing.T) {
	sound, dead := &buckthornpin.Endpoint{ID: "e"}, &buckthornpin.Endpoint{ID: "e", Dead: true}
	leaving := &buckthornpin.Endpoint{ID: "e", Leaving: true, Dead: true}
	later := now.Add(time.Second)
	scenarios := []struct {
		description string
		signals     Signals
		want        Availability
	}{
		{"nothing", Signals{Endpoint: sound}, Availability{}},
		{"leaving before all", Signals{Endpoint: leaving, Denied: true, PausedUntil: later}, Availability{Obstacle: ObstacleLeaving}},
		{"denied", Signals{Endpoint: sound, Denied: true, Tried: true}, Availability{Obstacle: ObstacleDenied}},
		{"paused, although tried", Signals{Endpoint: sound, PausedUntil: later, Tried: true}, Availability{Obstacle: ObstaclePaused, Until: later}},
		{"a pause that has ended", Signals{Endpoint: sound, PausedUntil: now}, Availability{}},
		{"tried", Signals{Endpoint: dead, Tried: true}, Availability{Obstacle: ObstacleTried}},
		{"silent", Signals{Endpoint: dead}, Availability{Obstacle: ObstacleSilent}},
		{"silent as the last resort", Signals{Endpoint: dead, TakeSilent: true}, Availability{}},
		{"failing", Signals{Endpoint: sound, FailingUntil: later, Full: true}, Availability{Obstacle: ObstacleFailing, Until: later}},
		{"limited", Signals{Endpoint: sound, LimitWait: time.Second, Full: true}, Availability{Obstacle: ObstacleLimited, Until: later}},
		{"limited without a share", Signals{Endpoint: sound, LimitWait: UnknownWait}, Availability{Obstacle: ObstacleLimited}},
		{"full", Signals{Endpoint: sound, Full: true}, Availability{Obstacle: ObstacleFull}},
	}
	for _, s := range scenarios {
		t.Run(s.description, func(t *testing.T) {
			require.Equal(t, s.want, s.signals.Availability(now))
		})
	}
}

// TestObstaclesInLogs checks how obstacles are listed, and that the first end counts.
func TestObstaclesInLogs(t *testing.T) {
	var o Obstacles
	require.Empty(t, o.String())
	for _, a := range []Availability{
		{Obstacle: ObstacleFull}, {Obstacle: ObstaclePaused, Until: now.Add(time.Minute)},
		{Obstacle: ObstacleLeaving}, {Obstacle: ObstaclePaused, Until: now.Add(time.Second)},
	} {
		o.add(a)
	}
	require.Equal(t, "leaving 1, paused 2, full 1", o.String())
	require.Equal(t, now.Add(time.Second), o.FirstEnd)
}

// signalledEndpoint is what a schedule has told a router of an endpoint.
type signalledEndpoint struct {
	buckthornpin.Endpoint
	pausedUntil time.Time
	limited     bool
	running     []*Run
}

// TestNoScheduleGoesRoundAnObstacle plays signals of endpoints in random order: they leave, want
// pauses whose answers arrive late and out of order, name limits, fall silent, restart and fill
// up. No request goes to an endpoint that an obstacle keeps it from, and one is refused only if
// all endpoints have one.
func TestNoScheduleGoesRoundAnObstacle(t *testing.T) {
	const maxRunning = 3
	for seed := range uint64(200) {
		random := rand.New(rand.NewPCG(seed, 9))
		var tracker Tracker
		var limits RateLimits
		at := now
		all := make([]*signalledEndpoint, 5)
		for i := range all {
			all[i] = &signalledEndpoint{Endpoint: buckthornpin.Endpoint{ID: string(rune('a' + i)), Capacity: 8, Incarnation: 1}}
		}
		for range 300 {
			at = at.Add(time.Duration(random.Int64N(int64(400 * time.Millisecond))))
			e := all[random.IntN(len(all))]
			switch random.IntN(10) {
			case 0:
				e.Leaving = true
			case 1:
				*e = signalledEndpoint{Endpoint: buckthornpin.Endpoint{ID: e.ID, Capacity: 8, Incarnation: e.Incarnation + 1}, running: e.running}
			case 2:
				until := at.Add(time.Duration(random.Int64N(int64(5 * time.Second))))
				current := e.Endpoint
				tracker.RecordPause(&current, until, at)
				if until.After(e.pausedUntil) {
					e.pausedUntil = until
				}
			case 3:
				e.limited = !e.limited
				current := e.Endpoint
				limits.Observe(&current, buckthornpin.StatedLimit{Stated: e.limited, PerSecond: 0.5}, at, at)
			case 4:
				e.Dead = !e.Dead
			case 5:
				for _, run := range e.running {
					run.End()
				}
				e.running = nil
			default:
				requireSoundChoice(t, &tracker, &limits, all, random.IntN(1<<len(all)), maxRunning, at)
			}
		}
	}
}

// requireSoundChoice sends a request that was sent to some endpoints before, as the bits of tried
// say.
func requireSoundChoice(t *testing.T, tracker *Tracker, limits *RateLimits, all []*signalledEndpoint, tried, maxRunning int, at time.Time) {
	t.Helper()
	var options []EndpointOption
	blocked := map[string]bool{}
	anyAlive := false
	for i, e := range all {
		current, wasTried := e.Endpoint, tried>>i&1 == 1
		wait := limits.Wait(&current, at)
		options = append(options, EndpointOption{Endpoint: &current, MaxRunning: maxRunning, Tried: wasTried, LimitWait: wait})
		blocked[e.ID] = e.Leaving || wasTried || at.Before(e.pausedUntil) || wait != 0 || len(e.running) >= maxRunning
		anyAlive = anyAlive || !e.Leaving && !wasTried && !e.Dead
	}
	c, ok := tracker.Choose(options, Work{}, "", at)
	if !ok {
		for _, e := range all {
			require.True(t, blocked[e.ID] || e.Dead && anyAlive, "endpoint %s could have run the request", e.ID)
		}
		return
	}
	for _, e := range all {
		if e.ID == c.Endpoint.ID {
			require.False(t, blocked[e.ID])
			require.False(t, e.Dead && anyAlive, "a silent endpoint is the last resort")
			e.running = append(e.running, tracker.Start(c, Work{}, at))
			limits.CountRequest(c.Endpoint, at)
		}
	}
}
