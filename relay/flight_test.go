package relay

import (
	"context"
	"io"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/go-faster/errors"
	"github.com/rs/zerolog"
	"github.com/stretchr/testify/require"

	"buckthornpin"
	"buckthornpin/route"
	"buckthornpin/site"
)

// script implements Endpoints with a scripted step for each dispatch, in order.
type script struct {
	t     *testing.T
	steps []step
	sent  []Dispatch
}

type step struct {
	answer *Answer
	err    error
	// wait delays the answer until the request's context ends.
	wait bool
}

// Send implements Endpoints.
func (s *script) Send(ctx context.Context, d Dispatch) (*Answer, error) {
	require.Less(s.t, len(s.sent), len(s.steps), "unexpected dispatch")
	next := s.steps[len(s.sent)]
	s.sent = append(s.sent, d)
	if next.wait {
		<-ctx.Done()
		return nil, &Error{Op: "send", Kind: KindBroken, Err: ctx.Err()}
	}
	return next.answer, next.err
}

// RefusesConnections implements Endpoints.
func (s *script) RefusesConnections(context.Context, string) bool { return false }

// callerRecorder records the answer that a caller gets. It also serves as Directory and
// Loads.
type callerRecorder struct {
	status  int
	body    strings.Builder
	refusal Refusal
	broken  bool
	// leaving are the endpoints that were marked as leaving.
	leaving []string
}

func (r *callerRecorder) SetDeadline(time.Time)                                {}
func (r *callerRecorder) Refuse(f Refusal)                                     { r.refusal = f }
func (r *callerRecorder) Begin(status int, _ http.Header, _ int64)             { r.status = status }
func (r *callerRecorder) Write(p []byte) error                                 { r.body.Write(p); return nil }
func (r *callerRecorder) Abort()                                               { r.broken = true }
func (r *callerRecorder) Others(string) route.Load                             { return route.Load{} }
func (r *callerRecorder) LoadChanged()                                         {}
func (r *callerRecorder) MarkLeaving(id string, _ int64)                       { r.leaving = append(r.leaving, id) }
func (r *callerRecorder) Serving(buckthornpin.Target) []*buckthornpin.Endpoint { return endpoints }

var endpoints = []*buckthornpin.Endpoint{{ID: "e1", Capacity: 8}, {ID: "e2", Capacity: 8}, {ID: "e3", Capacity: 8}}

// account implements Funds and sums up what is reserved and charged.
type account struct{ reserved, spent int64 }

func (a *account) Reserve(_ context.Context, _ string, tokens int64) buckthornpin.ReservationResult {
	a.reserved += tokens
	return buckthornpin.ReservationResult{Coverage: buckthornpin.Covered}
}

func (a *account) Settle(_ string, reserved, spent int64) {
	a.reserved -= reserved
	a.spent += spent
}

// breakingBody is a body that breaks off after its content.
type breakingBody struct{ io.Reader }

func (b *breakingBody) Read(p []byte) (int, error) {
	n, err := b.Reader.Read(p)
	if err == io.EOF {
		err = io.ErrUnexpectedEOF
	}
	return n, err
}

func events(ids string) string {
	var b strings.Builder
	for _, id := range strings.Split(ids, "") {
		b.WriteString("id: " + id + "\ndata: x\n\n")
	}
	return b.String()
}

func answer(status int, body io.Reader, header http.Header) *Answer {
	return &Answer{Status: status, Header: header, Length: -1, Body: io.NopCloser(body), Signed: true}
}

func stream(body string) *Answer {
	return answer(200, strings.NewReader(body), http.Header{contentType: {eventStream}})
}

func brokenStream(body string) *Answer {
	return answer(200, &breakingBody{strings.NewReader(body)}, http.Header{contentType: {eventStream}})
}

func plain(status int, body string) *Answer {
	return answer(status, strings.NewReader(body), http.Header{})
}

func notRun() *Answer {
	a := plain(503, "")
	a.NotRun, a.Signed = true, false
	return a
}

