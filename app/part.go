package app

import (
	"context"

	"github.com/go-faster/errors"
)

// part is a goroutine of the process; it reports its end on a channel.
type part struct {
	name string
	run  func(ctx context.Context) error
}

type partEnd struct {
	name string
	err  error
}

// runParts runs the parts of a process in inner until ctx ends or one of them
// fails. It drains unless one has failed, stops the parts, and waits for their
// ends.
func runParts(ctx, inner context.Context, parts []part, drain, stop func()) error {
	ended := make(chan partEnd, len(parts))
	for _, p := range parts {
		go func() { ended <- partEnd{name: p.name, err: p.run(inner)} }()
	}
	left, err := firstFailure(ctx, ended, len(parts))
	if err == nil {
		drain()
	}
	stop()
	for ; left > 0; left-- {
		if e := <-ended; e.err != nil && err == nil {
			err = errors.Wrap(e.err, e.name)
		}
	}
	return err
}

// firstFailure waits until ctx ends or a part fails, and returns how many parts
// are left.
func firstFailure(ctx context.Context, ended <-chan partEnd, left int) (int, error) {
	for {
		select {
		case e := <-ended:
			left--
			if e.err != nil {
				return left, errors.Wrap(e.err, e.name)
			}
		case <-ctx.Done():
			return left, nil
		}
	}
}
