package integ

import (
	"context"
	"flag"
	"fmt"
	"math/rand/v2"
	"slices"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	sitecfg "buckthornpin/site"
)

// Flags of the soak, for runs by hand:
//
//	go test ./integ -run TestSoakFresh -timeout 1h -soak.first 1000 -soak.seeds 50
var (
	soakFirst    = flag.Uint64("soak.first", 1, "first fresh seed of the soak")
	soakSeeds    = flag.Int("soak.seeds", 0, "number of fresh seeds of the soak; 0 runs none")
	soakControls = flag.Int("soak.controls", 3, "control VMs of the soak")
	soakRouters  = flag.Int("soak.routers", 4, "routers of the soak")
)

// soakCase is a seed that is played again in each run of the tests.
type soakCase struct {
	seed uint64
	// kinds is how many kinds of faults there were when the seed was kept: it plays
	// the same ones for ever.
	kinds int
	// why says what the seed once found, or which faults it plays.
	why string
}

var soakCases = []soakCase{
	{104, 15, "asked a process to stop 90 ms after its start, before it listened to signals"},
	{111, 15, "all processes killed while an endpoint is replaced and just after a router was cut off"},
}

// TestSoak plays the seeds that are kept.
func TestSoak(t *testing.T) {
	for _, c := range soakCases {
		t.Run(fmt.Sprintf("seed %d", c.seed), func(t *testing.T) { playSoak(t, c.seed, c.kinds) })
	}
}

// TestSoakFresh plays fresh seeds where flags ask for them.
func TestSoakFresh(t *testing.T) {
	for i := range *soakSeeds {
		seed := *soakFirst + uint64(i)
		t.Run(fmt.Sprintf("seed %d", seed), func(t *testing.T) { playSoak(t, seed, allKinds) })
	}
}

const (
	// soakSpan is the time in which faults begin.
	soakSpan = 9 * time.Second
	// soakFaults is the mean number of faults in it.
	soakFaults = 8
	// soakCalm is the time of load after recovery.
	soakCalm = 2 * time.Second
	// diskRest is how long a control VM has to catch up before another disk may be
	// lost: the catch-up and contact times of the settings.
	diskRest = 2*time.Second + fleetContact
)

// soak plays faults on a fleet. All its steps run on the test's goroutine.
type soak struct {
	*fleet
	random *rand.Rand
	began  time.Time
	steps  []soakStep
	busy   map[string]bool
	// wiped is the control VM that lost its disk last, and restedAt the time from
	// which on another one may.
	wiped    *vm
	restedAt time.Time
	version  int64
	mu       sync.Mutex
	problems []string
}

type soakStep struct {
	at time.Duration
	do func()
}

// allKinds is the number of entries of soak.kinds.
const allKinds = 16

func playSoak(t *testing.T, seed uint64, kinds int) {
	prepaid := map[string]int64{"head-office": 50_000_000, "portmore": 20_000_000, "small": 60_000}
	s := &soak{
		fleet:  startFleet(t, fleetPlan{controls: *soakControls, routers: *soakRouters, models: 3, plain: 2, prepaid: prepaid}),
		random: rand.New(rand.NewPCG(seed, 0)), busy: map[string]bool{}, version: 1,
	}
	end := s.startLoad(3, 40*time.Millisecond, seed)
	s.run(s.readConfiguration)
	s.began = time.Now()
	for range soakFaults/2 + s.random.IntN(soakFaults) {
		s.draw(kinds)
	}
	s.playSteps()
	s.healEverything()
	s.requireRecovery("the faults")
	calm := time.Now()
	s.lasting(soakCalm)
	s.requireReadBack()
	end()
	s.requireRules()
	require.Empty(t, s.found())
	var owed []attempt
	for _, a := range s.view.between(calm, time.Now()) {
		if a.organisation != "small" {
			owed = append(owed, a)
		}
	}
	s.requireServed(owed, 0.95, fmt.Sprintf("after the faults of seed %d", seed))
}

func (s *soak) note(format string, args ...any) {
	s.t.Logf("%6.2f s %s", time.Since(s.began).Seconds(), fmt.Sprintf(format, args...))
}

func (s *soak) problem(format string, args ...any) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.problems = append(s.problems, fmt.Sprintf(format, args...))
}

func (s *soak) found() []string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return slices.Clone(s.problems)
}

// readConfiguration reads the configuration all the while: no read that begins
// after an acknowledgement may show an older one.
func (s *soak) readConfiguration(ctx context.Context) {
	at := 0
	every(ctx, 100*time.Millisecond, func() {
		at++
		v := s.controls[at%len(s.controls)]
		acked := s.acked.Load()
		if got, ok := s.readBack(v); ok && got < acked {
			s.problem("%s showed version %d after %d was acknowledged", v.name, got, acked)
		}
	})
}

// at plans a step.
func (s *soak) at(when time.Duration, do func()) {
	s.steps = append(s.steps, soakStep{when, do})
}

