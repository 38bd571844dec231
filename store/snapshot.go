package store

import (
	"encoding/binary"
	"hash/crc32"
	"os"

	"google.golang.org/protobuf/proto"

	"buckthornpin/wire"
)

// snapshotTrailerBytes is the size of the checksum that ends a snapshot file.
const snapshotTrailerBytes = 4

// encodeSnapshot returns the content of a snapshot file: the snapshot and its checksum.
func encodeSnapshot(s *wire.Snapshot) ([]byte, error) {
	buf, err := proto.Marshal(s)
	if err != nil {
		return nil, err
	}
	return binary.LittleEndian.AppendUint32(buf, crc32.Checksum(buf, castagnoli)), nil
}

// DecodeSnapshot decodes the content of a snapshot file and verifies its checksum.
func DecodeSnapshot(buf []byte) (*wire.Snapshot, error) {
	if len(buf) < snapshotTrailerBytes {
		return nil, errCorrupt
	}
	body, trailer := buf[:len(buf)-snapshotTrailerBytes], buf[len(buf)-snapshotTrailerBytes:]
	if crc32.Checksum(body, castagnoli) != binary.LittleEndian.Uint32(trailer) {
		return nil, errCorrupt
	}
	s := &wire.Snapshot{}
	if err := proto.Unmarshal(body, s); err != nil {
		return nil, errCorrupt
	}
	return s, nil
}

func readSnapshotFile(path string) (*wire.Snapshot, error) {
	buf, err := os.ReadFile(path)
	if err != nil {
		return nil, err
	}
	return DecodeSnapshot(buf)
}
