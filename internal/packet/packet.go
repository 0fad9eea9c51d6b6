// Package packet forwards flows whose packets name both of their ends.
//
// A Balancer hands each packet of a caller to an agent; an Agent gives packets to the one
// target that it stands beside and sends the target's packets straight to callers. Neither
// has sockets of its own: both get packets by calls and send through a Link, so that whole
// fleets run on virtual time in tests.
//
//	b := packet.NewBalancer(cfg, codec, view, link)
//	b.Caller(bytes)             // a packet from a caller
//
//	a := packet.NewAgent(cfg, codec, view, link)
//	a.Report(report)            // what the target says of itself
//	a.Frame(bytes)              // from a balancer or an agent
//	a.Target(bytes)             // from the target
//
// The first agent in a flow's order (fleet.State.Order) is its directory: it places the
// flow and remembers where it went. Three more agents are the flow's places
// (fleet.State.Places): its owner keeps them informed, so that any other agent finds it with
// three questions. The target is the truth about which flows it holds,
// because it returns packets of others; the agents' tables only save asking.
package packet

import (
	"encoding/binary"
	"net/netip"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/go-kit/log"

	"mangokeel"
	"mangokeel/internal/fleet"
	"mangokeel/internal/fleetwire"
)

// Link carries what a Balancer or Agent sends. Sending never blocks for long; what cannot
// be sent is dropped, as packets are.
type Link interface {
	// SendFrame sends a frame to a balancer or an agent.
	SendFrame(to netip.AddrPort, b []byte)
	// SendToTarget gives a packet to the agent's own target.
	SendToTarget(b []byte)
	// SendToCaller sends a packet to the caller at an address.
	SendToCaller(to netip.Addr, b []byte)
}

// node is what balancers and agents have in common.
type node struct {
	codec   mangokeel.Codec
	view    *fleet.View
	link    Link
	now     func() time.Time
	events  *Events
	refresh func()
	// suspended is what stall.suspended says.
	suspended func() time.Duration
}

// Option changes a Balancer or an Agent.
type Option func(*node)

// WithClock sets the clock, for tests.
func WithClock(now func() time.Time) Option { return func(n *node) { n.now = now } }

// WithEvents sets where decisions are counted and logged.
func WithEvents(e *Events) Option { return func(n *node) { n.events = e } }

// WithRefresh sets a function that is called when another node has a newer configuration.
func WithRefresh(fn func()) Option { return func(n *node) { n.refresh = fn } }

// WithSuspended sets a function that returns for how long the instance has been suspended since
// it started.
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

// hashOf returns the hash of a flow. All nodes compute the same.
func hashOf(f mangokeel.Flow) uint64 {
	var b [36]byte
	c, a := f.Caller.Addr().As16(), f.Address.Addr().As16()
	copy(b[:], c[:])
	copy(b[16:], a[:])
	binary.BigEndian.PutUint16(b[32:], f.Caller.Port())
	binary.BigEndian.PutUint16(b[34:], f.Address.Port())
	return xxhash.Sum64(b[:])
}

// flowMessage is a message that names a flow.
type flowMessage interface {
	GetCaller() []byte
	GetAddress() []byte
}

// flowOf returns the flow that a message names, or the zero value.
func flowOf(x flowMessage) mangokeel.Flow {
	return mangokeel.Flow{Caller: fleetwire.ParseAddress(x.GetCaller()), Address: fleetwire.ParseAddress(x.GetAddress())}
}
