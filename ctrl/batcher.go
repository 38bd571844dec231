package ctrl

import (
	"context"

	"buckthornpin/wire"
)

const (
	// batchesInFlight is how many batches of one router may be under way.
	batchesInFlight = 4
	// maxBatch bounds the commands of one batch.
	maxBatch = 256
)

// Batcher gathers the commands of many requests into few calls: while all
// senders are busy, commands wait and then travel together.
type Batcher struct {
	Client *Client

	queue chan *batched
}

type batched struct {
	ctx     context.Context
	command *wire.Command
	done    chan batchedDone
}

type batchedDone struct {
	result *wire.Result
	err    error
}

// Open prepares the batcher. It comes before Run and Execute.
func (b *Batcher) Open() {
	b.queue = make(chan *batched, queueLength)
}

// Run sends batches until ctx ends.
func (b *Batcher) Run(ctx context.Context) error {
	ended := make(chan struct{})
	for range batchesInFlight {
		go func() {
			b.sendAll(ctx)
			ended <- struct{}{}
		}()
	}
	for range batchesInFlight {
		<-ended
	}
	return nil
}

// Execute commits one command.
func (b *Batcher) Execute(ctx context.Context, c *wire.Command) (*wire.Result, error) {
	e := &batched{ctx: ctx, command: c, done: make(chan batchedDone, 1)}
	select {
	case b.queue <- e:
	case <-ctx.Done():
		return nil, &Error{Op: "execute", Kind: KindUnavailable, Err: ctx.Err()}
	}
	select {
	case d := <-e.done:
		return d.result, d.err
	case <-ctx.Done():
		return nil, &Error{Op: "execute", Kind: KindLost, Err: ctx.Err()}
	}
}

func (b *Batcher) sendAll(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case first := <-b.queue:
			if batch := b.gather(first); len(batch) > 0 {
				b.send(ctx, batch)
			}
		}
	}
}

// gather takes the commands that wait. One whose caller has given up is dropped:
// it must not reach control after the caller has acted on its absence.
func (b *Batcher) gather(first *batched) []*batched {
	var batch []*batched
	for e := first; ; {
		if e.ctx.Err() == nil {
			batch = append(batch, e)
		}
		if len(batch) == maxBatch {
			return batch
		}
		select {
		case e = <-b.queue:
		default:
			return batch
		}
	}
}

// send commits a batch. It goes on until the last of the batch's callers has
// given up.
func (b *Batcher) send(ctx context.Context, batch []*batched) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	stop := cancelAfterAll(batch, cancel)
	defer stop()
	commands := make([]*wire.Command, 0, len(batch))
	for _, e := range batch {
		commands = append(commands, e.command)
	}
	results, err := b.Client.Execute(ctx, commands)
	for i, e := range batch {
		if err != nil {
			e.done <- batchedDone{err: &Error{Op: "execute", Kind: KindLost, Err: err}}
			continue
		}
		e.done <- batchedDone{result: results[i]}
	}
}

// cancelAfterAll calls cancel once the contexts of all callers have ended.
func cancelAfterAll(batch []*batched, cancel context.CancelFunc) (stop func()) {
	left := make(chan struct{}, len(batch))
	stops := make([]func() bool, 0, len(batch))
	for _, e := range batch {
		stops = append(stops, context.AfterFunc(e.ctx, func() {
			left <- struct{}{}
			if len(left) == cap(left) {
				cancel()
			}
		}))
	}
	return func() {
		for _, s := range stops {
			s()
		}
	}
}
