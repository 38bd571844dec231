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

// scriptedServer answers requests with given bytes and reports the requests that it
// received.
type scriptedServer struct {
	net.Listener
	requests chan string
}

// newScriptedServer answers the n-th request over all connections with the n-th text.
// An empty text closes the connection.
func newScriptedServer(t *testing.T, answers ...string) *scriptedServer {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	s := &scriptedServer{Listener: l, requests: make(chan string, len(answers))}
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

func (s *scriptedServer) serve(c net.Conn, next chan string) {
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

func exchange(t *testing.T, p *Pool, s *scriptedServer, body string) (string, error) {
	t.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
	defer cancel()
	head := []byte("POST /x HTTP/1.1\r\nHost: h\r\nContent-Length: 3\r\n\r\n")
	r, err := p.Exchange(ctx, s.Addr().String(), http.MethodPost, head, textBody(body))
	if err != nil {
		return "", err
	}
	data, err := io.ReadAll(r.Body)
	require.NoError(t, r.Body.Close())
	return string(data), err
}

// textBody is a body that is kept as text.
type textBody string

func (b textBody) Len() int64 { return int64(len(b)) }

func (b textBody) Lend() (net.Buffers, func()) { return net.Buffers{[]byte(b)}, func() {} }

const okAnswer = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok"

// TestPoolReusesCleanConnectionsOnly: a connection is reused only if the answer was
// read whole, nothing follows it and the server keeps the connection open.
func TestPoolReusesCleanConnectionsOnly(t *testing.T) {
	cases := map[string]struct {
		answer string
		idle   int
	}{
		"whole":             {okAnswer, 1},
		"chunked":           {"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\n\r\n", 1},
		"interim first":     {"HTTP/1.1 103 Early Hints\r\n\r\n" + okAnswer, 1},
		"asked to close":    {"HTTP/1.1 200 OK\r\nConnection: close\r\nContent-Length: 2\r\n\r\nok", 0},
		"bytes after it":    {okAnswer + "HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\nmore", 0},
		"idle timeout of 0": {"HTTP/1.1 200 OK\r\nKeep-Alive: timeout=0\r\nContent-Length: 2\r\n\r\nok", 1},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			s, p := newScriptedServer(t, c.answer), &Pool{DialTimeout: time.Second}
			got, err := exchange(t, p, s, "abc")
			require.NoError(t, err)
			require.Equal(t, "ok", got)
			require.Equal(t, c.idle, p.IdleCount(s.Addr().String()))
			p.Sweep(time.Now().Add(time.Hour))
			require.Zero(t, p.IdleCount(s.Addr().String()))
		})
	}
}

// TestPoolSendsNothingTwice: if a connection breaks after the request was written,
// Exchange returns an error that isn't ErrNotSent and doesn't send the request again.
func TestPoolSendsNothingTwice(t *testing.T) {
	s, p := newScriptedServer(t, okAnswer, ""), &Pool{DialTimeout: time.Second}
	_, err := exchange(t, p, s, "one")
	require.NoError(t, err)
	_, err = exchange(t, p, s, "two")
	require.Error(t, err)
	require.NotErrorIs(t, err, ErrNotSent)
	require.Equal(t, "/xone", <-s.requests)
	require.Equal(t, "/xtwo", <-s.requests)
	require.Empty(t, s.requests)
}

// TestPoolRefusedConnection: if the connection is refused, Exchange returns ErrNotSent.
func TestPoolRefusedConnection(t *testing.T) {
	s := newScriptedServer(t)
	require.NoError(t, s.Close())
	_, err := exchange(t, &Pool{DialTimeout: time.Second}, s, "abc")
	require.ErrorIs(t, err, ErrNotSent)
}

// TestPoolTruncatedAnswer: an answer that ends early is an error, never a short answer.
func TestPoolTruncatedAnswer(t *testing.T) {
	for _, a := range []string{
		"HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nok",
		"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nok\r\n",
	} {
		s := newScriptedServer(t, a+"", "")
		ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
		p := &Pool{DialTimeout: time.Second}
		r, err := p.Exchange(ctx, s.Addr().String(), http.MethodPost, []byte("POST /x HTTP/1.1\r\nHost: h\r\nContent-Length: 0\r\n\r\n"), nil)
		require.NoError(t, err)
		cancel()
		_, err = io.ReadAll(r.Body)
		require.Error(t, err)
		require.NoError(t, r.Body.Close())
		require.Zero(t, p.IdleCount(s.Addr().String()))
	}
}
