package packet

import (
	"net"
	"net/netip"
	"sync"

	"github.com/cockroachdb/errors"
)

const (
	// maxDatagramSize is larger than any packet with a frame's header.
	maxDatagramSize = 4 << 10
	// receiveBufferSize holds the packets of some 100 ms in which a process does not run.
	receiveBufferSize = 1 << 20
)

// Socket is a UDP socket with one reader.
type Socket struct {
	conn   *net.UDPConn
	reader sync.WaitGroup
}

// OpenSocket opens a socket.
func OpenSocket(addr netip.AddrPort) (*Socket, error) {
	conn, err := net.ListenUDP("udp4", net.UDPAddrFromAddrPort(addr))
	if err != nil {
		return nil, errors.Wrapf(err, "open packet socket %s", addr)
	}
	// The system may allow less.
	_ = conn.SetReadBuffer(receiveBufferSize)
	return &Socket{conn: conn}, nil
}

// Serve starts to hand each datagram to fn, which must not keep it.
func (s *Socket) Serve(fn func(b []byte)) {
	s.reader.Go(func() {
		b := make([]byte, maxDatagramSize)
		for {
			n, _, err := s.conn.ReadFromUDPAddrPort(b)
			switch {
			case errors.Is(err, net.ErrClosed):
				return
			case err != nil:
				continue // an earlier datagram could not be delivered
			}
			fn(b[:n])
		}
	})
}

// Send sends a datagram. Datagrams may be lost, so there is no outcome.
func (s *Socket) Send(to netip.AddrPort, b []byte) {
	_, _ = s.conn.WriteToUDPAddrPort(b, to)
}

// Close ends the reader.
func (s *Socket) Close() {
	s.conn.Close()
	s.reader.Wait()
}

// BalancerLink sends through sockets: frames from the one for hints, packets to callers
// from the one for callers.
type BalancerLink struct {
	CallerSocket, HintSocket *Socket
	// CallerPort is the port of all callers.
	CallerPort uint16
}

// SendFrame implements Link.
func (l BalancerLink) SendFrame(to netip.AddrPort, b []byte) { l.HintSocket.Send(to, b) }

// SendToTarget implements Link. Balancers have no target.
func (BalancerLink) SendToTarget([]byte) {}

// SendToCaller implements Link.
func (l BalancerLink) SendToCaller(to netip.Addr, b []byte) {
	l.CallerSocket.Send(netip.AddrPortFrom(to, l.CallerPort), b)
}

// AgentLink sends through sockets: to the target from the one that the target sends to,
// all else from the one for frames.
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