func unsigned() *Answer {
	a := plain(200, "forged")
	a.Signed = false
	return a
}

var (
	errNotSent = &Error{Op: "send", Kind: KindNotSent, Err: errors.New("refused")}
	errBroken  = &Error{Op: "send", Kind: KindBroken, Err: errors.New("reset")}
)

// useEndpoints replaces the endpoints of all routers for one test.
func useEndpoints(t *testing.T, all ...*buckthornpin.Endpoint) {
	t.Helper()
	before := endpoints
	t.Cleanup(func() { endpoints = before })
	endpoints = all
}

// scriptedRouter returns a router with scripted endpoints.
func scriptedRouter(t *testing.T, steps ...step) (*Router, *callerRecorder, *script, *account) {
	t.Helper()
	engine := &site.Engine{Slots: 8, EventTokens: 6}
	table := site.NewTable(site.Configuration{
		Version:  1,
		Services: []site.Service{{Name: "llm", Engine: engine}, {Name: "app"}},
		Routes: []site.Route{
			{Name: "once", Host: "h", PathPrefix: "/once/", Kind: site.KindNonIdempotent, Shares: []site.Share{{Service: "app", Weight: 1}}, Timeout: 200 * time.Millisecond, MaxAttempts: 3},
			{Name: "safe", Host: "h", PathPrefix: "/safe/", Kind: site.KindIdempotent, Shares: []site.Share{{Service: "app", Weight: 1}}, Timeout: 200 * time.Millisecond, MaxAttempts: 2},
			{Name: "chat", Host: "h", PathPrefix: "/chat/", Kind: site.KindStream, Shares: []site.Share{{Service: "llm", Weight: 1}}, Timeout: 200 * time.Millisecond, MaxAttempts: 2, Objective: time.Millisecond},
			{Name: "draft", Host: "h", PathPrefix: "/draft/", Kind: site.KindNonIdempotent, Shares: []site.Share{{Service: "llm", Weight: 1}}, Timeout: 200 * time.Millisecond, MaxAttempts: 1},
			{Name: "look", Host: "h", PathPrefix: "/look/", Kind: site.KindIdempotent, Shares: []site.Share{{Service: "llm", Weight: 1}}, Timeout: 200 * time.Millisecond, MaxAttempts: 1},
			{Name: "resume", Host: "h", PathPrefix: "/resume/", Kind: site.KindStream, Shares: []site.Share{{Service: "llm", Weight: 1}}, Timeout: 200 * time.Millisecond, MaxAttempts: 2, Resumable: true},
		},
		Organisations: []site.Organisation{{Name: "fleet", Keys: []string{"k"}, Prepaid: 10_000}},
	})
	reply, s, funds := &callerRecorder{}, &script{t: t, steps: steps}, &account{}
	r := &Router{
		Site: func() *site.Table { return table }, Directory: reply, Endpoints: s, Funds: funds, Loads: reply, Log: zerolog.Nop(),
		Retries: &Retries{Ratio: 1, Slack: 100, Window: time.Minute, Routers: func() int { return 1 }}, Limits: &route.RateLimits{},
	}
	return r, reply, s, funds
}

// serveOnce sends a request for the path through a router.
func serveOnce(r *Router, path string, reply Reply) {
	r.Serve(context.Background(), &Request{
		ID: "r1", Method: "POST", Host: "h", Path: path, Key: "k", Arrived: time.Now(), Prompt: Prompt{Tokens: 100, MaxOutput: 60},
	}, reply)
}

// serve sends a request for the path through a router with scripted endpoints.
func serve(t *testing.T, path string, steps ...step) (*callerRecorder, *script, *account) {
	t.Helper()
	r, reply, s, funds := scriptedRouter(t, steps...)
	serveOnce(r, path, reply)
	require.Len(t, s.sent, len(steps), "all steps were used")
	require.Zero(t, funds.reserved, "nothing stays reserved")
	return reply, s, funds
}

