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

// Flags of the soak test, for manual runs:
//
//	go test ./integ -run TestSoakFresh -timeout 1h -soak.first 1000 -soak.seeds 50
var (
	soakFirst    = flag.Uint64("soak.first", 1, "first fresh seed of the soak")
	soakSeeds    = flag.Int("soak.seeds", 0, "number of fresh seeds of the soak; 0 runs none")
	soakControls = flag.Int("soak.controls", 3, "control VMs of the soak")
	soakRouters  = flag.Int("soak.routers", 4, "routers of the soak")
)

// soakCase is a seed that is replayed in each test run.
type soakCase struct {
	seed uint64
	// faultKinds is the number of kinds of faults that existed when the seed was recorded.
	// Drawing only from these makes it replay the same faults after new kinds are added.
	faultKinds int
	// reason says what the seed once found, or which faults it plays.
	reason string
}

var soakCases = []soakCase{
	{104, 15, "asked a process to stop 90 ms after its start, before it listened to signals"},
	{111, 15, "all processes killed while an endpoint is replaced and just after a router was cut off"},
	{4009, 18, "large bodies at a router that outgrew its memory (69d7305)"},
}

// TestSoak replays the recorded seeds, so that each run of the tests repeats these
// combinations of faults.
func TestSoak(t *testing.T) {
	for _, c := range soakCases {
		t.Run(fmt.Sprintf("seed %d", c.seed), func(t *testing.T) { runSoak(t, c.seed, c.faultKinds) })
	}
}

// TestSoakFresh plays as many fresh seeds as the flags ask for, to find new failures.
func TestSoakFresh(t *testing.T) {
	for i := range *soakSeeds {
		seed := *soakFirst + uint64(i)
		t.Run(fmt.Sprintf("seed %d", seed), func(t *testing.T) { runSoak(t, seed, faultKindCount) })
	}
}

const (
	// faultPeriod is the period in which faults begin.
	faultPeriod = 9 * time.Second
	// meanFaults is the mean number of faults in faultPeriod.
	meanFaults = 8
	// calmPeriod is the time for which load continues after recovery.
	calmPeriod = 2 * time.Second
	// diskLossInterval is how long a control VM has to catch up before another disk may be
	// lost. It is the sum of the catch-up and contact times of the settings.
	diskLossInterval = 2*time.Second + fleetContactTimeout
)

// soak injects random faults into a fleet. All its steps run on the test's goroutine.
type soak struct {
	*fleet
	random *rand.Rand
	began  time.Time
	steps  []soakStep
	// underFault holds the names of the VMs and endpoints that are killed, stopping, frozen or
	// being replaced. No other such fault begins on them.
	underFault map[string]bool
	// lastWiped is the control VM that lost its disk last. No control VM loses its disk
	// before nextWipeAt.
	lastWiped  *vm
	nextWipeAt time.Time
	version    int64
	mu         sync.Mutex
	violations []string
}

type soakStep struct {
	at time.Duration
	do func()
}

// faultKindCount is the number of entries of soak.faults.
const faultKindCount = 19

func runSoak(t *testing.T, seed uint64, faultKinds int) {
	prepaid := map[string]int64{"head-office": 50_000_000, "portmore": 20_000_000, "small": 60_000}
	s := &soak{
		fleet:  startFleet(t, fleetPlan{controls: *soakControls, routers: *soakRouters, modelEndpoints: 3, plainEndpoints: 2, prepaid: prepaid}),
		random: rand.New(rand.NewPCG(seed, 0)), underFault: map[string]bool{}, version: 1,
	}
	end := s.startLoad(3, 40*time.Millisecond, seed)
	s.startBackground(s.readConfiguration)
	s.began = time.Now()
	for range meanFaults/2 + s.random.IntN(meanFaults) {
		s.planRandomFault(faultKinds)
	}
	s.checkMemory()
	s.runSteps()
	s.endAllFaults()
	s.requireRecovery("the faults")
	calm := time.Now()
	s.wait(calmPeriod)
	s.requireAckedConfiguration()
	end()
	s.requireNoViolations()
	require.Empty(t, s.foundViolations())
	var expected []attempt
	for _, a := range s.observed.attemptsBetween(calm, time.Now()) {
		if a.organisation != "small" {
			expected = append(expected, a)
		}
	}
	s.requireServed(expected, 0.95, fmt.Sprintf("after the faults of seed %d", seed))
}

