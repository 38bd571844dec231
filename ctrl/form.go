package ctrl

import (
	"context"
	"slices"
	"sync/atomic"
	"time"

	"github.com/rs/zerolog"

	"buckthornpin"
	"buckthornpin/store"
	"buckthornpin/wire"
)

// Bootstrap creates the data folder of a replica that has none: as a founder of the
// group at the system's first start, and at any later start as a new replica that has
// to join the group.
type Bootstrap struct {
	Path string
	// Address is the address at which the replica serves its group.
	Address string
	// Founders are the addresses of the first members. They have to be the same in
	// all processes of the first start.
	Founders []string
	// FirstStart says that the system starts for the first time.
	FirstStart bool
	// NewID returns an identity that no replica has had before.
	NewID func() string
	Log   zerolog.Logger
}

// firstIndex is the index and the term of the snapshot with which a group starts.
const firstIndex = 1

// EnsureFolder creates the folder unless it holds a replica. The founders create the
// same group however often they are interrupted, because their identities and the first
// snapshot depend on the addresses alone. A founder whose folder is emptied later runs
// without FirstStart, and so can't found the group a second time.
func (b *Bootstrap) EnsureFolder() error {
	exists, err := store.HasReplica(b.Path)
	if err != nil || exists {
		return err
	}
	if err := store.Clear(b.Path); err != nil {
		return err
	}
	if b.FirstStart && slices.Contains(b.Founders, b.Address) {
		b.Log.Info().Strs("founders", b.Founders).Msg("founding the control group")
		return InitFolder(b.Path, founderID(b.Address), b.founders())
	}
	id := b.NewID()
	b.Log.Info().Str("replica", id).Msg("joining the control group")
	return InitFolder(b.Path, id, nil)
}

func founderID(address string) string { return "founder-" + address }

func (b *Bootstrap) founders() *wire.Members {
	out := &wire.Members{}
	for _, a := range slices.Sorted(slices.Values(b.Founders)) {
		out.Members = append(out.Members, &wire.Member{Id: founderID(a), Address: a})
	}
	return out
}

// InitFolder turns an empty folder into the data folder of a replica. A replica
// without members has to join a group.
func InitFolder(path, replica string, members *wire.Members) error {
	if err := store.Init(path, &wire.Identity{Replica: replica}); err != nil {
		return err
	}
	if len(members.GetMembers()) == 0 {
		return nil
	}
	f := &store.Folder{Path: path}
	if _, err := f.Open(); err != nil {
		return err
	}
	s := &wire.Snapshot{Index: firstIndex, Term: firstIndex, Members: members}
	if err := f.SaveSnapshot(s, &wire.HardState{Term: firstIndex, Commit: firstIndex}, nil); err != nil {
		return err
	}
	return f.Close()
}

// joinInterval is the interval at which a replica checks that it is a voter of its
// group. Joining takes three intervals, and platforms allow seconds to catch up.
const joinInterval = 300 * time.Millisecond

// Joiner keeps a replica among the members of its group. It asks the group to add the
// replica whenever the replica has no known leader or isn't a voter. The exported fields
// are set before Run.
type Joiner struct {
	Replica *Replica
	Client  *Client
	Address string
	Log     zerolog.Logger

	stopping atomic.Bool
}

// Stop tells the group that the replica is about to stop, and no longer asks to join.
func (j *Joiner) Stop(ctx context.Context) {
	j.stopping.Store(true)
	id := j.Replica.Status().ID
	err := j.Client.Leave(ctx, id)
	j.Log.Info().Str("replica", id).Err(err).Msg("told the control group that the replica stops")
}

// Run checks the membership at intervals until ctx ends.
func (j *Joiner) Run(ctx context.Context) error {
	for ctx.Err() == nil {
		buckthornpin.Wait(ctx, joinInterval)
		s := j.Replica.Status()
		if j.stopping.Load() || s.Leader != "" && j.isVoter(s) {
			continue
		}
		joinCtx, cancel := context.WithTimeout(ctx, callTimeout)
		err := j.Client.Join(joinCtx, &wire.Member{Id: s.ID, Address: j.Address})
		cancel()
		j.Log.Info().Str("replica", s.ID).Str("leader", s.Leader).Err(err).Msg("asked to join the control group")
	}
	return nil
}

func (j *Joiner) isVoter(s Status) bool {
	for _, m := range s.Members.GetMembers() {
		if m.GetId() == s.ID {
			return !m.GetLearner()
		}
	}
	return false
}
