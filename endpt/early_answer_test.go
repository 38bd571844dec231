package endpt_test

import (
	"bytes"
	"fmt"
	"net/http"
	"testing"

	"github.com/stretchr/testify/require"

	"buckthornpin/endpt"
	"buckthornpin/stand"
)

// longUpload is a request's body that doesn't fit into the buffers of a connection, so that an
// endpoint which answers early does so while the body is still being written.
var longUpload = bytes.Repeat([]byte("x"), 12<<20)

// runEarly sends a long upload to an endpoint that answers once it has read some bytes of it, and
// returns the attempt's error.
func runEarly(t *testing.T, after int64, target string, rest func(body string) string, end stand.Ending) error {
	t.Helper()
	e := &stand.RawEndpoint{AnswersEarly: true, EarlyBytes: after}
	e.Respond = func(*http.Request, int) (string, stand.Ending) {
		body := "ok"
		if target == "engine" {
			body = "id: 1-0-1\ndata: {\"id\":\"r1\"}\n\ndata: [DONE]\n\n"
		}
		return "HTTP/1.1 200 OK\r\n" + echo("r1", 1) + rest(body), end
	}
	c := startClient(t, e)
	a := newAttempt(e, "r1", 1, targets[target])
	a.Request.Body = longUpload
	return run(t, c, a)
}

// TestEarlyAnswerThatIsReset guards against a part of an answer of a plain service that counts as
// whole, because the write of a long upload got the reset of the connection.
func TestEarlyAnswerThatIsReset(t *testing.T) {
	endings := map[string]stand.Ending{"reset": stand.Resets, "closed with unread bytes": stand.Closes, "reset behind its end": stand.HalfClosesThenResets}
	for _, after := range []int64{0, 100 << 10} {
		for name, end := range endings {
			for n := range 4 {
				t.Run(fmt.Sprintf("%d/%s/%d", after, name, n), func(t *testing.T) {
					t.Parallel()
					err := runEarly(t, after, "service", func(body string) string { return "\r\n" + body }, end)
					requireKind(t, err, endpt.KindBroken)
				})
			}
		}
	}
}

// TestEarlyAnswerThatIsWhole checks that an answer to a long upload counts though it came before
// the upload had ended, if the endpoint says where it ends, also if it then closes the connection
// with unread bytes, or if it reads on after its end.
func TestEarlyAnswerThatIsWhole(t *testing.T) {
	framings := map[string]struct {
		rest    func(body string) string
		endings []stand.Ending
	}{
		"length": {func(body string) string { return fmt.Sprintf("Content-Length: %d\r\n\r\n%s", len(body), body) },
			[]stand.Ending{stand.KeepsOpen, stand.Closes, stand.HalfCloses}},
		"chunks": {func(body string) string {
			return fmt.Sprintf("Transfer-Encoding: chunked\r\n\r\n%x\r\n%s\r\n0\r\n\r\n", len(body), body)
		},
			[]stand.Ending{stand.KeepsOpen, stand.Closes, stand.HalfCloses}},
		"connection": {func(body string) string { return "\r\n" + body }, []stand.Ending{stand.HalfCloses, stand.HalfClosesThenWaits}},
	}
	for framing, f := range framings {
		for target := range targets {
			for _, end := range f.endings {
				t.Run(fmt.Sprintf("%s/%s/%d", framing, target, end), func(t *testing.T) {
					t.Parallel()
					require.NoError(t, runEarly(t, 100<<10, target, f.rest, end))
				})
			}
		}
	}
}
