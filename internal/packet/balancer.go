package packet

import (
	"net/netip"
	"sync"
	"time"

	"mangokeel"
	"mangokeel/internal/fleet"
	"mangokeel/internal/fleetwire"
)

// Limits of a balancer.
const (
	// hintLimit bounds the hints in memory: 100,000 flows take about 15 MB.
	hintLimit = 100_000
	// hintLife is how long an unused hint is kept: the longest pause that callers make
	// in a flow is the idle time-out of 15 s.
	hintLife = 20 * time.Second
	// suspectCopies is how many copies of opening packets an agent may leave without an
	// effect before it counts as silent.
	suspectCopies = 2
	// suspectTime is how long no flow is opened through a silent agent: a lease.
	suspectTime = 3 * time.Second
	// copyWindow is the time in which copies are counted. Callers send copies 200 ms and
	// 600 ms after the first packet.
	copyWindow = time.Second
)

// BalancerConfig says who a balancer is.
type BalancerConfig struct {
	Zone mangokeel.AvailabilityZone
	// HintAddress is where agents send hints to this balancer.
	HintAddress netip.AddrPort
}

// hint says which agent holds a flow.
type hint struct {
	agent netip.AddrPort
	seen  time.Time
}

// opening is an opening packet that was handed to an agent.
type opening struct {
	agent netip.AddrPort
	at    time.Time
}

// patience counts the copies that callers sent because an agent did not answer.
type patience struct {
	copies int
	// since is when copies was last 0.
	since time.Time
	// answered is when the agent last showed that it gets frames.
	answered time.Time
	// until is the end of the time in which the agent counts as silent.
	until time.Time
}

// Balancer hands callers' packets to agents. It is safe for concurrent use.
type Balancer struct {
	node
	cfg BalancerConfig

	mu    sync.Mutex
	stall stall
	hints map[mangokeel.Flow]hint
	// openings are the flows that were opened within copyWindow.
	openings map[mangokeel.Flow]opening
	patience map[netip.AddrPort]*patience
	reach    reach
	frame    fleetwire.Frame
	buf      []byte
	order    []*fleet.Target
	origin   []byte
}

// NewBalancer returns a balancer that decides by a view.
func NewBalancer(cfg BalancerConfig, codec mangokeel.Codec, view *fleet.View, link Link, opts ...Option) *Balancer {
	b := &Balancer{
		node: newNode(codec, view, link, opts), cfg: cfg, origin: fleetwire.Address(cfg.HintAddress),
		hints: map[mangokeel.Flow]hint{}, openings: map[mangokeel.Flow]opening{}, patience: map[netip.AddrPort]*patience{},
	}
	b.stall.suspended = b.suspended
	return b
}

