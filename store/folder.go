// Package store keeps a replica's write-ahead log and snapshot in one data folder. Once
// SaveSnapshot, or Save with a sync, has returned without an error, the data is on the
// disk. Opening a folder cuts a torn tail off the log; any other damage is an error and
// is never repaired by guessing.
package store

import (
	"fmt"
	"os"
	"path/filepath"
	"slices"
	"strings"

	"github.com/go-faster/errors"

	"buckthornpin"
	"buckthornpin/wire"
)

const (
	walPrefix      = "wal-"
	snapshotPrefix = "snapshot-"
	tempSuffix     = ".tmp"
	lockName       = "lock"
	fileMode       = 0o600
	folderMode     = 0o700
	numberFormat   = "%020d"
	identityName   = "identity"
)

// LogFile is the part of an open log file that a Folder uses. Tests replace it to
// simulate failures of the disk.
type LogFile interface {
	Write(p []byte) (int, error)
	Sync() error
	Close() error
}

// Folder is an open data folder. It isn't safe for concurrent use.
type Folder struct {
	// Path is the folder's path.
	Path string
	// OpenFile opens an existing file for appending, CreateFile creates one or empties it. If
	// nil, os.OpenFile is used.
	OpenFile   func(path string) (LogFile, error)
	CreateFile func(path string) (LogFile, error)

	wal       LogFile
	logNumber uint64
	buf       []byte
	logBytes  int64
	// writeError, if set, is returned by all further writes.
	writeError error
	lock       *os.File
}

// Content is the content of a data folder when it was opened.
type Content struct {
	Identity  *wire.Identity
	HardState *wire.HardState
	Snapshot  *wire.Snapshot
	Entries   []*wire.Entry
	// TornBytes is the number of bytes of the incomplete tail that was cut off.
	TornBytes int64
}

// Init creates a data folder, or turns an empty one into the folder of a replica. A
// replica gets its identity only here: after its disk was emptied it has none, and can't
// be mistaken for the old replica. If the folder isn't empty, the error is KindExists.
func Init(path string, id *wire.Identity) error {
	if err := os.MkdirAll(path, folderMode); err != nil {
		return ioError("init", err)
	}
	files, err := os.ReadDir(path)
	if err != nil {
		return ioError("init", err)
	}
	if len(files) > 0 {
		return &Error{Op: "init", Kind: KindExists, Err: errors.Errorf("folder %s isn't empty", path)}
	}
	buf, err := AppendRecord(nil, &wire.Record{Kind: &wire.Record_Identity{Identity: id}})
	if err != nil {
		return ioError("init", err)
	}
	return writeDurably(path, identityName, buf, create)
}

// Open locks and reads the folder and starts a new log file. If the folder hasn't been
// initialised, the error is KindEmpty; if another process has it open, KindExists.
func (f *Folder) Open() (*Content, error) {
	if f.OpenFile == nil {
		f.OpenFile = openForAppend
	}
	if f.CreateFile == nil {
		f.CreateFile = create
	}
	c := &Content{}
	f.writeError = nil
	if err := f.readIdentity(c); err != nil {
		return nil, err
	}
	if err := f.acquireLock(); err != nil {
		return nil, err
	}
	if err := f.removeTemporary(); err != nil {
		return nil, err
	}
	if err := f.readSnapshot(c); err != nil {
		return nil, err
	}
	if err := f.readLogs(c); err != nil {
		return nil, err
	}
	return c, f.rotate(c.HardState, c.Entries)
}

func (f *Folder) readIdentity(c *Content) error {
	buf, err := os.ReadFile(filepath.Join(f.Path, identityName))
	if os.IsNotExist(err) {
		return &Error{Op: "open", Kind: KindEmpty, Err: errors.Errorf("folder %s holds no replica: make one with `buckthornpin init`", f.Path)}
	}
	if err != nil {
		return ioError("open", err)
	}
	r, _, err := DecodeRecord(buf)
	if err != nil || r.GetIdentity() == nil {
		return corruptError(identityName, 0, err)
	}
	c.Identity = r.GetIdentity()
	return nil
}

func (f *Folder) readSnapshot(c *Content) error {
	names, err := f.fileNames(snapshotPrefix)
	if err != nil || len(names) == 0 {
		return err
	}
	name := names[len(names)-1]
	s, err := readSnapshotFile(filepath.Join(f.Path, name))
	if err != nil {
		return corruptError(name, 0, err)
	}
	c.Snapshot = s
	return nil
}

// readLogs reads the newest log. It started with everything that the older logs held,
// and was durable before they were removed. An older log that is still there, or that
// has reappeared after a power loss, holds nothing more and may end in a torn record.
func (f *Folder) readLogs(c *Content) error {
	names, err := f.fileNames(walPrefix)
	if err != nil || len(names) == 0 {
		return err
	}
	name := names[len(names)-1]
	if _, err := fmt.Sscanf(strings.TrimPrefix(name, walPrefix), "%d", &f.logNumber); err != nil {
		return corruptError(name, 0, err)
	}
	if err := f.readLog(c, name); err != nil {
		return err
	}
	c.Entries = entriesAfter(c.Entries, c.Snapshot.GetIndex())
	return checkContiguous(c)
}

func (f *Folder) readLog(c *Content, name string) error {
	path := filepath.Join(f.Path, name)
	buf, err := os.ReadFile(path)
	if err != nil {
		return ioError("read", err)
	}
	for offset := 0; offset < len(buf); {
		r, n, err := DecodeRecord(buf[offset:])
		if errors.Is(err, errTorn) {
			c.TornBytes = int64(len(buf) - offset)
			return nil
		}
		if err != nil {
			return corruptError(name, offset, err)
		}
		c.replay(r)
		offset += n
	}
	return nil
}

// replay applies one record of the log. An entry replaces those read before it from its
// index on.
func (c *Content) replay(r *wire.Record) {
	if h := r.GetHardState(); h != nil {
		c.HardState = h
	}
	e := r.GetEntry()
	if e == nil {
		return
	}
	for len(c.Entries) > 0 && c.Entries[len(c.Entries)-1].GetIndex() >= e.GetIndex() {
		c.Entries = c.Entries[:len(c.Entries)-1]
	}
	c.Entries = append(c.Entries, e)
}

// checkContiguous checks that the entries follow the snapshot without a gap.
func checkContiguous(c *Content) error {
	want := c.Snapshot.GetIndex() + 1
	for _, e := range c.Entries {
		if e.GetIndex() != want {
			return corruptError("log", 0, errors.Errorf("found entry %d, expected entry %d", e.GetIndex(), want))
		}
		want++
	}
	return nil
}

// entriesAfter returns the entries that come after an index.
func entriesAfter(es []*wire.Entry, index uint64) []*wire.Entry {
	for i, e := range es {
		if e.GetIndex() > index {
			return es[i:]
		}
	}
	return nil
}

// fileNames returns the names of the files with a prefix, ordered by their numbers.
func (f *Folder) fileNames(prefix string) ([]string, error) {
	files, err := os.ReadDir(f.Path)
	if err != nil {
		return nil, ioError("read folder", err)
	}
	var out []string
	for _, e := range files {
		if strings.HasPrefix(e.Name(), prefix) && !strings.HasSuffix(e.Name(), tempSuffix) {
			out = append(out, e.Name())
		}
	}
	slices.Sort(out)
	return out, nil
}

func corruptError(name string, offset int, err error) error {
	return &Error{Op: "read", Kind: KindCorrupt, Err: buckthornpin.WrapIf(err, fmt.Sprintf("file %s at byte %d", name, offset))}
}