func (s *soak) logf(format string, args ...any) {
	s.t.Logf("%6.2f s %s", time.Since(s.began).Seconds(), fmt.Sprintf(format, args...))
}

func (s *soak) recordViolation(format string, args ...any) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.violations = append(s.violations, fmt.Sprintf(format, args...))
}

func (s *soak) foundViolations() []string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return slices.Clone(s.violations)
}

// readConfiguration reads the configuration continuously. A read that begins after a version
// was acknowledged must not return an older one.
func (s *soak) readConfiguration(ctx context.Context) {
	turn := 0
	every(ctx, 100*time.Millisecond, func() {
		turn++
		v := s.controls[turn%len(s.controls)]
		acked := s.highestAcked.Load()
		if got, ok := s.readVersion(v); ok && got < acked {
			s.recordViolation("%s returned version %d after %d was acknowledged", v.name, got, acked)
		}
	})
}

// schedule adds a step at a time that counts from the beginning of the soak.
func (s *soak) schedule(when time.Duration, do func()) {
	s.steps = append(s.steps, soakStep{when, do})
}

// runSteps runs all steps in the order of their times. A step may schedule others.
func (s *soak) runSteps() {
	for len(s.steps) > 0 {
		slices.SortStableFunc(s.steps, func(a, b soakStep) int { return int(a.at - b.at) })
		next := s.steps[0]
		s.steps = s.steps[1:]
		s.wait(next.at - time.Since(s.began))
		next.do()
	}
}

// faults returns the faults from which planRandomFault draws. New ones must be added at the
// end, so that recorded seeds replay the same faults.
func (s *soak) faults() []func(at, span time.Duration) {
	return []func(at, span time.Duration){
		s.killOne, s.killOne, s.stopOne, s.killAll, s.wipeDisk, s.freezeOne, s.cutRouters, s.cutOne, s.dropReplies,
		s.crashEndpoint, s.failSomeRequests, s.replaceEndpoint, s.changeConfiguration, s.changeConfiguration, s.sendHangup,
		s.resendOlder, s.sendLargeBodies, s.readSlowly, s.reportForeign,
	}
}

// planRandomFault schedules a random fault among the first faultKinds entries of faults.
func (s *soak) planRandomFault(faultKinds int) {
	at := time.Duration(s.random.Int64N(int64(faultPeriod)))
	span := 300*time.Millisecond + time.Duration(s.random.Int64N(int64(3*time.Second)))
	s.faults()[s.random.IntN(faultKinds)](at, span)
}

// pickRandom returns a random VM.
func (s *soak) pickRandom(vms []*vm) *vm { return vms[s.random.IntN(len(vms))] }

// planExclusiveFault schedules a fault on a VM. It is skipped if the VM is under another
// fault at that time.
func (s *soak) planExclusiveFault(at time.Duration, v *vm, what string, do func()) {
	s.schedule(at, func() {
		if s.underFault[v.name] {
			return
		}
		s.underFault[v.name] = true
		s.logf("%s: %s", v.name, what)
		do()
	})
}

func (s *soak) release(v *vm) { delete(s.underFault, v.name) }

func (s *soak) killOne(at, span time.Duration) {
	v := s.pickRandom(s.allVMs())
	s.planExclusiveFault(at, v, "killed for "+span.String(), func() {
		s.kill(v)
		s.schedule(time.Since(s.began)+span, func() { s.relaunch(v, false); s.release(v) })
	})
}

// stopOne asks a process to stop, which must end within fleetStopGrace. A process that hasn't
// logged its start is skipped: it may not handle signals yet, and SIGTERM then kills it with
// nothing to finish (seed 104, control-1, 90 ms after its start).
func (s *soak) stopOne(at, _ time.Duration) {
	v := s.pickRandom(s.allVMs())
	s.planExclusiveFault(at, v, "asked to stop", func() {
		if !strings.Contains(v.log.String(), `"message":"started"`) {
			s.logf("%s: hasn't started yet", v.name)
			s.release(v)
			return
		}
		s.offline[v.name] = true
		require.NoError(s.t, v.cmd.Process.Signal(syscall.SIGTERM))
		askedAt := time.Now()
		s.schedule(time.Since(s.began)+50*time.Millisecond, func() { s.awaitStop(v, askedAt) })
	})
}

