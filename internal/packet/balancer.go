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
	// maxHints bounds the hints in memory: 100,000 flows take about 15 MB.
	maxHints = 100_000
	// hintTTL is how long an unused hint is kept: the longest pause that callers make
	// in a flow is the idle time-out of 15 s.
	hintTTL = 20 * time.Second
	// suspectRetransmits is how many copies of opening packets an agent may leave without an
	// effect before it counts as silent.
	suspectRetransmits = 2
	// suspectDuration is how long no flow is opened through a silent agent: a lease.
	suspectDuration = 3 * time.Second
	// retransmitWindow is the time in which copies are counted. Callers send copies 200 ms and
	// 600 ms after the first packet.
	retransmitWindow = time.Second
)

// BalancerConfig says who a balancer is.
type BalancerConfig struct {
	Zone mangokeel.AvailabilityZone
	// HintAddress is where agents send hints to this balancer.
	HintAddress netip.AddrPort
}

// hint says which agent holds a flow.
type hint struct {
	agent    netip.AddrPort
	lastUsed time.Time
}

// pendingOpen is an pendingOpen packet that was handed to an agent.
type pendingOpen struct {
	agent  netip.AddrPort
	sentAt time.Time
}

// agentHealth counts the copies that callers sent because an agent did not answer.
type agentHealth struct {
	retransmits int
	// windowStart is when copies was last 0.
	windowStart time.Time
	// lastResponse is when the agent last showed that it gets frames.
	lastResponse time.Time
	// suspectUntil is the end of the time in which the agent counts as silent.
	suspectUntil time.Time
}

// Balancer hands callers' packets to agents. It is safe for concurrent use.
type Balancer struct {
	node
	cfg BalancerConfig

	mu    sync.Mutex
	stall stall
	hints map[mangokeel.Flow]hint
	// pendingOpens are the flows that were opened within copyWindow.
	pendingOpens map[mangokeel.Flow]pendingOpen
	health       map[netip.AddrPort]*agentHealth
	reachability reachability
	frame        fleetwire.Frame
	buf          []byte
	candidates   []*fleet.Target
	origin       []byte
}

// NewBalancer returns a balancer that decides by a view.
func NewBalancer(cfg BalancerConfig, codec mangokeel.Codec, view *fleet.View, link Link, opts ...Option) *Balancer {
	b := &Balancer{
		node: newNode(codec, view, link, opts), cfg: cfg, origin: fleetwire.Address(cfg.HintAddress),
		hints: map[mangokeel.Flow]hint{}, pendingOpens: map[mangokeel.Flow]pendingOpen{}, health: map[netip.AddrPort]*agentHealth{},
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
		b.rejectUnrouted(s, f, p)
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
		b.forwardOpening(s, route, f, p, late, raw)
		return
	}
	if x, ok := b.pendingOpens[f]; ok && !p.Reset {
		delete(b.pendingOpens, f)
		b.reachability.recordProgress()
		b.recordResponse(x.agent, b.now())
	}
	b.forwardData(s, route, f, raw)
}

// rejectUnrouted ends a flow that nothing can serve. Before the first configuration it says
// nothing, since the route may exist.
func (b *Balancer) rejectUnrouted(s *fleet.State, f mangokeel.Flow, p mangokeel.Packet) {
	if s.Revision == 0 || !p.Opening {
		b.events.count(Dropped)
		return
	}
	b.events.decide(Refused, f, "reason", "no route", "revision", s.Revision)
	b.link.SendToCaller(f.Caller.Addr(), b.codec.Reset(p))
}

// forwardOpening hands an opening packet to the flow's directory.
func (b *Balancer) forwardOpening(s *fleet.State, route *fleet.Route, f mangokeel.Flow, p mangokeel.Packet, late bool, raw []byte) {
	h := hashOf(f)
	service := route.Choose(h)
	b.candidates = s.Order(b.candidates[:0], service, b.cfg.Zone, h)
	if len(b.candidates) == 0 {
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
		b.reachability.recordRetransmit(now)
	}
	first := b.candidates[0]
	to := b.firstResponsive(now)
	// Copies whose first packet went elsewhere say nothing about the agent. One that has answered
	// since gets the copy as well: it knows where the flow went, and who did not answer.
	if x, ok := b.pendingOpens[f]; ok && p.Copy > 0 && x.agent == to.Agent && !b.respondedSince(to.Agent, x.sentAt) {
		b.recordRetransmit(to.Agent, now)
		to = b.nextResponsive(to, now)
	}
	b.pendingOpens[f] = pendingOpen{to.Agent, now}
	// The directory knows the flow, also when others come first in its order by then.
	if len(b.hints) < maxHints {
		b.hints[f] = hint{to.Agent, now}
	}
	if to != first {
		b.events.decide(Bypassed, f, "first", first.Agent, "to", to.Agent, "copy", p.Copy)
	}
	b.frame.Late = late
	b.sendFrame(to.Agent, fleetwire.Kind_KIND_OPEN, s.Revision, service, raw)
	b.frame.Late = false
}

