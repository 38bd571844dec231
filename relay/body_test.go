package relay

import (
	"context"
	"io"
	"net/http"
	"os"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"buckthornpin/memory"
)

const testBodyBytes = 3 << 20

// withBody gives a router an account and returns a request with a large body for a path.
func withBody(t *testing.T, r *Router, path string) *Request {
	t.Helper()
	r.Memory = &memory.Account{Size: 40 << 20}
	body, err := r.Memory.NewBody("fleet", testBodyBytes, testBodyBytes)
	require.NoError(t, err)
	_, err = body.ReadFrom(io.LimitReader(&endlessBody{}, testBodyBytes))
	require.NoError(t, err)
	return &Request{
		ID: "r1", Method: "POST", Host: "h", Path: path, Key: "k", Body: body, Arrived: time.Now(), Prompt: Prompt{Tokens: 100, MaxOutput: 60},
	}
}

// TestBodyIsReleasedAtEachEnd guards against room that a request keeps after its end, in any of
// the ways in which it can end.
func TestBodyIsReleasedAtEachEnd(t *testing.T) {
	broken := func() step { return step{answer: brokenStream(events("12"))} }
	ends := map[string]struct {
		path  string
		steps []step
	}{
		"answered":                        {"/safe/x", []step{{answer: plain(200, "ok")}}},
		"answered on the second endpoint": {"/safe/x", []step{{err: errBroken}, {answer: plain(200, "ok")}}},
		"answered after a refusal":        {"/once/x", []step{{answer: notRun()}, {answer: plain(200, "ok")}}},
		"endpoint's error":                {"/once/x", []step{{answer: plain(500, "no")}}},
		"endpoint's error twice":          {"/safe/x", []step{{answer: plain(500, "no")}, {answer: plain(500, "no")}}},
		"unsigned":                        {"/once/x", []step{{answer: unsigned()}}},
		"nothing is sent":                 {"/safe/x", []step{{err: errNotSent}, {err: errNotSent}, {err: errNotSent}}},
		"broken before the answer":        {"/once/x", []step{{err: errBroken}}},
		"refused by all":                  {"/once/x", []step{{answer: notRun()}, {answer: notRun()}, {answer: notRun()}}},
		"timeout":                         {"/safe/x", []step{{wait: true}}},
		"stream":                          {"/chat/x", []step{{answer: stream(events("123"))}}},
		"stream broken off":               {"/chat/x", []step{broken()}},
		"stream broken off at once":       {"/chat/x", []step{{answer: brokenStream("")}}},
		"stream resumed":                  {"/resume/x", []step{broken(), {answer: stream(events("34"))}}},
		"stream broken off twice":         {"/resume/x", []step{broken(), {answer: brokenStream(events("34"))}}},
		"no route":                        {"/nowhere/x", nil},
	}
	for name, e := range ends {
		t.Run(name, func(t *testing.T) {
			r, reply, s, _ := scriptedRouter(t, e.steps...)
			r.Serve(context.Background(), withBody(t, r, e.path), reply)
			require.Len(t, s.sent, len(e.steps))
			require.Zero(t, r.Memory.Usage().Held)
		})
	}
	t.Run("unknown key", func(t *testing.T) {
		r, reply, _, _ := scriptedRouter(t)
		q := withBody(t, r, "/safe/x")
		q.Key = "other"
		r.Serve(context.Background(), q, reply)
		require.Equal(t, ReasonUnknownKey, reply.refusal.Reason)
		require.Zero(t, r.Memory.Usage().Held)
	})
}

// watchedBody calls seen before its content is read.
type watchedBody struct {
	io.Reader
	seen func()
}

func (b *watchedBody) Read(p []byte) (int, error) {
	b.seen()
	return b.Reader.Read(p)
}

// TestBodyIsHeldWhileItMayBeSentAgain guards against a router whose memory is taken by the bodies
// of all requests in progress: once an endpoint answers, a body is kept only if another attempt is
// allowed, and that of a stream yields to others.
func TestBodyIsHeldWhileItMayBeSentAgain(t *testing.T) {
	cases := map[string]struct {
		path   string
		before []step
		stream bool
		held   int64
		spare  int64
	}{
		"not repeatable":                       {"/once/x", nil, false, 0, 0},
		"not repeatable, second endpoint":      {"/once/x", []step{{answer: notRun()}}, false, 0, 0},
		"repeatable":                           {"/safe/x", nil, false, testBodyBytes, 0},
		"repeatable, last attempt":             {"/safe/x", []step{{err: errBroken}}, false, 0, 0},
		"stream":                               {"/chat/x", nil, true, 0, 0},
		"resumable stream":                     {"/resume/x", nil, true, testBodyBytes, testBodyBytes},
		"resumable stream, last attempt":       {"/resume/x", []step{{err: errBroken}}, true, 0, 0},
		"resumable route, not an event stream": {"/resume/x", nil, false, testBodyBytes, 0},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			content, header := "ok", http.Header{}
			if c.stream {
				content, header = events("12"), http.Header{contentType: {eventStream}}
			}
			var r *Router
			var seen []memory.Usage
			last := answer(200, &watchedBody{strings.NewReader(content), func() { seen = append(seen, r.Memory.Usage()) }}, header)
			r, reply, _, _ := scriptedRouter(t, append(c.before, step{answer: last})...)
			r.Serve(context.Background(), withBody(t, r, c.path), reply)
			require.Equal(t, content, reply.body.String())
			require.Equal(t, c.held, seen[0].Uses[memory.UseBody.String()])
			require.Equal(t, c.spare, seen[0].Spare)
		})
	}
}

