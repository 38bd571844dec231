package ctrl

import (
	"context"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rs/zerolog"

	"buckthornpin"
	"buckthornpin/wire"
)

const (
	// syncWait is how long one Sync call waits for a change. Without changes it is
	// also the interval between two calls.
	syncWait = 2 * time.Second
	// syncRetry is the pause after a failed Sync call.
	syncRetry = 200 * time.Millisecond
)

// Mirror is a router's copy of the control state that routers need: keys,
// organisations, registered routers and the configuration in force. Revision and
// version only rise. Its exported fields are set before Run.
type Mirror struct {
	Client *Client
	Router string
	Events buckthornpin.Recorder
	Log    zerolog.Logger

	mu            sync.RWMutex
	revision      int64
	keys          map[string]*wire.KeyState
	organisations map[string]*wire.OrganisationState
	routers       map[string]*wire.RouterState
	version       int64
	synced        bool
	policy        atomic.Pointer[buckthornpin.Policy]
	lastReplyAt   time.Time
}

// Open prepares the mirror. It must be called before Run.
func (m *Mirror) Open() {
	m.keys = map[string]*wire.KeyState{}
	m.organisations = map[string]*wire.OrganisationState{}
	m.routers = map[string]*wire.RouterState{}
	p := buckthornpin.DefaultPolicy()
	m.policy.Store(&p)
}

// Run follows the control group until ctx ends.
func (m *Mirror) Run(ctx context.Context) error {
	for ctx.Err() == nil {
		reply, err := m.Client.Sync(ctx, m.request())
		if err != nil {
			buckthornpin.Wait(ctx, syncRetry)
			continue
		}
		m.apply(reply)
	}
	return nil
}

func (m *Mirror) request() *wire.SyncRequest {
	m.mu.RLock()
	defer m.mu.RUnlock()
	r := &wire.SyncRequest{Router: m.Router, Revision: m.revision}
	if m.synced {
		r.WaitMs = syncWait.Milliseconds()
	}
	return r
}

func (m *Mirror) apply(reply *wire.SyncReply) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.synced = true
	m.lastReplyAt = time.Now()
	if reply.GetRevision() <= m.revision {
		return
	}
	m.revision = reply.GetRevision()
	for _, k := range reply.GetKeys() {
		m.keys[k.GetHash()] = k
	}
	for _, o := range reply.GetOrganisations() {
		m.organisations[o.GetOrganisation()] = o
	}
	for _, r := range reply.GetRouters() {
		m.routers[r.GetRouter()] = r
	}
	m.applyConfiguration(reply.GetConfiguration())
}

func (m *Mirror) applyConfiguration(c *wire.ConfigurationState) {
	if c.GetVersion() <= m.version {
		return
	}
	p, err := buckthornpin.DecodePolicy(c.GetContent())
	if err != nil {
		m.Log.Error().Err(err).Int64("version", c.GetVersion()).Msg("configuration can't be used")
		return
	}
	m.version = c.GetVersion()
	m.policy.Store(&p)
	m.Events.Record(buckthornpin.Event{Kind: buckthornpin.EventConfigurationChange, Request: c.GetChange(), Detail: "in force here"})
	m.Log.Info().Int64("version", c.GetVersion()).Msg("configuration is in force")
}

// Ready reports whether the router has received a state that a quorum has confirmed.
func (m *Mirror) Ready() bool {
	m.mu.RLock()
	defer m.mu.RUnlock()
	return m.synced
}

// Version returns the version of the configuration in force here.
func (m *Mirror) Version() int64 {
	m.mu.RLock()
	defer m.mu.RUnlock()
	return m.version
}

// LastReplyAt returns when control last answered, with a monotonic clock reading.
func (m *Mirror) LastReplyAt() time.Time {
	m.mu.RLock()
	defer m.mu.RUnlock()
	return m.lastReplyAt
}

// Policy returns the configuration in force here.
func (m *Mirror) Policy() buckthornpin.Policy { return *m.policy.Load() }

// OrganisationByKeyHash returns the organisation to which a caller's key belongs, by the
// key's hash. It reports false for an unknown or revoked key and for an operator's key.
func (m *Mirror) OrganisationByKeyHash(hash string) (*wire.OrganisationState, bool) {
	m.mu.RLock()
	defer m.mu.RUnlock()
	k, ok := m.keys[hash]
	if !ok || k.GetRevoked() || k.GetOrganisation() == "" {
		return nil, false
	}
	o, ok := m.organisations[k.GetOrganisation()]
	return o, ok
}

// LeasesRecalled reports whether control is recalling the leases on an organisation's
// budget.
func (m *Mirror) LeasesRecalled(organisation string) bool {
	m.mu.RLock()
	defer m.mu.RUnlock()
	return m.organisations[organisation].GetRecallBound() > 0
}

// IsOperatorKey reports whether the hash is that of an operator's key which isn't
// revoked.
func (m *Mirror) IsOperatorKey(hash string) bool {
	m.mu.RLock()
	defer m.mu.RUnlock()
	k, ok := m.keys[hash]
	return ok && !k.GetRevoked() && k.GetOrganisation() == ""
}

// RouterState returns the registration of the router on a VM, or nil.
func (m *Mirror) RouterState(vm string) *wire.RouterState {
	m.mu.RLock()
	defer m.mu.RUnlock()
	return m.routers[vm]
}

// Peers returns the peer addresses of the other registered routers.
func (m *Mirror) Peers() []string {
	return m.addresses(func(vm string, r *wire.RouterState) string {
		if vm == m.Router {
			return ""
		}
		return r.GetPeerAddress()
	})
}

// AnnounceAddresses returns the addresses on which the registered routers accept
// announcements of endpoints.
func (m *Mirror) AnnounceAddresses() []string {
	return m.addresses(func(_ string, r *wire.RouterState) string { return r.GetEndptAddress() })
}

func (m *Mirror) addresses(addressOf func(vm string, r *wire.RouterState) string) []string {
	m.mu.RLock()
	defer m.mu.RUnlock()
	var out []string
	for vm, r := range m.routers {
		if a := addressOf(vm, r); a != "" {
			out = append(out, a)
		}
	}
	slices.Sort(out)
	return out
}