// firstResponsive returns the first target in the order whose agent does not count as silent, or
// the first if all do.
func (b *Balancer) firstResponsive(now time.Time) *fleet.Target {
	for _, t := range b.candidates {
		if x := b.health[t.Agent]; x == nil || !now.Before(x.suspectUntil) {
			return t
		}
	}
	return b.candidates[0]
}

// nextResponsive returns the first target in the order that is heard besides t, or t.
func (b *Balancer) nextResponsive(t *fleet.Target, now time.Time) *fleet.Target {
	for _, u := range b.candidates {
		if x := b.health[u.Agent]; u != t && (x == nil || !now.Before(x.suspectUntil)) {
			return u
		}
	}
	return t
}

// recordResponse notes that an agent gets frames: a flow that was opened through it goes on, or it has
// sent a hint.
func (b *Balancer) recordResponse(agent netip.AddrPort, now time.Time) {
	x := b.health[agent]
	if x == nil {
		x = &agentHealth{windowStart: now}
		b.health[agent] = x
	}
	x.lastResponse, x.retransmits, x.suspectUntil = now, 0, time.Time{}
}

// respondedSince reports whether an agent has answered since a time.
func (b *Balancer) respondedSince(agent netip.AddrPort, since time.Time) bool {
	x := b.health[agent]
	return x != nil && x.lastResponse.After(since)
}

// recordRetransmit counts a copy of an opening packet. Copies are only sent when no answer came.
func (b *Balancer) recordRetransmit(agent netip.AddrPort, now time.Time) {
	x := b.health[agent]
	if x == nil {
		x = &agentHealth{}
		b.health[agent] = x
	}
	if now.Sub(x.windowStart) > retransmitWindow {
		x.retransmits, x.windowStart = 0, now
	}
	x.retransmits++
	if x.retransmits >= suspectRetransmits && now.After(x.suspectUntil) {
		x.suspectUntil = now.Add(suspectDuration)
		b.events.change("agent counts as silent", "agent", agent, "copies", x.retransmits, "for", suspectDuration)
	}
}

// forwardData hands any other packet to the owner of the flow, or else to its directory.
func (b *Balancer) forwardData(s *fleet.State, route *fleet.Route, f mangokeel.Flow, raw []byte) {
	now := b.now()
	if x, ok := b.hints[f]; ok {
		if s.Agents[x.agent] != nil {
			x.lastUsed = now
			b.hints[f] = x
			b.sendFrame(x.agent, fleetwire.Kind_KIND_DATA, s.Revision, "", raw)
			return
		}
		delete(b.hints, f)
	}
	h := hashOf(f)
	b.candidates = s.Order(b.candidates[:0], route.Choose(h), b.cfg.Zone, h)
	for _, service := range route.Former {
		if len(b.candidates) == 0 {
			b.candidates = s.Order(b.candidates[:0], service, b.cfg.Zone, h)
		}
	}
	if len(b.candidates) == 0 {
		b.events.count(Dropped)
		return
	}
	b.sendFrame(b.firstResponsive(now).Agent, fleetwire.Kind_KIND_DATA, s.Revision, "", raw)
}

func (b *Balancer) sendFrame(to netip.AddrPort, kind fleetwire.Kind, revision uint64, service string, raw []byte) {
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
	was := !b.reachability.cutOffSince.IsZero()
	cut := b.reachability.isCutOff(b.now(), heard)
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
		b.refresh()
	}
	agent, f := fleetwire.ParseAddress(x.GetOrigin()), flowOf(&x)
	if !agent.IsValid() || !f.Caller.IsValid() {
		b.events.count(Malformed)
		return
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	if _, ok := b.hints[f]; !ok && len(b.hints) >= maxHints {
		b.events.count(Dropped)
		return
	}
	b.hints[f] = hint{agent, b.now()}
	b.recordResponse(agent, b.now())
}

// Sweep drops what was not used for long. It is called about once a second.
func (b *Balancer) Sweep() {
	b.mu.Lock()
	defer b.mu.Unlock()
	now := b.now()
	b.stall.observe(now)
	for f, x := range b.hints {
		if now.Sub(x.lastUsed) > hintTTL {
			delete(b.hints, f)
		}
	}
	for f, x := range b.pendingOpens {
		if now.Sub(x.sentAt) > retransmitWindow {
			delete(b.pendingOpens, f)
		}
	}
	for agent, x := range b.health {
		if now.Sub(x.windowStart) > retransmitWindow && now.Sub(x.lastResponse) > retransmitWindow && now.After(x.suspectUntil) {
			delete(b.health, agent)
		}
	}
}
