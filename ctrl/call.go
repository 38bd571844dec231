package ctrl

import (
	"context"

	"buckthornpin/ledger"
	"buckthornpin/quorum"
	"buckthornpin/wire"
)

// call is what other goroutines ask of the replica's loop.
type call interface {
	start(r *Replica, g *group)
	// refuse answers a call that was not started.
	refuse(err error)
}

// group is the calls that one entry of the log carries.
type group struct {
	term     uint64
	commands []*wire.Command
	parts    []*executeCall
}

// finish gives each call its part of the results. An entry of another term at
// the same index means that the group's entry was replaced.
func (g *group) finish(term uint64, results []*wire.Result) {
	if term != g.term || len(results) != len(g.commands) {
		g.fail(&Error{Op: "execute", Kind: KindLost})
		return
	}
	for _, c := range g.parts {
		n := len(c.commands)
		c.done <- executeDone{results: results[:n:n]}
		results = results[n:]
	}
}

func (g *group) fail(err error) {
	for _, c := range g.parts {
		c.done <- executeDone{err: err}
	}
}

type executeDone struct {
	results []*wire.Result
	err     error
}

type executeCall struct {
	commands []*wire.Command
	done     chan executeDone
}

func (c *executeCall) refuse(err error) { c.done <- executeDone{err: err} }

func (c *executeCall) start(_ *Replica, g *group) {
	g.commands = append(g.commands, c.commands...)
	g.parts = append(g.parts, c)
}

// Execute commits commands and returns their results. KindNotLeader says that
// nothing was done; KindLost says that the commands may be applied later.
func (r *Replica) Execute(ctx context.Context, commands []*wire.Command) ([]*wire.Result, error) {
	c := &executeCall{commands: commands, done: make(chan executeDone, 1)}
	if err := r.submit(ctx, c); err != nil {
		return nil, err
	}
	select {
	case d := <-c.done:
		return d.results, d.err
	case <-r.stopped:
		return nil, &Error{Op: "execute", Kind: KindLost}
	case <-ctx.Done():
		return nil, &Error{Op: "execute", Kind: KindLost, Err: ctx.Err()}
	}
}

func (r *Replica) submit(ctx context.Context, c call) error {
	select {
	case r.calls <- c:
		return nil
	case <-r.stopped:
		return &Error{Op: "submit", Kind: KindStopped}
	case <-ctx.Done():
		return ctx.Err()
	}
}

type readCall struct {
	index uint64
	done  chan error
}

func (c *readCall) refuse(err error) { c.done <- err }

func (c *readCall) start(r *Replica, _ *group) {
	r.token++
	if err := r.node.Read(r.token); err != nil {
		c.done <- r.notLeader("read")
		return
	}
	r.reads[r.token] = c
}

// finishReads releases the reads whose index has been applied.
func (r *Replica) finishReads(states []quorum.ReadState) {
	for _, s := range states {
		c := r.reads[s.Token]
		delete(r.reads, s.Token)
		if s.Failed {
			c.done <- r.notLeader("read")
			continue
		}
		c.index = s.Index
		r.ready = append(r.ready, c)
	}
	rest := r.ready[:0]
	for _, c := range r.ready {
		if c.index > r.applied {
			rest = append(rest, c)
			continue
		}
		c.done <- nil
	}
	r.ready = rest
}

// Read runs f on a state that holds all that was committed before the call. f
// must not keep or change what it sees.
func (r *Replica) Read(ctx context.Context, f func(l *ledger.Ledger)) error {
	c := &readCall{done: make(chan error, 1)}
	if err := r.submit(ctx, c); err != nil {
		return err
	}
	select {
	case err := <-c.done:
		if err != nil {
			return err
		}
	case <-r.stopped:
		return &Error{Op: "read", Kind: KindStopped}
	case <-ctx.Done():
		return ctx.Err()
	}
	r.mu.RLock()
	defer r.mu.RUnlock()
	f(r.ledger)
	return nil
}

// Changed returns a channel that is closed at the next revision.
func (r *Replica) Changed() <-chan struct{} {
	r.mu.RLock()
	defer r.mu.RUnlock()
	return r.changed
}

type membersCall struct {
	change func(*wire.Members) *wire.Members
	done   chan error
}

func (c *membersCall) refuse(err error) { c.done <- err }

func (c *membersCall) start(r *Replica, _ *group) {
	if r.node.Role() != quorum.Leader {
		c.done <- r.notLeader("change members")
		return
	}
	next := c.change(r.node.Members())
	if next == nil {
		c.done <- nil
		return
	}
	_, _, err := r.node.ProposeMembers(next)
	c.done <- err
}

// ChangeMembers proposes new members of the group.
func (r *Replica) ChangeMembers(ctx context.Context, change func(*wire.Members) *wire.Members) error {
	c := &membersCall{change: change, done: make(chan error, 1)}
	if err := r.submit(ctx, c); err != nil {
		return err
	}
	select {
	case err := <-c.done:
		return err
	case <-r.stopped:
		return &Error{Op: "change members", Kind: KindStopped}
	case <-ctx.Done():
		return ctx.Err()
	}
}

func (r *Replica) notLeader(op string) error {
	return &Error{Op: op, Kind: KindNotLeader}
}

// failWaiting answers the calls whose entries may never be committed.
func (r *Replica) failWaiting() {
	for index, g := range r.waiting {
		g.fail(&Error{Op: "execute", Kind: KindLost})
		delete(r.waiting, index)
	}
}

func (r *Replica) failAll() {
	r.failWaiting()
	for token, c := range r.reads {
		c.done <- &Error{Op: "read", Kind: KindStopped}
		delete(r.reads, token)
	}
	for _, c := range r.ready {
		c.done <- &Error{Op: "read", Kind: KindStopped}
	}
	r.ready = nil
}
