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

// TestAnswersThatAreCutOff guards against a caller that gets a success with an empty or short
// body, because an endpoint stopped in the midst of its answer's head or body and closed the
// connection.
func TestAnswersThatAreCutOff(t *testing.T) {
	answers := map[string]string{
		"length": "Content-Length: 2\r\n\r\nok", "chunks": "Transfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\n\r\n", "connection": "\r\nx",
	}
	for framing, rest := range answers {
		whole := "HTTP/1.1 200 OK\r\n" + echo("r1", 1) + "Content-Type: text/event-stream\r\n" + rest
		for name, target := range targets {
			for _, end := range []stand.Ending{stand.Closes, stand.Resets} {
				for at := range whole {
					t.Run(fmt.Sprintf("%s/%s/%v/%d", framing, name, end == stand.Resets, at), func(t *testing.T) {
						t.Parallel()
						e, c := startRaw(t, func(*http.Request, int) (string, stand.Ending) { return whole[:at], end })
						requireKind(t, run(t, c, newAttempt(e, "r1", 1, target)), endpt.KindBroken)
					})
				}
			}
		}
	}
}

// TestCallsWithoutALength checks that an answer of a plain service that ends with its connection
// is passed on if its endpoint goes on, or is leaving, and isn't if the endpoint's process has
// ended.
func TestCallsWithoutALength(t *testing.T) {
	for headers, whole := range map[string]map[stand.Ending]bool{
		"":                                 {stand.Closes: true, stand.Crashes: false},
		endpt.LeavingHeader + ": true\r\n": {stand.Closes: true, stand.Crashes: true},
	} {
		for end, want := range whole {
			t.Run(fmt.Sprint(strings.TrimSpace(headers), "/", want), func(t *testing.T) {
				e, c := startRaw(t, func(*http.Request, int) (string, stand.Ending) {
					return "HTTP/1.1 200 OK\r\n" + echo("r1", 1) + headers + "\r\nok", end
				})
				require.Equal(t, want, run(t, c, newAttempt(e, "r1", 1, targets["service"])) == nil)
			})
		}
	}
}

// TestEmptyCalls checks that an answer without a body is passed on if its head says so.
func TestEmptyCalls(t *testing.T) {
	for _, head := range []string{"200 OK\r\nContent-Length: 0\r\n", "204 None\r\n"} {
		e, c := startRaw(t, func(*http.Request, int) (string, stand.Ending) {
			return "HTTP/1.1 " + head + echo("r1", 1) + "\r\n", stand.KeepsOpen
		})
		a, err := c.Call(t.Context(), newAttempt(e, "r1", 1, targets["service"]))
		require.NoError(t, err)
		require.Empty(t, a.Body)
	}
}
