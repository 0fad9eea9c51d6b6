package fabric

import (
	"net/netip"

	"mangokeel"
	"mangokeel/internal/bucket"
	"mangokeel/internal/cid"
	"mangokeel/internal/view"
	"mangokeel/internal/wire"
)

// MaxChainLen is the largest number of chain members in a header. Agents stop a
// walk after 16 hops, so a walk never reaches the end of a chain that was cut
// here, and a cut chain never leads to a second owner.
const MaxChainLen = 24

// Outcome says what Decide found.
type Outcome int

// Outcomes of Decide.
const (
	// Forward means that the header and the target of the decision are set.
	Forward Outcome = iota
	// NoTarget means that the service has neither an eligible target nor one
	// that may hold the flow.
	NoTarget
	// WrongService means that the chosen target belongs to another service
	// (invariant I2). It cannot happen unless the view is inconsistent.
	WrongService
	// ClosedZone means that the chosen target's availability zone is out of
	// service (invariant I4). It cannot happen unless the view is inconsistent.
	ClosedZone
	outcomeCount
)

// String returns the outcome's name.
func (o Outcome) String() string {
	return [...]string{"forward", "no-target", "wrong-service", "closed-zone"}[o]
}

// Decision is what to do with one packet from a caller. A reader keeps one and
// uses it for each packet in turn, so that deciding allocates nothing.
type Decision struct {
	// Target is the addressed target. It belongs to the packet's service and its
	// availability zone is in service whenever the outcome is Forward.
	Target *view.Target
	// Header has all fields set but via, whenever the outcome is Forward.
	Header wire.Header

	// hopPointers points to the elements of hops; Header.Chain is a prefix of hopPointers.
	hopPointers [MaxChainLen]*wire.Hop
	hops        [MaxChainLen]wire.Hop
	hopIPs      [MaxChainLen][16]byte
}

// NewDecision returns a decision for use by one goroutine.
func NewDecision() *Decision {
	d := &Decision{}
	for i := range d.hopPointers {
		d.hopPointers[i] = &d.hops[i]
	}
	return d
}

// Decide chooses the target of a packet that a caller sent to svc, under the
// state s that svc is part of. Nothing but the arguments influences the result.
func (d *Decision) Decide(s *view.State, svc *view.Service, caller netip.AddrPort, packet []byte) Outcome {
	d.reset(svc, caller)
	if svc.GetProtocol() != wire.Protocol_PROTOCOL_UDP {
		if h, ok := svc.Keys.Decode(svc.ID, cid.FromPacket(packet)); ok {
			return d.decideByConnectionID(s, svc, h)
		}
	}
	return d.decideByAddress(svc)
}

// DecideStream fills the header for a TCP connection to t, which the balancer
// chose for the caller's bucket.
func (d *Decision) DecideStream(svc *view.Service, caller netip.AddrPort, t *view.Target) Outcome {
	d.reset(svc, caller)
	return d.setTarget(svc, t, wire.Kind_KIND_STREAM)
}

// reset sets the fields that do not depend on the target.
func (d *Decision) reset(svc *view.Service, caller netip.AddrPort) {
	d.Target = nil
	d.Header.Kind = wire.Kind_KIND_UNSPECIFIED
	d.Header.Service = uint32(svc.ID)
	d.Header.Handle = 0
	d.Header.Epoch = uint64(svc.Epoch)
	d.Header.Bucket = bucket.Index(caller, svc.ID, svc.Table.Buckets())
	d.Header.SetCaller(caller)
	d.Header.Hops = 0
	d.Header.Next = 0
	d.Header.Chain = d.hopPointers[:0]
}

// decideByConnectionID chooses the target that an authenticated connection ID names. When that
// target cannot be addressed, the bucket's owner answers for it.
func (d *Decision) decideByConnectionID(s *view.State, svc *view.Service, h mangokeel.Handle) Outcome {
	if h >= s.NextHandle {
		return d.setTarget(svc, svc.Owner(d.Header.GetBucket()), wire.Kind_KIND_RELAY)
	}
	if t := svc.Targets[h]; t != nil && t.Open {
		return d.setTarget(svc, t, wire.Kind_KIND_DELIVER)
	}
	return d.setTarget(svc, svc.Owner(d.Header.GetBucket()), wire.Kind_KIND_RESET)
}

// decideByAddress chooses the first member of the bucket's chain. A chain without an
// eligible owner starts with a hop of handle 0, so that no holder takes itself for
// the owner.
func (d *Decision) decideByAddress(svc *view.Service) Outcome {
	b := d.Header.GetBucket()
	first := svc.Owner(b)
	n := 0
	if first == nil {
		d.setHop(0, 0, netip.AddrPort{})
		d.Header.Next = 1
		n = 1
	}
	svc.Chain(b, func(t *view.Target) bool {
		if first == nil {
			first = t
		}
		d.setHop(n, t.Handle, t.Agent)
		n++
		return n < MaxChainLen
	})
	if n > 1 {
		d.Header.Chain = d.hopPointers[:n]
	}
	return d.setTarget(svc, first, wire.Kind_KIND_FIND)
}

// setHop sets the i-th chain member without allocating.
func (d *Decision) setHop(i int, h mangokeel.Handle, a netip.AddrPort) {
	x := &d.hops[i]
	x.Handle = uint32(h)
	x.Port = uint32(a.Port())
	x.Ip = d.hopIPs[i][:0]
	if a.Addr().Is4() {
		v4 := a.Addr().As4()
		x.Ip = append(x.Ip, v4[:]...)
		return
	}
	if a.Addr().Is6() {
		d.hopIPs[i] = a.Addr().As16()
		x.Ip = d.hopIPs[i][:]
	}
}

// setTarget completes the decision for t and checks invariants I2 and I4.
func (d *Decision) setTarget(svc *view.Service, t *view.Target, k wire.Kind) Outcome {
	switch {
	case t == nil:
		return NoTarget
	case t.GetService() != uint32(svc.ID):
		return WrongService
	case !t.Open:
		return ClosedZone
	}
	d.Target = t
	d.Header.Kind = k
	d.Header.Handle = uint32(t.Handle)
	return Forward
}
