package fabric

import (
	"net"
	"net/netip"
	"sync"

	"github.com/cockroachdb/errors"

	"mangokeel"
	"mangokeel/internal/wire"
)

// Sizes in bytes.
const (
	// maxDatagramSize is the maximum UDP payload over IPv4.
	maxDatagramSize = 65507
	// MaxPacketSize is the maximum size of a packet from a caller. The rest of the
	// datagram is reserved for the header and its 2-byte length.
	MaxPacketSize = maxDatagramSize - wire.MaxHeader - 2
	// initialBufferSize fits any packet within an Ethernet MTU. Buffers start small
	// because a balancer has a reader for each of thousands of services.
	initialBufferSize = 2048
)

// endpoint is the UDP socket and the TCP listener of one service.
type endpoint struct {
	id      mangokeel.ServiceID
	address netip.AddrPort
	packets mangokeel.Fabric
	streams *net.TCPListener
	// goroutines tracks the packet readers and the TCP accept loop.
	goroutines sync.WaitGroup
}

// openEndpoint opens the sockets of a service and starts their goroutines. The
// caller must hold b.mu.
func (b *Balancer) openEndpoint(id mangokeel.ServiceID, address netip.AddrPort) (*endpoint, error) {
	packets, err := b.listenPackets(address)
	if err != nil {
		return nil, err
	}
	streams, err := net.ListenTCP("tcp", net.TCPAddrFromAddrPort(address))
	if err != nil {
		packets.Close()
		return nil, errors.Wrap(err, "listen for TCP connections")
	}
	if b.refusingStreams {
		streams.Close()
	}
	e := &endpoint{id: id, address: address, packets: packets, streams: streams}
	for range b.readersPerSocket {
		e.goroutines.Go(func() { b.readPackets(e) })
	}
	e.goroutines.Go(func() { b.acceptStreams(e) })
	return e, nil
}

// close closes both sockets and waits for their goroutines. Open TCP connections
// are not affected.
func (e *endpoint) close() {
	e.packets.Close()
	e.streams.Close()
	e.goroutines.Wait()
}

// readPackets forwards packets from callers until the socket is closed. A packet
// that does not fit the buffer is dropped, and the buffer grows to the maximum
// packet size for those that follow.
func (b *Balancer) readPackets(e *endpoint) {
	buf := make([]byte, initialBufferSize)
	for {
		n, caller, err := e.packets.ReadPacket(buf)
		switch {
		case errors.Is(err, net.ErrClosed):
			return
		case err != nil:
			continue // ICMP error caused by an earlier write
		case n == len(buf):
			b.metrics.countDrop(dropOversized)
			buf = make([]byte, MaxPacketSize+1)
			continue
		}
		b.forwardPacket(e.id, caller, buf[:n])
	}
}

// scratch holds the reusable memory for forwarding one packet.
type scratch struct {
	decision *Decision
	out      []byte
}

func (b *Balancer) newScratch() any {
	sc := &scratch{decision: NewDecision(), out: make([]byte, 0, initialBufferSize+wire.MaxHeader)}
	sc.decision.Header.SetVia(b.dataSocket.address)
	return sc
}

// forwardPacket sends a caller's packet to the agent of its target.
func (b *Balancer) forwardPacket(id mangokeel.ServiceID, caller netip.AddrPort, packet []byte) {
	s := b.view.State()
	svc := s.Service(id)
	if svc == nil {
		b.metrics.countDrop(dropUnknownService)
		return
	}
	sc := b.scratch.Get().(*scratch)
	defer b.scratch.Put(sc)
	if o := sc.decision.Decide(s, svc, caller, packet); o != Forward {
		b.metrics.countRejection(o)
		return
	}
	out, err := wire.AppendPacket(sc.out[:0], &sc.decision.Header, packet)
	if err != nil {
		b.metrics.countDrop(dropOversized)
		return
	}
	sc.out = out
	if err := b.dataSocket.send(out, sc.decision.Target.Agent); err != nil {
		b.metrics.countDrop(dropSendFailed)
		return
	}
	b.metrics.packets[sc.decision.Header.GetKind()].Inc()
}
