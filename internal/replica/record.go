package replica

import (
	"bytes"
	"encoding/binary"
	"hash/crc32"

	"github.com/cockroachdb/errors"
	"google.golang.org/protobuf/proto"

	"mangokeel"
)

// A record is a header followed by a payload. The header consists of the magic bytes,
// the length of the payload, the CRC-32C of the payload and the CRC-32C of these 12
// bytes; integers are little endian. The header has a checksum of its own because a
// corrupt length would otherwise hide the records that follow.
const (
	headerSize  = 16 // bytes
	recordMagic = "mkr1"
)

// errInvalidRecord means that the bytes are not a complete record, fail a checksum or
// do not decode.
var errInvalidRecord = errors.New("incomplete or corrupt record")

func checksum(b []byte) uint32 { return crc32.Checksum(b, crc32.MakeTable(crc32.Castagnoli)) }

// encodeRecord returns a record whose payload is m.
func encodeRecord(m proto.Message) ([]byte, error) {
	b := make([]byte, headerSize, headerSize+proto.Size(m))
	b, err := proto.MarshalOptions{}.MarshalAppend(b, m)
	if err != nil {
		return nil, errors.Wrap(err, "encode record")
	}
	payload := b[headerSize:]
	copy(b, recordMagic)
	binary.LittleEndian.PutUint32(b[4:], uint32(len(payload)))
	binary.LittleEndian.PutUint32(b[8:], checksum(payload))
	binary.LittleEndian.PutUint32(b[12:], checksum(b[:12]))
	return b, nil
}

// validHeader reports whether b, of at least headerSize bytes, starts with a valid
// header.
func validHeader(b []byte) bool {
	return string(b[:4]) == recordMagic && binary.LittleEndian.Uint32(b[12:]) == checksum(b[:12])
}

// payloadSize returns the size in bytes of the payload that the valid header at the start of b
// announces.
func payloadSize(b []byte) uint64 { return uint64(binary.LittleEndian.Uint32(b[4:])) }

// isIncomplete reports whether b ends before the record at its start does. A file with such
// an end was not synced after the record was written, because a sync covers the size of the
// file; damage to synced bytes does not shorten it.
func isIncomplete(b []byte) bool {
	if len(b) < headerSize {
		return true
	}
	return validHeader(b) && uint64(len(b)-headerSize) < payloadSize(b)
}

// decodeRecord decodes the record at the start of b into m and returns its size in bytes.
func decodeRecord(b []byte, m proto.Message) (int, error) {
	if len(b) < headerSize || !validHeader(b) {
		return 0, errInvalidRecord
	}
	n := payloadSize(b)
	if uint64(len(b)-headerSize) < n {
		return 0, errInvalidRecord
	}
	payload := b[headerSize : headerSize+n]
	if checksum(payload) != binary.LittleEndian.Uint32(b[8:]) {
		return 0, errInvalidRecord
	}
	if err := proto.Unmarshal(payload, m); err != nil {
		return 0, errors.WithSecondaryError(errInvalidRecord, err)
	}
	return headerSize + int(n), nil
}

// decodeFile decodes a file that must consist of exactly one record.
func decodeFile(b []byte, m proto.Message) error {
	n, err := decodeRecord(b, m)
	if err != nil || n != len(b) {
		return errors.WithSecondaryError(mangokeel.ErrCorrupt, err)
	}
	return nil
}

// containsRecord reports whether a valid record header starts after the first byte of b.
func containsRecord(b []byte) bool {
	for i := 1; ; i++ {
		n := bytes.Index(b[min(i, len(b)):], []byte(recordMagic))
		if n < 0 {
			return false
		}
		i += n
		if len(b)-i >= headerSize && validHeader(b[i:]) {
			return true
		}
	}
}
