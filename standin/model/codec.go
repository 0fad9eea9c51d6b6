package model

import (
	"encoding/binary"
	"net/netip"

	"github.com/cockroachdb/errors"

	"mangokeel"
)

// Codec is the model's packet format: a packet's fields in a fixed layout. Its data is only
// counted, not carried.
type Codec struct{}

var _ mangokeel.Codec = Codec{}

const (
	opening = 1 << iota
	accepting
	final
	reset
	returned
	failed
)

const packetLen = 30

// Encode returns the bytes of a packet.
func (Codec) Encode(p mangokeel.Packet) []byte {
	b := make([]byte, packetLen)
	for i, on := range []bool{p.Opening, p.Accepting, p.Final, p.Reset, p.Returned, p.Failed} {
		if on {
			b[0] |= 1 << i
		}
	}
	putAddress(b[1:], p.Source)
	putAddress(b[7:], p.Destination)
	binary.BigEndian.PutUint32(b[13:], p.Sequence)
	binary.BigEndian.PutUint32(b[17:], p.Acknowledged)
	binary.BigEndian.PutUint32(b[21:], uint32(p.Copy))
	binary.BigEndian.PutUint32(b[25:], uint32(p.Size))
	return b
}

func putAddress(b []byte, a netip.AddrPort) {
	v4 := a.Addr().As4()
	copy(b, v4[:])
	binary.BigEndian.PutUint16(b[4:], a.Port())
}

func address(b []byte) netip.AddrPort {
	return netip.AddrPortFrom(netip.AddrFrom4([4]byte(b[:4])), binary.BigEndian.Uint16(b[4:]))
}

// Parse implements mangokeel.Codec.
func (Codec) Parse(b []byte) (mangokeel.Packet, error) {
	if len(b) != packetLen {
		return mangokeel.Packet{}, errors.Newf("packet of %d bytes", len(b))
	}
	return mangokeel.Packet{
		Opening: b[0]&opening != 0, Accepting: b[0]&accepting != 0, Final: b[0]&final != 0,
		Reset: b[0]&reset != 0, Returned: b[0]&returned != 0, Failed: b[0]&failed != 0,
		Source: address(b[1:]), Destination: address(b[7:]),
		Sequence: binary.BigEndian.Uint32(b[13:]), Acknowledged: binary.BigEndian.Uint32(b[17:]),
		Copy: int(binary.BigEndian.Uint32(b[21:])), Size: int(binary.BigEndian.Uint32(b[25:])),
	}, nil
}

// Clean implements mangokeel.Codec.
func (Codec) Clean(b []byte) { b[0] &^= returned }

// Request implements mangokeel.Codec. Packets of the model carry no data.
func (Codec) Request([]byte) string { return "" }

// Reset implements mangokeel.Codec.
func (c Codec) Reset(p mangokeel.Packet) []byte {
	return c.Encode(mangokeel.Packet{Source: p.Destination, Destination: p.Source, Reset: true, Sequence: p.Acknowledged})
}