func (s *soak) awaitStop(v *vm, askedAt time.Time) {
	select {
	case err := <-v.exited:
		v.exited <- err
		if err != nil {
			s.recordViolation("%s ended with %v when it was asked to stop", v.name, err)
		}
		s.logf("%s: stopped after %v", v.name, time.Since(askedAt))
		s.relaunch(v, false)
		s.release(v)
	default:
		if time.Since(askedAt) > fleetStopGrace {
			s.recordViolation("%s was still running %v after it was asked to stop", v.name, fleetStopGrace)
			s.kill(v)
			s.relaunch(v, false)
			s.release(v)
			return
		}
		s.schedule(time.Since(s.began)+50*time.Millisecond, func() { s.awaitStop(v, askedAt) })
	}
}

// killAll kills all processes that are under no other fault at that time.
func (s *soak) killAll(at, span time.Duration) {
	s.schedule(at, func() {
		var killed []*vm
		for _, v := range s.allVMs() {
			if !s.underFault[v.name] {
				s.underFault[v.name] = true
				s.kill(v)
				killed = append(killed, v)
			}
		}
		s.logf("%d processes: killed for %v", len(killed), span)
		s.schedule(time.Since(s.began)+span, func() {
			for _, v := range killed {
				s.relaunch(v, false)
				s.release(v)
			}
		})
	})
}

// wipeDisk kills a control VM and deletes its disk before it starts again. The fault is
// skipped if the VM is under another fault, or if a VM that lost its disk before may still
// be catching up.
func (s *soak) wipeDisk(at, span time.Duration) {
	v := s.pickRandom(s.controls)
	s.schedule(at, func() {
		if s.underFault[v.name] || time.Now().Before(s.nextWipeAt) || s.lastWiped != nil && s.lastWiped != v && !s.votes(s.lastWiped) {
			return
		}
		s.underFault[v.name] = true
		s.logf("%s: loses its disk", v.name)
		s.kill(v)
		s.lastWiped, s.nextWipeAt = v, time.Now().Add(span+diskLossInterval)
		s.schedule(time.Since(s.began)+span, func() { s.relaunch(v, true); s.release(v) })
	})
}

func (s *soak) freezeOne(at, span time.Duration) {
	v := s.pickRandom(s.allVMs())
	s.planExclusiveFault(at, v, "frozen for "+span.String(), func() {
		s.freeze(v)
		s.schedule(time.Since(s.began)+span, func() { s.thaw(v); s.release(v) })
	})
}

// cutRouters cuts all routers off from all control VMs.
func (s *soak) cutRouters(at, span time.Duration) {
	s.schedule(at, func() {
		s.logf("routers: cut off from control for %v", span)
		s.cutFromControl()
	})
	s.schedule(at+span, s.healLinks)
}

func (s *soak) healLinks() {
	for _, l := range s.links {
		l.heal()
	}
}

func (s *soak) cutOne(at, span time.Duration) {
	v := s.pickRandom(s.allVMs())
	s.schedule(at, func() {
		s.logf("%s: cut off for %v", v.name, span)
		s.forEachLink(v.name, (*link).silence)
	})
	s.schedule(at+span, s.healLinks)
}

// dropReplies drops what the others send back on the connections that a process opened.
func (s *soak) dropReplies(at, span time.Duration) {
	v := s.pickRandom(s.allVMs())
	s.schedule(at, func() {
		s.logf("%s: receives no replies for %v", v.name, span)
		for k, l := range s.links {
			if k[0] == v.name {
				l.silenceReplies()
			}
		}
	})
	s.schedule(at+span, s.healLinks)
}

func (s *soak) forEachLink(name string, do func(l *link)) {
	for k, l := range s.links {
		if k[0] == name || k[1] == name {
			do(l)
		}
	}
}

func (s *soak) pickEndpoint() *endpointStub { return s.endpoints[s.random.IntN(len(s.endpoints))] }