// HandleCallerPacket takes a packet from a caller.
func (b *Balancer) HandleCallerPacket(raw []byte) {
	p, err := b.codec.Parse(raw)
	if err != nil || p.Returned {
		b.events.count(Malformed)
		return
	}
	f := mangokeel.Flow{Caller: p.Source, Address: p.Destination}
	s := b.view.State()
	route := s.Routes[p.Destination]
	if route == nil {
		b.noRoute(s, f, p)
		return
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	late, stale := b.stall.observe(b.now())
	if p.Opening {
		if stale {
			b.events.decide(Dropped, f, "reason", "the process did not run", "copy", p.Copy)
			return
		}
		delete(b.hints, f)
		b.open(s, route, f, p, late, raw)
		return
	}
	if x, ok := b.openings[f]; ok && !p.Reset {
		delete(b.openings, f)
		b.reach.advanced()
		b.answered(x.agent, b.now())
	}
	b.data(s, route, f, raw)
}

// noRoute ends a flow that nothing can serve. Before the first configuration it says
// nothing, since the route may exist.
func (b *Balancer) noRoute(s *fleet.State, f mangokeel.Flow, p mangokeel.Packet) {
	if s.Revision == 0 || !p.Opening {
		b.events.count(Dropped)
		return
	}
	b.events.decide(Refused, f, "reason", "no route", "revision", s.Revision)
	b.link.SendToCaller(f.Caller.Addr(), b.codec.Reset(p))
}

// open hands an opening packet to the flow's directory.
func (b *Balancer) open(s *fleet.State, route *fleet.Route, f mangokeel.Flow, p mangokeel.Packet, late bool, raw []byte) {
	h := hashOf(f)
	service := route.Choose(h)
	b.order = s.Order(b.order[:0], service, b.cfg.Zone, h)
	if len(b.order) == 0 {
		if p.Copy == 0 && s.Settled(b.now()) {
			b.events.decide(Refused, f, "reason", "no target", "service", service, "revision", s.Revision)
			b.link.SendToCaller(f.Caller.Addr(), b.codec.Reset(p))
			return
		}
		b.events.count(Dropped)
		return
	}
	now := b.now()
	if p.Copy > 0 {
		b.reach.copied(now)
	}
	first := b.order[0]
	to := b.heard(now)
	// Copies whose first packet went elsewhere say nothing about the agent. One that has answered
	// since gets the copy as well: it knows where the flow went, and who did not answer.
	if x, ok := b.openings[f]; ok && p.Copy > 0 && x.agent == to.Agent && !b.answers(to.Agent, x.at) {
		b.copied(to.Agent, now)
		to = b.another(to, now)
	}
	b.openings[f] = opening{to.Agent, now}
	// The directory knows the flow, also when others come first in its order by then.
	if len(b.hints) < hintLimit {
		b.hints[f] = hint{to.Agent, now}
	}
	if to != first {
		b.events.decide(Bypassed, f, "first", first.Agent, "to", to.Agent, "copy", p.Copy)
	}
	b.frame.Late = late
	b.send(to.Agent, fleetwire.Kind_KIND_OPEN, s.Revision, service, raw)
	b.frame.Late = false
}

// heard returns the first target in the order whose agent does not count as silent, or
// the first if all do.
func (b *Balancer) heard(now time.Time) *fleet.Target {
	for _, t := range b.order {
		if x := b.patience[t.Agent]; x == nil || !now.Before(x.until) {
			return t
		}
	}
	return b.order[0]
}

// another returns the first target in the order that is heard besides t, or t.
func (b *Balancer) another(t *fleet.Target, now time.Time) *fleet.Target {
	for _, u := range b.order {
		if x := b.patience[u.Agent]; u != t && (x == nil || !now.Before(x.until)) {
			return u
		}
	}
	return t
}

// answered notes that an agent gets frames: a flow that was opened through it goes on, or it has
// sent a hint.
func (b *Balancer) answered(agent netip.AddrPort, now time.Time) {
	x := b.patience[agent]
	if x == nil {
		x = &patience{since: now}
		b.patience[agent] = x
	}
	x.answered, x.copies, x.until = now, 0, time.Time{}
}

// answers reports whether an agent has answered since a time.
func (b *Balancer) answers(agent netip.AddrPort, since time.Time) bool {
	x := b.patience[agent]
	return x != nil && x.answered.After(since)
}

// copied counts a copy of an opening packet. Copies are only sent when no answer came.
func (b *Balancer) copied(agent netip.AddrPort, now time.Time) {
	x := b.patience[agent]
	if x == nil {
		x = &patience{}
		b.patience[agent] = x
	}
	if now.Sub(x.since) > copyWindow {
		x.copies, x.since = 0, now
	}
	x.copies++
	if x.copies >= suspectCopies && now.After(x.until) {
		x.until = now.Add(suspectTime)
		b.events.change("agent counts as silent", "agent", agent, "copies", x.copies, "for", suspectTime)
	}
}

// data hands any other packet to the owner of the flow, or else to its directory.
func (b *Balancer) data(s *fleet.State, route *fleet.Route, f mangokeel.Flow, raw []byte) {
	now := b.now()
	if x, ok := b.hints[f]; ok {
		if s.Agents[x.agent] != nil {
			x.seen = now
			b.hints[f] = x
			b.send(x.agent, fleetwire.Kind_KIND_DATA, s.Revision, "", raw)
			return
		}
		delete(b.hints, f)
	}
	h := hashOf(f)
	b.order = s.Order(b.order[:0], route.Choose(h), b.cfg.Zone, h)
	for _, service := range route.Former {
		if len(b.order) == 0 {
			b.order = s.Order(b.order[:0], service, b.cfg.Zone, h)
		}
	}
	if len(b.order) == 0 {
		b.events.count(Dropped)
		return
	}
	b.send(b.heard(now).Agent, fleetwire.Kind_KIND_DATA, s.Revision, "", raw)
}

func (b *Balancer) send(to netip.AddrPort, kind fleetwire.Kind, revision uint64, service string, raw []byte) {
	b.frame.Kind, b.frame.Revision, b.frame.Service = kind, revision, service
	b.frame.Origin, b.frame.Zone = b.origin, string(b.cfg.Zone)
	out, err := fleetwire.Append(b.buf[:0], &b.frame, raw)
	if err != nil {
		b.events.count(Malformed)
		return
	}
	b.buf = out
	b.events.count(Forwarded)
	b.link.SendFrame(to, out)
}

// Serving reports whether callers should be sent to the balancer: it has had a state, and it
// is not cut off from both control and the agents. heard is when control last answered it.
func (b *Balancer) Serving(heard time.Time) bool {
	if heard.IsZero() {
		return false
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	was := !b.reach.lost.IsZero()
	cut := b.reach.cutOff(b.now(), heard)
	if cut != was {
		b.events.change("reach", "cut_off", cut, "control_heard", b.now().Sub(heard))
	}
	return !cut
}

// HandleHint takes a frame from an agent.
func (b *Balancer) HandleHint(raw []byte) {
	var x fleetwire.Frame
	if _, err := fleetwire.Split(raw, &x); err != nil || x.GetKind() != fleetwire.Kind_KIND_HINT {
		b.events.count(Malformed)
		return
	}
	s := b.view.State()
	if x.GetRevision() > s.Revision {
		b.newer()
	}
	agent, f := fleetwire.ParseAddress(x.GetOrigin()), flowOf(&x)
	if !agent.IsValid() || !f.Caller.IsValid() {
		b.events.count(Malformed)
		return
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	if _, ok := b.hints[f]; !ok && len(b.hints) >= hintLimit {
		b.events.count(Dropped)
		return
	}
	b.hints[f] = hint{agent, b.now()}
	b.answered(agent, b.now())
}

// Sweep drops what was not used for long. It is called about once a second.
func (b *Balancer) Sweep() {
	b.mu.Lock()
	defer b.mu.Unlock()
	now := b.now()
	b.stall.observe(now)
	for f, x := range b.hints {
		if now.Sub(x.seen) > hintLife {
			delete(b.hints, f)
		}
	}
	for f, x := range b.openings {
		if now.Sub(x.at) > copyWindow {
			delete(b.openings, f)
		}
	}
	for agent, x := range b.patience {
		if now.Sub(x.since) > copyWindow && now.Sub(x.answered) > copyWindow && now.After(x.until) {
			delete(b.patience, agent)
		}
	}
}
