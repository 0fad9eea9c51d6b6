// Package fleetwire defines the messages for flows whose packets carry the addresses of both
// ends: frames between balancers and agents, announcements, polls, and the commands of the
// replicated log.
//
// The types are generated from fleet.proto; run "make generate" after changing it and
// commit the result. Append and Split encode and decode datagrams, which consist of the
// length of the header, the header and a packet.
package fleetwire

import (
	"net/netip"

	"github.com/cockroachdb/errors"
	"google.golang.org/protobuf/proto"
)

//go:generate sh -c "protoc --go_out=../.. --go_opt=module=mangokeel fleet.proto"

// MaxHeaderBytes is the maximum size of a header. It fits a HOLD frame with 48 flows.
const MaxHeaderBytes = 2048

// ErrMalformedFrame is returned for datagrams that are not frames and for headers that are too
// large.
var ErrMalformedFrame = errors.New("malformed frame")

// Append appends the header's length (2 bytes, big endian), the header and the packet to b.
func Append(b []byte, f *Frame, packet []byte) ([]byte, error) {
	start := len(b)
	b, err := proto.MarshalOptions{}.MarshalAppend(append(b, 0, 0), f)
	if err != nil {
		return b[:start], errors.Wrap(err, "encode frame")
	}
	n := len(b) - start - 2
	if n > MaxHeaderBytes {
		return b[:start], errors.Wrapf(ErrMalformedFrame, "header of %d bytes exceeds the limit of %d bytes", n, MaxHeaderBytes)
	}
	b[start], b[start+1] = byte(n>>8), byte(n)
	return append(b, packet...), nil
}

// Split decodes the header of b into f, which is reset first, and returns the packet. The
// packet aliases b.
func Split(b []byte, f *Frame) ([]byte, error) {
	if len(b) < 2 {
		return nil, ErrMalformedFrame
	}
	n := int(b[0])<<8 | int(b[1])
	if n > MaxHeaderBytes || len(b) < 2+n {
		return nil, ErrMalformedFrame
	}
	if err := proto.Unmarshal(b[2:2+n], f); err != nil {
		return nil, errors.WithSecondaryError(ErrMalformedFrame, err)
	}
	return b[2+n:], nil
}

// Address encodes an address and port as 4 or 16 bytes of IP and 2 bytes of port.
func Address(a netip.AddrPort) []byte {
	b, err := a.MarshalBinary()
	if err != nil {
		return nil
	}
	return b
}

// ParseAddress is the inverse of Address. It returns the zero value if b is malformed.
func ParseAddress(b []byte) netip.AddrPort {
	var a netip.AddrPort
	if err := a.UnmarshalBinary(b); err != nil {
		return netip.AddrPort{}
	}
	return a
}
