package integ

import (
	"context"
	"encoding/json"
	"strings"
	"sync"
	"testing"

	toxiproxy "github.com/Shopify/toxiproxy/v2"
	"github.com/prometheus/client_golang/prometheus"
	"github.com/rs/zerolog"
	"github.com/stretchr/testify/require"
)

var proxyServer = toxiproxy.NewServer(toxiproxy.NewMetricsContainer(prometheus.NewRegistry()), zerolog.Nop())

// link is a proxy for the connections that one process opens to one address.
type link struct {
	t        testing.TB
	name     string
	proxy    *toxiproxy.Proxy
	mu       sync.Mutex
	silenced bool
}

func newLink(t testing.TB, name, upstream string) *link {
	t.Helper()
	l := &link{t: t, name: name, proxy: toxiproxy.NewProxy(proxyServer, name, "127.0.0.1:0", upstream)}
	require.NoError(t, l.proxy.Start())
	t.Cleanup(l.proxy.Stop)
	return l
}

func (l *link) address() string { return l.proxy.Listen }

// toxic is a fault of a link, in the JSON form that toxiproxy reads.
type toxic struct {
	Name       string           `json:"name"`
	Type       string           `json:"type"`
	Stream     string           `json:"stream"`
	Toxicity   float32          `json:"toxicity"`
	Attributes map[string]int64 `json:"attributes"`
}

func (l *link) add(tx toxic) {
	l.t.Helper()
	tx.Toxicity = 1
	data, err := json.Marshal(tx)
	require.NoError(l.t, err)
	_, err = l.proxy.Toxics.AddToxicJson(strings.NewReader(string(data)))
	require.NoError(l.t, err, "link %s", l.name)
}

// silence drops all bytes in both directions and keeps the connections open.
func (l *link) silence() {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.silenced {
		return
	}
	l.silenced = true
	l.add(toxic{Name: "up", Type: "timeout", Stream: "upstream", Attributes: map[string]int64{"timeout": 0}})
	l.add(toxic{Name: "down", Type: "timeout", Stream: "downstream", Attributes: map[string]int64{"timeout": 0}})
}

// silenceReplies drops only the bytes that travel back to the process that connects.
func (l *link) silenceReplies() {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.silenced {
		return
	}
	l.silenced = true
	l.add(toxic{Name: "down", Type: "timeout", Stream: "downstream", Attributes: map[string]int64{"timeout": 0}})
}

// heal lets bytes pass again. It ends the connections that were silenced.
func (l *link) heal() {
	l.mu.Lock()
	defer l.mu.Unlock()
	if !l.silenced {
		return
	}
	l.silenced = false
	for _, name := range []string{"up", "down"} {
		if l.proxy.Toxics.GetToxic(name) != nil {
			require.NoError(l.t, l.proxy.Toxics.RemoveToxic(context.Background(), name))
		}
	}
}
