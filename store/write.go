package store

import (
	"fmt"
	"os"
	"path/filepath"

	"github.com/go-faster/errors"
	"golang.org/x/sys/unix"

	"buckthornpin/wire"
)

// Save appends the hard state and the entries and syncs them in one go. After
// the first error the folder takes nothing more: what the disk holds then isn't
// known, and the replica has to stop.
func (f *Folder) Save(hard *wire.HardState, entries []*wire.Entry, sync bool) error {
	if f.broken != nil {
		return f.broken
	}
	var err error
	f.buf, err = appendAll(f.buf[:0], hard, entries)
	if err == nil && len(f.buf) > 0 {
		_, err = f.wal.Write(f.buf)
		f.size += int64(len(f.buf))
	}
	if err == nil && sync {
		err = f.wal.Sync()
	}
	return f.fail("save", err)
}

// LogBytes returns the size of the newest log file.
func (f *Folder) LogBytes() int64 { return f.size }

// SaveSnapshot makes a snapshot durable, starts a new log with what the
// snapshot doesn't hold, and removes the older files.
func (f *Folder) SaveSnapshot(s *wire.Snapshot, hard *wire.HardState, entries []*wire.Entry) error {
	if f.broken != nil {
		return f.broken
	}
	buf, err := encodeSnapshot(s)
	if err == nil {
		err = writeDurably(f.Path, fmt.Sprintf(snapPrefix+nameDigits, s.GetIndex()), buf)
	}
	if err != nil {
		return f.fail("save snapshot", err)
	}
	if err := f.rotate(hard, entries); err != nil {
		return err
	}
	return f.fail("remove old snapshots", f.removeBut(snapPrefix))
}

// Snapshot returns the newest snapshot, or nil.
func (f *Folder) Snapshot() (*wire.Snapshot, error) {
	c := &Content{}
	err := f.readSnapshot(c)
	return c.Snapshot, err
}

// Close closes the folder.
func (f *Folder) Close() error {
	var err error
	if f.wal != nil {
		err = f.wal.Close()
	}
	if f.lock != nil {
		err = errors.Join(err, f.lock.Close())
	}
	f.wal, f.lock = nil, nil
	f.broken = &Error{Op: "save", Kind: KindIO, Err: os.ErrClosed}
	return ioError("close", err)
}

// rotate starts a log file that holds hard and entries, and removes the older
// log files once it is durable.
func (f *Folder) rotate(hard *wire.HardState, entries []*wire.Entry) error {
	buf, err := appendAll(nil, hard, entries)
	if err != nil {
		return f.fail("rotate", err)
	}
	f.seq++
	name := fmt.Sprintf(walPrefix+nameDigits, f.seq)
	if err := writeDurably(f.Path, name, buf); err != nil {
		return f.fail("rotate", err)
	}
	wal, err := f.OpenFile(filepath.Join(f.Path, name))
	if err != nil {
		return f.fail("rotate", err)
	}
	if f.wal != nil {
		err = f.wal.Close()
	}
	f.wal, f.size = wal, int64(len(buf))
	return f.fail("rotate", errors.Join(err, f.removeBut(walPrefix)))
}

// removeBut removes all files of a prefix but the newest one.
func (f *Folder) removeBut(prefix string) error {
	names, err := f.names(prefix)
	if err != nil {
		return err
	}
	for i := 0; i < len(names)-1; i++ {
		if err := os.Remove(filepath.Join(f.Path, names[i])); err != nil {
			return err
		}
	}
	return nil
}

func (f *Folder) fail(op string, err error) error {
	if err == nil {
		return nil
	}
	f.broken = ioError(op, err)
	return f.broken
}

// takeLock keeps a second process out of the folder.
func (f *Folder) takeLock() error {
	file, err := os.OpenFile(filepath.Join(f.Path, lockName), os.O_CREATE|os.O_RDWR, fileMode)
	if err != nil {
		return ioError("lock", err)
	}
	if err := unix.Flock(int(file.Fd()), unix.LOCK_EX|unix.LOCK_NB); err != nil {
		_ = file.Close()
		return &Error{Op: "lock", Kind: KindExists, Err: errors.Errorf("folder %s is in use by another process", f.Path)}
	}
	f.lock = file
	return nil
}

func appendAll(buf []byte, hard *wire.HardState, entries []*wire.Entry) ([]byte, error) {
	var err error
	if hard != nil {
		buf, err = AppendRecord(buf, &wire.Record{Kind: &wire.Record_HardState{HardState: hard}})
	}
	for _, e := range entries {
		if err != nil {
			break
		}
		buf, err = AppendRecord(buf, &wire.Record{Kind: &wire.Record_Entry{Entry: e}})
	}
	return buf, err
}

func openForAppend(path string) (File, error) {
	return os.OpenFile(path, os.O_WRONLY|os.O_APPEND, fileMode)
}

// writeDurably makes a file appear whole or not at all.
func writeDurably(folder, name string, buf []byte) error {
	temp := filepath.Join(folder, name+tempSuffix)
	if err := writeAndSync(temp, buf); err != nil {
		return err
	}
	if err := os.Rename(temp, filepath.Join(folder, name)); err != nil {
		return err
	}
	return syncFolder(folder)
}

func writeAndSync(path string, buf []byte) error {
	file, err := os.OpenFile(path, os.O_CREATE|os.O_TRUNC|os.O_WRONLY, fileMode)
	if err != nil {
		return err
	}
	_, err = file.Write(buf)
	if err == nil {
		err = file.Sync()
	}
	return errors.Join(err, file.Close())
}

func syncFolder(path string) error {
	d, err := os.Open(path)
	if err != nil {
		return err
	}
	return errors.Join(d.Sync(), d.Close())
}
