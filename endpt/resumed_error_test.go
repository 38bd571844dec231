package endpt_test

import (
	"fmt"
	"net/http"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"

	"buckthornpin/endpt"
	"buckthornpin/stand"
)

// TestErrorsAreNoFrames guards against an error's text in the midst of a caller's stream, and
// against a stream that ends as if it were complete, because the engine that should have resumed
// it answered with something else. No frame may come of such an answer, and no end mark.
func TestErrorsAreNoFrames(t *testing.T) {
	statuses := []string{"200 OK", "204 None", "206 Part", "400 Bad", "404 None", "429 Many", "500 No", "503 Full"}
	contentTypes := []string{"text/event-stream", "application/json", "text/html"}
	bodies := map[string]string{
		"no body": "", "text": `{"error":"no"}`, "event": "data: error\n\n", "event of another request": "id: 2-3-4\ndata: {\"id\":\"r0\"}\n\n",
		"head": "HTTP/1.1 500 No\r\n\r\n",
	}
	framings := map[string]func(body string) string{
		"length": func(body string) string { return fmt.Sprintf("Content-Length: %d\r\n\r\n%s", len(body), body) },
		"chunks": func(body string) string {
			return fmt.Sprintf("Transfer-Encoding: chunked\r\n\r\n%x\r\n%s\r\n0\r\n\r\n", max(len(body), 1), body+strings.Repeat("\n", max(1-len(body), 0)))
		},
		"connection": func(body string) string { return "\r\n" + body },
	}
	for _, status := range statuses {
		for _, contentType := range contentTypes {
			for name, body := range bodies {
				for framing, frame := range framings {
					t.Run(strings.Join([]string{status, contentType, name, framing}, "/"), func(t *testing.T) {
						t.Parallel()
						e, c := startRaw(t, func(r *http.Request, _ int) (string, stand.Ending) {
							return "HTTP/1.1 " + status + "\r\n" + echo(r.Header.Get(endpt.RequestHeader), 2) + "Content-Type: " + contentType + "\r\n" + frame(body), stand.Closes
						})
						a := newAttempt(e, "r1", 2, targets["engine"])
						a.Offset = 3
						s, err := c.Chat(t.Context(), a)
						if err == nil {
							defer s.Close()
							_, err = s.Next()
						}
						require.Error(t, err)
						require.NotErrorIs(t, err, &endpt.Error{Kind: endpt.KindRefused})
					})
				}
			}
		}
	}
}
