package budget

import (
	"context"
	"math/rand/v2"
	"slices"
	"testing"
	"time"
)

// dayEvent is something that happens on a day, at a time since its start.
type dayEvent struct {
	at time.Duration
	do func(ctx context.Context, day *faultDay)
}

// play plays a day of the given length.
func (day *faultDay) play(t *testing.T, seed uint64, length time.Duration, events []dayEvent) {
	t.Helper()
	ctx, stop := context.WithCancel(t.Context())
	for _, r := range day.routers {
		day.startRouter(ctx, r)
	}
	day.wg.Go(func() { day.gossip(ctx) })
	time.Sleep(3 * time.Second)
	day.start = time.Now()
	for i, o := range day.organisations {
		day.wg.Go(func() { day.send(ctx, o, rand.New(rand.NewPCG(seed, uint64(100+i)))) })
	}
	for _, e := range slices.SortedStableFunc(slices.Values(events), func(a, b dayEvent) int { return int(a.at - b.at) }) {
		time.Sleep(time.Until(day.start.Add(e.at)))
		e.do(ctx, day)
	}
	time.Sleep(time.Until(day.start.Add(length)))
	stop()
	for _, r := range day.routers {
		if r.stop != nil {
			r.stop()
		}
	}
	day.wg.Wait()
}

func cutAll(cut bool) func(context.Context, *faultDay) {
	return func(_ context.Context, day *faultDay) {
		day.mu.Lock()
		defer day.mu.Unlock()
		for _, r := range day.routers {
			r.cut = cut
		}
	}
}

func killRouters(n int) func(context.Context, *faultDay) {
	return func(_ context.Context, day *faultDay) {
		for _, r := range day.routers[:n] {
			day.kill(r)
		}
	}
}

func restartRouters(n int) func(context.Context, *faultDay) {
	return func(ctx context.Context, day *faultDay) {
		for _, r := range day.routers[:n] {
			day.startRouter(ctx, r)
		}
	}
}

func control(up bool) func(context.Context, *faultDay) {
	return func(_ context.Context, day *faultDay) {
		day.mu.Lock()
		defer day.mu.Unlock()
		day.controlUp = up
	}
}
