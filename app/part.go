package app

import (
	"context"

	"github.com/go-faster/errors"
)

// task is a long-running function of the process with its name.
type task struct {
	name string
	run  func(ctx context.Context) error
}

type taskEnd struct {
	name string
	err  error
}

// runTasks runs the tasks of a process with taskCtx until ctx ends or one of them
// fails. It calls drain unless a task has failed, calls stop, and waits until all
// tasks have ended. It returns the first error.
func runTasks(ctx, taskCtx context.Context, tasks []task, drain, stop func()) error {
	ended := make(chan taskEnd, len(tasks))
	for _, t := range tasks {
		go func() { ended <- taskEnd{name: t.name, err: t.run(taskCtx)} }()
	}
	remaining, err := firstFailure(ctx, ended, len(tasks))
	if err == nil {
		drain()
	}
	stop()
	for ; remaining > 0; remaining-- {
		if e := <-ended; e.err != nil && err == nil {
			err = errors.Wrap(e.err, e.name)
		}
	}
	return err
}

// firstFailure waits until ctx ends or a task fails, and returns how many tasks
// are still running.
func firstFailure(ctx context.Context, ended <-chan taskEnd, remaining int) (int, error) {
	for {
		select {
		case e := <-ended:
			remaining--
			if e.err != nil {
				return remaining, errors.Wrap(e.err, e.name)
			}
		case <-ctx.Done():
			return remaining, nil
		}
	}
}
