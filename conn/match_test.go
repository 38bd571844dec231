package conn

import (
	"bytes"
	"context"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// TestAnswerTo checks which of the answers on a connection is taken as that to the request "now",
// on a new connection and on one that has carried an exchange, and whether it is kept.
func TestAnswerTo(t *testing.T) {
	answer := func(id, body string) string {
		if id != "" {
			id = "Id: " + id + "\r\n"
		}
		return "HTTP/1.1 200 OK\r\n" + id + "Content-Length: 3\r\n\r\n" + body
	}
	now, other, without := answer("now", "now"), answer("old", "old"), answer("", "non")
	scenarios := []struct {
		description, text string
		reused            bool
		body              string
		kept              bool
	}{
		{"its own", now, false, "now", true},
		{"its own, kept connection", now, true, "now", true},
		{"behind another", other + now, true, "now", true},
		{"behind two others", other + other + now, false, "now", true},
		{"without an id", without, false, "non", false},
		{"behind one without an id, kept connection", without + now, true, "now", true},
		{"only one without an id, kept connection", without, true, "", false},
		{"only others", other + other + other + other + now, true, "", false},
	}
	for _, s := range scenarios {
		t.Run(s.description, func(t *testing.T) {
			text := s.text
			if s.reused {
				text = okAnswer + text
			}
			c := &scriptedConn{data: bytes.NewReader([]byte(text)), step: len(text)}
			if s.reused {
				c.step = len(okAnswer)
			}
			p := &Pool{DialTimeout: time.Second, Dial: func(context.Context, string) (net.Conn, error) { return c, nil }}
			exchange := func() *Response {
				r, err := p.Exchange(t.Context(), "endpoint", http.MethodGet, []byte("GET /x HTTP/1.1\r\n\r\n"), nil)
				require.NoError(t, err)
				return r
			}
			if s.reused {
				first := exchange()
				_, err := io.ReadAll(first.Body)
				require.NoError(t, err)
				require.NoError(t, first.Body.Close())
			}
			r, err := exchange().AnswerTo("now", "Id", http.MethodGet)
			if s.body == "" {
				require.Error(t, err)
				require.Zero(t, p.IdleCount("endpoint"))
				return
			}
			require.NoError(t, err)
			body, err := io.ReadAll(r.Body)
			require.NoError(t, err)
			require.Equal(t, s.body, string(body))
			require.NoError(t, r.Body.Close())
			require.Equal(t, s.kept, p.IdleCount("endpoint") == 1)
		})
	}
}