// TestUnsendableRequestsBlameNoEndpoint guards against an endpoint that is avoided for a while because
// a request could be sent to none.
func TestUnsendableRequestsBlameNoEndpoint(t *testing.T) {
	unsendable := step{err: &Error{Op: "encode", Kind: KindUnsendable, Err: errors.New("line break")}}
	r, reply, s, _ := scriptedRouter(t, unsendable, step{answer: plain(200, "1")}, step{answer: plain(200, "2")})
	serveOnce(r, "/once/x", reply)
	serveOnce(r, "/once/x", reply)
	require.Equal(t, "12", reply.body.String())
	require.NotEqual(t, s.sent[0].Endpoint.ID, s.sent[1].Endpoint.ID)
	require.Equal(t, s.sent[0].Endpoint.ID, s.sent[2].Endpoint.ID, "the first choice is still the same")
}

// TestNonIdempotentRunsAtMostOnce guards against a non-idempotent request that runs twice.
// It is retried only if the endpoint states that it didn't run it, or if no byte was sent;
// after anything else it may have run.
func TestNonIdempotentRunsAtMostOnce(t *testing.T) {
	t.Run("not run", func(t *testing.T) {
		reply, _, _ := serve(t, "/once/x", step{answer: notRun()}, step{answer: plain(200, "ok")})
		require.Equal(t, "ok", reply.body.String())
	})
	t.Run("not sent", func(t *testing.T) {
		reply, _, _ := serve(t, "/once/x", step{err: errNotSent}, step{answer: plain(200, "ok")})
		require.Equal(t, "ok", reply.body.String())
	})
	t.Run("broken before the answer", func(t *testing.T) {
		reply, _, _ := serve(t, "/once/x", step{err: errBroken})
		require.Equal(t, ReasonBroken, reply.refusal.Reason)
	})
	t.Run("broken answer", func(t *testing.T) {
		reply, _, _ := serve(t, "/once/x", step{answer: answer(200, &breakingBody{strings.NewReader("o")}, http.Header{})})
		require.Equal(t, ReasonBroken, reply.refusal.Reason)
		require.Empty(t, reply.body.String())
	})
	t.Run("unsigned answer", func(t *testing.T) {
		reply, _, _ := serve(t, "/once/x", step{answer: unsigned()})
		require.Equal(t, ReasonBroken, reply.refusal.Reason)
	})
	t.Run("endpoint error is passed on", func(t *testing.T) {
		reply, _, _ := serve(t, "/once/x", step{answer: plain(500, "bad")})
		require.Equal(t, 500, reply.status)
	})
}

// TestIdempotentIsTriedAgain checks that an idempotent request is retried, within the
// attempts that the route allows.
func TestIdempotentIsTriedAgain(t *testing.T) {
	t.Run("endpoint error", func(t *testing.T) {
		reply, s, _ := serve(t, "/safe/x", step{answer: plain(500, "bad")}, step{answer: plain(200, "ok")})
		require.Equal(t, "ok", reply.body.String())
		require.NotEqual(t, s.sent[0].Endpoint.ID, s.sent[1].Endpoint.ID)
	})
	t.Run("broken twice", func(t *testing.T) {
		reply, _, _ := serve(t, "/safe/x", step{err: errBroken}, step{err: errBroken})
		require.Equal(t, ReasonBroken, reply.refusal.Reason)
	})
	t.Run("full twice hasn't run", func(t *testing.T) {
		reply, _, _ := serve(t, "/safe/x", step{answer: notRun()}, step{answer: notRun()})
		require.Equal(t, ReasonFull, reply.refusal.Reason)
	})
	t.Run("no answer in time", func(t *testing.T) {
		reply, _, _ := serve(t, "/safe/x", step{wait: true})
		require.Equal(t, ReasonNoAnswer, reply.refusal.Reason)
	})
}