// playSteps plays all steps in the order of their times; a step may plan others.
func (s *soak) playSteps() {
	for len(s.steps) > 0 {
		slices.SortStableFunc(s.steps, func(a, b soakStep) int { return int(a.at - b.at) })
		next := s.steps[0]
		s.steps = s.steps[1:]
		s.lasting(next.at - time.Since(s.began))
		next.do()
	}
}

// kinds are the faults that are drawn; new ones come at the end.
func (s *soak) kinds() []func(at, span time.Duration) {
	return []func(at, span time.Duration){
		s.killOne, s.killOne, s.stopOne, s.killAll, s.wipeOne, s.freezeOne, s.cutRouters, s.cutOne, s.oneWay,
		s.crashEngine, s.greyEngine, s.leaveEngine, s.changeConfiguration, s.changeConfiguration, s.hup,
		s.resendOlder,
	}
}

// draw plans a fault of one of the first kinds.
func (s *soak) draw(kinds int) {
	at := time.Duration(s.random.Int64N(int64(soakSpan)))
	span := 300*time.Millisecond + time.Duration(s.random.Int64N(int64(3*time.Second)))
	s.kinds()[s.random.IntN(kinds)](at, span)
}

// pick returns a process by lot.
func (s *soak) pick(of []*vm) *vm { return of[s.random.IntN(len(of))] }

// onFree runs a fault on a VM unless another one has it.
func (s *soak) onFree(at time.Duration, v *vm, what string, do func()) {
	s.at(at, func() {
		if s.busy[v.name] {
			return
		}
		s.busy[v.name] = true
		s.note("%s: %s", v.name, what)
		do()
	})
}

func (s *soak) free(v *vm) { delete(s.busy, v.name) }

func (s *soak) killOne(at, span time.Duration) {
	v := s.pick(s.all())
	s.onFree(at, v, "killed for "+span.String(), func() {
		s.kill(v)
		s.at(time.Since(s.began)+span, func() { s.relaunch(v, false); s.free(v) })
	})
}

// stopOne asks a process to stop; it has to end within the grace. One that was
// started just before may not listen to signals yet and ends by the signal itself,
// with nothing to finish (seed 104, control-1, 90 ms after its start): those aren't
// asked.
func (s *soak) stopOne(at, _ time.Duration) {
	v := s.pick(s.all())
	s.onFree(at, v, "asked to stop", func() {
		if !strings.Contains(v.log.String(), `"message":"started"`) {
			s.note("%s: hasn't started yet", v.name)
			s.free(v)
			return
		}
		s.offline[v.name] = true
		require.NoError(s.t, v.cmd.Process.Signal(syscall.SIGTERM))
		asked := time.Now()
		s.at(time.Since(s.began)+50*time.Millisecond, func() { s.awaitStop(v, asked) })
	})
}

func (s *soak) awaitStop(v *vm, asked time.Time) {
	select {
	case err := <-v.ended:
		v.ended <- err
		if err != nil {
			s.problem("%s ended with %v when it was asked to stop", v.name, err)
		}
		s.note("%s: stopped after %v", v.name, time.Since(asked))
		s.relaunch(v, false)
		s.free(v)
	default:
		if time.Since(asked) > fleetGrace {
			s.problem("%s was still there %v after it was asked to stop", v.name, fleetGrace)
			s.kill(v)
			s.relaunch(v, false)
			s.free(v)
			return
		}
		s.at(time.Since(s.began)+50*time.Millisecond, func() { s.awaitStop(v, asked) })
	}
}

// killAll kills all processes that no other fault has at the same moment.
func (s *soak) killAll(at, span time.Duration) {
	s.at(at, func() {
		var killed []*vm
		for _, v := range s.all() {
			if !s.busy[v.name] {
				s.busy[v.name] = true
				s.kill(v)
				killed = append(killed, v)
			}
		}
		s.note("%d processes: killed for %v", len(killed), span)
		s.at(time.Since(s.began)+span, func() {
			for _, v := range killed {
				s.relaunch(v, false)
				s.free(v)
			}
		})
	})
}

// wipeOne takes the disk of a control VM, as long as no other one is catching up.
func (s *soak) wipeOne(at, span time.Duration) {
	v := s.pick(s.controls)
	s.at(at, func() {
		if s.busy[v.name] || time.Now().Before(s.restedAt) || s.wiped != nil && s.wiped != v && !s.votes(s.wiped) {
			return
		}
		s.busy[v.name] = true
		s.note("%s: disk is lost", v.name)
		s.kill(v)
		s.wiped, s.restedAt = v, time.Now().Add(span+diskRest)
		s.at(time.Since(s.began)+span, func() { s.relaunch(v, true); s.free(v) })
	})
}

func (s *soak) freezeOne(at, span time.Duration) {
	v := s.pick(s.all())
	s.onFree(at, v, "frozen for "+span.String(), func() {
		s.freeze(v)
		s.at(time.Since(s.began)+span, func() { s.thaw(v); s.free(v) })
	})
}

