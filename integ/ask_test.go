package integ

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"strings"
	"time"

	"github.com/stretchr/testify/require"

	"buckthornpin/caller"
	"buckthornpin/conn"
	"buckthornpin/endpt"
	"buckthornpin/stand"
)

// ask is one call of a caller.
type ask struct {
	org, key  string
	content   string
	maxTokens int
	once      bool
	attempt   string
	lastEvent string
	method    string
	path      string
	bearer    string
	deadline  string
}

// reply is what the caller got.
type reply struct {
	status  int
	err     error
	text    string
	whole   bool
	code    string
	outcome string
	retry   string
	next    string
	took    time.Duration
}

var callerHTTP = (&conn.Dialer{}).ExternalClient()

func (a ask) prompt() stand.Prompt {
	n := a.maxTokens
	if n == 0 {
		n = 200
	}
	return stand.Prompt{Model: model, Messages: []stand.Message{{Role: "user", Content: a.content}}, MaxTokens: n}
}

// want is the text that the answer must have.
func (a ask) want() string { return a.prompt().Text() }

// cost is what the request must be billed.
func (a ask) cost() int64 { return a.prompt().Usage().TotalTokens }

type chatBody struct {
	stand.Prompt
	Stream bool `json:"stream"`
}

func (a ask) body() []byte {
	if a.path != "" {
		return []byte(a.content)
	}
	data, err := json.Marshal(chatBody{Prompt: a.prompt(), Stream: true})
	if err != nil {
		panic(err)
	}
	return data
}

func (s *site) request(ctx context.Context, router string, a ask) *http.Request {
	path, method, bearer := a.path, a.method, a.bearer
	if path == "" {
		path = "/v1/chat/completions"
	}
	if method == "" {
		method = http.MethodPost
	}
	if bearer == "" {
		bearer = s.keys[a.org]
	}
	r, err := http.NewRequestWithContext(ctx, method, "http://"+s.vms[router].settings.Caller.Address+path, bytes.NewReader(a.body()))
	if err != nil {
		panic(err)
	}
	h := map[string]string{
		"Authorization": "Bearer " + bearer, caller.KeyHeader: a.key, caller.AttemptHeader: a.attempt,
		caller.LastEventHeader: a.lastEvent, caller.DeadlineHeader: a.deadline,
	}
	if a.once {
		h[caller.NonIdempotentHeader] = "true"
	}
	for name, value := range h {
		if value != "" {
			r.Header.Set(name, value)
		}
	}
	return r
}

// send makes a call and reads its answer to the end.
func (s *site) send(router string, a ask) reply {
	return s.sendCtx(context.Background(), router, a)
}

func (s *site) sendCtx(ctx context.Context, router string, a ask) reply {
	began := time.Now()
	res, err := callerHTTP.Do(s.request(ctx, router, a))
	if err != nil {
		return reply{err: err, took: time.Since(began)}
	}
	defer func() { _ = res.Body.Close() }()
	data, err := io.ReadAll(res.Body)
	out := reply{status: res.StatusCode, err: err, took: time.Since(began), outcome: res.Header.Get(caller.OutcomeHeader), retry: res.Header.Get("Retry-After"), next: res.Header.Get(caller.AttemptHeader)}
	out.read(string(data), a)
	return out
}

func (r *reply) read(data string, a ask) {
	if r.status != http.StatusOK || a.path != "" {
		r.text = data
		r.whole = r.status == http.StatusOK
		r.readProblem(data)
		return
	}
	for line := range strings.Lines(data) {
		payload, ok := strings.CutPrefix(strings.TrimSpace(line), "data: ")
		switch {
		case !ok:
		case payload == "[DONE]":
			r.whole = true
		default:
			r.readProblem(payload)
			c, _ := endpt.DecodeChunk([]byte(payload))
			for _, choice := range c.Choices {
				r.text += choice.Delta.Content
			}
		}
	}
}

func (r *reply) readProblem(data string) {
	var p struct {
		Error struct {
			Code    string `json:"code"`
			Outcome string `json:"outcome"`
		} `json:"error"`
	}
	if json.Unmarshal([]byte(data), &p) == nil && p.Error.Code != "" {
		r.code, r.outcome = p.Error.Code, p.Error.Outcome
	}
}

// requireWhole checks each byte of an answer.
func (s *site) requireWhole(a ask, r reply) {
	s.t.Helper()
	require.NoError(s.t, r.err)
	require.Equal(s.t, http.StatusOK, r.status, "%s %s", r.code, r.text)
	require.Empty(s.t, r.code)
	require.True(s.t, r.whole, "the answer has its end mark")
	require.Equal(s.t, a.want(), r.text)
}

// askUntilWhole sends a request again under its key, through the routers in
// turn, until it gets a whole answer; it returns how long that took.
func (s *site) askUntilWhole(first int, a ask) (reply, time.Duration) {
	s.t.Helper()
	began := time.Now()
	var r reply
	i := first
	s.eventually("request "+a.key+" is answered", func() bool {
		r = s.send(routerName(i%len(s.routers)), a)
		i++
		return r.err == nil && r.whole && r.code == ""
	})
	return r, time.Since(began)
}

// requireBill waits until nothing is held and checks what was billed.
func (s *site) requireBill(org string, want int64) {
	s.t.Helper()
	defer func() {
		if s.t.Failed() {
			s.t.Logf("wanted %d tokens, budget is %v", want, s.budget(org))
		}
	}()
	s.eventually("all bills are booked and no reservation is open", func() bool {
		b := s.budget(org)
		return b.GetHeld() == 0 && b.GetSettled() >= want
	})
	require.Equal(s.t, want, s.budget(org).GetSettled(), "billed tokens of %s", org)
}
