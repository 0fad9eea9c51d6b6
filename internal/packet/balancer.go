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
	// maxHints bounds the hint table: 100,000 flows take about 15 MB.
	maxHints = 100_000
	// hintTTL is how long an unused hint is kept. It exceeds the idle timeout of 15 s, the
	// longest pause that callers make in a flow.
	hintTTL = 20 * time.Second
	// suspectRetransmits is how many retransmitted opening packets within retransmitWindow make
	// the balancer consider an agent unresponsive.
	suspectRetransmits = 2
	// suspectDuration is how long new flows bypass an unresponsive agent: the length of its
	// lease, after which control notices that it is gone.
	suspectDuration = 3 * time.Second
	// retransmitWindow is the window over which retransmissions are counted. Callers retransmit
	// an opening packet 200 ms and 600 ms after the first one.
	retransmitWindow = time.Second
)

// BalancerConfig identifies a balancer.
type BalancerConfig struct {
	Zone mangokeel.AvailabilityZone
	// HintAddress is the address to which agents send hints.
	HintAddress netip.AddrPort
}

// hint records the agent that a flow's packets are forwarded to.
type hint struct {
	agent    netip.AddrPort
	lastUsed time.Time
}

// pendingOpen records the agent to which an opening packet was forwarded, and when.
type pendingOpen struct {
	agent  netip.AddrPort
	sentAt time.Time
}

// agentHealth counts retransmissions of opening packets to which an agent did not respond.
type agentHealth struct {
	retransmits int
	// windowStart is the start of the window over which retransmits counts.
	windowStart time.Time
	// lastResponse is when the agent last gave evidence that it receives frames.
	lastResponse time.Time
	// suspectUntil is when the agent is no longer considered unresponsive.
	suspectUntil time.Time
}

// Balancer forwards callers' packets to agents. It is safe for concurrent use.
type Balancer struct {
	node
	cfg BalancerConfig

	mu    sync.Mutex
	stall stallDetector
	hints map[mangokeel.Flow]hint
	// pendingOpens has the flows whose opening packet was forwarded within retransmitWindow.
	pendingOpens map[mangokeel.Flow]pendingOpen
	health       map[netip.AddrPort]*agentHealth
	reachability reachability
	revisions    revisions
	// standby is the last result of Serving as far as it depends on control's request to stand by.
	standby bool
	// frame, buf and candidates are scratch space that is reused for each packet.
	frame      fleetwire.Frame
	buf        []byte
	candidates []*fleet.Target
	// origin is the encoded hint address.
	origin []byte
}

// NewBalancer returns a balancer that makes its decisions from a view of the fleet.
func NewBalancer(cfg BalancerConfig, codec mangokeel.Codec, view *fleet.View, link Link, opts ...Option) *Balancer {
	b := &Balancer{
		node: newNode(codec, view, link, opts), cfg: cfg, origin: fleetwire.Address(cfg.HintAddress),
		hints: map[mangokeel.Flow]hint{}, pendingOpens: map[mangokeel.Flow]pendingOpen{}, health: map[netip.AddrPort]*agentHealth{},
	}
	b.stall.suspended = b.suspended
	return b
}