// TestAnswerOfALeavingEndpoint guards against requests that go on to an endpoint although its
// answers say that it is leaving: any answer marks it, whether it is passed on, declines the
// request or is a server error.
func TestAnswerOfALeavingEndpoint(t *testing.T) {
	leaving := func(a *Answer) *Answer {
		a.Leaving = true
		return a
	}
	for name, first := range map[string]*Answer{"passed on": plain(200, "ok"), "declined": notRun(), "server error": plain(500, "no"), "unsigned": unsigned()} {
		t.Run(name, func(t *testing.T) {
			steps := []step{{answer: leaving(first)}}
			if name != "passed on" {
				steps = append(steps, step{answer: plain(200, "ok")})
			}
			reply, s, _ := serve(t, "/safe/x", steps...)
			require.Equal(t, []string{s.sent[0].Endpoint.ID}, reply.leaving)
			require.Equal(t, "ok", reply.body.String())
		})
	}
}

// TestSilentEndpointsAreTheLastResort checks that an endpoint which control considers
// dead is tried after all others, but is tried: control may have lost contact with
// endpoints that routers still reach.
func TestSilentEndpointsAreTheLastResort(t *testing.T) {
	useEndpoints(t,
		&buckthornpin.Endpoint{ID: "dead", Dead: true, Capacity: 8},
		&buckthornpin.Endpoint{ID: "living", Capacity: 8},
		&buckthornpin.Endpoint{ID: "leaving", Leaving: true, Capacity: 8})
	_, s, _ := serve(t, "/safe/x", step{answer: notRun()}, step{answer: plain(200, "ok")})
	require.Equal(t, "living", s.sent[0].Endpoint.ID)
	require.Equal(t, "dead", s.sent[1].Endpoint.ID)
}

// TestStream checks how streams are forwarded, resumed, broken off and charged.
func TestStream(t *testing.T) {
	t.Run("whole", func(t *testing.T) {
		reply, _, funds := serve(t, "/chat/x", step{answer: stream(events("123"))})
		require.Equal(t, events("123"), reply.body.String())
		require.Equal(t, int64(100+3*6), funds.spent)
	})
	t.Run("resumes after the last whole event", func(t *testing.T) {
		reply, s, funds := serve(t, "/resume/x", step{answer: brokenStream(events("12") + "id: 3\nda")}, step{answer: stream(events("34"))})
		require.Equal(t, events("1234"), reply.body.String())
		require.Equal(t, "2", s.sent[1].LastEvent)
		require.Equal(t, int64(100+4*6), funds.spent, "the prompt is charged once")
	})
	t.Run("not resumable", func(t *testing.T) {
		reply, _, funds := serve(t, "/chat/x", step{answer: brokenStream(events("12"))})
		require.True(t, reply.broken)
		require.Equal(t, int64(100+2*6), funds.spent)
	})
	t.Run("ends within an event", func(t *testing.T) {
		reply, _, _ := serve(t, "/chat/x", step{answer: stream(events("1") + "id: 2\nda")})
		require.True(t, reply.broken)
		require.Equal(t, events("1"), reply.body.String())
	})
	t.Run("nothing delivered costs nothing", func(t *testing.T) {
		reply, _, funds := serve(t, "/chat/x", step{err: errBroken})
		require.Equal(t, ReasonBroken, reply.refusal.Reason)
		require.Zero(t, funds.spent)
	})
	t.Run("failure on resuming", func(t *testing.T) {
		reply, _, funds := serve(t, "/resume/x", step{answer: brokenStream(events("12"))}, step{answer: plain(500, "sorry")})
		require.True(t, reply.broken)
		require.Equal(t, events("12"), reply.body.String(), "the failure isn't written into the stream")
		require.Equal(t, int64(100+2*6), funds.spent)
	})
	t.Run("starts over instead of resuming", func(t *testing.T) {
		reply, _, _ := serve(t, "/resume/x", step{answer: brokenStream(events("12"))}, step{answer: stream(events("1234"))})
		require.True(t, reply.broken)
		require.Equal(t, events("12"), reply.body.String(), "no event is delivered twice")
	})
	t.Run("event id that can't be sent back", func(t *testing.T) {
		// No other endpoint is asked to go on: there is one step only.
		for _, id := range []string{"1\rX-Added: 1", "1\x00", "1\xff", ""} {
			event := "id: " + id + "\ndata: a\n\n"
			reply, _, _ := serve(t, "/resume/x", step{answer: brokenStream(event)})
			require.True(t, reply.broken, "%q", id)
			require.Equal(t, event, reply.body.String())
		}
	})
	t.Run("second endpoint fails too", func(t *testing.T) {
		reply, _, _ := serve(t, "/resume/x", step{answer: brokenStream(events("1"))}, step{answer: brokenStream(events("2"))})
		require.True(t, reply.broken)
		require.Equal(t, events("12"), reply.body.String())
	})
}