// cutRouters cuts all routers from all control VMs.
func (s *soak) cutRouters(at, span time.Duration) {
	s.at(at, func() {
		s.note("routers: cut from control for %v", span)
		s.cutFromControl()
	})
	s.at(at+span, s.healLinks)
}

func (s *soak) healLinks() {
	for _, l := range s.links {
		l.heal()
	}
}

func (s *soak) cutOne(at, span time.Duration) {
	v := s.pick(s.all())
	s.at(at, func() {
		s.note("%s: cut off for %v", v.name, span)
		s.eachLink(v.name, (*link).silence)
	})
	s.at(at+span, s.healLinks)
}

// oneWay drops what comes back to a process from the others.
func (s *soak) oneWay(at, span time.Duration) {
	v := s.pick(s.all())
	s.at(at, func() {
		s.note("%s: hears no answers for %v", v.name, span)
		for k, l := range s.links {
			if k[0] == v.name {
				l.silenceReplies()
			}
		}
	})
	s.at(at+span, s.healLinks)
}

func (s *soak) eachLink(name string, do func(l *link)) {
	for k, l := range s.links {
		if k[0] == name || k[1] == name {
			do(l)
		}
	}
}

func (s *soak) pickEngine() *engine { return s.engines[s.random.IntN(len(s.engines))] }

func (s *soak) crashEngine(at, span time.Duration) {
	e := s.pickEngine()
	s.at(at, func() {
		if s.busy[e.id] {
			return
		}
		s.busy[e.id] = true
		s.note("%s: crashed for %v", e.id, span)
		e.crash()
		s.at(time.Since(s.began)+span, func() { e.restart(); delete(s.busy, e.id) })
	})
}

func (s *soak) greyEngine(at, span time.Duration) {
	e := s.pickEngine()
	s.at(at, func() {
		s.note("%s: fails one request in three for %v", e.id, span)
		e.grey.Store(3)
	})
	s.at(at+span, func() { e.grey.Store(0) })
}

// leaveEngine replaces an endpoint; the old one says that it leaves.
func (s *soak) leaveEngine(at, _ time.Duration) {
	e := s.pickEngine()
	s.at(at, func() {
		if s.busy[e.id] {
			return
		}
		s.busy[e.id] = true
		s.note("%s: leaves, another one comes", e.id)
		s.addEngine(e.service == modelSvc)
		e.leave()
	})
}

// changeConfiguration puts a version with another route more, and a higher total
// of the small organisation.
func (s *soak) changeConfiguration(at, _ time.Duration) {
	s.at(at, func() {
		s.version++
		s.plan.prepaid["small"] += 20_000
		c := s.configuration(s.version)
		c.Routes = append(c.Routes, sitecfg.Route{
			Name: "more", Host: fleetHost, PathPrefix: fmt.Sprintf("/more-%d/", s.version), Kind: sitecfg.KindIdempotent,
			Shares: []sitecfg.Share{{Service: plainSvc, Weight: 1}}, Timeout: time.Second, MaxAttempts: 1,
		})
		s.note("version %d is put", c.Version)
		s.parts.Go(func() {
			for s.ctx.Err() == nil && s.acked.Load() < c.Version && !s.tryPut(c) {
				s.lasting(100 * time.Millisecond)
			}
		})
	})
}

// resendOlder sends a version again that another one has replaced: it may be
// acknowledged, and changes nothing.
func (s *soak) resendOlder(at, _ time.Duration) {
	v := s.pick(s.controls)
	s.at(at, func() {
		older := s.acked.Load() - 1
		if older < 1 {
			return
		}
		s.note("%s: version %d is sent again", v.name, older)
		c := s.configuration(older)
		s.parts.Go(func() { s.putAt(v, c) })
	})
}

func (s *soak) hup(at, _ time.Duration) {
	v := s.pick(s.all())
	s.at(at, func() {
		if !s.busy[v.name] {
			s.note("%s: SIGHUP", v.name)
			require.NoError(s.t, v.cmd.Process.Signal(syscall.SIGHUP))
		}
	})
}

// votes reports whether a control VM votes and follows a leader.
func (s *soak) votes(v *vm) bool {
	ctx, cancel := context.WithTimeout(s.ctx, time.Second)
	defer cancel()
	st, err := s.fleetOperator(v).Status(ctx)
	return err == nil && st.Replica != nil && (st.Replica.Role == "follower" || st.Replica.Role == "leader") && st.Replica.Leader != ""
}

// healEverything ends what no step has ended.
func (s *soak) healEverything() {
	s.healLinks()
	for _, e := range s.engines {
		e.grey.Store(0)
	}
	var down []string
	for name := range s.busy {
		if !strings.HasPrefix(name, "engine") {
			down = append(down, name)
		}
	}
	require.Empty(s.t, down, "every fault of a process has its end")
	require.Len(s.t, s.kinds(), allKinds)
	s.note("all faults are over")
}
