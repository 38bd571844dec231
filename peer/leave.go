package peer

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"github.com/go-faster/errors"

	"buckthornpin/wire"
)

const (
	// pushTimeout bounds the wait for the processes that are told of an endpoint. Messages
	// that take longer are still delivered.
	pushTimeout = 400 * time.Millisecond
	// maxLeavePushes is the number of times that the other processes are told that an
	// endpoint is leaving: once more if they know a later incarnation than this process.
	maxLeavePushes = 2
)

// Leave records that an endpoint is leaving, and returns nil once the living processes
// that can be reached know it. If the incarnation isn't known it is 0, and the newest one
// is meant. This process may know an earlier one or none. The others reply with what they
// know then, and are told again.
func (m *Mesh) Leave(ctx context.Context, id string, incarnation int64) error {
	for range maxLeavePushes {
		m.Directory.Leave(id, incarnation)
		if err := m.ConfirmLeaving(ctx, id); err != nil {
			return err
		}
		if left, _ := m.Directory.hasLeft(id, incarnation); left {
			return nil
		}
	}
	return &Error{Op: "leave", Kind: KindUnreachable, Err: errors.Errorf("other processes know later incarnations of %s", id)}
}

// ConfirmLeaving tells the living processes that an endpoint is leaving. It fails while
// this process can't be certain that the routers will know: before it has compared its
// endpoints with those of any router, and if no router answers and no incarnation of the
// endpoint is known. The endpoint then reports to another control process.
func (m *Mesh) ConfirmLeaving(ctx context.Context, id string) error {
	if !m.comparedWithRouter.Load() {
		return &Error{Op: "confirm leaving", Kind: KindUnreachable, Err: errors.New("no router has told its endpoints since the start")}
	}
	states := m.Directory.statesOf(id)
	answered := m.push(ctx, states)
	left, identified := m.Directory.hasLeft(id, 0)
	m.Log.Info().Str("endpoint", id).Int64("incarnation", latestIncarnation(states)).Bool("leaving", left).
		Bool("identified", identified).Int64("routers", answered).Msg("processes were told of an endpoint that leaves")
	if !identified && answered == 0 {
		return &Error{Op: "confirm leaving", Kind: KindUnreachable, Err: errors.Errorf("no router answered and %s is unknown", id)}
	}
	return nil
}

func latestIncarnation(states []*wire.EndpointState) int64 {
	latest := int64(0)
	for _, s := range states {
		latest = max(latest, s.GetIncarnation())
	}
	return latest
}

// push sends the states of an endpoint to the living processes, waits for their answers up
// to pushTimeout and returns the number of routers that have answered. With many processes
// only some are contacted, and the rounds spread the state further.
func (m *Mesh) push(ctx context.Context, states []*wire.EndpointState) int64 {
	if len(states) == 0 {
		return 0
	}
	request := m.newRequest(states, nil)
	var routers atomic.Int64
	var wg sync.WaitGroup
	for _, n := range drawNodes(m.Nodes.Living(time.Now()), maxFullMesh) {
		wg.Go(func() {
			if m.send(context.WithoutCancel(ctx), n.Address, request) && !n.Control {
				routers.Add(1)
			}
		})
	}
	waitAtMost(pushTimeout, wg.Wait)
	return routers.Load()
}