func (s *soak) crashEndpoint(at, span time.Duration) {
	e := s.pickEndpoint()
	s.schedule(at, func() {
		if s.underFault[e.id] {
			return
		}
		s.underFault[e.id] = true
		s.logf("%s: crashed for %v", e.id, span)
		e.crash()
		s.schedule(time.Since(s.began)+span, func() { e.restart(); delete(s.underFault, e.id) })
	})
}

func (s *soak) failSomeRequests(at, span time.Duration) {
	e := s.pickEndpoint()
	s.schedule(at, func() {
		s.logf("%s: fails one request in three for %v", e.id, span)
		e.failEvery.Store(3)
	})
	s.schedule(at+span, func() { e.failEvery.Store(0) })
}

// replaceEndpoint adds a new endpoint and makes an old one announce that it is leaving.
func (s *soak) replaceEndpoint(at, _ time.Duration) {
	e := s.pickEndpoint()
	s.schedule(at, func() {
		if s.underFault[e.id] {
			return
		}
		s.underFault[e.id] = true
		s.logf("%s: leaves and is replaced by a new endpoint", e.id)
		s.addEndpointStub(e.service == modelService)
		e.announceLeaving()
	})
}

// changeConfiguration puts a new version with one additional route and a higher prepaid
// total of the organisation named small.
func (s *soak) changeConfiguration(at, _ time.Duration) {
	s.schedule(at, func() {
		s.version++
		s.plan.prepaid["small"] += 20_000
		c := s.configuration(s.version)
		c.Routes = append(c.Routes, sitecfg.Route{
			Name: "more", Host: fleetHost, PathPrefix: fmt.Sprintf("/more-%d/", s.version), Kind: sitecfg.KindIdempotent,
			Shares: []sitecfg.Share{{Service: plainService, Weight: 1}}, Timeout: time.Second, MaxAttempts: 1,
		})
		s.logf("version %d is sent to control", c.Version)
		s.background.Go(func() {
			for s.ctx.Err() == nil && s.highestAcked.Load() < c.Version && !s.tryPut(c) {
				s.wait(100 * time.Millisecond)
			}
		})
	})
}

// reportForeign has other writers report beside the endpoints.
func (s *soak) reportForeign(at, span time.Duration) {
	seed := s.random.Uint64()
	s.schedule(at, func() {
		s.logf("other writers report for %v", span)
		ctx, stop := context.WithTimeout(s.ctx, span)
		s.sendForeignReports(ctx, seed)
		s.background.Go(func() {
			<-ctx.Done()
			stop()
		})
	})
}

// resendOlder sends a version again that a later one has replaced. It may be acknowledged,
// but must change nothing.
func (s *soak) resendOlder(at, _ time.Duration) {
	v := s.pickRandom(s.controls)
	s.schedule(at, func() {
		older := s.highestAcked.Load() - 1
		if older < 1 {
			return
		}
		s.logf("%s: version %d is sent again", v.name, older)
		c := s.configuration(older)
		s.background.Go(func() { s.putAt(v, c) })
	})
}

func (s *soak) sendHangup(at, _ time.Duration) {
	v := s.pickRandom(s.allVMs())
	s.schedule(at, func() {
		if !s.underFault[v.name] {
			s.logf("%s: SIGHUP", v.name)
			require.NoError(s.t, v.cmd.Process.Signal(syscall.SIGHUP))
		}
	})
}

// votes reports whether a control VM is a voter and its replica reports a leader.
func (s *soak) votes(v *vm) bool {
	ctx, cancel := context.WithTimeout(s.ctx, time.Second)
	defer cancel()
	st, err := s.fleetOperator(v).Status(ctx)
	return err == nil && st.Replica != nil && (st.Replica.Role == "follower" || st.Replica.Role == "leader") && st.Replica.Leader != ""
}

// endAllFaults heals all links and endpoints, and requires that the steps have ended all
// faults of processes.
func (s *soak) endAllFaults() {
	s.healLinks()
	for _, e := range s.endpoints {
		e.failEvery.Store(0)
	}
	var down []string
	for name := range s.underFault {
		if !strings.HasPrefix(name, "engine") {
			down = append(down, name)
		}
	}
	require.Empty(s.t, down, "every fault of a process must have ended")
	require.Len(s.t, s.faults(), faultKindCount)
	s.logf("all faults are over")
}
