package packet

import (
	"net"
	"net/netip"
	"sync"

	"github.com/cockroachdb/errors"
)

const (
	// maxDatagramSize is the read buffer in bytes. It is larger than any packet with a frame header.
	maxDatagramSize = 4 << 10
	// receiveBufferSize is the socket's receive buffer in bytes. It holds the packets that arrive
	// while the process is paused for some 100 ms.
	receiveBufferSize = 1 << 20
)

// Socket is a UDP socket with one reading goroutine.
type Socket struct {
	conn   *net.UDPConn
	reader sync.WaitGroup
}

// OpenSocket binds a UDP socket to an IPv4 address.
func OpenSocket(addr netip.AddrPort) (*Socket, error) {
	conn, err := net.ListenUDP("udp4", net.UDPAddrFromAddrPort(addr))
	if err != nil {
		return nil, errors.Wrapf(err, "open packet socket %s", addr)
	}
	// The kernel may cap the size; the socket works with less.
	_ = conn.SetReadBuffer(receiveBufferSize)
	return &Socket{conn: conn}, nil
}

// Serve starts a goroutine that calls fn with each datagram. fn must not retain b.
func (s *Socket) Serve(fn func(b []byte)) {
	s.reader.Go(func() {
		b := make([]byte, maxDatagramSize)
		for {
			n, _, err := s.conn.ReadFromUDPAddrPort(b)
			switch {
			case errors.Is(err, net.ErrClosed):
				return
			case err != nil:
				continue // ICMP error: an earlier datagram could not be delivered
			}
			fn(b[:n])
		}
	})
}

// Send sends a datagram. Errors are ignored, since datagrams may be lost anyway.
func (s *Socket) Send(to netip.AddrPort, b []byte) {
	_, _ = s.conn.WriteToUDPAddrPort(b, to)
}

// Close closes the socket and waits for the reader to end.
func (s *Socket) Close() {
	s.conn.Close()
	s.reader.Wait()
}

// BalancerLink implements Link over sockets: frames leave through HintSocket, packets to callers
// through CallerSocket.
type BalancerLink struct {
	CallerSocket, HintSocket *Socket
	// CallerPort is the UDP port on which all callers receive.
	CallerPort uint16
}

// SendFrame implements Link.
func (l BalancerLink) SendFrame(to netip.AddrPort, b []byte) { l.HintSocket.Send(to, b) }

// SendToTarget implements Link. It does nothing, since balancers have no target.
func (BalancerLink) SendToTarget([]byte) {}

// SendToCaller implements Link.
func (l BalancerLink) SendToCaller(to netip.Addr, b []byte) {
	l.CallerSocket.Send(netip.AddrPortFrom(to, l.CallerPort), b)
}

// AgentLink implements Link over sockets: packets to the target leave through TargetSocket, to
// which the target also sends; everything else leaves through FrameSocket.
type AgentLink struct {
	FrameSocket, TargetSocket *Socket
	TargetAddress             netip.AddrPort
	CallerPort                uint16
}

// SendFrame implements Link.
func (l AgentLink) SendFrame(to netip.AddrPort, b []byte) { l.FrameSocket.Send(to, b) }

// SendToTarget implements Link.
func (l AgentLink) SendToTarget(b []byte) { l.TargetSocket.Send(l.TargetAddress, b) }

// SendToCaller implements Link.
func (l AgentLink) SendToCaller(to netip.Addr, b []byte) {
	l.FrameSocket.Send(netip.AddrPortFrom(to, l.CallerPort), b)
}
