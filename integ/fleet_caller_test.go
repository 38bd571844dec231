package integ

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/google/uuid"

	platf "buckthornpin/platform"
	"buckthornpin/relay"
	"buckthornpin/route"
)

// execution records that an endpoint began to work on a request.
type execution struct {
	id, organisation, key string
	endpoint              *endpointStub
	at                    time.Time
	// otherBody is set if the body wasn't the one that the caller sent.
	otherBody bool
}

// attempt records one request of a caller and its outcome.
type attempt struct {
	id, kind, organisation, router string
	began, ended                   time.Time
	// status is 0 if the connection ended without an answer.
	status     int
	retryAfter time.Duration
	// events is the number of events of a stream that the caller received.
	events int64
	// complete reports whether the whole answer arrived.
	complete bool
	// mismatch describes how the answer differs from the endpoint's, if it does.
	mismatch string
	// detail is the text of a refusal or the error, for messages.
	detail string
}

// observations records what endpoints and callers have seen. All checks are based on it.
type observations struct {
	mu sync.Mutex
	// runs holds the executions of each request by its id.
	runs     map[string][]execution
	attempts []attempt
	// crashes holds the crashes of endpoints under a part of a prompt, in order.
	crashes []crash
}

// crash is an endpoint's crash under a request.
type crash struct {
	id string
	at time.Time
}

func newObservations() *observations { return &observations{runs: map[string][]execution{}} }

func (obs *observations) recordExecution(r execution) {
	obs.mu.Lock()
	defer obs.mu.Unlock()
	obs.runs[r.id] = append(obs.runs[r.id], r)
}

func (obs *observations) recordCrash(id string, at time.Time) {
	obs.mu.Lock()
	defer obs.mu.Unlock()
	obs.crashes = append(obs.crashes, crash{id: id, at: at})
}

func (obs *observations) recordAttempt(a attempt) {
	obs.mu.Lock()
	defer obs.mu.Unlock()
	obs.attempts = append(obs.attempts, a)
}

const (
	promptTokens = 200
	outputTokens = eventsPerStream * tokensPerEvent
)

// fleetCaller is a caller that uses one connection to a router for as long as it lasts.
type fleetCaller struct {
	fleet        *fleet
	organisation string
	random       *rand.Rand
	http         *http.Client
	router       *vm
	meanPause    time.Duration
	// parts are the shared parts of all prompts; empty for one of a few parts.
	parts []string
	// prompt takes the place of the usual prompt, if it states a size.
	prompt relay.Prompt
	// body is the body of the requests.
	body bodyPlan
	// slow asks for streams that take seconds.
	slow bool
}

// requestKinds are the names of the routes. Chat and resume are streams, of which resume
// may be continued on another endpoint; once isn't idempotent, safe is.
var requestKinds = []string{"chat", "resume", "once", "safe"}

// sendRequests sends requests until ctx ends. After a refusal with status 429 or 503 it
// waits at least as long as the answer asks.
func (c *fleetCaller) sendRequests(ctx context.Context) {
	c.http = &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 1}}
	defer c.http.CloseIdleConnections()
	timer := time.NewTimer(0)
	defer timer.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-timer.C:
		}
		a := c.send(ctx, requestKinds[c.random.IntN(len(requestKinds))])
		wait := c.meanPause/2 + time.Duration(c.random.Int64N(int64(c.meanPause)))
		if a.status == http.StatusServiceUnavailable || a.status == http.StatusTooManyRequests {
			wait = max(wait, a.retryAfter)
		}
		timer.Reset(wait)
	}
}

// sendOnce sends one request to a router on a new connection.
func (f *fleet) sendOnce(v *vm, kind string) attempt {
	c := &fleetCaller{
		fleet: f, organisation: sortedKeys(f.plan.prepaid)[0], random: rand.New(rand.NewPCG(1, 1)), router: v,
		http: &http.Client{Transport: &http.Transport{DisableKeepAlives: true}},
	}
	return c.send(f.ctx, kind)
}

// pickRouter chooses a random ready router for a new connection, unless the caller still
// has a connection. It returns false if no router is ready.
func (c *fleetCaller) pickRouter() bool {
	if c.router != nil {
		return true
	}
	all := c.fleet.lb.readyRouters()
	if len(all) == 0 {
		return false
	}
	c.router = all[c.random.IntN(len(all))]
	return true
}

func (c *fleetCaller) send(ctx context.Context, kind string) attempt {
	a := attempt{id: uuid.NewString(), kind: kind, organisation: c.organisation, began: time.Now()}
	if !c.pickRouter() {
		a.ended = time.Now()
		a.detail = "no router takes new connections"
		c.fleet.observed.recordAttempt(a)
		return a
	}
	a.router = c.router.name
	c.exchange(ctx, &a)
	a.ended = time.Now()
	if ctx.Err() == nil {
		c.fleet.observed.recordAttempt(a)
	}
	return a
}

