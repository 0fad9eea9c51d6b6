package fabric

import (
	"net"
	"net/netip"
	"sync"

	"github.com/cockroachdb/errors"

	"mangokeel"
	"mangokeel/internal/wire"
)

// Sizes of datagrams in bytes.
const (
	// maxDatagramSize is the largest UDP payload over IPv4.
	maxDatagramSize = 65507
	// MaxPacketSize is the largest packet from a caller; the rest is for the header.
	MaxPacketSize = maxDatagramSize - wire.MaxHeader - 2
	// initialBufferSize holds the packets of an Ethernet. Buffers start with it, because
	// a balancer has a reader for each of thousands of services.
	initialBufferSize = 2048
)

// endpoint is the pair of sockets of one service.
type endpoint struct {
	id      mangokeel.ServiceID
	address netip.AddrPort
	packets mangokeel.Fabric
	streams *net.TCPListener
	// goroutines counts the readers and the acceptor.
	goroutines sync.WaitGroup
}

// openEndpoint opens both sockets of a service and starts to serve them. The
// caller must hold b.mu.
func (b *Balancer) openEndpoint(id mangokeel.ServiceID, address netip.AddrPort) (*endpoint, error) {
	packets, err := b.listenPackets(address)
	if err != nil {
		return nil, err
	}
	streams, err := net.ListenTCP("tcp", net.TCPAddrFromAddrPort(address))
	if err != nil {
		packets.Close()
		return nil, errors.Wrap(err, "listen for streams")
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

// close ends the readers. Open TCP connections continue.
func (e *endpoint) close() {
	e.packets.Close()
	e.streams.Close()
	e.goroutines.Wait()
}

// readPackets forwards packets from callers until the socket closes. A packet that
// does not fit the buffer is lost, and the next one finds a larger buffer.
func (b *Balancer) readPackets(e *endpoint) {
	in := make([]byte, initialBufferSize)
	for {
		n, caller, err := e.packets.ReadPacket(in)
		switch {
		case errors.Is(err, net.ErrClosed):
			return
		case err != nil:
			continue // an ICMP error of an earlier write
		case n == len(in):
			b.metrics.countDrop(dropOversized)
			in = make([]byte, MaxPacketSize+1)
			continue
		}
		b.forwardPacket(e.id, caller, in[:n])
	}
}

// scratch is the memory that forwarding one packet needs.
type scratch struct {
	decision *Decision
	out      []byte
}

func (b *Balancer) newScratch() any {
	x := &scratch{decision: NewDecision(), out: make([]byte, 0, initialBufferSize+wire.MaxHeader)}
	x.decision.Header.SetVia(b.dataSocket.address)
	return x
}

// forwardPacket sends one packet to the agent of its target.
func (b *Balancer) forwardPacket(id mangokeel.ServiceID, caller netip.AddrPort, packet []byte) {
	s := b.view.State()
	svc := s.Service(id)
	if svc == nil {
		b.metrics.countDrop(dropUnknownService)
		return
	}
	x := b.scratch.Get().(*scratch)
	defer b.scratch.Put(x)
	if o := x.decision.Decide(s, svc, caller, packet); o != Forward {
		b.metrics.countRejection(o)
		return
	}
	out, err := wire.AppendPacket(x.out[:0], &x.decision.Header, packet)
	if err != nil {
		b.metrics.countDrop(dropOversized)
		return
	}
	x.out = out
	if err := b.dataSocket.send(out, x.decision.Target.Agent); err != nil {
		b.metrics.countDrop(dropSendFailed)
		return
	}
	b.metrics.packets[x.decision.Header.GetKind()].Inc()
}
