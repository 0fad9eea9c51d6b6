// Package fleetwire holds the messages of the path for flows whose packets name both of
// their ends: frames between balancers and agents, announcements, polls, and the commands
// of the replicated log behind them.
//
// The types are generated from fleet.proto; run "make generate" after changing it and
// commit the result. Append and Split add and remove the length that precedes the header
// of a datagram.
package fleetwire

import (
	"net/netip"

	"github.com/cockroachdb/errors"
	"google.golang.org/protobuf/proto"
)

//go:generate sh -c "protoc --go_out=../.. --go_opt=module=mangokeel fleet.proto"

// MaxHeaderBytes is the largest header in bytes: a HOLD frame of 48 flows fits.
const MaxHeaderBytes = 2048

// ErrMalformedFrame marks a datagram that is not a frame.
var ErrMalformedFrame = errors.New("malformed frame")

// Append appends the header's length (2 bytes, big endian), the header and the packet
// to b.
func Append(b []byte, f *Frame, packet []byte) ([]byte, error) {
	start := len(b)
	b, err := proto.MarshalOptions{}.MarshalAppend(append(b, 0, 0), f)
	if err != nil {
		return b[:start], errors.Wrap(err, "encode frame")
	}
	n := len(b) - start - 2
	if n > MaxHeaderBytes {
		return b[:start], errors.Wrapf(ErrMalformedFrame, "header of %d bytes", n)
	}
	b[start], b[start+1] = byte(n>>8), byte(n)
	return append(b, packet...), nil
}

// Split decodes the header of b into f, which is reset first, and returns the packet,
// which aliases b.
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

// Address encodes an address and port for a frame.
func Address(a netip.AddrPort) []byte {
	b, err := a.MarshalBinary()
	if err != nil {
		return nil
	}
	return b
}

// ParseAddress is the inverse of Address. The zero value stands for bytes that are no
// address.
func ParseAddress(b []byte) netip.AddrPort {
	var a netip.AddrPort
	if err := a.UnmarshalBinary(b); err != nil {
		return netip.AddrPort{}
	}
	return a
}
