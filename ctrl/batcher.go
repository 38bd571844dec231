package ctrl

import (
	"context"

	"buckthornpin/wire"
)

const (
	// maxBatchesInFlight bounds the batches of one router that are sent at the same time.
	maxBatchesInFlight = 4
	// maxBatchCommands bounds the commands of one batch.
	maxBatchCommands = 256
)

// Batcher combines the commands of many requests into few calls: commands that arrive
// while all senders are busy are sent together. Client is set before Run.
type Batcher struct {
	Client *Client

	queue chan *queuedCommand
}

// queuedCommand is a command that waits for its result.
type queuedCommand struct {
	ctx     context.Context
	command *wire.Command
	done    chan commandOutcome
}

type commandOutcome struct {
	result *wire.Result
	err    error
}

// Open prepares the batcher. It must be called before Run and Execute.
func (b *Batcher) Open() {
	b.queue = make(chan *queuedCommand, queueLength)
}

// Run sends batches until ctx ends.
func (b *Batcher) Run(ctx context.Context) error {
	ended := make(chan struct{})
	for range maxBatchesInFlight {
		go func() {
			b.sendLoop(ctx)
			ended <- struct{}{}
		}()
	}
	for range maxBatchesInFlight {
		<-ended
	}
	return nil
}

// Execute commits one command and returns its result. KindUnavailable means that the
// command wasn't queued before ctx ended; KindLost means that it may still be applied
// later.
func (b *Batcher) Execute(ctx context.Context, c *wire.Command) (*wire.Result, error) {
	q := &queuedCommand{ctx: ctx, command: c, done: make(chan commandOutcome, 1)}
	select {
	case b.queue <- q:
	case <-ctx.Done():
		return nil, &Error{Op: "execute", Kind: KindUnavailable, Err: ctx.Err()}
	}
	select {
	case d := <-q.done:
		return d.result, d.err
	case <-ctx.Done():
		return nil, &Error{Op: "execute", Kind: KindLost, Err: ctx.Err()}
	}
}

func (b *Batcher) sendLoop(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case first := <-b.queue:
			if batch := b.takeQueued(first); len(batch) > 0 {
				b.send(ctx, batch)
			}
		}
	}
}

// takeQueued returns the queued commands, at most maxBatchCommands of them. A command
// whose caller has given up is dropped: it must not reach control after the caller has
// acted on the assumption that it wasn't sent.
func (b *Batcher) takeQueued(first *queuedCommand) []*queuedCommand {
	var batch []*queuedCommand
	for q := first; ; {
		if q.ctx.Err() == nil {
			batch = append(batch, q)
		}
		if len(batch) == maxBatchCommands {
			return batch
		}
		select {
		case q = <-b.queue:
		default:
			return batch
		}
	}
}

// send commits a batch. It keeps trying until the last caller of the batch has given up.
func (b *Batcher) send(ctx context.Context, batch []*queuedCommand) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	stop := cancelAfterAll(batch, cancel)
	defer stop()
	commands := make([]*wire.Command, 0, len(batch))
	for _, q := range batch {
		commands = append(commands, q.command)
	}
	results, err := b.Client.Execute(ctx, commands)
	for i, q := range batch {
		if err != nil {
			q.done <- commandOutcome{err: &Error{Op: "execute", Kind: KindLost, Err: err}}
			continue
		}
		q.done <- commandOutcome{result: results[i]}
	}
}

// cancelAfterAll calls cancel once the contexts of all callers have ended. The returned
// function stops waiting for them.
func cancelAfterAll(batch []*queuedCommand, cancel context.CancelFunc) (stop func()) {
	ended := make(chan struct{}, len(batch))
	stops := make([]func() bool, 0, len(batch))
	for _, q := range batch {
		stops = append(stops, context.AfterFunc(q.ctx, func() {
			ended <- struct{}{}
			if len(ended) == cap(ended) {
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
