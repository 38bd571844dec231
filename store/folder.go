// Package store keeps a replica's write-ahead log and snapshot in one data
// folder. What Save and SaveSnapshot have returned for is on the disk; a torn
// tail is cut off, and any other damage is an error, never a guess.
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
	walPrefix    = "wal-"
	snapPrefix   = "snapshot-"
	tempSuffix   = ".tmp"
	lockName     = "lock"
	fileMode     = 0o600
	folderMode   = 0o700
	nameDigits   = "%020d"
	identityName = "identity"
)

// File is what the folder needs of an open file; tests replace it to bring
// about failures.
type File interface {
	Write(p []byte) (int, error)
	Sync() error
	Close() error
}

// Folder is an open data folder. It isn't safe for concurrent use.
type Folder struct {
	// Path is the folder's path.
	Path string
	// OpenFile opens a file for appending; os.OpenFile if nil.
	OpenFile func(path string) (File, error)

	wal    File
	seq    uint64
	buf    []byte
	size   int64
	broken error
	lock   *os.File
}

// Content is what a folder held when it was opened.
type Content struct {
	Identity  *wire.Identity
	HardState *wire.HardState
	Snapshot  *wire.Snapshot
	Entries   []*wire.Entry
	// TornBytes counts the bytes of the incomplete tail that was cut off.
	TornBytes int64
}

// Init makes an empty data folder into the folder of a replica. The identity is
// given once; an emptied disk has none, and can't pass for the old replica.
func Init(path string, id *wire.Identity) error {
	if err := os.MkdirAll(path, folderMode); err != nil {
		return ioError("init", err)
	}
	names, err := os.ReadDir(path)
	if err != nil {
		return ioError("init", err)
	}
	if len(names) > 0 {
		return &Error{Op: "init", Kind: KindExists, Err: errors.Errorf("folder %s isn't empty", path)}
	}
	buf, err := AppendRecord(nil, &wire.Record{Kind: &wire.Record_Identity{Identity: id}})
	if err != nil {
		return ioError("init", err)
	}
	return writeDurably(path, identityName, buf)
}

// Open reads the folder and makes it ready for writing.
func (f *Folder) Open() (*Content, error) {
	if f.OpenFile == nil {
		f.OpenFile = openForAppend
	}
	c := &Content{}
	f.broken = nil
	if err := f.readIdentity(c); err != nil {
		return nil, err
	}
	if err := f.takeLock(); err != nil {
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
		return corrupt(identityName, 0, err)
	}
	c.Identity = r.GetIdentity()
	return nil
}

func (f *Folder) readSnapshot(c *Content) error {
	names, err := f.names(snapPrefix)
	if err != nil || len(names) == 0 {
		return err
	}
	name := names[len(names)-1]
	s, err := readSnapshotFile(filepath.Join(f.Path, name))
	if err != nil {
		return corrupt(name, 0, err)
	}
	c.Snapshot = s
	return nil
}

// readLogs reads the newest log. It began with all that older ones held and was
// durable before they were removed; one that is still there, or is back after a loss
// of power, tells nothing more and may end in a torn record.
func (f *Folder) readLogs(c *Content) error {
	names, err := f.names(walPrefix)
	if err != nil || len(names) == 0 {
		return err
	}
	name := names[len(names)-1]
	if _, err := fmt.Sscanf(strings.TrimPrefix(name, walPrefix), "%d", &f.seq); err != nil {
		return corrupt(name, 0, err)
	}
	if err := f.readLog(c, name); err != nil {
		return err
	}
	c.Entries = after(c.Entries, c.Snapshot.GetIndex())
	return checkContiguous(c)
}

func (f *Folder) readLog(c *Content, name string) error {
	path := filepath.Join(f.Path, name)
	buf, err := os.ReadFile(path)
	if err != nil {
		return ioError("read", err)
	}
	for at := 0; at < len(buf); {
		r, n, err := DecodeRecord(buf[at:])
		if errors.Is(err, errTorn) {
			c.TornBytes = int64(len(buf) - at)
			return nil
		}
		if err != nil {
			return corrupt(name, at, err)
		}
		c.take(r)
		at += n
	}
	return nil
}

// take replays one record. An entry replaces the entries from its index on.
func (c *Content) take(r *wire.Record) {
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

func checkContiguous(c *Content) error {
	want := c.Snapshot.GetIndex() + 1
	for _, e := range c.Entries {
		if e.GetIndex() != want {
			return corrupt("log", 0, errors.Errorf("entry %d stands where %d is expected", e.GetIndex(), want))
		}
		want++
	}
	return nil
}

func after(es []*wire.Entry, index uint64) []*wire.Entry {
	for i, e := range es {
		if e.GetIndex() > index {
			return es[i:]
		}
	}
	return nil
}

// names returns the files with a prefix, ordered by number.
func (f *Folder) names(prefix string) ([]string, error) {
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

func corrupt(name string, at int, err error) error {
	return &Error{Op: "read", Kind: KindCorrupt, Err: buckthornpin.WrapIf(err, fmt.Sprintf("file %s at byte %d", name, at))}
}
