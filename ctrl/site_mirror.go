package ctrl

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rs/zerolog"

	"buckthornpin"
	"buckthornpin/site"
	"buckthornpin/wire"
)

// SiteMirror is a router's copy of the site's configuration. Its version only
// rises. Its exported fields are set before Run.
type SiteMirror struct {
	Client *Client
	Router string
	// Decode decodes a document in any of its formats.
	Decode func(s *wire.SiteState) (site.Configuration, error)
	// BeforeApply, if set, is called with each configuration before it is in force.
	BeforeApply func(t *site.Table)
	Log         zerolog.Logger

	table     atomic.Pointer[site.Table]
	revision  int64
	connected bool
	// mu lets only one configuration be applied at a time; state is the document from
	// which the table was made.
	mu    sync.Mutex
	state *wire.SiteState
}

// Table returns the configuration in force, or nil before the first one.
func (m *SiteMirror) Table() *site.Table { return m.table.Load() }

// Run follows the control group until ctx ends.
func (m *SiteMirror) Run(ctx context.Context) error {
	for ctx.Err() == nil {
		reply, err := m.sync(ctx)
		if err != nil {
			m.setConnected(false)
			buckthornpin.Wait(ctx, syncRetry)
			continue
		}
		m.setConnected(true)
		m.revision = max(m.revision, reply.GetRevision())
		m.apply(reply.GetSite(), "control")
	}
	return nil
}

// sync asks control for changes. Its timeout bounds the time until the loss of control
// is noticed.
func (m *SiteMirror) sync(ctx context.Context) (*wire.SyncReply, error) {
	ctx, cancel := context.WithTimeout(ctx, syncWait+callTimeout)
	defer cancel()
	return m.Client.Sync(ctx, m.request())
}

// setConnected records whether control answers, and logs each change.
func (m *SiteMirror) setConnected(connected bool) {
	if m.connected != connected {
		m.Log.Info().Bool("heard", connected).Int64("version", m.Version()).Msg("link to control has changed")
	}
	m.connected = connected
}

func (m *SiteMirror) request() *wire.SyncRequest {
	r := &wire.SyncRequest{Router: m.Router, Revision: m.revision, SiteVersion: m.Version()}
	if m.connected {
		r.WaitMs = syncWait.Milliseconds()
	}
	return r
}

// Version implements peer.Site. It returns the version in force, or 0 before the first.
func (m *SiteMirror) Version() int64 {
	if t := m.table.Load(); t != nil {
		return t.Version
	}
	return 0
}

// NewerThan implements peer.Site. It returns the configuration if its version is higher
// than the given one, or nil.
func (m *SiteMirror) NewerThan(version int64) *wire.SiteState {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.state.GetVersion() <= version {
		return nil
	}
	return m.state
}

// ApplyIfNewer implements peer.Site. It accepts a newer version from any router: what other
// routers hold was committed, and for seconds a leader that hangs can't be
// distinguished from one that has no changes to report.
func (m *SiteMirror) ApplyIfNewer(s *wire.SiteState) { m.apply(s, "router") }

// apply puts a configuration in force if it is newer than the one held. A configuration
// that can't be decoded is logged and ignored.
func (m *SiteMirror) apply(s *wire.SiteState, source string) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if s.GetVersion() <= m.Version() {
		return
	}
	started := time.Now()
	c, err := m.Decode(s)
	if err != nil {
		m.Log.Error().Err(err).Int64("version", s.GetVersion()).Msg("configuration can't be used")
		return
	}
	c.Version = s.GetVersion()
	t := site.NewTable(c)
	if m.BeforeApply != nil {
		m.BeforeApply(t)
	}
	m.table.Store(t)
	m.state = s
	m.Log.Info().Int64("version", c.Version).Str("from", source).Int("routes", len(c.Routes)).Dur("took_ms", time.Since(started)).Msg("configuration is in force")
}
