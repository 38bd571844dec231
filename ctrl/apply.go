package ctrl

import (
	"google.golang.org/protobuf/proto"

	"buckthornpin"
	"buckthornpin/ledger"
	"buckthornpin/quorum"
	"buckthornpin/wire"
)

// apply applies a committed entry and answers the calls that wait for it.
func (r *Replica) apply(e *wire.Entry) error {
	batch := &wire.CommandBatch{}
	if err := proto.Unmarshal(e.GetData(), batch); err != nil {
		return &ledger.Error{Op: "apply", Kind: ledger.KindCorrupt, Err: err}
	}
	results := r.applyBatch(e.GetIndex(), batch)
	if r.CheckInvariants {
		if err := r.ledger.CheckInvariants(); err != nil {
			return err
		}
	}
	p := r.pending[e.GetIndex()]
	delete(r.pending, e.GetIndex())
	if p != nil {
		p.finish(e.GetTerm(), results)
	}
	return nil
}

func (r *Replica) applyBatch(index uint64, b *wire.CommandBatch) []*wire.Result {
	r.mu.Lock()
	defer r.mu.Unlock()
	before := r.ledger.Revision()
	results := make([]*wire.Result, 0, len(b.GetCommands()))
	for _, c := range b.GetCommands() {
		results = append(results, r.ledger.Apply(c))
	}
	r.metrics.commands.Add(int64(len(results)))
	r.applied = index
	if r.ledger.Revision() != before {
		r.notifyChanged()
	}
	return results
}

// notifyChanged wakes those who wait for a newer revision. The caller holds mu.
func (r *Replica) notifyChanged() {
	close(r.changed)
	r.changed = make(chan struct{})
}

// snapshotIfLarge takes a snapshot once the log has grown to SnapshotBytes. It runs
// between two rounds of work, when Advance has confirmed to the node that everything
// in the files is durable.
func (r *Replica) snapshotIfLarge() error {
	if r.Folder.LogBytes() < r.SnapshotBytes || r.node.Applied() != r.applied {
		return nil
	}
	data, err := r.ledger.Snapshot()
	if err != nil {
		return err
	}
	term, members := r.node.SnapshotMetadata(r.applied)
	s := &wire.Snapshot{Index: r.applied, Term: term, Members: members, Data: data}
	if err := r.node.Compact(r.applied); err != nil {
		return err
	}
	hard, entries := r.node.CompactedLog()
	if err := r.Folder.SaveSnapshot(s, hard, entries); err != nil {
		return err
	}
	r.Events.Record(buckthornpin.Event{Kind: buckthornpin.EventSnapshotSaved})
	return nil
}

// installSnapshot replaces the state by a snapshot that the leader has sent.
func (r *Replica) installSnapshot(ready quorum.Ready) error {
	l, err := restoreLedger(ready.Snapshot)
	if err != nil {
		return err
	}
	if err := r.Folder.SaveSnapshot(ready.Snapshot, ready.HardState, ready.Entries); err != nil {
		return err
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.ledger = l
	r.applied = ready.Snapshot.GetIndex()
	r.notifyChanged()
	return nil
}