// TestLastID checks that the latest id is found wherever its line is in an event.
func TestLastID(t *testing.T) {
	cases := map[string]string{
		"id: 1\ndata: x\n\n":                             "1",
		"id:1\ndata: x\n\ndata: y\nid: 2\n\n":            "2",
		"event: e\nid: 7\ndata: id: 9\n\ndata: none\n\n": "7",
		"data: none\n\n":                                 "",
	}
	for events, want := range cases {
		id, ok := lastID([]byte(events))
		require.Equal(t, want != "", ok)
		require.Equal(t, want, id)
	}
}

// TestHasDataAfterLastID checks after which events a stream can't be resumed.
func TestHasDataAfterLastID(t *testing.T) {
	cases := map[string]bool{
		"id: 1\ndata: x\n\n":                             false,
		"data: x\n\n":                                    true,
		"id: 1\ndata: x\n\ndata: y\n\n":                  true,
		"data: x\n\nid: 2\ndata: y\n\n":                  false,
		"id: 1\ndata: x\n\n: keep-alive\n\n":             false,
		"id: 1\ndata: x\n\nevent: e\ndata: y\n\n: c\n\n": true,
		": keep-alive\n\n":                               false,
	}
	for events, want := range cases {
		require.Equal(t, want, hasDataAfterLastID([]byte(events)), events)
	}
}

// TestChargeFollowsTheEndpoint guards against answers of model engines that cost nothing because
// they aren't streams: what is charged doesn't depend on the kind of the route or on the framing.
func TestChargeFollowsTheEndpoint(t *testing.T) {
	const prompt, whole = 100, 160
	scenarios := []struct {
		description string
		answer      func() *Answer
		spent       int64
	}{
		{"plain success", func() *Answer { return plain(200, "ok") }, whole},
		{"plain success with another status", func() *Answer { return plain(201, "ok") }, whole},
		{"empty success", func() *Answer { return plain(204, "") }, prompt},
		{"long plain success", func() *Answer { return plain(200, strings.Repeat("x", 100_000)) }, whole},
		{"plain success of a stream's type with another status", func() *Answer {
			return answer(201, strings.NewReader(events("12")), http.Header{contentType: {eventStream}})
		}, whole},
		{"stream", func() *Answer { return stream(events("123")) }, prompt + 3*6},
		{"stream without events", func() *Answer { return stream("") }, 0},
		{"broken stream", func() *Answer { return brokenStream(events("12")) }, prompt + 2*6},
		{"broken plain answer", func() *Answer { return answer(200, &breakingBody{strings.NewReader("o")}, http.Header{}) }, 0},
		{"client error", func() *Answer { return plain(404, "no") }, 0},
		{"server error", func() *Answer { return plain(500, "no") }, 0},
		{"unsigned", unsigned, 0},
		{"not run", notRun, 0},
	}
	for _, kind := range []string{"chat", "draft", "look"} {
		for _, s := range scenarios {
			t.Run(kind+"/"+s.description, func(t *testing.T) {
				useEndpoints(t, &buckthornpin.Endpoint{ID: "e1", Capacity: 8})
				_, _, funds := serve(t, "/"+kind+"/x", step{answer: s.answer()})
				require.Equal(t, s.spent, funds.spent)
			})
		}
	}
}
