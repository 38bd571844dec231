package store

import (
	"fmt"
	"os"
	"path/filepath"
	"syscall"
	"testing"

	"github.com/stretchr/testify/require"
	"google.golang.org/protobuf/proto"

	"buckthornpin/wire"
)

func newFolder(t *testing.T) string {
	t.Helper()
	path := filepath.Join(t.TempDir(), "data")
	require.NoError(t, Init(path, &wire.Identity{Replica: "r1"}))
	return path
}

func open(t *testing.T, path string) (*Folder, *Content) {
	t.Helper()
	f := &Folder{Path: path}
	c, err := f.Open()
	require.NoError(t, err)
	return f, c
}

func entries(first, last uint64) []*wire.Entry {
	var out []*wire.Entry
	for i := first; i <= last; i++ {
		out = append(out, &wire.Entry{Index: i, Term: 1, Data: fmt.Appendf(nil, "entry %d", i)})
	}
	return out
}

func requireEntries(t *testing.T, want, got []*wire.Entry) {
	t.Helper()
	require.Len(t, got, len(want))
	for i := range want {
		require.True(t, proto.Equal(want[i], got[i]), "entry %d", i)
	}
}

func newestLog(t *testing.T, path string) string {
	t.Helper()
	f := &Folder{Path: path}
	names, err := f.fileNames(walPrefix)
	require.NoError(t, err)
	return filepath.Join(path, names[len(names)-1])
}

func TestSavedEntriesAreRead(t *testing.T) {
	path := newFolder(t)
	f, _ := open(t, path)
	require.NoError(t, f.Save(&wire.HardState{Term: 2, Vote: "r1"}, entries(1, 3), true))
	require.NoError(t, f.Save(nil, entries(3, 5), true))
	require.NoError(t, f.Close())
	_, c := open(t, path)
	require.Equal(t, uint64(2), c.HardState.GetTerm())
	requireEntries(t, entries(1, 5), c.Entries)
}

func TestTornTailIsCutOff(t *testing.T) {
	for cut := 1; cut < 20; cut++ {
		t.Run(fmt.Sprintf("%d bytes short", cut), func(t *testing.T) {
			path := newFolder(t)
			f, _ := open(t, path)
			require.NoError(t, f.Save(nil, entries(1, 3), true))
			require.NoError(t, f.Close())
			name := newestLog(t, path)
			info, err := os.Stat(name)
			require.NoError(t, err)
			require.NoError(t, os.Truncate(name, info.Size()-int64(cut)))
			_, c := open(t, path)
			requireEntries(t, entries(1, 2), c.Entries)
			require.Positive(t, c.TornBytes)
		})
	}
}

// TestOlderLogComesBack: two power losses in a row. The first leaves a torn tail; the
// replica cuts it off, starts a new log and removes the old one. After the second, the
// old log is back with its torn tail, because neither the cut nor the removal was
// synced. It must be ignored: the new log holds everything.
func TestOlderLogComesBack(t *testing.T) {
	path := newFolder(t)
	f, _ := open(t, path)
	require.NoError(t, f.Save(&wire.HardState{Term: 2}, entries(1, 3), true))
	require.NoError(t, f.Close())
	older := newestLog(t, path)
	data, err := os.ReadFile(older)
	require.NoError(t, err)
	torn := data[:len(data)-5]
	require.NoError(t, os.WriteFile(older, torn, fileMode))

	f, _ = open(t, path)
	require.NoError(t, f.Save(nil, entries(3, 4), true))
	require.NoError(t, f.Close())
	require.NoError(t, os.WriteFile(older, torn, fileMode))

	_, c := open(t, path)
	requireEntries(t, entries(1, 4), c.Entries)
	require.Equal(t, uint64(2), c.HardState.GetTerm())
	require.Len(t, logNames(t, path), 1, "the older log is removed again")
}

func TestZeroFilledTailIsCutOff(t *testing.T) {
	path := newFolder(t)
	f, _ := open(t, path)
	require.NoError(t, f.Save(nil, entries(1, 3), true))
	require.NoError(t, f.Close())
	log, err := os.OpenFile(newestLog(t, path), os.O_WRONLY|os.O_APPEND, 0)
	require.NoError(t, err)
	_, err = log.Write(make([]byte, 4096))
	require.NoError(t, err)
	require.NoError(t, log.Close())
	_, c := open(t, path)
	requireEntries(t, entries(1, 3), c.Entries)
}

// TestFlippedBitIsFound flips each bit of the log, one at a time. Each flip is found: it
// is neither mistaken for a torn tail nor decoded as other data.
func TestFlippedBitIsFound(t *testing.T) {
	path := newFolder(t)
	f, _ := open(t, path)
	require.NoError(t, f.Save(&wire.HardState{Term: 2}, entries(1, 3), true))
	require.NoError(t, f.Close())
	name := newestLog(t, path)
	good, err := os.ReadFile(name)
	require.NoError(t, err)
	for bit := range len(good) * 8 {
		bad := append([]byte(nil), good...)
		bad[bit/8] ^= 1 << (bit % 8)
		require.NoError(t, os.WriteFile(name, bad, fileMode))
		again := &Folder{Path: path}
		_, err := again.Open()
		require.ErrorIs(t, err, &Error{Kind: KindCorrupt}, "bit %d", bit)
		_ = again.Close()
	}
}

