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

// announceTimeout limits how long one announcement may take.
const announceTimeout = time.Second

// announceRegularly announces at each heartbeat until ctx ends.
func (e *Endpoint) announceRegularly(ctx context.Context) {
	ticker := time.NewTicker(heartbeat)
	defer ticker.Stop()
	for {
		e.announce(ctx, e.announceTargets(routersPerAnnouncement))
		select {
		case <-ticker.C:
		case <-ctx.Done():
			return
		}
	}
}

// address returns the address to announce.
func (e *Endpoint) address() string {
	if e.AdvertisedAddress != "" {
		return e.AdvertisedAddress
	}
	return e.Listener.Addr().String()
}

// announceTargets returns up to n routers to announce to: those with the fewest unanswered
// announcements in a row, and among equals the first in the endpoint's own order.
func (e *Endpoint) announceTargets(n int) []string {
	e.mu.Lock()
	defer e.mu.Unlock()
	out := slices.Clone(e.routers)
	slices.SortFunc(out, func(a, b string) int {
		return cmp.Or(cmp.Compare(e.unanswered[a], e.unanswered[b]), cmp.Compare(e.rank(a), e.rank(b)))
	})
	return out[:min(n, len(out))]
}

// rank returns a router's place in the endpoint's own order. It differs for each endpoint
// (rendezvous hashing), so that the endpoints spread over the routers that they announce
// to.
func (e *Endpoint) rank(router string) uint64 {
	return xxhash.Sum64String(e.ID + "@" + router)
}

// recordAnswer counts the announcements in a row that a router didn't answer.
func (e *Endpoint) recordAnswer(router string, answered bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if answered {
		e.unanswered[router] = 0
		return
	}
	e.unanswered[router]++
}

// announce sends an announcement to the routers and waits for all of them to answer or
// time out.
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
			e.sendAnnouncement(ctx, address, body)
			done <- struct{}{}
		}()
	}
	for range routers {
		<-done
	}
}

// sendAnnouncement sends an announcement to one router and learns the other routers'
// addresses from the reply.
func (e *Endpoint) sendAnnouncement(ctx context.Context, address string, body []byte) {
	ctx, cancel := context.WithTimeout(ctx, announceTimeout)
	defer cancel()
	r, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+address+endpt.AnnouncePath, bytes.NewReader(body))
	if err != nil {
		return
	}
	r.Header.Set(endpt.SecretHeader, e.Secret)
	res, err := announceClient.Do(r)
	e.recordAnswer(address, err == nil)
	if err != nil {
		return
	}
	defer func() { _ = res.Body.Close() }()
	var reply endpt.AnnounceReply
	if json.NewDecoder(res.Body).Decode(&reply) == nil {
		e.addRouters(reply.Routers)
	}
}

var announceClient = (&conn.Dialer{}).ExternalClient()

// addRouters adds the routers that aren't in the endpoint's list yet.
func (e *Endpoint) addRouters(routers []string) {
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
