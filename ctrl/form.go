package ctrl

import (
	"context"
	"slices"
	"time"

	"github.com/rs/zerolog"

	"buckthornpin/store"
	"buckthornpin/wire"
)

// Formation makes the data folder of a replica that finds none: as a founder of
// the group at the system's first start, as a newcomer at any later one.
type Formation struct {
	Path string
	// Address is where the replica serves its group.
	Address string
	// Founders are the addresses of the first members. All processes of the
	// first start are told the same ones.
	Founders []string
	// FirstStart says that the system starts for the first time.
	FirstStart bool
	// NewID returns an identity that no replica had before.
	NewID func() string
	Log   zerolog.Logger
}

// firstIndex is the index and term of the snapshot with which a group begins.
const firstIndex = 1

// Form makes the folder if it doesn't hold a replica. Founders make the same
// group however often they are interrupted: their identities and the first
// snapshot follow from the addresses alone, and one whose folder is emptied
// later isn't told that it is a first start.
func (f *Formation) Form() error {
	formed, err := store.Formed(f.Path)
	if err != nil || formed {
		return err
	}
	if err := store.Clear(f.Path); err != nil {
		return err
	}
	if f.FirstStart && slices.Contains(f.Founders, f.Address) {
		f.Log.Info().Strs("founders", f.Founders).Msg("founding the control group")
		return InitFolder(f.Path, founderID(f.Address), f.founders())
	}
	id := f.NewID()
	f.Log.Info().Str("replica", id).Msg("joining the control group")
	return InitFolder(f.Path, id, nil)
}

func founderID(address string) string { return "founder-" + address }

func (f *Formation) founders() *wire.Members {
	out := &wire.Members{}
	for _, a := range slices.Sorted(slices.Values(f.Founders)) {
		out.Members = append(out.Members, &wire.Member{Id: founderID(a), Address: a})
	}
	return out
}

// InitFolder makes an empty folder into that of a replica; without members it
// has to join a group.
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

// joinInterval is the pause between two looks at whether the replica takes part
// in its group. Being taken in needs three of them; the time to catch up that
// platforms allow is seconds.
const joinInterval = 300 * time.Millisecond

// Joiner keeps a replica among the members of its group: it asks to be taken in
// whenever the replica hears no leader or doesn't vote. Its exported fields are
// set before Run.
type Joiner struct {
	Replica *Replica
	Client  *Client
	Address string
	Log     zerolog.Logger
}

// Run works until ctx ends.
func (j *Joiner) Run(ctx context.Context) error {
	for ctx.Err() == nil {
		pause(ctx, joinInterval)
		s := j.Replica.Status()
		if s.Leader != "" && j.votes(s) {
			continue
		}
		tryCtx, cancel := context.WithTimeout(ctx, callTimeout)
		err := j.Client.Join(tryCtx, &wire.Member{Id: s.ID, Address: j.Address})
		cancel()
		j.Log.Info().Str("replica", s.ID).Str("leader", s.Leader).Err(err).Msg("asked to join the control group")
	}
	return nil
}

func (j *Joiner) votes(s Status) bool {
	for _, m := range s.Members.GetMembers() {
		if m.GetId() == s.ID {
			return !m.GetLearner()
		}
	}
	return false
}
