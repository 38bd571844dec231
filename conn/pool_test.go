package conn

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// scripted serves connections that answer with given bytes, and tells what came.
type scripted struct {
	net.Listener
	requests chan string
}

// newScripted answers the n-th request of all connections with the n-th text; an
// empty one closes the connection.
func newScripted(t *testing.T, answers ...string) *scripted {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	s := &scripted{Listener: l, requests: make(chan string, len(answers))}
	next := make(chan string, len(answers))
	for _, a := range answers {
		next <- a
	}
	t.Cleanup(func() { _ = l.Close() })
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go s.serve(c, next)
		}
	}()
	return s
}

func (s *scripted) serve(c net.Conn, next chan string) {
	defer func() { _ = c.Close() }()
	br := bufio.NewReader(c)
	for {
		r, err := http.ReadRequest(br)
		if err != nil {
			return
		}
		body, _ := io.ReadAll(r.Body)
		s.requests <- r.URL.Path + string(body)
		a := <-next
		if a == "" {
			return
		}
		_, _ = io.WriteString(c, a)
	}
}

func exchange(t *testing.T, p *Pool, s *scripted, body string) (string, error) {
	t.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
	defer cancel()
	head := []byte("POST /x HTTP/1.1\r\nHost: h\r\nContent-Length: 3\r\n\r\n")
	r, err := p.Exchange(ctx, s.Addr().String(), http.MethodPost, head, []byte(body))
	if err != nil {
		return "", err
	}
	data, err := io.ReadAll(r.Body)
	require.NoError(t, r.Body.Close())
	return string(data), err
}

const ok = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok"

// TestPoolReusesCleanConnectionsOnly covers what may stand behind an answer.
func TestPoolReusesCleanConnectionsOnly(t *testing.T) {
	cases := map[string]struct {
		answer string
		idle   int
	}{
		"whole":                {ok, 1},
		"chunked":              {"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\n\r\n", 1},
		"interim first":        {"HTTP/1.1 103 Early Hints\r\n\r\n" + ok, 1},
		"asked to close":       {"HTTP/1.1 200 OK\r\nConnection: close\r\nContent-Length: 2\r\n\r\nok", 0},
		"bytes behind it":      {ok + "HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\nmore", 0},
		"idle time of a blink": {"HTTP/1.1 200 OK\r\nKeep-Alive: timeout=0\r\nContent-Length: 2\r\n\r\nok", 1},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			s, p := newScripted(t, c.answer), &Pool{DialTimeout: time.Second}
			got, err := exchange(t, p, s, "abc")
			require.NoError(t, err)
			require.Equal(t, "ok", got)
			require.Equal(t, c.idle, p.Idle(s.Addr().String()))
			p.Sweep(time.Now().Add(time.Hour))
			require.Zero(t, p.Idle(s.Addr().String()))
		})
	}
}

// TestPoolSendsNothingTwice: a connection that breaks after the request was
// written is an error that isn't ErrNotSent, and there is no second request.
func TestPoolSendsNothingTwice(t *testing.T) {
	s, p := newScripted(t, ok, ""), &Pool{DialTimeout: time.Second}
	_, err := exchange(t, p, s, "one")
	require.NoError(t, err)
	_, err = exchange(t, p, s, "two")
	require.Error(t, err)
	require.NotErrorIs(t, err, ErrNotSent)
	require.Equal(t, "/xone", <-s.requests)
	require.Equal(t, "/xtwo", <-s.requests)
	require.Empty(t, s.requests)
}

// TestPoolRefusedConnection: nothing has left where nobody listens.
func TestPoolRefusedConnection(t *testing.T) {
	s := newScripted(t)
	require.NoError(t, s.Close())
	_, err := exchange(t, &Pool{DialTimeout: time.Second}, s, "abc")
	require.ErrorIs(t, err, ErrNotSent)
}

// TestPoolCutAnswer: an answer that ends early is an error, never a short answer.
func TestPoolCutAnswer(t *testing.T) {
	for _, a := range []string{
		"HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nok",
		"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nok\r\n",
	} {
		s := newScripted(t, a+"", "")
		ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
		p := &Pool{DialTimeout: time.Second}
		r, err := p.Exchange(ctx, s.Addr().String(), http.MethodPost, []byte("POST /x HTTP/1.1\r\nHost: h\r\nContent-Length: 0\r\n\r\n"), nil)
		require.NoError(t, err)
		cancel()
		_, err = io.ReadAll(r.Body)
		require.Error(t, err)
		require.NoError(t, r.Body.Close())
		require.Zero(t, p.Idle(s.Addr().String()))
	}
}
