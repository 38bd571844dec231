package ctrl

import (
	"context"

	"buckthornpin/ledger"
	"buckthornpin/quorum"
	"buckthornpin/wire"
)

// call is a request from another goroutine to the replica's loop.
type call interface {
	// start runs in the loop. Commands to commit are added to the proposal.
	start(r *Replica, p *proposal)
	// refuse answers a call that hasn't been started.
	refuse(err error)
}

// proposal holds the calls whose commands share one log entry.
type proposal struct {
	term     uint64
	commands []*wire.Command
	calls    []*executeCall
}

// finish gives each call its part of the results. If the entry at the proposal's index
// has another term, the proposed entry was replaced by another leader's.
func (p *proposal) finish(term uint64, results []*wire.Result) {
	if term != p.term || len(results) != len(p.commands) {
		p.fail(&Error{Op: "execute", Kind: KindLost})
		return
	}
	for _, c := range p.calls {
		n := len(c.commands)
		c.done <- executeResult{results: results[:n:n]}
		results = results[n:]
	}
}

// fail answers all calls of the proposal with err.
func (p *proposal) fail(err error) {
	for _, c := range p.calls {
		c.done <- executeResult{err: err}
	}
}

type executeResult struct {
	results []*wire.Result
	err     error
}

type executeCall struct {
	commands []*wire.Command
	done     chan executeResult
}

func (c *executeCall) refuse(err error) { c.done <- executeResult{err: err} }

func (c *executeCall) start(r *Replica, p *proposal) {
	if result := r.superseded(c.commands); result != nil {
		c.done <- executeResult{results: []*wire.Result{result}}
		return
	}
	p.commands = append(p.commands, c.commands...)
	p.calls = append(p.calls, c)
}

// superseded returns the result of putting a configuration that is committed already, or an older
// one. It doesn't pass through the log: an operator who gets no answer in time sends a
// configuration again, and a large one once more for each time would keep the log busy with them.
// It returns nil for other commands, and on a replica that doesn't lead.
func (r *Replica) superseded(commands []*wire.Command) *wire.Result {
	if len(commands) != 1 || r.node.Role() != quorum.Leader {
		return nil
	}
	put := commands[0].GetPutSite()
	if put == nil || !r.ledger.HasSite(put.GetVersion()) {
		return nil
	}
	return &wire.Result{Kind: wire.ResultKind_RESULT_KIND_OK, Version: r.ledger.Site().GetVersion()}
}

// SiteVersion returns the version of the newest configuration that this replica knows to be
// committed; 0 before the first one.
func (r *Replica) SiteVersion() int64 {
	r.mu.RLock()
	defer r.mu.RUnlock()
	return r.ledger.Site().GetVersion()
}

// Execute commits commands and returns one result for each. KindNotLeader means that
// nothing was done, KindLost that the commands may still be applied later.
func (r *Replica) Execute(ctx context.Context, commands []*wire.Command) ([]*wire.Result, error) {
	c := &executeCall{commands: commands, done: make(chan executeResult, 1)}
	if err := r.submit(ctx, c); err != nil {
		return nil, err
	}
	select {
	case out := <-c.done:
		return out.results, out.err
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

func (c *readCall) start(r *Replica, _ *proposal) {
	r.lastReadToken++
	if err := r.node.RequestRead(r.lastReadToken); err != nil {
		c.done <- r.notLeader("read")
		return
	}
	r.pendingReads[r.lastReadToken] = c
}

// finishReads answers the reads that have failed and those whose index has been
// applied; the others wait for the entries up to their index.
func (r *Replica) finishReads(states []quorum.ReadState) {
	for _, s := range states {
		c := r.pendingReads[s.Token]
		delete(r.pendingReads, s.Token)
		if s.Failed {
			c.done <- r.notLeader("read")
			continue
		}
		c.index = s.Index
		r.confirmedReads = append(r.confirmedReads, c)
	}
	unapplied := r.confirmedReads[:0]
	for _, c := range r.confirmedReads {
		if c.index > r.applied {
			unapplied = append(unapplied, c)
			continue
		}
		c.done <- nil
	}
	r.confirmedReads = unapplied
}

// Read runs f on a state that includes everything committed before the call. f must
// neither keep nor modify the ledger.
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

// Changed returns a channel that is closed when the ledger's revision next rises or a
// snapshot replaces the ledger.
func (r *Replica) Changed() <-chan struct{} {
	r.mu.RLock()
	defer r.mu.RUnlock()
	return r.changed
}

type membersCall struct {
	change func(*wire.Members) *wire.Members
	// commit, if set, ends with the commit of the change.
	commit *executeCall
	done   chan error
}

func (c *membersCall) refuse(err error) { c.done <- err }

func (c *membersCall) start(r *Replica, _ *proposal) {
	if r.node.Role() != quorum.Leader {
		c.done <- r.notLeader("change members")
		return
	}
	next := c.change(r.node.Members())
	if next == nil {
		c.done <- nil
		return
	}
	index, term, err := r.node.ProposeMembers(next)
	if err != nil || c.commit == nil {
		c.done <- err
		return
	}
	r.pending[index] = &proposal{term: term, calls: []*executeCall{c.commit}}
}

// ChangeMembers proposes the members that change returns, and doesn't wait for the
// commit. If change returns nil, nothing is proposed. On a replica that doesn't lead,
// the error is KindNotLeader.
func (r *Replica) ChangeMembers(ctx context.Context, change func(*wire.Members) *wire.Members) error {
	return r.changeMembersBy(ctx, &membersCall{change: change, done: make(chan error, 1)})
}

// CommitMembers proposes the members that change returns, as ChangeMembers does, and waits
// for the commit.
func (r *Replica) CommitMembers(ctx context.Context, change func(*wire.Members) *wire.Members) error {
	commit := &executeCall{done: make(chan executeResult, 1)}
	return r.changeMembersBy(ctx, &membersCall{change: change, commit: commit, done: make(chan error, 1)})
}

func (r *Replica) changeMembersBy(ctx context.Context, c *membersCall) error {
	if err := r.submit(ctx, c); err != nil {
		return err
	}
	var committed chan executeResult
	if c.commit != nil {
		committed = c.commit.done
	}
	select {
	case err := <-c.done:
		return err
	case out := <-committed:
		return out.err
	case <-r.stopped:
		return &Error{Op: "change members", Kind: KindStopped}
	case <-ctx.Done():
		return ctx.Err()
	}
}

func (r *Replica) notLeader(op string) error {
	return &Error{Op: op, Kind: KindNotLeader}
}

// failPending answers the calls whose entries may never be committed.
func (r *Replica) failPending() {
	for index, p := range r.pending {
		p.fail(&Error{Op: "execute", Kind: KindLost})
		delete(r.pending, index)
	}
}

// failAll answers all calls that were started and not answered yet.
func (r *Replica) failAll() {
	r.failPending()
	for token, c := range r.pendingReads {
		c.done <- &Error{Op: "read", Kind: KindStopped}
		delete(r.pendingReads, token)
	}
	for _, c := range r.confirmedReads {
		c.done <- &Error{Op: "read", Kind: KindStopped}
	}
	r.confirmedReads = nil
}
