package stand

import (
	"io/fs"
	"os"
	"path/filepath"
	"sync"
	"syscall"
)

// Disk stands in for the disk of one folder. It can be made full. A write to a full disk writes
// what fits and fails.
type Disk struct {
	Folder string

	mu sync.Mutex
	// room is the number of bytes that all files may take; 0 means that it isn't limited.
	room int64
	full bool
}

// SetRoom limits the number of bytes that all files may take; 0 removes the limit.
func (d *Disk) SetRoom(bytes int64) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.room = bytes
}

// SetFull makes the disk refuse every write, or take writes again.
func (d *Disk) SetFull(full bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.full = full
}

// Append opens an existing file for appending.
func (d *Disk) Append(path string) (*DiskFile, error) {
	return d.open(path, os.O_WRONLY|os.O_APPEND)
}

// Create creates a file, or empties it if it exists.
func (d *Disk) Create(path string) (*DiskFile, error) {
	return d.open(path, os.O_CREATE|os.O_TRUNC|os.O_WRONLY)
}

func (d *Disk) open(path string, flags int) (*DiskFile, error) {
	file, err := os.OpenFile(path, flags, 0o600)
	return &DiskFile{File: file, disk: d}, err
}

// left returns how many of n further bytes fit.
func (d *Disk) left(n int64) int64 {
	d.mu.Lock()
	defer d.mu.Unlock()
	switch {
	case d.full:
		return 0
	case d.room == 0:
		return n
	}
	used := int64(0)
	_ = filepath.WalkDir(d.Folder, func(_ string, e fs.DirEntry, err error) error {
		if err != nil || e.IsDir() {
			return err
		}
		info, err := e.Info()
		if err == nil {
			used += info.Size()
		}
		return err
	})
	return max(min(n, d.room-used), 0)
}

// DiskFile is a file on a Disk.
type DiskFile struct {
	*os.File
	disk *Disk
}

// Write implements io.Writer.
func (f *DiskFile) Write(p []byte) (int, error) {
	fits := f.disk.left(int64(len(p)))
	n, err := f.File.Write(p[:fits])
	if err == nil && n < len(p) {
		err = syscall.ENOSPC
	}
	return n, err
}
