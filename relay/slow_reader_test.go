package relay_test

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"testing"
	"testing/synctest"
	"time"

	"github.com/rs/zerolog"
	"github.com/stretchr/testify/require"

	"buckthornpin"
	"buckthornpin/conn"
	"buckthornpin/memory"
	platf "buckthornpin/platform"
	"buckthornpin/relay"
	"buckthornpin/route"
	"buckthornpin/site"
	"buckthornpin/stand"
)

// slowReaderSite is a router with one endpoint, and a caller that doesn't read its answer.
type slowReaderSite struct {
	network  stand.Network
	router   *relay.Router
	reserved int64
	closers  []io.Closer
}

const (
	slowReaderTimeout = 4 * time.Second
	// longAnswer is the size of an answer that no window holds.
	longAnswer = 2 << 20
)

// Serving implements relay.Directory.
func (s *slowReaderSite) Serving(buckthornpin.Target) []*buckthornpin.Endpoint {
	return []*buckthornpin.Endpoint{{ID: "e", Address: "endpoint:80", Services: []string{"s"}, Capacity: 8, Incarnation: 1}}
}

// MarkLeaving implements relay.Directory.
func (s *slowReaderSite) MarkLeaving(string, int64) {}

// Others implements relay.Loads.
func (s *slowReaderSite) Others(string) route.Load { return route.Load{} }

// LoadChanged implements relay.Loads.
func (s *slowReaderSite) LoadChanged() {}

// Reserve implements relay.Funds.
func (s *slowReaderSite) Reserve(_ context.Context, _ string, tokens int64) buckthornpin.ReservationResult {
	s.reserved += tokens
	return buckthornpin.ReservationResult{Coverage: buckthornpin.Covered}
}

// Settle implements relay.Funds.
func (s *slowReaderSite) Settle(_ string, reserved, _ int64) { s.reserved -= reserved }

// endpoint answers with more than the caller's window holds, as a stream or not.
func (s *slowReaderSite) endpoint(w http.ResponseWriter, r *http.Request) {
	_, _ = io.Copy(io.Discard, r.Body)
	platf.EncodeEndpointAnswer(w.Header(), platf.DecodeEndpointRequest(r.Header).ID, "seal", false)
	if r.URL.Path != "/stream/x" {
		_, _ = w.Write(bytes.Repeat([]byte("a"), longAnswer))
		return
	}
	w.Header().Set("Content-Type", "text/event-stream")
	for n := 1; n <= longAnswer>>10; n++ {
		if _, err := fmt.Fprintf(w, "id: %d\ndata: %s\n\n", n, bytes.Repeat([]byte("a"), 1000)); err != nil {
			return
		}
	}
}

func (s *slowReaderSite) open() {
	shares := []site.Share{{Service: "s", Weight: 1}}
	c := site.Configuration{
		Version: 1, Services: []site.Service{{Name: "s", Engine: &site.Engine{Slots: 8, EventTokens: 1}}},
		Organisations: []site.Organisation{{Name: "o", Keys: []string{"k"}, Prepaid: 1 << 30}},
	}
	for path, kind := range map[string]site.Kind{"/stream/": site.KindStream, "/plain/": site.KindIdempotent} {
		c.Routes = append(c.Routes, site.Route{Name: path, Host: "h", PathPrefix: path, Kind: kind, Timeout: slowReaderTimeout, MaxAttempts: 1, Shares: shares})
	}
	table := site.NewTable(c)
	s.router = &relay.Router{
		Site: func() *site.Table { return table }, Directory: s, Loads: s, Funds: s, Limits: &route.RateLimits{}, Log: zerolog.Nop(),
		Memory: &memory.Account{Size: 40 << 20},
		Endpoints: &platf.Endpoints{Pool: &conn.Pool{
			DialTimeout: time.Second, Dial: func(ctx context.Context, to string) (net.Conn, error) { return s.network.Dial(ctx, nil, to) },
		}},
		Retries: &relay.Retries{Ratio: 1, Slack: 100, Window: time.Minute, Routers: func() int { return 1 }},
	}
	s.router.Open()
	s.closers = append(s.closers, s.network.Serve("endpoint:80", nil, http.HandlerFunc(s.endpoint)))
	s.closers = append(s.closers, s.network.Serve("callers", nil, &platf.Ingress{Router: meshedRouter{s.router}, MaxBodyBytes: func() int64 { return 1 << 20 }}))
}

// running returns the number of requests that count as running at the endpoint.
func (s *slowReaderSite) running() int { return s.router.OwnLoads()["e"].Running }

// TestCallerThatDoesNotRead guards against a caller that keeps memory, budget and a place at an
// endpoint for as long as it likes, because it doesn't read its answer. A place is kept while the
// endpoint works, and nothing for long after the route's timeout.
func TestCallerThatDoesNotRead(t *testing.T) {
	for _, path := range []string{"/plain/x", "/stream/x"} {
		t.Run(path, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				s := &slowReaderSite{}
				ctx, stop := context.WithCancel(t.Context())
				s.open()
				c, err := s.network.Dial(ctx, nil, "callers")
				require.NoError(t, err)
				r, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://h"+path, bytes.NewReader(make([]byte, 500_000)))
				require.NoError(t, err)
				platf.EncodeCallerRequest(r.Header, relay.Request{ID: "r", Key: "k", Prompt: relay.Prompt{Tokens: 10, MaxOutput: 10_000}})
				require.NoError(t, r.Write(c))
				time.Sleep(2 * time.Second)
				require.Equal(t, int64(1), s.router.InProgress())
				if path == "/plain/x" {
					require.Zero(t, s.running(), "the endpoint has done its work")
				}
				time.Sleep(slowReaderTimeout + 4*time.Second)
				require.Zero(t, s.router.InProgress())
				require.Zero(t, s.running())
				require.Zero(t, s.router.Memory.Usage().Held)
				require.Zero(t, s.reserved)
				stop()
				_ = c.Close()
				for _, closer := range s.closers {
					_ = closer.Close()
				}
				time.Sleep(time.Minute)
			})
		})
	}
}
