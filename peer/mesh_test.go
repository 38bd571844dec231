package peer

import (
	"context"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"buckthornpin"
	"buckthornpin/event"
)

// meshNode is a process of a mesh that is served on loopback.
type meshNode struct {
	*Mesh
	server *httptest.Server
}

func newMeshNode(t *testing.T, control bool, seeds *[]string) *meshNode {
	t.Helper()
	mux := http.NewServeMux()
	n := &meshNode{server: httptest.NewServer(mux)}
	t.Cleanup(n.server.Close)
	address := strings.TrimPrefix(n.server.URL, "http://")
	line := &event.Line{VM: address, Clock: &event.Clock{}}
	nodes := &Nodes{
		Self:     Node{VM: address, Address: address, Control: control, Incarnation: 1},
		AliveFor: time.Minute, ForgetAfter: time.Hour,
	}
	n.Mesh = &Mesh{
		Nodes: nodes, HTTP: n.server.Client(), Scheme: "http", Seeds: func() []string { return *seeds },
		Directory: &Directory{Events: line, DeadAfter: time.Minute, Addresses: func() []string { return nil }},
	}
	n.Register(mux)
	return n
}

// TestNewsFromControlThatIsNoSeed: an endpoint announces itself to a control
// process that no other process was told of.
func TestNewsFromControlThatIsNoSeed(t *testing.T) {
	var seeds []string
	seed := newMeshNode(t, true, &seeds)
	other := newMeshNode(t, true, &seeds)
	router := newMeshNode(t, false, &seeds)
	seeds = []string{seed.Nodes.Self.Address}
	ctx := context.Background()

	other.Directory.Put(buckthornpin.Endpoint{ID: "engine", Address: "10.0.0.1:80", Services: []string{"s"}, Sequence: 1})
	for range 4 {
		other.round(ctx)
		router.round(ctx)
		seed.round(ctx)
	}

	require.Len(t, router.Directory.Serving(buckthornpin.Target{Service: "s"}), 1)
	require.Len(t, router.Nodes.Controls(), 2)
}
