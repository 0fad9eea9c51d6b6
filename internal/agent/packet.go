package agent

import (
	"encoding/binary"
	"net"

	"github.com/cockroachdb/errors"

	"mangokeel/internal/flow"
	"mangokeel/internal/wire"
)

const (
	// socketBuffer holds bursts while the process waits for a processor.
	socketBuffer = 4 << 20
	// maxDatagram is the largest UDP payload.
	maxDatagram = 65535
)

// receive reads the data socket until it is closed.
func (a *Agent) receive() {
	b := make([]byte, maxDatagram)
	var h wire.Header
	for {
		n, _, err := a.udp.ReadFromUDPAddrPort(b)
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err != nil {
			a.counters.readErrors.Add(1)
			continue
		}
		a.counters.packets.Add(1)
		payload, err := wire.SplitPacket(b[:n], &h)
		if err != nil {
			a.counters.malformed.Add(1)
			continue
		}
		a.packet(&h, payload)
	}
}

// packet does what the flow table decides about one packet.
func (a *Agent) packet(h *wire.Header, payload []byte) {
	p := flow.FromHeader(h)
	now := a.timers.Now()
	a.mu.Lock()
	reg := a.reg
	if reg == nil {
		a.mu.Unlock()
		a.counters.unregistered.Add(1)
		return
	}
	p.Opens = true
	if reg.relay == nil {
		p.Opens = opensQUIC(payload)
		if reg.endpoint != nil {
			p.Named = reg.endpoint.Named(payload)
		}
	}
	d := reg.table.Receive(now, p)
	a.mu.Unlock()
	a.act(reg, d, p, h, payload)
}

func (a *Agent) act(reg *registration, d flow.Decision, p flow.Packet, h *wire.Header, payload []byte) {
	switch d.Action {
	case flow.Deliver, flow.Create:
		a.replies.seen(p.Caller, h.Via(), a.timers.Now())
		a.deliver(reg, p, payload)
	case flow.Forward:
		d.Apply(h)
		a.send(d, h, payload)
	case flow.Reset:
		a.replies.seen(p.Caller, h.Via(), a.timers.Now())
		if reg.endpoint != nil {
			reg.endpoint.Reset(p.Caller, payload)
		}
	case flow.Drop:
	}
}

func (a *Agent) deliver(reg *registration, p flow.Packet, payload []byte) {
	switch {
	case reg.relay != nil:
		reg.relay.send(p.Caller, payload)
	case reg.endpoint != nil:
		if !reg.endpoint.Deliver(p.Caller, payload) {
			a.counters.overflow.Add(1)
		}
	}
}

// send forwards a packet to another agent.
func (a *Agent) send(d flow.Decision, h *wire.Header, payload []byte) {
	b := a.replies.buffers.get()
	defer a.replies.buffers.put(b)
	m, err := wire.AppendPacket((*b)[:0], h, payload)
	if err != nil {
		a.counters.writeErrors.Add(1)
		return
	}
	*b = m
	if _, err := a.udp.WriteToUDPAddrPort(m, d.To.Agent); err != nil {
		a.counters.writeErrors.Add(1)
	}
}

// opensQUIC reports whether a payload has the long header of an Initial packet of
// QUIC version 1 or 2, or of an unknown version, which gets a version negotiation.
func opensQUIC(b []byte) bool {
	const (
		version1, version2 = 0x00000001, 0x6b3343cf
		kind               = 0x30
	)
	if len(b) < 7 || b[0]&0x80 == 0 {
		return false
	}
	switch binary.BigEndian.Uint32(b[1:]) {
	case version1:
		return b[0]&kind == 0
	case version2:
		return b[0]&kind == 0x10
	case 0:
		return false
	}
	return true
}
