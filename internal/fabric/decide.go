package fabric

import (
	"net/netip"

	"mangokeel"
	"mangokeel/internal/bucket"
	"mangokeel/internal/cid"
	"mangokeel/internal/view"
	"mangokeel/internal/wire"
)

// MaxChainLen is the maximum number of chain members in a header; longer chains are
// truncated. Agents forward a packet at most 16 times, so a search along the chain
// never reaches the end of a truncated one. A flow held beyond the truncation is
// therefore never taken for missing and created a second time by another target.
const MaxChainLen = 24

// Outcome is the result of a decision.
type Outcome int

// Outcomes of a decision.
const (
	// Forward means that the decision's header and target are set.
	Forward Outcome = iota
	// NoTarget means that the service has neither an eligible target nor a target
	// that may hold the flow.
	NoTarget
	// WrongService means that the chosen target belongs to another service, which
	// violates invariant I2. It happens only if the view is inconsistent.
	WrongService
	// ClosedZone means that the chosen target's availability zone is out of
	// service, which violates invariant I4. It happens only if the view is
	// inconsistent.
	ClosedZone
	outcomeCount
)

// String returns the outcome's name.
func (o Outcome) String() string {
	return [...]string{"forward", "no-target", "wrong-service", "closed-zone"}[o]
}

// Decision holds the target and the header for one packet from a caller. A Decision
// is reused from packet to packet so that Decide does not allocate. It must not be
// used by several goroutines at the same time.
type Decision struct {
	// Target is the target to which the packet is sent. If the outcome is Forward,
	// it belongs to the packet's service and its availability zone is in service.
	Target *view.Target
	// Header is complete except for the via fields if the outcome is Forward.
	Header wire.Header

	// hopPointers points to the elements of hops. Header.Chain is a prefix of it.
	hopPointers [MaxChainLen]*wire.Hop
	hops        [MaxChainLen]wire.Hop
	hopIPs      [MaxChainLen][16]byte
}

// NewDecision returns a Decision for use by one goroutine at a time.
func NewDecision() *Decision {
	d := &Decision{}
	for i := range d.hopPointers {
		d.hopPointers[i] = &d.hops[i]
	}
	return d
}

// Decide chooses the target of a packet that a caller sent to svc, which must be a
// service of s. The result depends only on the arguments.
func (d *Decision) Decide(s *view.State, svc *view.Service, caller netip.AddrPort, packet []byte) Outcome {
	d.reset(svc, caller)
	if svc.GetProtocol() != wire.Protocol_PROTOCOL_UDP {
		if h, ok := svc.Keys.Decode(svc.ID, cid.FromPacket(packet)); ok {
			return d.decideByConnectionID(s, svc, h)
		}
	}
	return d.decideByAddress(svc)
}

// DecideStream sets the header for a TCP connection from caller that is relayed to
// the agent of t.
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

// decideByConnectionID chooses the target with handle h, read from an authenticated
// connection ID. If that target is gone, out of service or not yet in the view, the
// packet goes to the owner of the caller's bucket instead.
func (d *Decision) decideByConnectionID(s *view.State, svc *view.Service, h mangokeel.Handle) Outcome {
	if h >= s.NextHandle {
		return d.setTarget(svc, svc.Owner(d.Header.GetBucket()), wire.Kind_KIND_RELAY)
	}
	if t := svc.Targets[h]; t != nil && t.Open {
		return d.setTarget(svc, t, wire.Kind_KIND_DELIVER)
	}
	return d.setTarget(svc, svc.Owner(d.Header.GetBucket()), wire.Kind_KIND_RESET)
}

// decideByAddress chooses the first member of the chain of the caller's bucket. If
// the bucket has no eligible owner, the chain starts with a hop with handle 0, so
// that no holder acts as the owner.
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

// setHop sets the i-th member of the chain without allocating.
func (d *Decision) setHop(i int, h mangokeel.Handle, a netip.AddrPort) {
	hop := &d.hops[i]
	hop.Handle = uint32(h)
	hop.Port = uint32(a.Port())
	hop.Ip = d.hopIPs[i][:0]
	if a.Addr().Is4() {
		v4 := a.Addr().As4()
		hop.Ip = append(hop.Ip, v4[:]...)
		return
	}
	if a.Addr().Is6() {
		d.hopIPs[i] = a.Addr().As16()
		hop.Ip = d.hopIPs[i][:]
	}
}

// setTarget checks invariants I2 and I4 for t and sets the target, the handle and
// the kind of the decision.
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
