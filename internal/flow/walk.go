package flow

import (
	"net/netip"
	"time"

	"mangokeel"
	"mangokeel/internal/bucket"
	"mangokeel/internal/view"
	"mangokeel/internal/wire"
)

// Receive decides about one packet and changes the table accordingly.
func (t *Table) Receive(now time.Time, p Packet) Decision {
	d := t.decide(now, p)
	t.counters.Actions[d.Action]++
	if d.Action == Drop {
		t.counters.Drops[d.Reason]++
	}
	return d
}

func (t *Table) decide(now time.Time, p Packet) Decision {
	switch {
	case p.Service != t.cfg.Service:
		return drop(ReasonService)
	case p.Handle != t.cfg.Handle:
		return drop(ReasonHandle)
	case p.Named != 0 && t.cfg.Protocol != wire.Protocol_PROTOCOL_UDP:
		return t.named(p)
	}
	switch p.Kind {
	case wire.Kind_KIND_FIND, wire.Kind_KIND_CREATE:
		if !p.Opens {
			// The connection ID may be one of a live target under a newer key, so
			// that an answer could reset its flow.
			return drop(ReasonUnknown)
		}
		return t.find(now, p)
	case wire.Kind_KIND_DELIVER:
		if t.cfg.Protocol == wire.Protocol_PROTOCOL_UDP {
			return drop(ReasonKind)
		}
		return Decision{Action: Deliver}
	case wire.Kind_KIND_RELAY, wire.Kind_KIND_RESET:
		return drop(ReasonUnknown)
	}
	return drop(ReasonKind)
}

func drop(r Reason) Decision { return Decision{Action: Drop, Reason: r} }

// named decides about a packet whose connection ID names a target. It is reset
// only when the target has left in this agent's view; a handle above the view's
// next one may be alive.
func (t *Table) named(p Packet) Decision {
	if p.Named == t.cfg.Handle {
		if t.closed() {
			return Decision{Action: Reset}
		}
		t.forget(p.Caller)
		return Decision{Action: Deliver}
	}
	if t.service == nil || p.Named >= t.state.NextHandle {
		return drop(ReasonUnknown)
	}
	to := t.service.Targets[p.Named]
	if to == nil || !to.Open {
		return Decision{Action: Reset}
	}
	return t.forward(p, wire.Kind_KIND_DELIVER, Hop{Handle: to.Handle, Agent: to.Agent}, step{epoch: p.Epoch})
}

// forget removes the entry of a caller who uses this agent's connection IDs. All
// its later packets are found by them. With the entry, a new connection from the
// same port would go to this target even when it is leaving.
func (t *Table) forget(caller netip.AddrPort) {
	if t.count > 0 && t.Remove(caller) {
		t.counters.Settled++
	}
}

// step is one position of a walk along a chain.
type step struct {
	epoch mangokeel.Epoch
	chain []Hop
	at    int
}

// find applies the rules for packets whose flow is found by address.
func (t *Table) find(now time.Time, p Packet) Decision {
	if t.touch(now, p.Bucket, p.Caller) {
		return Decision{Action: Deliver}
	}
	if !t.validBucket(p) {
		return drop(ReasonBucket)
	}
	s, fresh := t.newest(p)
	if f, ok := t.floors[p.Bucket]; ok && f.epoch > s.epoch {
		t.counters.Fenced++
		return t.restart(p, step{epoch: f.epoch, chain: f.chain})
	}
	switch {
	case fresh && s.chain[0].Handle != t.cfg.Handle:
		return t.restart(p, s)
	case s.at >= len(s.chain) || s.chain[s.at].Handle != t.cfg.Handle:
		return drop(ReasonChain)
	}
	create := p.Kind == wire.Kind_KIND_CREATE && !fresh
	if s.at > 0 {
		if create {
			return drop(ReasonChain)
		}
		return t.decline(p, s)
	}
	if create || len(s.chain) == 1 {
		return t.create(now, p, s)
	}
	return t.forward(p, wire.Kind_KIND_FIND, s.chain[1], step{s.epoch, s.chain, 1})
}