func (c *fleetCaller) exchange(ctx context.Context, a *attempt) {
	ctx, cancel := context.WithTimeout(ctx, 6*time.Second)
	defer cancel()
	r, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+c.router.settings.Platform.CallerAddress+"/"+a.kind+"/"+c.lastSegment(), c.body.reader(ctx, a.id))
	if err != nil {
		a.detail = err.Error()
		return
	}
	r.ContentLength = c.body.contentLength()
	r.Host = fleetHost
	q := relay.Request{ID: a.id, Key: "key-" + c.organisation, Deadline: a.began.Add(4 * time.Second)}
	if a.kind == "chat" || a.kind == "resume" {
		q.Prompt = relay.Prompt{Tokens: promptTokens, MaxOutput: outputTokens, Parts: c.promptParts()}
		if c.prompt.MaxOutput > 0 {
			q.Prompt = c.prompt
		}
	}
	platf.EncodeCallerRequest(r.Header, q)
	res, err := c.http.Do(r)
	if err != nil {
		a.detail = err.Error()
		c.router = nil
		return
	}
	defer func() { _ = res.Body.Close() }()
	data, err := io.ReadAll(res.Body)
	a.status = res.StatusCode
	a.complete = err == nil
	if res.Close || err != nil {
		c.router = nil
	}
	answer := platf.DecodeCallerAnswer(res.Header)
	a.retryAfter = answer.RetryAfter
	a.checkAnswer(string(data), answer)
}

// lastSegment returns the end of a request's path.
func (c *fleetCaller) lastSegment() string {
	if c.slow {
		return slowStreamPath
	}
	return "x"
}

// promptParts returns the parts of a prompt, of which the last belongs to the request alone.
func (c *fleetCaller) promptParts() []route.PromptPart {
	shared := c.parts
	if len(shared) == 0 {
		shared = []string{strconv.Itoa(c.random.IntN(4))}
	}
	var out []route.PromptPart
	for _, id := range shared {
		out = append(out, route.PromptPart{ID: id, Tokens: 150 / int64(len(shared))})
	}
	return append(out, route.PromptPart{ID: strconv.FormatUint(c.random.Uint64(), 16), Tokens: 50})
}

// checkAnswer compares an answer with the one that the endpoint gave.
func (a *attempt) checkAnswer(body string, answer platf.CallerAnswer) {
	if a.status != http.StatusOK {
		a.detail = body
		return
	}
	if answer.ID != a.id || answer.Signature != signature(a.id) {
		a.mismatch = "answer of another request: " + answer.ID
		return
	}
	want := plainAnswer(a.id)
	if a.kind == "chat" || a.kind == "resume" {
		want = streamAnswer(a.id)
		a.events = int64(strings.Count(body, "\n\n"))
	}
	if a.complete && body != want || !strings.HasPrefix(want, body) {
		a.mismatch = "answer differs from the endpoint's: " + lastBytes(body, 200)
	}
}

// consumedTokens returns the number of tokens that an organisation has received: the
// output that arrived, and the prompt of each request with any output.
func (obs *observations) consumedTokens(organisation string) int64 {
	obs.mu.Lock()
	defer obs.mu.Unlock()
	n := int64(0)
	for _, a := range obs.attempts {
		if a.organisation == organisation && a.events > 0 {
			n += promptTokens + a.events*tokensPerEvent
		}
	}
	return n
}

// notExecutedStatuses are the statuses that promise that a request hasn't run and never
// will.
var notExecutedStatuses = map[int]bool{
	http.StatusRequestTimeout: true, http.StatusMisdirectedRequest: true,
	http.StatusTooManyRequests: true, http.StatusServiceUnavailable: true,
}

// violations returns a description of each broken rule among those that hold at all times.
func (obs *observations) violations(prepaid map[string]int64) []string {
	var out []string
	obs.mu.Lock()
	for _, a := range obs.attempts {
		if a.mismatch != "" {
			out = append(out, fmt.Sprintf("%s %s through %s: %s", a.kind, a.id, a.router, a.mismatch))
		}
		runs := obs.runs[a.id]
		if len(runs) > 1 && (a.kind == "once" || a.kind == "chat") {
			out = append(out, fmt.Sprintf("%s %s through %s ran %d times", a.kind, a.id, a.router, len(runs)))
		}
		if len(runs) > 0 && notExecutedStatuses[a.status] {
			out = append(out, fmt.Sprintf("%s %s through %s got status %d (%s) but ran on %s", a.kind, a.id, a.router, a.status, a.detail, runs[0].endpoint.id))
		}
	}
	for id, runs := range obs.runs {
		for _, r := range runs {
			if r.otherBody {
				out = append(out, "an endpoint received another body than that of request "+id)
			}
			if r.key != "" {
				out = append(out, "an endpoint received the caller's key of request "+id)
			}
		}
	}
	obs.mu.Unlock()
	for o, total := range prepaid {
		if n := obs.consumedTokens(o); n > total {
			out = append(out, fmt.Sprintf("organisation %s received %d tokens of %d prepaid", o, n, total))
		}
	}
	return out
}

// attemptsBetween returns the attempts that began at or after from and before to.
func (obs *observations) attemptsBetween(from, to time.Time) []attempt {
	obs.mu.Lock()
	defer obs.mu.Unlock()
	var out []attempt
	for _, a := range obs.attempts {
		if !a.began.Before(from) && a.began.Before(to) {
			out = append(out, a)
		}
	}
	return out
}

// servedFraction returns the fraction of attempts that got a complete answer from an
// endpoint, and counts what the unserved ones got.
func servedFraction(all []attempt) (fraction float64, unserved map[string]int) {
	unserved = map[string]int{}
	ok := 0
	for _, a := range all {
		if a.status == http.StatusOK && a.complete {
			ok++
			continue
		}
		unserved[fmt.Sprintf("%d %s", a.status, lastBytes(a.detail, 80))]++
	}
	return float64(ok) / float64(max(len(all), 1)), unserved
}
