package route

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// crashDay is a day of several routers and engines on its own clock. Requests with one part
// crash each engine that begins to answer them; engines also end for other reasons.
type crashDay struct {
	random  *rand.Rand
	now     time.Time
	routers []*Quarantine
	// cutOff is the index of a router that can't reach the others, -1 for none.
	cutOff  int
	engines []*crashEngine
	// requests counts all requests.
	requests int
	// crashes counts the crashes under the bad part.
	crashes, runsAfterFifth int
	fifthAt                 time.Time
	soundSent, soundRefused int
}

type crashEngine struct {
	incarnation int64
	downUntil   time.Time
	running     []runningRequest
}

// runningRequest is a request at an engine. Its answer begins at one time and is complete at
// another one.
type runningRequest struct {
	router           int
	suspect          Suspect
	bad              bool
	beginsAt, endsAt time.Time
}

const (
	crashStep     = 10 * time.Millisecond
	badPart       = Subject(1)
	firstPart     = Subject(2)
	secondParts   = 40
	engineDown    = 3 * time.Second
	crashContact  = 3 * time.Second
	gossipSteps   = 40
	crashDaySteps = 4000
)

func newCrashDay(seed uint64, routers, engines int) *crashDay {
	d := &crashDay{random: rand.New(rand.NewPCG(seed, 3)), now: quarantineStart, cutOff: -1}
	for i := range routers {
		d.routers = append(d.routers, &Quarantine{Self: fmt.Sprint("r", i)})
	}
	for range engines {
		d.engines = append(d.engines, &crashEngine{incarnation: 1})
	}
	return d
}

// send sends a request through a random router to a random engine that runs.
func (d *crashDay) send(bad bool) {
	d.requests++
	router := d.random.IntN(len(d.routers))
	s := Suspect{Request: Subject(1_000_000 + d.requests), Parts: []Subject{firstPart, Subject(100 + d.random.IntN(secondParts))}}
	if bad {
		s.Parts = []Subject{firstPart, badPart}
	}
	_, kept := d.routers[router].Check(s, false, d.now)
	if !bad {
		d.soundSent++
		if kept {
			d.soundRefused++
		}
	}
	e := d.engines[d.random.IntN(len(d.engines))]
	if kept || d.now.Before(e.downUntil) {
		return
	}
	if bad {
		if !d.fifthAt.IsZero() && d.now.Sub(d.fifthAt) > crashContact {
			d.runsAfterFifth++
		}
	}
	begins := d.now.Add(time.Duration(50+d.random.IntN(300)) * time.Millisecond)
	e.running = append(e.running, runningRequest{router: router, suspect: s, bad: bad, beginsAt: begins, endsAt: begins.Add(time.Duration(100+d.random.IntN(500)) * time.Millisecond)})
}

// run lets the requests at an engine make progress.
func (d *crashDay) run(i int) {
	e := d.engines[i]
	var left []runningRequest
	for _, r := range e.running {
		switch {
		case r.bad && !d.now.Before(r.beginsAt):
			if d.crashes++; d.crashes == 5 {
				d.fifthAt = d.now
			}
			d.crash(i)
			return
		case !d.now.Before(r.endsAt):
			d.routers[r.router].RecordAnswer(testVersion, r.suspect.Parts, d.now)
		default:
			left = append(left, r)
		}
	}
	e.running = left
}

// crash ends an engine. Each router learns of its own requests there.
func (d *crashDay) crash(i int) {
	e := d.engines[i]
	for _, r := range e.running {
		s := r.suspect
		if d.now.Sub(r.beginsAt) > 50*time.Millisecond {
			s.Parts = nil
		}
		d.routers[r.router].RecordCrash(Crash{Endpoint: fmt.Sprint("e", i), Incarnation: e.incarnation, Version: testVersion, At: d.now, Suspects: []Suspect{s}}, d.now)
	}
	e.running, e.downUntil = nil, d.now.Add(engineDown)
	e.incarnation++
}

func (d *crashDay) gossip() {
	for i, from := range d.routers {
		for k, to := range d.routers {
			if i != k && i != d.cutOff && k != d.cutOff {
				exchange(from, to, d.now)
			}
		}
	}
}

// play plays a day. Requests with the bad part come until its end; an engine ends for
// another reason each second, and half of them at once.
func (d *crashDay) play(t *testing.T, withBadPart bool) {
	t.Helper()
	for n := range crashDaySteps {
		d.now = d.now.Add(crashStep)
		if d.random.IntN(100) < 60 {
			d.send(false)
		}
		if withBadPart && n > 300 && d.random.IntN(100) < 3 {
			d.send(true)
		}
		for i := range d.engines {
			d.run(i)
		}
		switch {
		case n%100 == 0:
			d.crash(d.random.IntN(len(d.engines)))
		case n == 1500:
			for i := range len(d.engines) / 2 {
				d.crash(i)
			}
		case n == 600:
			d.cutOff = 0
		case n == 1000:
			d.cutOff = -1
		case n%700 == 0:
			i := 1 + d.random.IntN(len(d.routers)-1)
			d.routers[i] = &Quarantine{Self: d.routers[i].Self}
			exchange(d.routers[0], d.routers[i], d.now)
		}
		if n%gossipSteps == 0 {
			d.gossip()
		}
	}
}

// TestCrashDays plays days with a part that crashes engines, among crashes for other reasons,
// while routers are cut off and start again: after the fifth crash and the contact time no
// more than three requests with the part reach engines, and no sound request of the same
// caller with the other parts is refused.
func TestCrashDays(t *testing.T) {
	for seed := range uint64(20) {
		d := newCrashDay(seed, 6, 12)
		d.play(t, true)
		require.LessOrEqual(t, d.runsAfterFifth, 3, "seed %d: %d crashes", seed, d.crashes)
		require.Zero(t, d.soundRefused, "seed %d: of %d", seed, d.soundSent)
	}
}

// TestCrashDaysWithoutABadPart plays days on which engines end for other reasons only: nothing
// is refused.
func TestCrashDaysWithoutABadPart(t *testing.T) {
	for seed := range uint64(20) {
		d := newCrashDay(seed, 6, 12)
		d.play(t, false)
		require.Zero(t, d.soundRefused, "seed %d: of %d", seed, d.soundSent)
	}
}