func TestFlippedBitInSnapshotIsFound(t *testing.T) {
	path := newFolder(t)
	f, _ := open(t, path)
	require.NoError(t, f.SaveSnapshot(&wire.Snapshot{Index: 7, Term: 2, Data: []byte("state")}, nil, nil))
	require.NoError(t, f.Close())
	names, err := f.fileNames(snapshotPrefix)
	require.NoError(t, err)
	name := filepath.Join(path, names[0])
	good, err := os.ReadFile(name)
	require.NoError(t, err)
	for i := range good {
		bad := append([]byte(nil), good...)
		bad[i] ^= 4
		_, err := DecodeSnapshot(bad)
		require.Error(t, err, "byte %d", i)
	}
}

func TestSnapshotReplacesTheLog(t *testing.T) {
	path := newFolder(t)
	f, _ := open(t, path)
	require.NoError(t, f.Save(nil, entries(1, 9), true))
	require.NoError(t, f.SaveSnapshot(&wire.Snapshot{Index: 7, Term: 1}, &wire.HardState{Term: 3, Commit: 7}, entries(8, 9)))
	require.NoError(t, f.Save(nil, entries(10, 10), true))
	require.NoError(t, f.Close())
	_, c := open(t, path)
	require.Equal(t, uint64(7), c.Snapshot.GetIndex())
	require.Equal(t, uint64(3), c.HardState.GetTerm())
	requireEntries(t, entries(8, 10), c.Entries)
	require.Len(t, logNames(t, path), 1, "older logs are removed")
}

func logNames(t *testing.T, path string) []string {
	t.Helper()
	names, err := (&Folder{Path: path}).fileNames(walPrefix)
	require.NoError(t, err)
	return names
}

func TestEmptiedFolderIsRefused(t *testing.T) {
	f := &Folder{Path: t.TempDir()}
	_, err := f.Open()
	require.ErrorIs(t, err, &Error{Kind: KindEmpty})
}

func TestInitRefusesNonEmptyFolder(t *testing.T) {
	require.ErrorIs(t, Init(newFolder(t), &wire.Identity{Replica: "r1"}), &Error{Kind: KindExists})
}

func TestSecondProcessIsKeptOut(t *testing.T) {
	path := newFolder(t)
	open(t, path)
	_, err := (&Folder{Path: path}).Open()
	require.ErrorIs(t, err, &Error{Kind: KindExists})
}

// failingFile is a file whose writes and syncs can be made to fail. A failing write
// writes half of the data.
type failingFile struct {
	LogFile
	writeErr, syncErr error
}

func (f *failingFile) Write(p []byte) (int, error) {
	if f.writeErr != nil {
		n, _ := f.LogFile.Write(p[:len(p)/2])
		return n, f.writeErr
	}
	return f.LogFile.Write(p)
}

func (f *failingFile) Sync() error {
	if f.syncErr != nil {
		return f.syncErr
	}
	return f.LogFile.Sync()
}

func TestDiskFailures(t *testing.T) {
	scenarios := []struct {
		description       string
		writeErr, syncErr error
	}{
		{"a full disk", syscall.ENOSPC, nil},
		{"a failed sync", nil, syscall.EIO},
	}
	for _, s := range scenarios {
		t.Run(s.description, func(t *testing.T) {
			path := newFolder(t)
			file := &failingFile{}
			f := &Folder{Path: path, OpenFile: func(name string) (LogFile, error) {
				real, err := openForAppend(name)
				file.LogFile = real
				return file, err
			}}
			_, err := f.Open()
			require.NoError(t, err)
			require.NoError(t, f.Save(nil, entries(1, 2), true))
			file.writeErr, file.syncErr = s.writeErr, s.syncErr
			require.ErrorIs(t, f.Save(nil, entries(3, 3), true), &Error{Kind: KindIO})
			file.writeErr, file.syncErr = nil, nil
			require.Error(t, f.Save(nil, entries(3, 3), true), "writes are refused after a failure")
			require.NoError(t, f.Close())
			_, c := open(t, path)
			require.GreaterOrEqual(t, len(c.Entries), 2, "acknowledged entries are still there")
			requireEntries(t, entries(1, 2), c.Entries[:2])
		})
	}
}

func FuzzDecodeRecord(f *testing.F) {
	for _, e := range entries(1, 3) {
		buf, err := AppendRecord(nil, &wire.Record{Kind: &wire.Record_Entry{Entry: e}})
		require.NoError(f, err)
		f.Add(buf)
	}
	f.Fuzz(func(t *testing.T, data []byte) {
		r, n, err := DecodeRecord(data)
		if err != nil {
			return
		}
		require.LessOrEqual(t, n, len(data))
		require.NotNil(t, r.GetKind())
	})
}

func FuzzDecodeSnapshot(f *testing.F) {
	buf, err := encodeSnapshot(&wire.Snapshot{Index: 7, Term: 2, Data: []byte("state")})
	require.NoError(f, err)
	f.Add(buf)
	f.Fuzz(func(_ *testing.T, data []byte) {
		_, _ = DecodeSnapshot(data)
	})
}
