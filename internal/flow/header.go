package flow

import (
	"mangokeel"
	"mangokeel/internal/wire"
)

// FromHeader returns the packet that a header describes. Named and Opens depend
// on the payload and are left to the caller.
func FromHeader(h *wire.Header) Packet {
	p := Packet{
		Kind:    h.GetKind(),
		Service: mangokeel.ServiceID(h.GetService()),
		Handle:  mangokeel.Handle(h.GetHandle()),
		Epoch:   mangokeel.Epoch(h.GetEpoch()),
		Bucket:  h.GetBucket(),
		Caller:  h.Caller(),
		Hops:    h.GetHops(),
		Next:    h.GetNext(),
	}
	for _, x := range h.GetChain() {
		p.Chain = append(p.Chain, Hop{Handle: mangokeel.Handle(x.GetHandle()), Agent: x.Addr()})
	}
	return p
}

// Apply changes the header of a packet to the one that d asks to forward.
func (d Decision) Apply(h *wire.Header) {
	h.Kind = d.Kind
	h.Handle = uint32(d.To.Handle)
	h.Epoch = uint64(d.Epoch)
	h.Hops = d.Hops
	h.Next = d.Next
	h.Chain = nil
	for _, x := range d.Chain {
		h.Chain = append(h.Chain, wire.NewHop(uint32(x.Handle), x.Agent))
	}
}
