package ctrl

import (
	"context"
	"net"
	"net/http"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/rs/zerolog"
	"github.com/stretchr/testify/require"

	"buckthornpin/conn"
	"buckthornpin/event"
	"buckthornpin/peer"
	"buckthornpin/site"
	"buckthornpin/stand"
	"buckthornpin/wire"
)

// applyBound is the strictest limit of a site on the time until a change is in force.
const applyBound = 2 * time.Second

// hangingLeader answers the first Sync call and none after it.
type hangingLeader struct {
	wire.UnimplementedControlHandler
	calls atomic.Int64
}

// Sync implements wire.ControlHandler.
func (l *hangingLeader) Sync(ctx context.Context, _ *wire.SyncRequest) (*wire.SyncReply, error) {
	if l.calls.Add(1) > 1 {
		<-ctx.Done()
		return nil, ctx.Err()
	}
	return &wire.SyncReply{Revision: 1, Site: &wire.SiteState{Version: 1}}, nil
}

// testRouter is a router that follows control and exchanges configurations with others.
type testRouter struct {
	mirror *SiteMirror
	mesh   *peer.Mesh
}

func newTestRouter(t *testing.T, n *stand.Network, address string) testRouter {
	t.Helper()
	dialer := &conn.Dialer{Dial: func(ctx context.Context, to string) (net.Conn, error) { return n.Dial(ctx, nil, to) }}
	client := dialer.InternalClient()
	t.Cleanup(client.CloseIdleConnections)
	m := &SiteMirror{
		Client: &Client{Addresses: []string{"control:80"}, HTTP: client, Scheme: "http"}, Router: address, Log: zerolog.Nop(),
		Decode: func(*wire.SiteState) (site.Configuration, error) { return site.Configuration{}, nil },
	}
	out := testRouter{mirror: m, mesh: &peer.Mesh{
		Nodes:     &peer.Nodes{Self: peer.Node{VM: address, Address: address, Incarnation: 1}, AliveFor: time.Minute, ForgetAfter: time.Hour},
		Directory: &peer.Directory{Events: &event.Timeline{VM: address, Clock: &event.Clock{}}, DeadAfter: time.Hour, Addresses: func() []string { return nil }},
		HTTP:      client, Scheme: "http", Seeds: func() []string { return []string{"router-1:80", "router-2:80"} }, Site: m, Log: zerolog.Nop(),
	}}
	out.mesh.Open()
	mux := http.NewServeMux()
	out.mesh.Register(mux)
	serve(t, n, address, mux)
	return out
}

func serve(t *testing.T, n *stand.Network, address string, h http.Handler) {
	t.Helper()
	s := n.Serve(address, nil, h)
	t.Cleanup(func() { _ = s.Close() })
}

// TestConfigurationPassesAHangingLeader guards against a change that isn't in force in
// time at a router whose leader hangs, although another router has received it from
// another leader.
func TestConfigurationPassesAHangingLeader(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, stop := context.WithCancel(t.Context())
		var n stand.Network
		mux := http.NewServeMux()
		mux.Handle(wire.NewControlHandler(&hangingLeader{}))
		serve(t, &n, "control:80", mux)
		follower, other := newTestRouter(t, &n, "router-1:80"), newTestRouter(t, &n, "router-2:80")
		ended := make(chan error, 3)
		go func() { ended <- follower.mirror.Run(ctx) }()
		go func() { ended <- follower.mesh.Run(ctx) }()
		go func() { ended <- other.mesh.Run(ctx) }()
		time.Sleep(time.Second / 2)
		require.Equal(t, int64(1), follower.mirror.Version())

		other.mirror.ApplyIfNewer(&wire.SiteState{Version: 2})
		time.Sleep(applyBound)
		require.Equal(t, int64(2), follower.mirror.Version())
		stop()
		for range cap(ended) {
			require.NoError(t, <-ended)
		}
	})
}

// TestMirrorVersionOnlyRises: in whichever order versions arrive from control and other
// routers, a router never goes back to an older one, and different content under the
// version that it holds changes nothing.
func TestMirrorVersionOnlyRises(t *testing.T) {
	m := &SiteMirror{Log: zerolog.Nop(), Decode: func(s *wire.SiteState) (site.Configuration, error) {
		return site.Configuration{Routes: []site.Route{{Name: string(s.GetDocument()), Host: "h", PathPrefix: "/"}}}, nil
	}}
	deliver := func(version int64, document string) {
		m.ApplyIfNewer(&wire.SiteState{Version: version, Document: []byte(document)})
	}
	for _, step := range []struct {
		version  int64
		received string
		held     string
	}{
		{3, "three", "three"},
		{2, "two", "three"},
		{3, "other content", "three"},
		{7, "seven", "seven"},
		{3, "three", "seven"},
	} {
		deliver(step.version, step.received)
		require.Equal(t, step.held, m.Table().Route("h", "/").Name)
	}
	require.Nil(t, m.NewerThan(7))
	require.Equal(t, int64(7), m.NewerThan(6).GetVersion())
}
