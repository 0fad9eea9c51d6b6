package wire

import (
	"encoding/binary"
	"net/netip"
)

// SplitAddr returns the halves of an address as they stand in a Header.
func SplitAddr(a netip.Addr) (high, low uint64) {
	b := a.As16()
	return binary.BigEndian.Uint64(b[:8]), binary.BigEndian.Uint64(b[8:])
}

// JoinAddr is the inverse of SplitAddr. IPv4 addresses come back unmapped.
func JoinAddr(high, low uint64) netip.Addr {
	var b [16]byte
	binary.BigEndian.PutUint64(b[:8], high)
	binary.BigEndian.PutUint64(b[8:], low)
	return netip.AddrFrom16(b).Unmap()
}

// SetCaller stores the caller's address.
func (h *Header) SetCaller(a netip.AddrPort) {
	h.CallerHigh, h.CallerLow = SplitAddr(a.Addr())
	h.CallerPort = uint32(a.Port())
}

// Caller returns the caller's address.
func (h *Header) Caller() netip.AddrPort {
	return netip.AddrPortFrom(JoinAddr(h.CallerHigh, h.CallerLow), uint16(h.CallerPort))
}

// SetVia stores the data address of the balancer.
func (h *Header) SetVia(a netip.AddrPort) {
	h.ViaHigh, h.ViaLow = SplitAddr(a.Addr())
	h.ViaPort = uint32(a.Port())
}

// Via returns the data address of the balancer.
func (h *Header) Via() netip.AddrPort {
	return netip.AddrPortFrom(JoinAddr(h.ViaHigh, h.ViaLow), uint16(h.ViaPort))
}

// Addr returns the hop's agent address, or the zero value if it is malformed.
func (h *Hop) Addr() netip.AddrPort {
	a, ok := netip.AddrFromSlice(h.GetIp())
	if !ok || h.GetPort() > 65535 {
		return netip.AddrPort{}
	}
	return netip.AddrPortFrom(a.Unmap(), uint16(h.GetPort()))
}

// NewHop returns a chain member.
func NewHop(handle uint32, a netip.AddrPort) *Hop {
	return &Hop{Handle: handle, Ip: a.Addr().AsSlice(), Port: uint32(a.Port())}
}
