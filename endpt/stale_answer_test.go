package endpt_test

import (
	"fmt"
	"net/http"
	"strconv"
	"testing"

	"github.com/go-faster/errors"
	"github.com/stretchr/testify/require"

	"buckthornpin"
	"buckthornpin/conn"
	"buckthornpin/endpt"
	"buckthornpin/stand"
)

// startRaw starts a raw endpoint that ends with the test, and returns a client for it.
func startRaw(t *testing.T, respond func(r *http.Request, nth int) (string, stand.Ending)) (*stand.RawEndpoint, *endpt.Client) {
	t.Helper()
	e := &stand.RawEndpoint{Respond: respond}
	return e, startClient(t, e)
}

// startClient starts an endpoint that ends with the test, and returns a client for it.
func startClient(t *testing.T, e *stand.RawEndpoint) *endpt.Client {
	t.Helper()
	require.NoError(t, e.Start())
	d := &conn.Dialer{}
	c := &endpt.Client{
		HTTP: d.ExternalClient(), UnpooledHTTP: d.UnpooledClient(), Scheme: "http", Secret: func() string { return "" }, MaxAnswerBytes: 1 << 10,
		RefusesConnections: d.RefusesConnections,
	}
	t.Cleanup(func() {
		c.HTTP.CloseIdleConnections()
		e.Stop()
	})
	return c
}

// newAttempt returns an attempt at a call to a plain service, or to a model engine.
func newAttempt(e *stand.RawEndpoint, id string, number int, target buckthornpin.Target) endpt.Attempt {
	return endpt.Attempt{
		Endpoint: buckthornpin.Endpoint{ID: "e", Address: e.Address(), Incarnation: 1}, RequestID: id, Number: number,
		Request: buckthornpin.Request{Target: target, Method: http.MethodPost, Path: "/x", MaxTokens: 10},
	}
}

// run carries out an attempt and returns its error.
func run(t *testing.T, c *endpt.Client, a endpt.Attempt) error {
	t.Helper()
	if a.Request.Target.Service != "" {
		answer, err := c.Call(t.Context(), a)
		if err == nil {
			require.Equal(t, "ok", string(answer.Body))
		}
		return err
	}
	s, err := c.Chat(t.Context(), a)
	if err != nil {
		return err
	}
	defer s.Close()
	for {
		frame, err := s.Next()
		if err != nil || frame.End {
			return err
		}
	}
}

// echo returns the headers that repeat the id of a request and the number of its attempt.
func echo(id string, attempt int) string {
	return endpt.RequestHeader + ": " + id + "\r\n" + endpt.AttemptHeader + ": " + strconv.Itoa(attempt) + "\r\n"
}

// answered returns a whole answer to a request.
func answered(r *http.Request) string {
	number, _ := strconv.Atoi(r.Header.Get(endpt.AttemptHeader))
	id, body := r.Header.Get(endpt.RequestHeader), "ok"
	if r.URL.Path == endpt.ChatPath {
		body = fmt.Sprintf("id: %d-0-1\ndata: {\"id\":%q}\n\ndata: [DONE]\n\n", number, id)
	}
	return "HTTP/1.1 200 OK\r\n" + echo(id, number) + "Content-Length: " + strconv.Itoa(len(body)) + "\r\n\r\n" + body
}

// refused returns an endpoint's answer that it didn't run a request.
func refused(headers, framing string) string {
	return "HTTP/1.1 503 Full\r\n" + endpt.NotRunHeader + ": true\r\n" + headers + framing
}

func requireKind(t *testing.T, err error, kind endpt.Kind) {
	t.Helper()
	var failure *endpt.Error
	require.True(t, errors.As(err, &failure), "%v", err)
	require.Equal(t, kind, failure.Kind, "%v", err)
}

var targets = map[string]buckthornpin.Target{"engine": {Model: "m"}, "service": {Service: "s"}}

// TestEarlierRefusalIsNotBelieved guards against a request that counts as not run, and runs at
// a second endpoint, because an endpoint wrote an earlier refusal once more on a kept connection.
func TestEarlierRefusalIsNotBelieved(t *testing.T) {
	earlier := map[string]string{"no id": "", "another id": echo("r0", 1), "an earlier attempt of the request": echo("r3", 1)}
	framings := map[string]string{
		"empty": "Content-Length: 0\r\n\r\n", "length": "Content-Length: 4\r\n\r\nfull", "chunks": "Transfer-Encoding: chunked\r\n\r\n4\r\nfull\r\n0\r\n\r\n",
	}
	for name, target := range targets {
		for id, headers := range earlier {
			for framing, rest := range framings {
				t.Run(name+"/"+id+"/"+framing, func(t *testing.T) {
					e, c := startRaw(t, func(r *http.Request, nth int) (string, stand.Ending) {
						if nth == 1 {
							return answered(r), stand.KeepsOpen
						}
						return refused(headers, rest) + answered(r), stand.KeepsOpen
					})
					require.NoError(t, run(t, c, newAttempt(e, "r1", 1, target)))
					require.NoError(t, run(t, c, newAttempt(e, "r2", 1, target)))
					requireKind(t, run(t, c, newAttempt(e, "r3", 2, target)), endpt.KindMismatch)
					require.NoError(t, run(t, c, newAttempt(e, "r4", 1, target)), "the connection isn't used again")
					require.Equal(t, 3, e.Connections(), "the first answer shows that the endpoint repeats ids, then its connections are kept")
				})
			}
		}
	}
}

// TestRefusalsAreBelieved checks that an endpoint which says that it didn't run an attempt is
// believed if it repeats the id, and on a new connection also if it doesn't.
func TestRefusalsAreBelieved(t *testing.T) {
	for name, target := range targets {
		for _, repeatsID := range []bool{true, false} {
			t.Run(fmt.Sprint(name, "/", repeatsID), func(t *testing.T) {
				e, c := startRaw(t, func(r *http.Request, _ int) (string, stand.Ending) {
					headers := ""
					if repeatsID {
						headers = echo(r.Header.Get(endpt.RequestHeader), 1)
					}
					return refused(headers, "Content-Length: 0\r\n\r\n"), stand.KeepsOpen
				})
				for i := range 4 {
					requireKind(t, run(t, c, newAttempt(e, fmt.Sprint("r", i), 1, target)), endpt.KindRefused)
				}
				if !repeatsID {
					require.Equal(t, 4, e.Connections())
				}
			})
		}
	}
}

// TestAnswerOfAnotherCall guards against an answer of a plain service that reaches the caller of
// another request.
func TestAnswerOfAnotherCall(t *testing.T) {
	for name, headers := range map[string]string{"no id": "", "another id": echo("r0", 1)} {
		t.Run(name, func(t *testing.T) {
			e, c := startRaw(t, func(r *http.Request, nth int) (string, stand.Ending) {
				if nth == 1 {
					return answered(r), stand.KeepsOpen
				}
				return "HTTP/1.1 200 OK\r\n" + headers + "Content-Length: 5\r\n\r\nother" + answered(r), stand.KeepsOpen
			})
			for i := range 2 {
				require.NoError(t, run(t, c, newAttempt(e, fmt.Sprint("r", i), 1, targets["service"])))
			}
			requireKind(t, run(t, c, newAttempt(e, "r3", 1, targets["service"])), endpt.KindMismatch)
		})
	}
}
