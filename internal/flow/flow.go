// Package flow decides what an agent does with each packet that a balancer sends
// it: deliver it, open a flow for it, or pass it on along its bucket's chain.
//
// An agent keeps one Table for each handle that it gets. It feeds the table the
// states of its view and asks it about each packet:
//
//	t := flow.New(flow.Config{Service: id, Handle: handle, Protocol: protocol})
//	t.Update(state)
//	d := t.Receive(now, flow.FromHeader(&header))
//
// The rules are those of section 4.1 of the design. They keep a flow at one
// agent although balancers and agents learn of changes at different times. The
// package has no sockets and no clock. A Table is not safe for concurrent use;
// its owner orders the calls, and sends what a decision asks for after Receive
// has returned.
package flow

import (
	"net/netip"
	"time"

	"mangokeel"
	"mangokeel/internal/view"
	"mangokeel/internal/wire"
)

// Limits of a table.
const (
	// MaxHops bounds the forwards of one packet, so that nodes whose views differ
	// cannot pass a packet around without end.
	MaxHops = 16
	// MaxBuckets is the largest number of buckets of a service.
	MaxBuckets = 1 << 16
	// IdleUDP is the default time without packets after which a flow of a UDP
	// service ends.
	IdleUDP = 5 * time.Minute
	// IdleHTTP is the time after the last packet found by address for which a
	// flow of an HTTP service is kept whose caller has not yet used a connection
	// ID of the agent.
	IdleHTTP = 10 * time.Second
)

// Action is what to do with a packet.
type Action uint8

// Actions.
const (
	// Drop ends the packet; the reason says why.
	Drop Action = iota
	// Deliver hands the packet to the flow's endpoint.
	Deliver
	// Create opens a flow and hands the packet to it.
	Create
	// Forward sends the packet to another agent.
	Forward
	// Reset tells the caller that the flow has ended.
	Reset
	actions
)

// String returns the action's name.
func (a Action) String() string {
	return [...]string{"drop", "deliver", "create", "forward", "reset"}[a]
}

// Reason says why a packet is dropped.
type Reason uint8

// Reasons.
const (
	// ReasonNone stands with all actions but Drop.
	ReasonNone Reason = iota
	// ReasonService marks a packet for another service.
	ReasonService
	// ReasonHandle marks a packet for another handle.
	ReasonHandle
	// ReasonKind marks a packet whose kind agents do not accept.
	ReasonKind
	// ReasonBucket marks a bucket that is not the caller's.
	ReasonBucket
	// ReasonChain marks a chain that does not have this agent at its position.
	ReasonChain
	// ReasonHops marks a packet that was forwarded too often.
	ReasonHops
	// ReasonOwner marks a packet for a bucket without an owner.
	ReasonOwner
	// ReasonUnknown marks a connection ID that this agent's view cannot place.
	ReasonUnknown
	// ReasonFull marks a packet that would exceed the service's limit of
	// connections for each target.
	ReasonFull
	// ReasonInvariant marks a decision that would break an invariant.
	ReasonInvariant
	reasons
)

// String returns the reason's name.
func (r Reason) String() string {
	return [...]string{
		"none", "service", "handle", "kind", "bucket", "chain", "hops", "owner", "unknown", "full", "invariant",
	}[r]
}

// Hop is one member of a bucket's chain.
type Hop struct {
	Handle mangokeel.Handle
	// Agent is the address of the agent's data socket.
	Agent netip.AddrPort
}

// Packet is what the table needs to know of a packet.
type Packet struct {
	Kind    wire.Kind
	Service mangokeel.ServiceID
	// Handle is the target that the packet is addressed to.
	Handle mangokeel.Handle
	// Epoch is the one under which Chain was chosen.
	Epoch  mangokeel.Epoch
	Bucket uint32
	Caller netip.AddrPort
	// Hops is the number of forwards so far.
	Hops uint32
	// Next is this agent's position in Chain.
	Next uint32
	// Chain has the owner first, or the zero Hop when no target is eligible. Empty
	// means that this agent is the only member and the owner.
	// The table keeps the slice.
	Chain []Hop
	// Named is the handle in the payload's connection ID, or 0 when the payload
	// has none that authenticates.
	Named mangokeel.Handle
	// Opens is true when the payload can open a flow. Packets found by address
	// that cannot are dropped.
	Opens bool
}

