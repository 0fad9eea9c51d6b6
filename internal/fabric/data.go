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
		n, _, err := b.data.c.ReadFromUDPAddrPort(in)
		switch {
		case errors.Is(err, net.ErrClosed):
			return
		case err != nil:
			continue // an ICMP error of an earlier write
		}
		b.reply(in[:n], &h)
	}
}

// reply sends the payload of one REPLY datagram from its service's socket.
func (b *Balancer) reply(datagram []byte, h *wire.Header) {
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
	if err := e.packets.WritePacket(payload, h.Caller()); err != nil {
		b.metrics.drop(dropSend)
		return
	}
	b.metrics.replies.Inc()
}
