package endpt_test

import (
	"net/http"
	"testing"

	"github.com/stretchr/testify/require"

	"buckthornpin/endpt"
	"buckthornpin/stand"
)

// requireBroken checks that a head, which is followed by a body, isn't taken as that of an answer,
// and that its connection isn't used again.
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

// TestStatusThatHTTPDoesNotHave guards against an answer, or a refusal that is believed, with a
// status that is none.
func TestStatusThatHTTPDoesNotHave(t *testing.T) {
	for _, status := range []string{"000", "001", "042", "099", "+20", "-00", "101", "600", "999"} {
		for _, headers := range []string{"", endpt.NotRunHeader + ": true\r\n"} {
			t.Run(status+"/"+headers, func(t *testing.T) { requireBroken(t, status, headers) })
		}
	}
}