// Decision is the outcome of Receive. The fields after Reason are the new header
// of a packet to forward.
type Decision struct {
	Action Action
	Reason Reason
	To     Hop
	Kind   wire.Kind
	Epoch  mangokeel.Epoch
	Hops   uint32
	Next   uint32
	// Chain is empty when To is the only member.
	Chain []Hop
}

// Config describes the agent that a table belongs to.
type Config struct {
	Service  mangokeel.ServiceID
	Handle   mangokeel.Handle
	Protocol wire.Protocol
	// Idle is the time after which flows without packets end. Zero means the
	// default of the protocol.
	Idle time.Duration
}

// Counters of a table. They only rise.
type Counters struct {
	Actions [actions]uint64
	Drops   [reasons]uint64
	// Expired counts flows that ended because they were idle.
	Expired uint64
	// Abandoned counts flows that ended because the availability zone was taken
	// out of service.
	Abandoned uint64
	// Settled counts flows that are found by connection IDs from then on.
	Settled uint64
	// Mismatched counts chains that differ from this agent's under one epoch.
	Mismatched uint64
	// Upgraded counts packets whose chain was replaced by a newer one.
	Upgraded uint64
	// Fenced counts packets that a floor kept from this agent.
	Fenced uint64
	// Released counts buckets reported as released, once for each report.
	Released uint64
	// Violations counts decisions that would have broken an invariant.
	Violations uint64
}

// Table is the flows found by address of one handle, with its floors.
type Table struct {
	cfg Config
	// start is the time that entry.seen counts from.
	start time.Time
	// state is the newest one given to Update, or nil.
	state *view.State
	// service is state's record of the service, or nil. Its epoch never falls.
	service *view.Service
	// flows has the entries of each bucket. It grows up to MaxBuckets.
	flows [][]entry
	// count is the number of entries in flows.
	count int
	// floors has the floors above service's epoch. Floors at or below it need not
	// be kept: a packet below that epoch is moved up to it before anything else.
	floors map[uint32]floor
	// sweep is the bucket that Expire starts at.
	sweep    int
	counters Counters
}

// floor is the epoch below which nothing is created in a bucket. The first
// member of chain is never this agent. It is the zero Hop when there was no owner.
type floor struct {
	epoch mangokeel.Epoch
	chain []Hop
}

// New returns an empty table.
func New(cfg Config) *Table {
	if cfg.Idle == 0 {
		cfg.Idle = IdleHTTP
		if cfg.Protocol == wire.Protocol_PROTOCOL_UDP {
			cfg.Idle = IdleUDP
		}
	}
	return &Table{cfg: cfg, floors: map[uint32]floor{}}
}

// Update gives the table a newer state of the view. A state with an older epoch
// changes nothing. When the target's availability zone is out of service, all
// flows are removed; closed is then true.
func (t *Table) Update(s *view.State) (closed bool) {
	svc := s.Service(t.cfg.Service)
	if svc == nil || (t.state != nil && s.Revision < t.state.Revision) || svc.Epoch < t.Epoch() {
		return t.closed()
	}
	t.state, t.service = s, svc
	for b, f := range t.floors {
		if f.epoch <= svc.Epoch {
			delete(t.floors, b)
		}
	}
	if t.closed() {
		t.counters.Abandoned += uint64(t.count)
		t.flows, t.count = nil, 0
		return true
	}
	return false
}

// closed reports whether this target's availability zone is out of service.
func (t *Table) closed() bool {
	if t.service == nil {
		return false
	}
	own := t.service.Targets[t.cfg.Handle]
	return own != nil && !own.Open
}

// Epoch returns the epoch of the newest state, or 0 before the first one.
func (t *Table) Epoch() mangokeel.Epoch {
	if t.service == nil {
		return 0
	}
	return t.service.Epoch
}

// Len returns the number of flows.
func (t *Table) Len() int { return t.count }

// Floors returns the number of floors above the view's epoch.
func (t *Table) Floors() int { return len(t.floors) }

// Counters returns the present counts.
func (t *Table) Counters() Counters { return t.counters }
