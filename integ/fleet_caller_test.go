package integ

import (
	"bytes"
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

// execution is one request that an endpoint began to work on.
type execution struct {
	id, organisation, key string
	engine                *engine
	at                    time.Time
}

// attempt is one request of a caller and what came of it.
type attempt struct {
	id, kind, organisation, router string
	began, ended                   time.Time
	// status is 0 where the connection ended without an answer.
	status     int
	retryAfter time.Duration
	// events of a stream that were delivered.
	events int64
	// whole says that the answer was complete.
	whole bool
	// wrong describes an answer that isn't the endpoint's.
	wrong string
	// detail is what the answer said, for messages.
	detail string
}

// view is what endpoints and callers have seen. All checks are made on it.
type view struct {
	mu       sync.Mutex
	runs     map[string][]execution
	attempts []attempt
}

func newView() *view { return &view{runs: map[string][]execution{}} }

func (v *view) ran(r execution) {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.runs[r.id] = append(v.runs[r.id], r)
}

func (v *view) ended(a attempt) {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.attempts = append(v.attempts, a)
}

const (
	promptTokens = 200
	outputTokens = streamEvents * eventTokens
)

// client is a caller that keeps its connection to a router as long as that lasts.
type client struct {
	fleet        *fleet
	organisation string
	random       *rand.Rand
	http         *http.Client
	router       *vm
	pause        time.Duration
}

var requestKinds = []string{"chat", "resume", "once", "safe"}

// load sends requests until ctx ends; what is refused comes back as the answer
// asks.
func (c *client) load(ctx context.Context) {
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
		wait := c.pause/2 + time.Duration(c.random.Int64N(int64(c.pause)))
		if a.status == http.StatusServiceUnavailable || a.status == http.StatusTooManyRequests {
			wait = max(wait, a.retryAfter)
		}
		timer.Reset(wait)
	}
}

// ask sends one request to a router on a connection of its own.
func (f *fleet) ask(v *vm, kind string) attempt {
	c := &client{
		fleet: f, organisation: sortedKeys(f.plan.prepaid)[0], random: rand.New(rand.NewPCG(1, 1)), router: v,
		http: &http.Client{Transport: &http.Transport{DisableKeepAlives: true}},
	}
	return c.send(f.ctx, kind)
}

// connect picks a router for a new connection.
func (c *client) connect() bool {
	if c.router != nil {
		return true
	}
	all := c.fleet.balance.rotation()
	if len(all) == 0 {
		return false
	}
	c.router = all[c.random.IntN(len(all))]
	return true
}

func (c *client) send(ctx context.Context, kind string) attempt {
	a := attempt{id: uuid.NewString(), kind: kind, organisation: c.organisation, began: time.Now()}
	if !c.connect() {
		a.ended = time.Now()
		a.detail = "no router takes connections"
		c.fleet.view.ended(a)
		return a
	}
	a.router = c.router.name
	c.exchange(ctx, &a)
	a.ended = time.Now()
	if ctx.Err() == nil {
		c.fleet.view.ended(a)
	}
	return a
}

func (c *client) exchange(ctx context.Context, a *attempt) {
	ctx, cancel := context.WithTimeout(ctx, 6*time.Second)
	defer cancel()
	body := strings.Repeat("x", 2000)
	r, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+c.router.settings.Platform.CallerAddress+"/"+a.kind+"/x", bytes.NewReader([]byte(body)))
	if err != nil {
		a.detail = err.Error()
		return
	}
	r.Host = fleetHost
	q := relay.Request{ID: a.id, Key: "key-" + c.organisation, Deadline: a.began.Add(4 * time.Second)}
	if a.kind == "chat" || a.kind == "resume" {
		q.Prompt = relay.Prompt{Tokens: promptTokens, MaxOutput: outputTokens, Parts: []route.PromptPart{
			{ID: strconv.Itoa(c.random.IntN(4)), Tokens: 150}, {ID: strconv.FormatUint(c.random.Uint64(), 16), Tokens: 50},
		}}
	}
	platf.EncodeRequest(r.Header, q)
	res, err := c.http.Do(r)
	if err != nil {
		a.detail = err.Error()
		c.router = nil
		return
	}
	defer func() { _ = res.Body.Close() }()
	data, err := io.ReadAll(res.Body)
	a.status = res.StatusCode
	a.whole = err == nil
	if res.Close || err != nil {
		c.router = nil
	}
	answer := platf.DecodeCallerAnswer(res.Header)
	a.retryAfter = answer.RetryAfter
	a.judge(string(data), answer)
}