// TestDroppedBodyIsNotResumed checks that a stream whose body yielded to others ends at the caller
// as broken off, and isn't sent to an endpoint with another body.
func TestDroppedBodyIsNotResumed(t *testing.T) {
	var r *Router
	takeAll := func() {
		for n := range 8 {
			_, _ = r.Memory.NewBody(string(rune('a'+n)), 4<<20, 4<<20)
		}
	}
	body := io.MultiReader(strings.NewReader(events("12")), &watchedBody{&breakingBody{strings.NewReader("")}, takeAll})
	r, reply, s, funds := scriptedRouter(t, step{answer: answer(200, body, http.Header{contentType: {eventStream}})})
	r.Serve(context.Background(), withBody(t, r, "/resume/x"), reply)
	require.Equal(t, int64(1), r.Memory.Usage().Dropped)
	require.True(t, reply.broken)
	require.Equal(t, events("12"), reply.body.String())
	require.Len(t, s.sent, 1)
	require.Zero(t, funds.reserved)
}

// TestAdmissionTakesRoom checks what is decided about a request before its body is read.
func TestAdmissionTakesRoom(t *testing.T) {
	const limit = 4 << 20
	arrivalOf := func(path, key string, length int64) Arrival {
		q := &Request{ID: "r1", Host: "h", Path: path, Key: key, Deadline: time.Now().Add(600 * time.Millisecond)}
		return Arrival{Request: q, ContentLength: length, MaxBodyBytes: limit, At: time.Now()}
	}
	router := func(t *testing.T) *Router {
		r, _, _, _ := scriptedRouter(t)
		r.Memory = &memory.Account{Size: 16 << 20}
		return r
	}
	t.Run("large body", func(t *testing.T) {
		r := router(t)
		v := arrivalOf("/safe/x", "k", limit)
		a := r.Admit(v)
		require.False(t, a.Refused)
		require.Equal(t, int64(limit+requestBytes), r.Memory.Usage().Held)
		require.Equal(t, bodyPace, a.Pace)
		v.Request.Release()
		require.Zero(t, r.Memory.Usage().Held)
	})
	t.Run("no body", func(t *testing.T) {
		v := arrivalOf("/safe/x", "k", 0)
		require.False(t, router(t).Admit(v).Refused)
		require.Nil(t, v.Request.Body)
	})
	t.Run("no room", func(t *testing.T) {
		r := router(t)
		for range 2 {
			require.False(t, r.Admit(arrivalOf("/safe/x", "k", limit)).Refused)
		}
		a := r.Admit(arrivalOf("/safe/x", "k", limit))
		require.True(t, a.Refused)
		require.Equal(t, ReasonMemory, a.Refusal.Reason)
		require.True(t, a.Elsewhere)
		require.LessOrEqual(t, a.Refusal.RetryAfter, 200*time.Millisecond, "a third of the caller's time")
		require.Positive(t, a.Refusal.RetryAfter)
		require.Equal(t, int64(2*(limit+requestBytes)), r.Memory.Usage().Held)
		require.False(t, r.Admit(arrivalOf("/safe/x", "k", 4<<10)).Refused, "small requests are served")
		require.Equal(t, int64(1), r.metrics.outcomes[string(ReasonMemory)])
	})
	for name, c := range map[string]struct {
		v         Arrival
		reason    Reason
		elsewhere bool
	}{
		"no route":    {arrivalOf("/nowhere/x", "k", limit), ReasonNoRoute, false},
		"unknown key": {arrivalOf("/safe/x", "other", limit), ReasonUnknownKey, false},
		"too large":   {arrivalOf("/safe/x", "k", limit+1), ReasonTooLarge, true},
	} {
		t.Run(name, func(t *testing.T) {
			r := router(t)
			a := r.Admit(c.v)
			require.True(t, a.Refused)
			require.Equal(t, c.reason, a.Refusal.Reason)
			require.Equal(t, c.elsewhere, a.Elsewhere)
			require.Zero(t, r.Memory.Usage().Held)
		})
	}
}

// TestUnreadableBody checks the reasons for which an admitted request is refused when its body
// can't be read.
func TestUnreadableBody(t *testing.T) {
	for reason, err := range map[Reason]error{
		ReasonTooLarge: memory.ErrTooLong, ReasonMemory: memory.ErrFull, ReasonSlowBody: os.ErrDeadlineExceeded, ReasonBadRequest: io.ErrUnexpectedEOF,
	} {
		r, _, _, _ := scriptedRouter(t)
		require.Equal(t, reason, r.RefuseBody(&Request{}, err).Reason)
		require.Equal(t, int64(1), r.metrics.outcomes[string(reason)])
	}
}
