package fabric

import (
	"net"
	"net/netip"
	"sync"

	"github.com/cockroachdb/errors"

	"mangokeel"
	"mangokeel/internal/wire"
)

// data is the socket between the balancer and the agents.
type data struct {
	c       *net.UDPConn
	address netip.AddrPort
	done    sync.WaitGroup
}

func openData(a netip.AddrPort) (*data, error) {
	c, err := listenUDP(a)
	if err != nil {
		return nil, err
	}
	return &data{c: c, address: unmap(c.LocalAddr().(*net.UDPAddr).AddrPort())}, nil
}

func (d *data) send(b []byte, agent netip.AddrPort) error {
	_, err := d.c.WriteToUDPAddrPort(b, agent)
	return err
}

func (d *data) close() {
	d.c.Close()
	d.done.Wait()
}

// readReplies passes packets from agents to callers until the socket closes.
func (b *Balancer) readReplies() {
	in := make([]byte, maxDatagram)
	var h wire.Header
	for {
		n, agent, err := b.data.c.ReadFromUDPAddrPort(in)
		switch {
		case errors.Is(err, net.ErrClosed):
			return
		case err != nil:
			continue // an ICMP error of an earlier write
		}
		b.reply(in[:n], unmap(agent), &h)
	}
}

// reply sends the payload of one REPLY datagram from its service's socket.
func (b *Balancer) reply(datagram []byte, agent netip.AddrPort, h *wire.Header) {
	payload, err := wire.SplitPacket(datagram, h)
	if err != nil || h.GetKind() != wire.Kind_KIND_REPLY || h.GetCallerPort()-1 >= 65535 {
		b.metrics.drop(dropMalformed)
		return
	}
	e := b.endpoint(mangokeel.ServiceID(h.GetService()))
	if e == nil {
		b.metrics.drop(dropService)
		return
	}
	if !b.sends(agent, h) {
		b.metrics.drop(dropAgent)
		return
	}
	if err := e.packets.WritePacket(payload, h.Caller()); err != nil {
		b.metrics.drop(dropSend)
		return
	}
	b.metrics.replies.Inc()
}

// sends reports whether the agent may send for the header's target: it is the
// target's agent, or the target is newer than this balancer's view. Replies of a
// target that has left are refused, because its flows have ended.
func (b *Balancer) sends(agent netip.AddrPort, h *wire.Header) bool {
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
