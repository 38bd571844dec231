package store

import (
	"encoding/binary"
	"hash/crc32"

	"github.com/go-faster/errors"
	"google.golang.org/protobuf/proto"

	"buckthornpin/wire"
)

const (
	// headerBytes is the size of a record's header: the payload's length, the
	// checksum of the length and the checksum of the payload, each a little-endian
	// uint32. The length has its own checksum so that a flipped bit in it isn't
	// mistaken for a torn tail.
	headerBytes = 12
	// MaxRecordBytes is the largest payload of a record in bytes.
	MaxRecordBytes = 64 << 20
)

var castagnoli = crc32.MakeTable(crc32.Castagnoli)

var (
	errTorn    = errors.New("record is cut short")
	errCorrupt = errors.New("wrong checksum or invalid encoding")
)

// AppendRecord appends the encoded record to buf. A payload above MaxRecordBytes is an
// error.
func AppendRecord(buf []byte, r *wire.Record) ([]byte, error) {
	start := len(buf)
	buf = append(buf, make([]byte, headerBytes)...)
	buf, err := proto.MarshalOptions{}.MarshalAppend(buf, r)
	if err != nil {
		return buf[:start], errors.Wrap(err, "encode record")
	}
	payload := buf[start+headerBytes:]
	if len(payload) > MaxRecordBytes {
		return buf[:start], errors.Errorf("record of %d bytes: expected at most %d", len(payload), MaxRecordBytes)
	}
	binary.LittleEndian.PutUint32(buf[start:], uint32(len(payload)))
	binary.LittleEndian.PutUint32(buf[start+4:], crc32.Checksum(buf[start:start+4], castagnoli))
	binary.LittleEndian.PutUint32(buf[start+8:], crc32.Checksum(payload, castagnoli))
	return buf, nil
}

// DecodeRecord decodes the first record of buf and returns it with its encoded size in
// bytes. An incomplete record at the end of a file, or an end that is all zero, is
// errTorn; any other damage is errCorrupt.
func DecodeRecord(buf []byte) (*wire.Record, int, error) {
	if len(buf) < headerBytes || allZero(buf) {
		return nil, 0, errTorn
	}
	size := int(binary.LittleEndian.Uint32(buf))
	lengthSum := binary.LittleEndian.Uint32(buf[4:])
	if size == 0 || size > MaxRecordBytes || crc32.Checksum(buf[:4], castagnoli) != lengthSum {
		return nil, 0, errCorrupt
	}
	if len(buf) < headerBytes+size {
		return nil, 0, errTorn
	}
	payload := buf[headerBytes : headerBytes+size]
	if crc32.Checksum(payload, castagnoli) != binary.LittleEndian.Uint32(buf[8:]) {
		return nil, 0, errCorrupt
	}
	r := &wire.Record{}
	if err := proto.Unmarshal(payload, r); err != nil || r.GetKind() == nil {
		return nil, 0, errCorrupt
	}
	return r, headerBytes + size, nil
}

func allZero(buf []byte) bool {
	for _, b := range buf {
		if b != 0 {
			return false
		}
	}
	return true
}
