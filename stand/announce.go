package stand

import (
	"bytes"
	"context"
	"encoding/json"
	"net/http"
	"time"

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

// targets returns the next n routers in turn, so that each hears the endpoint
// now and then.
func (e *Endpoint) targets(n int) []string {
	e.mu.Lock()
	defer e.mu.Unlock()
	n = min(n, len(e.routers))
	out := append([]string(nil), e.routers[:n]...)
	e.routers = append(e.routers[n:], out...)
	return out
}

func (e *Endpoint) announce(ctx context.Context, routers []string) {
	m := endpt.Announcement{
		Endpoint: e.ID, Address: e.address(), Zone: e.Zone, Models: e.Models, Services: e.Services,
		Capacity: e.Capacity, Incarnation: e.incarnation, Sequence: e.sequence.Add(1),
		Leaving: e.leaving.Load(), Running: int(e.running.Load()),
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
	if err != nil {
		return
	}
	defer func() { _ = res.Body.Close() }()
	var reply endpt.AnnounceReply
	if json.NewDecoder(res.Body).Decode(&reply) == nil {
		e.learn(reply.Routers)
	}
}

var announceClient = (&conn.Dialer{}).External()

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
