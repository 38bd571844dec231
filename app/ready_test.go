package app

import (
	"testing"

	"github.com/rs/zerolog"
	"github.com/stretchr/testify/require"

	"buckthornpin"
	"buckthornpin/ctrl"
	"buckthornpin/relay"
	"buckthornpin/site"
	"buckthornpin/wire"
)

// TestReadyNeedsAConfiguredEndpoint guards against a router that takes connections because something
// was announced for a service that isn't configured, and can only refuse what comes on them.
func TestReadyNeedsAConfiguredEndpoint(t *testing.T) {
	s := newReportedSite(t, 1)
	p := s.processes[3]
	p.router = &relay.Router{Guard: &relay.Guard{}}
	services := []string{"records"}
	p.mirror = &ctrl.SiteMirror{Log: zerolog.Nop(), Decode: func(*wire.SiteState) (site.Configuration, error) {
		c := site.Configuration{}
		for _, name := range services {
			c.Services = append(c.Services, site.Service{Name: name})
		}
		return c, nil
	}}
	announce := func(id, service string) {
		p.directory.Put(buckthornpin.Endpoint{ID: id, Address: "127.0.0.9:9", Services: []string{service}, Capacity: 1, Incarnation: 1, Sequence: 1})
	}
	announce("i-1", "records")
	require.False(t, p.Ready(), "without a configuration")
	p.mirror.ApplyIfNewer(&wire.SiteState{Version: 1})
	require.True(t, p.Ready())

	services = []string{"plans"}
	p.mirror.ApplyIfNewer(&wire.SiteState{Version: 2})
	require.False(t, p.Ready(), "with endpoints of other services only")
	announce("i-2", "plans")
	require.True(t, p.Ready())

	services = []string{"records", "plans"}
	p.mirror.ApplyIfNewer(&wire.SiteState{Version: 3})
	require.Len(t, p.directory.Serving(buckthornpin.Target{Service: "records"}), 1, "a service that comes back has its endpoints at once")
}
