package integ

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"buckthornpin"
)

// bodyPlan describes the bodies of a caller's requests.
type bodyPlan struct {
	// bytes is the length; 0 is that of most requests.
	bytes int
	// unstated sends the body without its length.
	unstated bool
	// takes is the time that the caller takes to send the body.
	takes time.Duration
}

const (
	usualBodyBytes = 2000
	// bodySteps is the number of parts in which a slow body is sent.
	bodySteps = 16
)

func (p bodyPlan) length() int {
	if p.bytes == 0 {
		return usualBodyBytes
	}
	return p.bytes
}

// contentLength returns the length that a request states, -1 for none.
func (p bodyPlan) contentLength() int64 {
	if p.unstated {
		return -1
	}
	return int64(p.length())
}

// reader returns the body of a request: its id, again and again.
func (p bodyPlan) reader(ctx context.Context, id string) io.Reader {
	r := &bodyReader{ctx: ctx, id: id, left: p.length()}
	if p.takes > 0 {
		r.step, r.pause = max(p.length()/bodySteps, 1), p.takes/bodySteps
	}
	return r
}

type bodyReader struct {
	ctx        context.Context
	id         string
	sent, left int
	// pause is the time between two parts of step bytes each.
	step  int
	pause time.Duration
}

func (r *bodyReader) Read(p []byte) (int, error) {
	if r.left == 0 {
		return 0, io.EOF
	}
	if r.pause > 0 {
		if r.sent%r.step == 0 {
			buckthornpin.Wait(r.ctx, r.pause)
		}
		p = p[:min(len(p), r.step-r.sent%r.step)]
	}
	n := min(len(p), r.left)
	for i := range n {
		p[i] = r.id[(r.sent+i)%len(r.id)]
	}
	r.sent += n
	r.left -= n
	return n, nil
}

// isBodyOf reads the body of a request and reports whether it is the one of the request with the
// given id. The error is that of the connection.
func isBodyOf(id string, r *http.Request) (bool, error) {
	data, err := io.ReadAll(r.Body)
	if err != nil {
		return false, err
	}
	want := strings.Repeat(id, len(data)/len(id)+1)[:len(data)]
	hasBody := r.Method == http.MethodPost
	return (len(data) > 0) == hasBody && bytes.Equal(data, []byte(want)), nil
}

// maxBodyBytes is the size limit in the fleet's configuration.
const maxBodyBytes = 4 << 20

// crowdBodies returns the body of a crowd's nth request: half are of the largest size, the others
// of any; of either, some don't state their length and some are sent slowly.
func crowdBodies(n int, random *rand.Rand) bodyPlan {
	p := bodyPlan{bytes: maxBodyBytes, unstated: n%3 == 1}
	if n%2 == 0 {
		p.bytes = 1 << (10 + random.IntN(13))
	}
	if n%4 == 3 {
		p.takes = 800 * time.Millisecond
	}
	return p
}

// sendCrowd has an organisation send requests with large bodies to a router at a rate a second,
// and waits until all have ended.
func (f *fleet) sendCrowd(v *vm, organisation string, perSecond int, span time.Duration) {
	random := rand.New(rand.NewPCG(1, 2))
	interval := time.Second / time.Duration(perSecond)
	var all sync.WaitGroup
	for n := range int(span / interval) {
		c := &fleetCaller{
			fleet: f, organisation: organisation, random: rand.New(rand.NewPCG(1, uint64(n))), router: v, body: crowdBodies(n, random), slow: true,
			http: &http.Client{Transport: &http.Transport{DisableKeepAlives: true}},
		}
		kind := []string{"chat", "resume", "safe"}[n%3]
		all.Go(func() { c.send(f.ctx, kind) })
		f.wait(interval)
	}
	all.Wait()
}

// attemptsOf returns the attempts of an organisation since a time.
func (obs *observations) attemptsOf(organisation string, since time.Time) []attempt {
	var out []attempt
	for _, a := range obs.attemptsBetween(since, time.Now()) {
		if a.organisation == organisation {
			out = append(out, a)
		}
	}
	return out
}

// TestLargeBodiesStayWithinMemory guards against a router that is killed for its memory, with all
// answers that it has begun, because an organisation sends many large bodies at once
// (review/8). What doesn't fit is refused, the refusal reaches its caller, and requests of others
// are served as without the crowd.
func TestLargeBodiesStayWithinMemory(t *testing.T) {
	f := startFleet(t, fleetPlan{controls: 3, routers: 1, modelEndpoints: 6, plainEndpoints: 6, prepaid: amplePrepaid})
	router := f.routers[0]
	began := time.Now()
	ctx, stop := context.WithCancel(f.ctx)
	var others sync.WaitGroup
	for i := range 12 {
		c := &fleetCaller{fleet: f, organisation: "portmore", random: rand.New(rand.NewPCG(7, uint64(i))), meanPause: 20 * time.Millisecond}
		others.Go(func() { c.sendRequests(ctx) })
	}
	f.sendCrowd(router, "head-office", 24, 5*time.Second)
	stop()
	others.Wait()
	t.Logf("router used %d MB", router.peakBytes(t)>>20)
	require.Less(t, router.peakBytes(t), int64(vmMemoryMB)<<20)
	f.requireServed(f.observed.attemptsOf("portmore", began), 0.99, "beside the crowd")
	outcomes := map[string]int{}
	for _, a := range f.observed.attemptsOf("head-office", began) {
		outcomes[fmt.Sprintf("%d %v %s", a.status, a.complete, lastBytes(a.detail, 100))]++
		require.NotZero(t, a.status, "every caller reads its answer or refusal: %s", a.detail)
		require.True(t, a.complete, "an answer that has begun isn't cut: %+v", a)
	}
	t.Logf("crowd: %v", outcomes)
	f.requireNoViolations()
}
