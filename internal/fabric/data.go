package fabric

import (
	"net"
	"net/netip"
	"sync"

	"github.com/cockroachdb/errors"

	"mangokeel"
	"mangokeel/internal/wire"
)

// dataSocket is the UDP socket that carries datagrams to and from the agents.
type dataSocket struct {
	conn    *net.UDPConn
	address netip.AddrPort
	// readers tracks the goroutines that read the socket.
	readers sync.WaitGroup
}

func openDataSocket(a netip.AddrPort) (*dataSocket, error) {
	c, err := listenUDP(a)
	if err != nil {
		return nil, err
	}
	return &dataSocket{conn: c, address: unmap(c.LocalAddr().(*net.UDPAddr).AddrPort())}, nil
}

func (d *dataSocket) send(b []byte, agent netip.AddrPort) error {
	_, err := d.conn.WriteToUDPAddrPort(b, agent)
	return err
}

func (d *dataSocket) close() {
	d.conn.Close()
	d.readers.Wait()
}

// readReplies forwards packets from agents to callers until the socket is closed.
func (b *Balancer) readReplies() {
	buf := make([]byte, maxDatagramSize)
	var h wire.Header
	for {
		n, agent, err := b.dataSocket.conn.ReadFromUDPAddrPort(buf)
		switch {
		case errors.Is(err, net.ErrClosed):
			return
		case err != nil:
			continue // ICMP error caused by an earlier write
		}
		b.forwardReply(buf[:n], unmap(agent), &h)
	}
}

// forwardReply sends the payload of a REPLY datagram to the caller from the
// service's socket. It decodes the header into h.
func (b *Balancer) forwardReply(datagram []byte, agent netip.AddrPort, h *wire.Header) {
	payload, err := wire.SplitPacket(datagram, h)
	// GetCallerPort()-1 wraps around for port 0, so both port 0 and ports above 65535
	// are rejected.
	if err != nil || h.GetKind() != wire.Kind_KIND_REPLY || h.GetCallerPort()-1 >= 65535 {
		b.metrics.countDrop(dropMalformedReply)
		return
	}
	e := b.endpoint(mangokeel.ServiceID(h.GetService()))
	if e == nil {
		b.metrics.countDrop(dropUnknownService)
		return
	}
	if !b.mayReplyFor(agent, h) {
		b.metrics.countDrop(dropForeignReply)
		return
	}
	if err := e.packets.WritePacket(payload, h.Caller()); err != nil {
		b.metrics.countDrop(dropSendFailed)
		return
	}
	b.metrics.replies.Inc()
}

// mayReplyFor reports whether the agent may send replies for the header's target.
// It may if it is the target's agent, or if the target is newer than this
// balancer's view. Replies for a target that has left are rejected because its
// flows have ended.
func (b *Balancer) mayReplyFor(agent netip.AddrPort, h *wire.Header) bool {
	s := b.view.State()
	handle := mangokeel.Handle(h.GetHandle())
	if handle >= s.NextHandle {
		return true
	}
	svc := s.Service(mangokeel.ServiceID(h.GetService()))
	if svc == nil {
		return false
	}
	t := svc.Targets[handle]
	return t != nil && t.Agent == agent
}
