package fabric

import (
	"net"
	"net/netip"

	"github.com/cockroachdb/errors"

	"mangokeel"
)

// socketBufferSize is the requested size of the kernel's receive and send buffers
// of each UDP socket, in bytes. The kernel's default of about 200 KB overflows
// during bursts of a few milliseconds.
const socketBufferSize = 4 << 20

// udpFabric implements mangokeel.Fabric with a UDP socket.
type udpFabric struct{ conn *net.UDPConn }

var _ mangokeel.Fabric = udpFabric{}

// ReadPacket implements mangokeel.Fabric.
func (f udpFabric) ReadPacket(b []byte) (int, netip.AddrPort, error) {
	n, a, err := f.conn.ReadFromUDPAddrPort(b)
	return n, unmap(a), err
}

// WritePacket implements mangokeel.Fabric.
func (f udpFabric) WritePacket(b []byte, caller netip.AddrPort) error {
	_, err := f.conn.WriteToUDPAddrPort(b, caller)
	return err
}

// Close implements mangokeel.Fabric.
func (f udpFabric) Close() error { return f.conn.Close() }

// ListenPackets opens the UDP socket of a service.
func ListenPackets(a netip.AddrPort) (mangokeel.Fabric, error) {
	c, err := listenUDP(a)
	if err != nil {
		return nil, err
	}
	return udpFabric{c}, nil
}

func listenUDP(a netip.AddrPort) (*net.UDPConn, error) {
	c, err := net.ListenUDP("udp", net.UDPAddrFromAddrPort(a))
	if err != nil {
		return nil, errors.Wrap(err, "listen for UDP packets")
	}
	// Errors are ignored because the socket works with smaller buffers too. The
	// kernel also silently caps the sizes at its own limits.
	_ = c.SetReadBuffer(socketBufferSize)
	_ = c.SetWriteBuffer(socketBufferSize)
	return c, nil
}

// unmap converts an IPv4-mapped IPv6 address to IPv4.
func unmap(a netip.AddrPort) netip.AddrPort {
	return netip.AddrPortFrom(a.Addr().Unmap(), a.Port())
}
