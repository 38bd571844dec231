package store

import (
	"os"
	"path/filepath"
	"strings"
)

// HasReplica reports whether a folder holds a replica that may have taken part in a
// group: one with an identity and a snapshot. Before its first snapshot is durable, a
// replica acknowledges nothing.
func HasReplica(path string) (bool, error) {
	files, err := os.ReadDir(path)
	if os.IsNotExist(err) {
		return false, nil
	}
	if err != nil {
		return false, ioError("read folder", err)
	}
	identity, snapshot := false, false
	for _, e := range files {
		identity = identity || e.Name() == identityName
		snapshot = snapshot || strings.HasPrefix(e.Name(), snapshotPrefix) && !strings.HasSuffix(e.Name(), tempSuffix)
	}
	return identity && snapshot, nil
}

// Clear removes the files that an interrupted start has left in a folder for which
// HasReplica reports false.
func Clear(path string) error {
	files, err := os.ReadDir(path)
	if os.IsNotExist(err) {
		return nil
	}
	if err != nil {
		return ioError("clear", err)
	}
	for _, e := range files {
		if err := os.Remove(filepath.Join(path, e.Name())); err != nil {
			return ioError("clear", err)
		}
	}
	return ioError("clear", syncFolder(path))
}
