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

// requireBroken checks that an attempt counts as broken if its answer has a given status and headers,
// and that the connection isn't reused.
func requireBroken(t *testing.T, status, headers string) {
	t.Helper()
	for name, target := range targets {
		for body, length := range map[string]string{"": "Content-Length: 0\r\n", "ok": "Content-Length: 2\r\n"} {
			t.Run(name+"/"+body, func(t *testing.T) {
				e, c := startRaw(t, func(r *http.Request, _ int) (string, stand.Ending) {
					if r.Header.Get(endpt.RequestHeader) != "r2" {
						return answered(r), stand.KeepsOpen
					}
					return "HTTP/1.1 " + status + " X\r\n" + echo("r2", 1) + headers + length + "\r\n" + body, stand.KeepsOpen
				})
				require.NoError(t, run(t, c, newAttempt(e, "r1", 1, target)))
				requireKind(t, run(t, c, newAttempt(e, "r2", 1, target)), endpt.KindBroken)
				before := e.Connections()
				require.NoError(t, run(t, c, newAttempt(e, "r3", 1, target)))
				require.Equal(t, before+1, e.Connections())
			})
		}
	}
}

// TestInvalidStatus guards against an answer with a status that HTTP doesn't define, and against a
// refusal with one that is believed.
func TestInvalidStatus(t *testing.T) {
	for _, status := range []string{"000", "001", "042", "099", "+20", "-00", "101", "600", "999"} {
		for _, headers := range []string{"", endpt.NotRunHeader + ": true\r\n"} {
			t.Run(status+"/"+headers, func(t *testing.T) { requireBroken(t, status, headers) })
		}
	}
}

// TestInvalidFieldName guards against an answer, or a refusal that is believed, in whose head the
// name of a field holds a byte that none may hold.
func TestInvalidFieldName(t *testing.T) {
	for _, line := range []string{
		"X Bad: 1", "X-Bad : 1", "Content-Length : 1", "Transfer-Encoding : chunked", endpt.NotRunHeader + " : true",
		"X\x00Bad: 1", "X\x01Bad: 1", "X\x0bBad: 1", "X\x7fBad: 1", "X-Bad\t: 1", "X(Bad: 1", "X\xe9Bad: 1", ": 1", "no colon",
	} {
		for _, headers := range []string{"", endpt.NotRunHeader + ": true\r\n"} {
			t.Run(fmt.Sprintf("%q/%s", line, headers), func(t *testing.T) { requireBroken(t, "200", headers+line+"\r\n") })
		}
		for name, target := range targets {
			t.Run(fmt.Sprintf("%q/trailer/%s", line, name), func(t *testing.T) {
				e, c := startRaw(t, func(r *http.Request, _ int) (string, stand.Ending) {
					return chunkedAnswer(r, line+"\r\n"), stand.KeepsOpen
				})
				err := run(t, c, newAttempt(e, "r1", 1, target))
				if name == "engine" {
					require.NoError(t, err, "the answer has its end mark")
					return
				}
				requireKind(t, err, endpt.KindBroken)
			})
		}
	}
}

// chunkedAnswer returns a whole answer in chunks, with a trailer.
func chunkedAnswer(r *http.Request, trailer string) string {
	head, body, _ := strings.Cut(answered(r), "\r\n\r\n")
	status, _, _ := strings.Cut(head, "Content-Length")
	return status + "Transfer-Encoding: chunked\r\n\r\n" + fmt.Sprintf("%x\r\n%s\r\n0\r\n%s\r\n", len(body), body, trailer)
}

// TestTrailers checks that an answer with a sound trailer counts.
func TestTrailers(t *testing.T) {
	for name, target := range targets {
		t.Run(name, func(t *testing.T) {
			e, c := startRaw(t, func(r *http.Request, _ int) (string, stand.Ending) {
				return chunkedAnswer(r, "X-Sum: 1\r\n"), stand.KeepsOpen
			})
			require.NoError(t, run(t, c, newAttempt(e, "r1", 1, target)))
		})
	}
}
