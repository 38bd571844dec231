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

// callerRequest describes one HTTP request that a caller sends to a router. Without a
// path it is a streaming chat completion; with a path, content is the raw body.
type callerRequest struct {
	organisation, key string
	content           string
	maxTokens         int
	nonIdempotent     bool
	attempt           string
	lastEventID       string
	method            string
	path              string
	bearer            string
	deadline          string
}

// reply is the outcome of a callerRequest as the caller sees it.
type reply struct {
	status      int
	err         error
	text        string
	complete    bool
	code        string
	outcome     string
	retryAfter  string
	nextAttempt string
	took        time.Duration
}

var callerHTTP = (&conn.Dialer{}).ExternalClient()

func (req callerRequest) prompt() stand.Prompt {
	n := req.maxTokens
	if n == 0 {
		n = 200
	}
	return stand.Prompt{Model: modelName, Messages: []stand.Message{{Role: "user", Content: req.content}}, MaxTokens: n}
}

// expectedText returns the text of the correct answer.
func (req callerRequest) expectedText() string { return req.prompt().Text() }

// cost returns the number of tokens that the request must be billed.
func (req callerRequest) cost() int64 { return req.prompt().Usage().TotalTokens }

type streamingChatBody struct {
	stand.Prompt
	Stream bool `json:"stream"`
}

func (req callerRequest) body() []byte {
	if req.path != "" {
		return []byte(req.content)
	}
	data, err := json.Marshal(streamingChatBody{Prompt: req.prompt(), Stream: true})
	if err != nil {
		panic(err)
	}
	return data
}

func (s *site) newHTTPRequest(ctx context.Context, router string, req callerRequest) *http.Request {
	path, method, bearer := req.path, req.method, req.bearer
	if path == "" {
		path = "/v1/chat/completions"
	}
	if method == "" {
		method = http.MethodPost
	}
	if bearer == "" {
		bearer = s.callerKeys[req.organisation]
	}
	r, err := http.NewRequestWithContext(ctx, method, "http://"+s.vms[router].settings.Caller.Address+path, bytes.NewReader(req.body()))
	if err != nil {
		panic(err)
	}
	h := map[string]string{
		"Authorization": "Bearer " + bearer, caller.KeyHeader: req.key, caller.AttemptHeader: req.attempt,
		caller.LastEventHeader: req.lastEventID, caller.DeadlineHeader: req.deadline,
	}
	if req.nonIdempotent {
		h[caller.NonIdempotentHeader] = "true"
	}
	for name, value := range h {
		if value != "" {
			r.Header.Set(name, value)
		}
	}
	return r
}

// send sends a request and reads the answer to its end.
func (s *site) send(router string, req callerRequest) reply {
	return s.sendContext(context.Background(), router, req)
}

func (s *site) sendContext(ctx context.Context, router string, req callerRequest) reply {
	began := time.Now()
	res, err := callerHTTP.Do(s.newHTTPRequest(ctx, router, req))
	if err != nil {
		return reply{err: err, took: time.Since(began)}
	}
	defer func() { _ = res.Body.Close() }()
	data, err := io.ReadAll(res.Body)
	out := reply{status: res.StatusCode, err: err, took: time.Since(began), outcome: res.Header.Get(caller.OutcomeHeader), retryAfter: res.Header.Get("Retry-After"), nextAttempt: res.Header.Get(caller.AttemptHeader)}
	out.parse(string(data), req)
	return out
}

func (r *reply) parse(data string, req callerRequest) {
	if r.status != http.StatusOK || req.path != "" {
		r.text = data
		r.complete = r.status == http.StatusOK
		r.parseError(data)
		return
	}
	for line := range strings.Lines(data) {
		payload, ok := strings.CutPrefix(strings.TrimSpace(line), "data: ")
		switch {
		case !ok:
		case payload == "[DONE]":
			r.complete = true
		default:
			r.parseError(payload)
			c, _ := endpt.DecodeChunk([]byte(payload))
			for _, choice := range c.Choices {
				r.text += choice.Delta.Content
			}
		}
	}
}

func (r *reply) parseError(data string) {
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

// requireCompleteAnswer requires that the answer succeeded, ended with its end mark and
// has exactly the expected text.
func (s *site) requireCompleteAnswer(req callerRequest, r reply) {
	s.t.Helper()
	require.NoError(s.t, r.err)
	require.Equal(s.t, http.StatusOK, r.status, "%s %s", r.code, r.text)
	require.Empty(s.t, r.code)
	require.True(s.t, r.complete, "the answer must end with its end mark")
	require.Equal(s.t, req.expectedText(), r.text)
}

// retryUntilComplete sends a request under the same key through the routers in turn,
// beginning with number first, until it gets a complete answer. It also returns how long
// that took.
func (s *site) retryUntilComplete(first int, req callerRequest) (reply, time.Duration) {
	s.t.Helper()
	began := time.Now()
	var r reply
	i := first
	s.eventually("request "+req.key+" gets a complete answer", func() bool {
		r = s.send(routerName(i%len(s.routers)), req)
		i++
		return r.err == nil && r.complete && r.code == ""
	})
	return r, time.Since(began)
}

// requireBill waits until no tokens are held and requires that exactly want tokens were
// billed to the organisation.
func (s *site) requireBill(org string, want int64) {
	s.t.Helper()
	defer func() {
		if s.t.Failed() {
			s.t.Logf("expected a bill of %d tokens, the budget is %v", want, s.budget(org))
		}
	}()
	s.eventually("all bills are booked and no tokens are held", func() bool {
		b := s.budget(org)
		return b.GetHeld() == 0 && b.GetSettled() >= want
	})
	require.Equal(s.t, want, s.budget(org).GetSettled(), "tokens billed to %s", org)
}
