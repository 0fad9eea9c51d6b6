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
	outcomes
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

	// refs points to the elements of hops; Header.Chain is a prefix of refs.
	refs [MaxChainLen]*wire.Hop
	hops [MaxChainLen]wire.Hop
	ips  [MaxChainLen][16]byte
}

// NewDecision returns a decision for use by one goroutine.
func NewDecision() *Decision {
	d := &Decision{}
	for i := range d.refs {
		d.refs[i] = &d.hops[i]
	}
	return d
}

// Decide chooses the target of a packet that a caller sent to svc, under the
// state s that svc is part of. Nothing but the arguments influences the result.
func (d *Decision) Decide(s *view.State, svc *view.Service, caller netip.AddrPort, packet []byte) Outcome {
	d.reset(svc, caller)
	if svc.GetProtocol() != wire.Protocol_PROTOCOL_UDP {
		if h, ok := svc.Keys.Decode(svc.ID, cid.FromPacket(packet)); ok {
			return d.byID(s, svc, h)
		}
	}
	return d.byAddress(svc)
}

// DecideStream fills the header for a TCP connection to t, which the balancer
// chose for the caller's bucket.
func (d *Decision) DecideStream(svc *view.Service, caller netip.AddrPort, t *view.Target) Outcome {
	d.reset(svc, caller)
	return d.address(svc, t, wire.Kind_KIND_STREAM)
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
	d.Header.Chain = d.refs[:0]
}

// byID chooses the target that an authenticated connection ID names. When that
// target cannot be addressed, the bucket's owner answers for it.
func (d *Decision) byID(s *view.State, svc *view.Service, h mangokeel.Handle) Outcome {
	if h >= s.NextHandle {
		return d.address(svc, svc.Owner(d.Header.GetBucket()), wire.Kind_KIND_RELAY)
	}
	if t := svc.Targets[h]; t != nil && t.Open {
		return d.address(svc, t, wire.Kind_KIND_DELIVER)
	}
	return d.address(svc, svc.Owner(d.Header.GetBucket()), wire.Kind_KIND_RESET)
}

// byAddress chooses the first member of the bucket's chain. A chain without an
// eligible owner starts with a hop of handle 0, so that no holder takes itself for
// the owner.
func (d *Decision) byAddress(svc *view.Service) Outcome {
	b := d.Header.GetBucket()
	first := svc.Owner(b)
	n := 0
	if first == nil {
		d.hop(0, 0, netip.AddrPort{})
		d.Header.Next = 1
		n = 1
	}
	svc.Chain(b, func(t *view.Target) bool {
		if first == nil {
			first = t
		}
		d.hop(n, t.Handle, t.Agent)
		n++
		return n < MaxChainLen
	})
	if n > 1 {
		d.Header.Chain = d.refs[:n]
	}
	return d.address(svc, first, wire.Kind_KIND_FIND)
}

// hop sets the i-th chain member without allocating.
func (d *Decision) hop(i int, h mangokeel.Handle, a netip.AddrPort) {
	x := &d.hops[i]
	x.Handle = uint32(h)
	x.Port = uint32(a.Port())
	x.Ip = d.ips[i][:0]
	if a.Addr().Is4() {
		v4 := a.Addr().As4()
		x.Ip = append(x.Ip, v4[:]...)
		return
	}
	if a.Addr().Is6() {
		d.ips[i] = a.Addr().As16()
		x.Ip = d.ips[i][:]
	}
}

// address completes the decision for t and checks invariants I2 and I4.
func (d *Decision) address(svc *view.Service, t *view.Target, k wire.Kind) Outcome {
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