// HandleCallerPacket forwards or rejects a packet from a caller.
func (b *Balancer) HandleCallerPacket(raw []byte) {
	p, err := b.codec.Parse(raw)
	if err != nil || p.Returned {
		b.events.count(Malformed)
		return
	}
	f := mangokeel.Flow{Caller: p.Source, Address: p.Destination}
	b.mu.Lock()
	defer b.mu.Unlock()
	s := b.view.State()
	route := s.Routes[p.Destination]
	if route == nil {
		b.rejectUnrouted(s, f, p)
		return
	}
	late, stale := b.stall.observe(b.now())
	if p.Opening {
		if stale {
			b.events.record(Dropped, f, "reason", "the process did not run", "copy", p.Copy)
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

// rejectUnrouted resets a new flow to an address that has no route. Before the first
// configuration, and while a newer one is in use elsewhere, it drops the packet instead, since the
// route may exist.
func (b *Balancer) rejectUnrouted(s *fleet.State, f mangokeel.Flow, p mangokeel.Packet) {
	if s.Revision == 0 || !p.Opening {
		b.events.count(Dropped)
		return
	}
	b.revisions.update(s)
	if newer := b.revisions.newerThan(s.Revision); newer > 0 {
		b.events.record(Dropped, f, "reason", refusedOutdated, "revision", s.Revision, "newer", newer)
		return
	}
	b.events.record(Refused, f, "reason", "no route", "revision", s.Revision)
	b.link.SendToCaller(f.Caller.Addr(), b.codec.Reset(p))
}

// forwardOpening forwards an opening packet to the flow's directory, or to the agent of the
// next-ranked target if the directory is unresponsive.
func (b *Balancer) forwardOpening(s *fleet.State, route *fleet.Route, f mangokeel.Flow, p mangokeel.Packet, late bool, raw []byte) {
	h := hashOf(f)
	now := b.now()
	d := decision{s.Revision, route.ChooseService(h)}
	b.revisions.update(s)
	if newer := b.revisions.decisions[f.Address]; newer.revision > d.revision {
		d = newer
	}
	b.rankCandidates(s, d.service, h, now)
	if len(b.candidates) == 0 {
		if p.Copy == 0 && s.TargetsKnown(now) {
			b.events.record(Refused, f, "reason", "no target", "service", d.service, "revision", d.revision)
			b.link.SendToCaller(f.Caller.Addr(), b.codec.Reset(p))
			return
		}
		b.events.count(Dropped)
		return
	}
	if p.Copy > 0 {
		b.reachability.recordRetransmit(now)
	}
	first := b.candidates[0]
	to := b.firstResponsive(now)
	// A retransmission counts against an agent only if the previous packet went to it. An agent
	// that has responded since then gets the retransmission too: it knows to which agent it
	// passed the flow and whether that one responded.
	if x, ok := b.pendingOpens[f]; ok && p.Copy > 0 && x.agent == to.Agent && !b.respondedSince(to.Agent, x.sentAt) {
		b.recordRetransmit(to.Agent, now)
		to = b.nextResponsive(to, now)
	}
	b.pendingOpens[f] = pendingOpen{to.Agent, now}
	// The hint directs later packets to this agent, which knows the flow even if the ranking of
	// its targets has changed by then.
	if len(b.hints) < maxHints {
		b.hints[f] = hint{to.Agent, now}
	}
	if to != first {
		b.events.record(Bypassed, f, "first", first.Agent, "to", to.Agent, "copy", p.Copy)
	}
	b.frame.Late, b.frame.Known = late, b.revisions.oldest(now)
	b.sendFrame(to.Agent, fleetwire.Kind_KIND_OPEN, d.revision, d.service, raw)
	b.frame.Late, b.frame.Known = false, 0
}

// rankCandidates sets candidates to the first targets of a flow, or to all if none of the first ones
// is responsive.
func (b *Balancer) rankCandidates(s *fleet.State, service string, flow uint64, now time.Time) {
	b.candidates = s.FirstTargets(b.candidates[:0], service, b.cfg.Zone, flow)
	for _, t := range b.candidates {
		if b.responsive(t, now) {
			return
		}
	}
	b.candidates = s.RankTargets(b.candidates[:0], service, b.cfg.Zone, flow)
}

// responsive reports whether the agent of a target is not considered unresponsive.
func (b *Balancer) responsive(t *fleet.Target, now time.Time) bool {
	x := b.health[t.Agent]
	return x == nil || !now.Before(x.suspectUntil)
}

// firstResponsive returns the first candidate whose agent is not considered unresponsive, or the
// first candidate if all are.
func (b *Balancer) firstResponsive(now time.Time) *fleet.Target {
	for _, t := range b.candidates {
		if b.responsive(t, now) {
			return t
		}
	}
	return b.candidates[0]
}

// nextResponsive returns the first responsive candidate other than t, or t if there is none.
func (b *Balancer) nextResponsive(t *fleet.Target, now time.Time) *fleet.Target {
	for _, u := range b.candidates {
		if u != t && b.responsive(u, now) {
			return u
		}
	}
	return t
}

// recordResponse records that an agent receives frames: the caller of a flow that was opened
// through it has continued, or the agent has sent a hint.
func (b *Balancer) recordResponse(agent netip.AddrPort, now time.Time) {
	x := b.health[agent]
	if x == nil {
		x = &agentHealth{windowStart: now}
		b.health[agent] = x
	}
	x.lastResponse, x.retransmits, x.suspectUntil = now, 0, time.Time{}
}

// respondedSince reports whether an agent has responded since the given time.
func (b *Balancer) respondedSince(agent netip.AddrPort, since time.Time) bool {
	x := b.health[agent]
	return x != nil && x.lastResponse.After(since)
}

// recordRetransmit counts a retransmitted opening packet against an agent. Callers retransmit only
// if they got no answer.
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
		b.events.logChange("agent is unresponsive", "agent", agent, "copies", x.retransmits, "for", suspectDuration)
	}
}

// forwardData forwards a packet of an open flow to the agent that the flow's hint names, or to
// the flow's directory if there is no hint.
func (b *Balancer) forwardData(s *fleet.State, route *fleet.Route, f mangokeel.Flow, raw []byte) {
	now := b.now()
	if x, ok := b.hints[f]; ok {
		if s.Agents[x.agent] != nil {
			x.lastUsed = now
			b.hints[f] = x
			b.sendData(s, x.agent, raw)
			return
		}
		delete(b.hints, f)
	}
	h := hashOf(f)
	b.rankCandidates(s, route.ChooseService(h), h, now)
	for _, service := range route.FormerServices {
		if len(b.candidates) == 0 {
			b.rankCandidates(s, service, h, now)
		}
	}
	if len(b.candidates) == 0 {
		b.events.count(Dropped)
		return
	}
	b.sendData(s, b.firstResponsive(now).Agent, raw)
}

// sendData sends a caller's packet of an open flow to an agent.
func (b *Balancer) sendData(s *fleet.State, to netip.AddrPort, raw []byte) {
	b.frame.Known = b.revisions.newerThan(s.Revision)
	b.sendFrame(to, fleetwire.Kind_KIND_DATA, s.Revision, "", raw)
	b.frame.Known = 0
}

// sendFrame sends a caller's packet to an agent.
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

// Serving reports whether the fabric should send callers to the balancer: control has answered it
// at least once, it is not cut off from both control and the agents, and control has not recently
// asked it to stand by. lastHeard is when control last answered; the zero value if never.
func (b *Balancer) Serving(lastHeard time.Time) bool {
	if lastHeard.IsZero() {
		return false
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	wasCut := !b.reachability.cutOffSince.IsZero()
	cut := b.reachability.isCutOff(b.now(), lastHeard)
	if cut != wasCut {
		b.events.logChange("reach", "cut_off", cut, "control_heard", b.now().Sub(lastHeard))
	}
	standby := b.view.State().Standby && b.now().Sub(lastHeard) <= controlTimeout
	if standby != b.standby {
		b.standby = standby
		b.events.logChange("standby", "on", standby, "control_heard", b.now().Sub(lastHeard))
	}
	return !cut && !standby
}

// HandleHint stores the owner of a flow that an agent names in a hint frame.
func (b *Balancer) HandleHint(raw []byte) {
	var x fleetwire.Frame
	if _, err := fleetwire.Split(raw, &x); err != nil || x.GetKind() != fleetwire.Kind_KIND_HINT {
		b.events.count(Malformed)
		return
	}
	known := x.GetKnown()
	if max(x.GetRevision(), known) > b.view.State().Revision {
		b.refresh()
	}
	agent, f := fleetwire.ParseAddress(x.GetOrigin()), flowOf(&x)
	if !agent.IsValid() || !f.Caller.IsValid() {
		b.events.count(Malformed)
		return
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	if s := b.view.State(); known > s.Revision {
		b.revisions.update(s)
		b.revisions.learn(f.Address, decision{known, x.GetService()}, b.now())
	}
	if _, ok := b.hints[f]; !ok && len(b.hints) >= maxHints {
		b.events.count(Dropped)
		return
	}
	b.hints[f] = hint{agent, b.now()}
	b.recordResponse(agent, b.now())
}

// Sweep removes expired hints, pending opens and health records. It also informs the stall detector
// that the process runs, so it must be called at intervals shorter than lateAfter.
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
