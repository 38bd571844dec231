package stand

import (
	"bytes"
	"cmp"
	"context"
	"encoding/json"
	"net/http"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"buckthornpin/conn"
	"buckthornpin/endpt"
)

// announceTimeout bounds one announcement.
const announceTimeout = time.Second

// announceAll announces until ctx ends.
func (e *Endpoint) announceAll(ctx context.Context) {
	ticker := time.NewTicker(heartbeat)
	defer ticker.Stop()
	for {
		e.announce(ctx, e.targets(announceTo))
		select {
		case <-ticker.C:
		case <-ctx.Done():
			return
		}
	}
}

func (e *Endpoint) address() string {
	if e.Advertise != "" {
		return e.Advertise
	}
	return e.Listener.Addr().String()
}

// targets returns the routers to announce to: the first n in an order of the
// endpoint's own, without those that didn't answer lately.
func (e *Endpoint) targets(n int) []string {
	e.mu.Lock()
	defer e.mu.Unlock()
	out := slices.Clone(e.routers)
	slices.SortFunc(out, func(a, b string) int {
		return cmp.Or(cmp.Compare(e.misses[a], e.misses[b]), cmp.Compare(e.rank(a), e.rank(b)))
	})
	return out[:min(n, len(out))]
}

// rank orders routers differently for each endpoint (rendezvous hashing), so
// that endpoints spread over the routers that watch them.
func (e *Endpoint) rank(router string) uint64 {
	return xxhash.Sum64String(e.ID + "@" + router)
}

// noteAnswer counts the announcements in a row that a router didn't take.
func (e *Endpoint) noteAnswer(router string, answered bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if answered {
		e.misses[router] = 0
		return
	}
	e.misses[router]++
}

func (e *Endpoint) announce(ctx context.Context, routers []string) {
	m := endpt.Announcement{
		Endpoint: e.ID, Address: e.address(), Zone: e.Zone, Models: e.Models, Adapters: e.Adapters, Services: e.Services,
		Capacity: e.Capacity, Incarnation: e.incarnation, Sequence: e.sequence.Add(1),
		Leaving: e.leaving.Load(),
	}
	body, _ := json.Marshal(m)
	done := make(chan struct{}, len(routers))
	for _, address := range routers {
		go func() {
			e.tell(ctx, address, body)
			done <- struct{}{}
		}()
	}
	for range routers {
		<-done
	}
}

// tell announces to one router and learns the others from its reply.
func (e *Endpoint) tell(ctx context.Context, address string, body []byte) {
	ctx, cancel := context.WithTimeout(ctx, announceTimeout)
	defer cancel()
	r, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+address+endpt.AnnouncePath, bytes.NewReader(body))
	if err != nil {
		return
	}
	r.Header.Set(endpt.SecretHeader, e.Secret)
	res, err := announceClient.Do(r)
	e.noteAnswer(address, err == nil)
	if err != nil {
		return
	}
	defer func() { _ = res.Body.Close() }()
	var reply endpt.AnnounceReply
	if json.NewDecoder(res.Body).Decode(&reply) == nil {
		e.learn(reply.Routers)
	}
}

var announceClient = (&conn.Dialer{}).ExternalClient()

func (e *Endpoint) learn(routers []string) {
	e.mu.Lock()
	defer e.mu.Unlock()
	known := map[string]bool{}
	for _, r := range e.routers {
		known[r] = true
	}
	for _, r := range routers {
		if !known[r] {
			e.routers = append(e.routers, r)
		}
	}
}
