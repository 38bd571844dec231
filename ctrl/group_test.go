package ctrl

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"path/filepath"
	"sync"
	"testing"
	"time"

	"github.com/rs/zerolog"
	"github.com/stretchr/testify/require"

	"buckthornpin"
	"buckthornpin/conn"
	"buckthornpin/store"
	"buckthornpin/wire"
)

type nothing struct{}

func (nothing) Record(buckthornpin.Event) {}

// localGroup is a control group in this process, over loopback, with real files.
type localGroup struct {
	client *Client
	stop   context.CancelFunc
	ended  sync.WaitGroup
}

func startGroup(t testing.TB, size int, check bool) *localGroup {
	t.Helper()
	ctx, stop := context.WithCancel(context.Background())
	g := &localGroup{stop: stop, client: &Client{HTTP: (&conn.Dialer{}).Internal(), Scheme: "http"}}
	members := &wire.Members{}
	var listeners []net.Listener
	for i := range size {
		l, err := net.Listen("tcp", "127.0.0.1:0")
		require.NoError(t, err)
		listeners = append(listeners, l)
		members.Members = append(members.Members, &wire.Member{Id: fmt.Sprintf("r%d", i+1), Address: l.Addr().String()})
		g.client.Addresses = append(g.client.Addresses, l.Addr().String())
	}
	folder := t.TempDir()
	for i, l := range listeners {
		g.startReplica(ctx, t, filepath.Join(folder, fmt.Sprint(i)), members, members.GetMembers()[i].GetId(), l, check)
	}
	t.Cleanup(func() {
		stop()
		g.ended.Wait()
	})
	return g
}

func (g *localGroup) startReplica(ctx context.Context, t testing.TB, path string, members *wire.Members, id string, l net.Listener, check bool) {
	t.Helper()
	require.NoError(t, store.Init(path, &wire.Identity{Replica: id}))
	f := &store.Folder{Path: path}
	_, err := f.Open()
	require.NoError(t, err)
	require.NoError(t, f.SaveSnapshot(&wire.Snapshot{Index: 1, Term: 1, Members: members}, &wire.HardState{Term: 1, Commit: 1}, nil))
	require.NoError(t, f.Close())
	links := &Links{HTTP: (&conn.Dialer{}).Internal(), Scheme: "http"}
	links.Open(ctx)
	r := &Replica{Folder: &store.Folder{Path: path}, Transport: links, Events: nothing{}, Log: zerolog.Nop(), CheckEach: check}
	require.NoError(t, r.Open())
	mux := http.NewServeMux()
	(&Service{Replica: r, Events: nothing{}}).Register(mux)
	s := &conn.Server{Listener: l, Handler: mux, Internal: true, DrainTimeout: 10 * time.Millisecond}
	for _, run := range []func(context.Context) error{r.Run, links.Run, s.Run} {
		g.ended.Go(func() { _ = run(ctx) })
	}
}

func (g *localGroup) must(t testing.TB, c *wire.Command) *wire.Result {
	t.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
	defer cancel()
	results, err := g.client.Execute(ctx, []*wire.Command{c})
	require.NoError(t, err)
	require.Equal(t, wire.ResultKind_RESULT_KIND_OK, results[0].GetKind(), results[0].GetMessage())
	return results[0]
}

func (g *localGroup) organisation(t testing.TB) {
	t.Helper()
	g.must(t, &wire.Command{Id: "org", Op: &wire.Command_PutOrganisation{PutOrganisation: &wire.PutOrganisation{Organisation: "org"}}})
	g.must(t, &wire.Command{Id: "paid", Op: &wire.Command_TopUp{TopUp: &wire.TopUp{Organisation: "org", Tokens: 1 << 40}}})
	g.must(t, &wire.Command{Id: "vm", Op: &wire.Command_RegisterRouter{RegisterRouter: &wire.RegisterRouter{Router: "vm-1"}}})
}

func reserve(key string) *wire.Command {
	return &wire.Command{Id: "c" + key, Op: &wire.Command_Reserve{Reserve: &wire.Reserve{
		Organisation: "org", Key: key, Bound: 10, Router: "vm-1", Incarnation: 1, Digest: "d", Fresh: true,
	}}}
}

func TestReservationSentTwiceIsOne(t *testing.T) {
	g := startGroup(t, 3, true)
	g.organisation(t)
	require.Equal(t, int32(1), g.must(t, reserve("k")).GetDispatch())
	require.Equal(t, int32(1), g.must(t, reserve("k")).GetDispatch())
	s, err := g.client.Inspect(t.Context(), false)
	require.NoError(t, err)
	require.Equal(t, int64(10), s.GetOrganisations()[0].GetHeld())
}

func TestSyncPushesChanges(t *testing.T) {
	g := startGroup(t, 1, true)
	g.organisation(t)
	first, err := g.client.Sync(t.Context(), &wire.SyncRequest{})
	require.NoError(t, err)
	pushed := make(chan *wire.SyncReply, 1)
	go func() {
		r, err := g.client.Sync(t.Context(), &wire.SyncRequest{Revision: first.GetRevision(), WaitMs: 20_000})
		if err == nil {
			pushed <- r
		}
	}()
	g.must(t, &wire.Command{Id: "v1", Op: &wire.Command_PutConfiguration{PutConfiguration: &wire.PutConfiguration{Content: "{}"}}})
	require.Equal(t, int64(1), (<-pushed).GetConfiguration().GetVersion())
}

// BenchmarkCommit measures commits per second with real syncs, against the size
// of the group and the number of callers.
func BenchmarkCommit(b *testing.B) {
	for _, size := range []int{1, 3, 5} {
		for _, callers := range []int{1, 16, 256} {
			b.Run(fmt.Sprintf("replicas=%d/callers=%d", size, callers), func(b *testing.B) {
				g := startGroup(b, size, false)
				g.organisation(b)
				batcher := &Batcher{Client: g.client}
				batcher.Open()
				ctx, cancel := context.WithCancel(b.Context())
				defer cancel()
				g.ended.Go(func() { _ = batcher.Run(ctx) })
				b.ResetTimer()
				var all sync.WaitGroup
				for c := range callers {
					all.Go(func() {
						for i := c; i < b.N; i += callers {
							_, _ = batcher.Execute(ctx, reserve(fmt.Sprintf("%d-%d", b.N, i)))
						}
					})
				}
				all.Wait()
				b.ReportMetric(float64(b.N)/b.Elapsed().Seconds(), "commits/s")
				b.ReportMetric(b.Elapsed().Seconds()*1000*float64(callers)/float64(b.N), "ms/commit")
			})
		}
	}
}
