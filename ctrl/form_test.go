package ctrl

import (
	"os"
	"path/filepath"
	"testing"

	"github.com/rs/zerolog"
	"github.com/stretchr/testify/require"

	"buckthornpin/store"
	"buckthornpin/wire"
)

var founders = []string{"10.0.0.1:7", "10.0.0.2:7", "10.0.0.3:7"}

func form(t *testing.T, path, address string, first bool) *store.Content {
	t.Helper()
	return formAmong(t, founders, path, address, first)
}

func formAmong(t *testing.T, told []string, path, address string, first bool) *store.Content {
	t.Helper()
	f := &Formation{Path: path, Address: address, Founders: told, FirstStart: first, NewID: func() string { return "new" }, Log: zerolog.Nop()}
	require.NoError(t, f.Form())
	folder := &store.Folder{Path: path}
	c, err := folder.Open()
	require.NoError(t, err)
	require.NoError(t, folder.Close())
	return c
}

// TestFoundersMakeTheSameGroup whatever order they are told in.
func TestFoundersMakeTheSameGroup(t *testing.T) {
	a := form(t, t.TempDir(), founders[0], true)
	b := formAmong(t, []string{founders[2], founders[0], founders[1]}, t.TempDir(), founders[1], true)
	require.Equal(t, a.Snapshot.GetMembers().String(), b.Snapshot.GetMembers().String())
	require.NotEqual(t, a.Identity.GetReplica(), b.Identity.GetReplica())
}

// TestInterruptedFounding: a founder that is killed between its identity and its
// first snapshot has promised nothing and starts over.
func TestInterruptedFounding(t *testing.T) {
	path := filepath.Join(t.TempDir(), "data")
	require.NoError(t, store.Init(path, &wire.Identity{Replica: founderID(founders[0])}))
	require.NoError(t, os.WriteFile(filepath.Join(path, "snapshot-1.tmp"), []byte("torn"), 0o600))
	require.Len(t, form(t, path, founders[0], true).Snapshot.GetMembers().GetMembers(), 3)
}

// TestEmptiedDiskTakesANewIdentity: a founder whose folder is empty later must not
// vote under its old identity, and founds nothing.
func TestEmptiedDiskTakesANewIdentity(t *testing.T) {
	c := form(t, filepath.Join(t.TempDir(), "data"), founders[0], false)
	require.Equal(t, "new", c.Identity.GetReplica())
	require.Nil(t, c.Snapshot)
}

// TestFormedFolderIsKept over restarts, also while the first start goes on.
func TestFormedFolderIsKept(t *testing.T) {
	path := filepath.Join(t.TempDir(), "data")
	first := form(t, path, founders[0], true)
	require.Equal(t, first.Identity.GetReplica(), form(t, path, founders[0], true).Identity.GetReplica())
	require.Equal(t, first.Identity.GetReplica(), form(t, path, founders[0], false).Identity.GetReplica())
}

// TestAdmitted: a joiner becomes a learner; one at a member's address proves that
// the member's disk is gone, and replaces it in two changes.
func TestAdmitted(t *testing.T) {
	m := &wire.Members{Members: []*wire.Member{{Id: "a", Address: "1"}, {Id: "b", Address: "2"}, {Id: "c", Address: "3"}}}
	require.Nil(t, admitted(m, &wire.Member{Id: "a", Address: "1"}))
	added := admitted(m, &wire.Member{Id: "d", Address: "4"})
	require.Len(t, added.GetMembers(), 4)
	require.True(t, added.GetMembers()[3].GetLearner())
	removed := admitted(m, &wire.Member{Id: "b2", Address: "2"})
	require.Len(t, removed.GetMembers(), 2)
	again := admitted(removed, &wire.Member{Id: "b2", Address: "2"})
	require.Len(t, again.GetMembers(), 3)
	require.True(t, again.GetMembers()[2].GetLearner())
}