// validBucket checks the bucket against the caller as far as the view allows.
func (t *Table) validBucket(p Packet) bool {
	if t.service == nil {
		return p.Bucket < MaxBuckets
	}
	return p.Bucket == bucket.Index(p.Caller, t.cfg.Service, t.service.GetBuckets())
}

// newest returns the packet's position in its chain, or the start of this
// agent's own chain when that one is newer. The walk then begins anew, because
// members of the newer chain may not have been asked; fresh is then true.
func (t *Table) newest(p Packet) (s step, fresh bool) {
	s = step{p.Epoch, p.Chain, int(p.Next)}
	if len(s.chain) == 0 {
		s.chain = []Hop{{Handle: t.cfg.Handle}}
		s.at = 0
	}
	if t.service == nil || p.Epoch > t.Epoch() {
		return s, false
	}
	own := t.chain(p.Bucket)
	if p.Epoch == t.Epoch() {
		if equal(own, s.chain) {
			return s, false
		}
		t.counters.Mismatched++
	}
	t.counters.Upgraded++
	return step{t.Epoch(), own, 0}, true
}

// chain returns this agent's own chain of a bucket. A chain without an eligible
// owner starts with the zero Hop, so that no holder takes itself for the owner
// and creates flows that its releases do not account for.
func (t *Table) chain(b uint32) []Hop {
	var c []Hop
	if t.service.Owner(b) == nil {
		c = append(c, Hop{})
	}
	t.service.Chain(b, func(x *view.Target) bool {
		c = append(c, Hop{Handle: x.Handle, Agent: x.Agent})
		return true
	})
	return c
}

func equal(a, b []Hop) bool {
	if len(a) != len(b) {
		return false
	}
	for i := range a {
		if a[i].Handle != b[i].Handle {
			return false
		}
	}
	return true
}

// decline answers that this agent does not hold the flow: it raises the floor and
// passes the packet to the next member, or back to the owner after the last.
func (t *Table) decline(p Packet, s step) Decision {
	if s.epoch > t.Epoch() {
		t.floors[p.Bucket] = floor{s.epoch, s.chain}
	}
	switch {
	case s.at+1 < len(s.chain):
		return t.forward(p, wire.Kind_KIND_FIND, s.chain[s.at+1], step{s.epoch, s.chain, s.at + 1})
	case s.chain[0].Handle == 0:
		return drop(ReasonOwner)
	}
	return t.forward(p, wire.Kind_KIND_CREATE, s.chain[0], step{s.epoch, s.chain, 0})
}

// create opens a flow at the owner, after every other member declined.
func (t *Table) create(now time.Time, p Packet, s step) Decision {
	if s.epoch < t.Epoch() || s.epoch < t.floors[p.Bucket].epoch {
		t.counters.Violations++
		return drop(ReasonInvariant)
	}
	if limit := t.limit(); limit > 0 && t.count >= limit {
		return drop(ReasonFull)
	}
	t.insert(now, p.Bucket, p.Caller)
	return Decision{Action: Create}
}

// limit returns the largest number of flows; 0 is no limit.
func (t *Table) limit() int {
	if t.service == nil {
		return 0
	}
	return int(t.service.GetConnections())
}

// restart begins a walk at the owner of a newer chain, or at the first other holder
// when the bucket has no owner.
func (t *Table) restart(p Packet, s step) Decision {
	for i, to := range s.chain {
		if i == 0 && to.Handle != 0 || i > 0 && to.Handle != t.cfg.Handle {
			return t.forward(p, wire.Kind_KIND_FIND, to, step{s.epoch, s.chain, i})
		}
	}
	return drop(ReasonOwner)
}

// forward returns the decision to send p to another member. A packet is never
// forwarded to this agent itself.
func (t *Table) forward(p Packet, k wire.Kind, to Hop, s step) Decision {
	switch {
	case to.Handle == t.cfg.Handle:
		t.counters.Violations++
		return drop(ReasonInvariant)
	case p.Hops >= MaxHops:
		return drop(ReasonHops)
	}
	d := Decision{Action: Forward, To: to, Kind: k, Epoch: s.epoch, Hops: p.Hops + 1, Next: uint32(s.at)}
	if len(s.chain) > 1 {
		d.Chain = s.chain
	}
	return d
}