// judge compares an answer with what the endpoint gave.
func (a *attempt) judge(body string, answer platf.CallerAnswer) {
	if a.status != http.StatusOK {
		a.detail = body
		return
	}
	if answer.ID != a.id || answer.Signature != signature(a.id) {
		a.wrong = "answer of another request: " + answer.ID
		return
	}
	want := plainAnswer(a.id)
	if a.kind == "chat" || a.kind == "resume" {
		want = streamAnswer(a.id)
		a.events = int64(strings.Count(body, "\n\n"))
	}
	if a.whole && body != want || !strings.HasPrefix(want, body) {
		a.wrong = "answer isn't the endpoint's: " + lastBytes(body, 200)
	}
}

// consumed are the tokens that an organisation got: each prompt of which output
// came, and that output.
func (v *view) consumed(organisation string) int64 {
	v.mu.Lock()
	defer v.mu.Unlock()
	n := int64(0)
	for _, a := range v.attempts {
		if a.organisation == organisation && a.events > 0 {
			n += promptTokens + a.events*eventTokens
		}
	}
	return n
}

// promises are the statuses that say that a request hasn't run and never will.
var promises = map[int]bool{
	http.StatusRequestTimeout: true, http.StatusMisdirectedRequest: true,
	http.StatusTooManyRequests: true, http.StatusServiceUnavailable: true,
}

// problems are the broken rules that hold at all times.
func (v *view) problems(prepaid map[string]int64) []string {
	var out []string
	v.mu.Lock()
	for _, a := range v.attempts {
		if a.wrong != "" {
			out = append(out, fmt.Sprintf("%s %s by %s: %s", a.kind, a.id, a.router, a.wrong))
		}
		runs := v.runs[a.id]
		if len(runs) > 1 && (a.kind == "once" || a.kind == "chat") {
			out = append(out, fmt.Sprintf("%s %s by %s ran %d times", a.kind, a.id, a.router, len(runs)))
		}
		if len(runs) > 0 && promises[a.status] {
			out = append(out, fmt.Sprintf("%s %s by %s got %d (%s) and ran on %s", a.kind, a.id, a.router, a.status, a.detail, runs[0].engine.id))
		}
	}
	for id, runs := range v.runs {
		for _, r := range runs {
			if r.key != "" {
				out = append(out, "an endpoint got the key of request "+id)
			}
		}
	}
	v.mu.Unlock()
	for o, total := range prepaid {
		if n := v.consumed(o); n > total {
			out = append(out, fmt.Sprintf("organisation %s got %d tokens of %d", o, n, total))
		}
	}
	return out
}

// between returns the attempts that began within a span.
func (v *view) between(from, to time.Time) []attempt {
	v.mu.Lock()
	defer v.mu.Unlock()
	var out []attempt
	for _, a := range v.attempts {
		if !a.began.Before(from) && a.began.Before(to) {
			out = append(out, a)
		}
	}
	return out
}

// served is the part of attempts that got a whole answer of the endpoint, and a
// count of what the others got.
func served(all []attempt) (part float64, others map[string]int) {
	others = map[string]int{}
	ok := 0
	for _, a := range all {
		if a.status == http.StatusOK && a.whole {
			ok++
			continue
		}
		others[fmt.Sprintf("%d %s", a.status, lastBytes(a.detail, 80))]++
	}
	return float64(ok) / float64(max(len(all), 1)), others
}
