package wire

import (
	"github.com/cockroachdb/errors"
	"google.golang.org/protobuf/proto"
)

// MaxHeader is the largest header in bytes, so that its length fits in the two
// bytes that precede it.
const MaxHeader = 1024

// ErrPacket marks a datagram that cannot be decoded.
var ErrPacket = errors.New("malformed packet")

// AppendPacket appends the header's length (2 bytes, big endian), the header and
// the payload to b.
func AppendPacket(b []byte, h *Header, payload []byte) ([]byte, error) {
	start := len(b)
	b = append(b, 0, 0)
	b, err := proto.MarshalOptions{}.MarshalAppend(b, h)
	if err != nil {
		return b[:start], errors.Wrap(err, "encode header")
	}
	n := len(b) - start - 2
	if n > MaxHeader {
		return b[:start], errors.Wrapf(ErrPacket, "header of %d bytes", n)
	}
	b[start], b[start+1] = byte(n>>8), byte(n)
	return append(b, payload...), nil
}

// SplitPacket decodes the header of b into h, which is reset first, and returns
// the payload, which aliases b.
func SplitPacket(b []byte, h *Header) ([]byte, error) {
	if len(b) < 2 {
		return nil, ErrPacket
	}
	n := int(b[0])<<8 | int(b[1])
	if n > MaxHeader || len(b) < 2+n {
		return nil, ErrPacket
	}
	if err := proto.Unmarshal(b[2:2+n], h); err != nil {
		return nil, errors.WithSecondaryError(ErrPacket, err)
	}
	return b[2+n:], nil
}
