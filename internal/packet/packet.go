// Package packet forwards flows whose packets carry both endpoint addresses.
//
// A Balancer forwards each packet of a caller to an agent. An Agent delivers packets to the one
// target on its host and sends the target's packets directly to callers. Neither opens sockets:
// both receive packets through method calls and send through a Link, so that tests can run whole
// fleets on virtual time.
//
//	b := packet.NewBalancer(cfg, codec, view, link)
//	b.HandleCallerPacket(bytes) // a packet from a caller
//
//	a := packet.NewAgent(cfg, codec, view, link)
//	a.HandleReport(report)      // the target's status report
//	a.HandleFrame(bytes)        // from a balancer or an agent
//	a.HandleTargetPacket(bytes) // from the target
//
// The agent of a flow's first-ranked target (fleet.State.RankTargets) is the flow's directory: it
// assigns the flow to a target and records the owner, the agent of that target. Three agents, which
// may include the directory, are the flow's registrars (fleet.State.Registrars): the owner keeps them
// informed, so that any other agent finds the owner with three queries. The target itself is
// authoritative about which flows it holds, because it returns packets of flows that it does not
// know; the agents' tables only avoid asking it.
package packet

import (
	"cmp"
	"encoding/binary"
	"net/netip"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/go-kit/log"

	"mangokeel"
	"mangokeel/internal/fleet"
	"mangokeel/internal/fleetwire"
)

// Link sends packets and frames for a Balancer or Agent. Sending never blocks for long; what
// cannot be sent is dropped, as on a network.
type Link interface {
	// SendFrame sends a frame to a balancer or an agent.
	SendFrame(to netip.AddrPort, b []byte)
	// SendToTarget sends a packet to the agent's own target.
	SendToTarget(b []byte)
	// SendToCaller sends a packet to the caller at an address.
	SendToCaller(to netip.Addr, b []byte)
}

// node has the dependencies that balancers and agents share.
type node struct {
	codec   mangokeel.Codec
	view    *fleet.View
	link    Link
	now     func() time.Time
	events  *Events
	refresh func()
	// suspended returns the total suspended time of the instance, see stallDetector.suspended; it is nil
	// if that is not known.
	suspended func() time.Duration
	// probe starts a connection attempt to the target, see WithTargetProbe. It may be nil.
	probe func(report func(ProbeResult))
}

// Option configures a Balancer or an Agent.
type Option func(*node)

// WithClock sets the clock, for tests.
func WithClock(now func() time.Time) Option { return func(n *node) { n.now = now } }

// WithEvents sets the recorder that counts and logs decisions.
func WithEvents(e *Events) Option { return func(n *node) { n.events = e } }

// WithRefresh sets a function that requests the current configuration and roster from control. It
// is called when another node has a newer revision, or when a search needs a more recent view.
func WithRefresh(fn func()) Option { return func(n *node) { n.refresh = fn } }

// WithSuspended sets a function that returns the total time for which the instance has been
// suspended since it started.
func WithSuspended(fn func() time.Duration) Option { return func(n *node) { n.suspended = fn } }

func newNode(codec mangokeel.Codec, view *fleet.View, link Link, opts []Option) node {
	n := node{
		codec: codec, view: view, link: link, now: time.Now,
		events: NewEvents(log.NewNopLogger()), refresh: func() {},
	}
	for _, o := range opts {
		o(&n)
	}
	return n
}

// hashOf returns the hash of a flow. All nodes must compute the same value, since it selects a
// flow's directory and registrars.
func hashOf(f mangokeel.Flow) uint64 {
	var b [36]byte
	c, a := f.Caller.Addr().As16(), f.Address.Addr().As16()
	copy(b[:], c[:])
	copy(b[16:], a[:])
	binary.BigEndian.PutUint16(b[32:], f.Caller.Port())
	binary.BigEndian.PutUint16(b[34:], f.Address.Port())
	return xxhash.Sum64(b[:])
}

// compareFlows orders flows where the order of a map would decide the order of frames: a run on
// virtual time must depend on its seed only.
func compareFlows(a, b mangokeel.Flow) int {
	return cmp.Or(a.Caller.Compare(b.Caller), a.Address.Compare(b.Address))
}

// flowMessage is a wire message with the two endpoint addresses of a flow.
type flowMessage interface {
	GetCaller() []byte
	GetAddress() []byte
}

// flowOf returns the flow that a message names. Endpoints that cannot be parsed are zero.
func flowOf(x flowMessage) mangokeel.Flow {
	return mangokeel.Flow{Caller: fleetwire.ParseAddress(x.GetCaller()), Address: fleetwire.ParseAddress(x.GetAddress())}
}
