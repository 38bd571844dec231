package store

import (
	"fmt"
	"os"
	"path/filepath"

	"github.com/go-faster/errors"
	"golang.org/x/sys/unix"

	"buckthornpin/wire"
)

// Save appends the hard state, unless it is nil, and the entries to the log with one
// write, followed by one sync if sync is set. After an error the content of the disk
// isn't known: all further writes return that error, and the replica has to stop or to
// open the folder again.
func (f *Folder) Save(hard *wire.HardState, entries []*wire.Entry, sync bool) error {
	if f.writeError != nil {
		return f.writeError
	}
	var err error
	f.buf, err = appendRecords(f.buf[:0], hard, entries)
	if err == nil && len(f.buf) > 0 {
		_, err = f.wal.Write(f.buf)
		f.logBytes += int64(len(f.buf))
	}
	if err == nil && sync {
		err = f.wal.Sync()
	}
	return f.setWriteError("save", err)
}

// LogBytes returns the size of the newest log file in bytes.
func (f *Folder) LogBytes() int64 { return f.logBytes }

// SaveSnapshot makes a snapshot durable, starts a new log with the hard state and the
// entries that come after the snapshot, and then removes the older files.
func (f *Folder) SaveSnapshot(s *wire.Snapshot, hard *wire.HardState, entries []*wire.Entry) error {
	if f.writeError != nil {
		return f.writeError
	}
	buf, err := encodeSnapshot(s)
	if err == nil {
		err = writeDurably(f.Path, fmt.Sprintf(snapshotPrefix+numberFormat, s.GetIndex()), buf, f.CreateFile)
	}
	if err != nil {
		return f.setWriteError("save snapshot", err)
	}
	if err := f.rotate(hard, entries); err != nil {
		return err
	}
	return f.setWriteError("remove old snapshots", f.removeAllButNewest(snapshotPrefix))
}

// Snapshot reads the newest snapshot. It returns nil if there is none.
func (f *Folder) Snapshot() (*wire.Snapshot, error) {
	c := &Content{}
	err := f.readSnapshot(c)
	return c.Snapshot, err
}

// Close closes the log and releases the lock. Further writes fail until the folder is
// opened again.
func (f *Folder) Close() error {
	var err error
	if f.wal != nil {
		err = f.wal.Close()
	}
	if f.lock != nil {
		err = errors.Join(err, f.lock.Close())
	}
	f.wal, f.lock = nil, nil
	f.writeError = &Error{Op: "save", Kind: KindIO, Err: os.ErrClosed}
	return ioError("close", err)
}

// rotate starts a new log file with the hard state and the entries. Once it is durable,
// it removes the older log files.
func (f *Folder) rotate(hard *wire.HardState, entries []*wire.Entry) error {
	buf, err := appendRecords(nil, hard, entries)
	if err != nil {
		return f.setWriteError("rotate", err)
	}
	f.logNumber++
	name := fmt.Sprintf(walPrefix+numberFormat, f.logNumber)
	if err := writeDurably(f.Path, name, buf, f.CreateFile); err != nil {
		return f.setWriteError("rotate", err)
	}
	wal, err := f.OpenFile(filepath.Join(f.Path, name))
	if err != nil {
		return f.setWriteError("rotate", err)
	}
	if f.wal != nil {
		err = f.wal.Close()
	}
	f.wal, f.logBytes = wal, int64(len(buf))
	return f.setWriteError("rotate", errors.Join(err, f.removeAllButNewest(walPrefix)))
}

// removeTemporary removes the files whose writers were killed before they were complete.
func (f *Folder) removeTemporary() error {
	names, err := filepath.Glob(filepath.Join(f.Path, "*"+tempSuffix))
	for _, name := range names {
		err = errors.Join(err, os.Remove(name))
	}
	return ioError("remove incomplete files", err)
}

// removeAllButNewest removes all files with a prefix except the newest one.
func (f *Folder) removeAllButNewest(prefix string) error {
	names, err := f.fileNames(prefix)
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

// setWriteError makes all further writes return the error, if there is one.
func (f *Folder) setWriteError(op string, err error) error {
	if err == nil {
		return nil
	}
	f.writeError = ioError(op, err)
	return f.writeError
}

// acquireLock locks the folder, so that no other process can open it.
func (f *Folder) acquireLock() error {
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

// appendRecords appends the records of the hard state and the entries to buf.
func appendRecords(buf []byte, hard *wire.HardState, entries []*wire.Entry) ([]byte, error) {
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

func openForAppend(path string) (LogFile, error) {
	return os.OpenFile(path, os.O_WRONLY|os.O_APPEND, fileMode)
}

// writeDurably creates a file that is complete or, after a crash, missing. On return it
// is on the disk.
func writeDurably(folder, name string, buf []byte, create func(path string) (LogFile, error)) error {
	temp := filepath.Join(folder, name+tempSuffix)
	if err := writeAndSync(temp, buf, create); err != nil {
		return errors.Join(err, os.Remove(temp))
	}
	if err := os.Rename(temp, filepath.Join(folder, name)); err != nil {
		return err
	}
	return syncFolder(folder)
}

func create(path string) (LogFile, error) {
	return os.OpenFile(path, os.O_CREATE|os.O_TRUNC|os.O_WRONLY, fileMode)
}

func writeAndSync(path string, buf []byte, create func(path string) (LogFile, error)) error {
	file, err := create(path)
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
	folder, err := os.Open(path)
	if err != nil {
		return err
	}
	return errors.Join(folder.Sync(), folder.Close())
}
