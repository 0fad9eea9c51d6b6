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
	// maxDatagram is the largest UDP payload over IPv4.
	maxDatagram = 65507
	// MaxPacket is the largest packet from a caller; the rest is for the header.
	MaxPacket = maxDatagram - wire.MaxHeader - 2
)

// endpoint is the pair of sockets of one service.
type endpoint struct {
	id      mangokeel.ServiceID
	address netip.AddrPort
	packets mangokeel.Fabric
	streams *net.TCPListener
	// done counts the readers and the acceptor.
	done sync.WaitGroup
}

// openEndpoint opens both sockets of a service and starts to serve them. The
// caller must hold b.mu.
func (b *Balancer) openEndpoint(id mangokeel.ServiceID, address netip.AddrPort) (*endpoint, error) {
	packets, err := b.listen(address)
	if err != nil {
		return nil, err
	}
	streams, err := net.ListenTCP("tcp", net.TCPAddrFromAddrPort(address))
	if err != nil {
		packets.Close()
		return nil, errors.Wrap(err, "listen for streams")
	}
	if b.refusing {
		streams.Close()
	}
	e := &endpoint{id: id, address: address, packets: packets, streams: streams}
	for range b.readers {
		e.done.Go(func() { b.readPackets(e) })
	}
	e.done.Go(func() { b.acceptStreams(e) })
	return e, nil
}

// close ends the readers. Open TCP connections continue.
func (e *endpoint) close() {
	e.packets.Close()
	e.streams.Close()
	e.done.Wait()
}

// readPackets forwards packets from callers until the socket closes.
func (b *Balancer) readPackets(e *endpoint) {
	f := newForwarder(b)
	for {
		n, caller, err := e.packets.ReadPacket(f.in)
		switch {
		case errors.Is(err, net.ErrClosed):
			return
		case err != nil:
			continue // an ICMP error of an earlier write
		}
		f.forward(e.id, caller, f.in[:n])
	}
}

// forwarder has the buffers of one reader.
type forwarder struct {
	b        *Balancer
	decision *Decision
	in, out  []byte
}

func newForwarder(b *Balancer) *forwarder {
	f := &forwarder{b: b, decision: NewDecision(), in: make([]byte, maxDatagram+1), out: make([]byte, 0, maxDatagram)}
	f.decision.Header.SetVia(b.data.address)
	return f
}

// forward sends one packet to the agent of its target.
func (f *forwarder) forward(id mangokeel.ServiceID, caller netip.AddrPort, packet []byte) {
	m := f.b.metrics
	s := f.b.view.State()
	svc := s.Service(id)
	if svc == nil {
		m.drop(dropService)
		return
	}
	if len(packet) > MaxPacket {
		m.drop(dropOversized)
		return
	}
	if o := f.decision.Decide(s, svc, caller, packet); o != Forward {
		m.refuse(o)
		return
	}
	out, err := wire.AppendPacket(f.out[:0], &f.decision.Header, packet)
	if err != nil {
		m.drop(dropOversized)
		return
	}
	if err := f.b.data.send(out, f.decision.Target.Agent); err != nil {
		m.drop(dropSend)
		return
	}
	m.packets[f.decision.Header.GetKind()].Inc()
}
