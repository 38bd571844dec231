package ctrl

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rs/zerolog"

	"buckthornpin/site"
	"buckthornpin/wire"
)

// SiteMirror is a router's copy of the site's configuration. Its version only
// rises. Its exported fields are set before Run.
type SiteMirror struct {
	Client *Client
	Router string
	// Decode decodes a document of any form.
	Decode func(s *wire.SiteState) (site.Configuration, error)
	// Taken is called with each configuration before it is in force, if set.
	Taken func(t *site.Table)
	Log   zerolog.Logger

	table    atomic.Pointer[site.Table]
	revision int64
	heard    bool
	// mu keeps two configurations from being taken at once; state is the document of
	// the table.
	mu    sync.Mutex
	state *wire.SiteState
}

// Table returns the configuration in force, nil before the first.
func (m *SiteMirror) Table() *site.Table { return m.table.Load() }

// Run follows the control group until ctx ends.
func (m *SiteMirror) Run(ctx context.Context) error {
	for ctx.Err() == nil {
		reply, err := m.sync(ctx)
		if err != nil {
			m.note(false)
			pause(ctx, syncRetry)
			continue
		}
		m.note(true)
		m.revision = max(m.revision, reply.GetRevision())
		m.take(reply.GetSite(), "control")
	}
	return nil
}

// sync asks for news, and gives up in time for the loss of control to be noted.
func (m *SiteMirror) sync(ctx context.Context) (*wire.SyncReply, error) {
	ctx, cancel := context.WithTimeout(ctx, syncWait+callTimeout)
	defer cancel()
	return m.Client.Sync(ctx, m.request())
}

// note logs when control is lost or heard again.
func (m *SiteMirror) note(heard bool) {
	if m.heard != heard {
		m.Log.Info().Bool("heard", heard).Int64("version", m.Version()).Msg("link to control has changed")
	}
	m.heard = heard
}

func (m *SiteMirror) request() *wire.SyncRequest {
	r := &wire.SyncRequest{Router: m.Router, Revision: m.revision, SiteVersion: m.Version()}
	if m.heard {
		r.WaitMs = syncWait.Milliseconds()
	}
	return r
}

// Version returns the version in force, 0 before the first. It implements peer.Site.
func (m *SiteMirror) Version() int64 {
	if t := m.table.Load(); t != nil {
		return t.Version
	}
	return 0
}

// Above implements peer.Site.
func (m *SiteMirror) Above(version int64) *wire.SiteState {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.state.GetVersion() <= version {
		return nil
	}
	return m.state
}

// Take implements peer.Site. What other routers have was committed, and a leader that
// hangs looks for seconds like one without news: a newer version counts from anyone.
func (m *SiteMirror) Take(s *wire.SiteState) { m.take(s, "router") }

// take puts a configuration in force that is newer than the one held.
func (m *SiteMirror) take(s *wire.SiteState, from string) {
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
	if m.Taken != nil {
		m.Taken(t)
	}
	m.table.Store(t)
	m.state = s
	m.Log.Info().Int64("version", c.Version).Str("from", from).Int("routes", len(c.Routes)).Dur("took_ms", time.Since(started)).Msg("configuration is in force")
}
