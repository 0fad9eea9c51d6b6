// Package model is a fleet of balancers, agents, targets and callers on virtual time.
//
// The balancers and agents are the real ones of internal/packet; the network between them,
// the targets and the callers are models. A fleet is the tool for load and fault experiments
// without a network: the same seed gives the same run.
//
//	m := model.NewFleet(seed, model.WithRoute(...))
//	h := m.AddHost("zone-a", model.TargetConfig{...})
//	m.AddBalancer("zone-a")
//	m.Load(model.LoadConfig{PerSecond: 300, ...})
//	m.Run(10 * time.Second)
//	fmt.Println(m.Stats)
package model

import (
	"fmt"
	"math/rand/v2"
	"net/netip"
	"time"

	"github.com/go-kit/log"

	"mangokeel"
	"mangokeel/internal/fleet"
	"mangokeel/internal/fleetwire"
	"mangokeel/internal/overload"
	"mangokeel/internal/packet"
	"mangokeel/internal/timer"
)

// Delays of the network, one way.
const (
	localDelay  = 50 * time.Microsecond
	zoneDelay   = 100 * time.Microsecond
	awayDelay   = 1400 * time.Microsecond
	callerDelay = 3 * time.Millisecond
	// pollPeriod is how often nodes hear of changes, reportPeriod how often targets
	// report, and sweepPeriod how often nodes drop what has expired.
	pollPeriod   = 100 * time.Millisecond
	reportPeriod = 770 * time.Millisecond
	sweepPeriod  = 50 * time.Millisecond
	// checkPeriod is how often the fabric checks balancers; missLimit is how many misses in
	// a row take one out of rotation.
	checkPeriod = 500 * time.Millisecond
	missLimit   = 2
	// rotationPeriod is how often control reconsiders which balancers stand by.
	rotationPeriod = 250 * time.Millisecond
)

// Host is an instance with an agent and a target.
type Host struct {
	Zone   mangokeel.AvailabilityZone
	Agent  netip.AddrPort
	Target *Target

	fleet *Fleet
	agent *packet.Agent
	view  *fleet.View
	// number is the number of the last target.
	number uint32
	starts uint64
	// held has what reached the agent while it was suspended.
	suspended bool
	held      []func()
	// heard is when control last heard of the agent.
	heard time.Time
}

// Balancer is a balancer of the fleet.
type Balancer struct {
	Zone mangokeel.AvailabilityZone
	// Ready balancers get packets of the callers in their zone, unless the fabric has taken
	// them out of rotation.
	Ready bool
	// CutOff balancers reach no other node; callers and the fabric's checks reach them.
	CutOff bool
	// Down balancers have no power: whatever is sent to them is lost.
	Down bool

	address  netip.AddrPort
	balancer *packet.Balancer
	view     *fleet.View
	// heard is when control last answered; misses counts failed checks in a row.
	heard  time.Time
	misses int
}

// Serving asks the balancer whether callers should be sent to it.
func (b *Balancer) Serving(heard time.Time) bool { return b.balancer.Serving(heard) }

// inRotation reports whether the fabric uses the balancer.
func (b *Balancer) inRotation() bool { return b.Ready && b.misses < missLimit }

// Fleet is a whole deployment. Its methods are not safe for concurrent use.
type Fleet struct {
	Hosts     []*Host
	Balancers []*Balancer
	Stats     Stats
	// Loss is the share of frames that are lost. All frames of the kind Lost are, if it is set.
	Loss float64
	Lost fleetwire.Kind
	// LearnCapacity makes agents that start later place long flows by what targets can serve.
	LearnCapacity bool
	// Apart makes each node poll control at a moment of its own, so that views differ.
	Apart bool
	// Cut loses all frames from the first zone to the second.
	Cut [2]mangokeel.AvailabilityZone
	// Complete and Revision are what control tells.
	Complete bool
	Revision uint64
	Routes   []*fleetwire.Route
	Services []*fleetwire.Service
	Zones    []*fleetwire.ZoneState

	// Overload is the policy of agents that start later.
	Overload overload.Policy

	// Frames counts the frames between nodes, PeakFrames the most within one second.
	Frames, PeakFrames int

	// Logger gets the decisions of nodes that start later.
	Logger log.Logger
	// OnFrame is called with each frame that a node sends, also if it is lost. It may be nil.
	OnFrame func(from mangokeel.AvailabilityZone, to netip.AddrPort, b []byte)

	timers  *timer.Virtual
	rand    *rand.Rand
	callers map[netip.AddrPort]*caller
	next    uint32
	faults  []string
	frozen  map[netip.AddrPort]bool
	// rotation is control's decision about the balancers.
	rotation fleet.Rotation
	// lastFrames is Frames at the last full second; hosts finds a host by its agent.
	lastFrames int
	hosts      map[netip.AddrPort]*Host
}

// NewFleet returns a fleet without nodes that has one route to a service "s".
func NewFleet(seed uint64) *Fleet {
	m := &Fleet{
		timers:  timer.NewVirtual(time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)),
		rand:    rand.New(rand.NewPCG(seed, 0)),
		callers: map[netip.AddrPort]*caller{},
		frozen:  map[netip.AddrPort]bool{},
		hosts:   map[netip.AddrPort]*Host{},
		Logger:  log.NewNopLogger(),
	}
	m.Complete, m.Revision = true, 1
	m.Routes = []*fleetwire.Route{{
		Address: Address.String(), Shares: []*fleetwire.Share{{Service: "s", Weight: 1}}, TimeoutMs: 1500, Revision: 1,
	}}
	m.Services = []*fleetwire.Service{{Name: "s", Connections: 2000}}
	m.timers.Every(pollPeriod, func(time.Time) {
		if m.Apart {
			m.pollApart()
		} else {
			m.Poll()
		}
	})
	m.timers.Every(sweepPeriod, func(time.Time) { m.sweep() })
	m.timers.Every(checkPeriod, func(time.Time) { m.check() })
	m.timers.Every(rotationPeriod, func(now time.Time) { m.rotation.Update(now) })
	m.timers.Every(time.Second, func(time.Time) {
		m.PeakFrames = max(m.PeakFrames, m.Frames-m.lastFrames)
		m.lastFrames = m.Frames
	})
	return m
}

// Address is where callers reach the service of the first route.
var Address = netip.MustParseAddrPort("198.18.0.1:443")

// Now returns the virtual time.
func (m *Fleet) Now() time.Time { return m.timers.Now() }

// allLines is a bound that no run reaches.
const allLines = 1e9

// logger returns the log of a node with the virtual time.
func (m *Fleet) logger(node netip.AddrPort) log.Logger {
	return log.With(m.Logger, "at", log.Valuer(func() any { return m.Now().Format("05.0000") }), "node", node)
}

// Run lets time pass.
func (m *Fleet) Run(d time.Duration) { m.timers.Advance(d) }

// After calls fn once.
func (m *Fleet) After(d time.Duration, fn func()) { m.after(d, fn) }

func (m *Fleet) after(d time.Duration, fn func()) { m.timers.After(d, func(time.Time) { fn() }) }

func (m *Fleet) fail(format string, args ...any) {
	m.faults = append(m.faults, fmt.Sprintf(format, args...))
}

// Faults returns what must never happen and did.
func (m *Fleet) Faults() []string { return m.faults }

// AddHost adds an instance with a target that has just started.
func (m *Fleet) AddHost(zone mangokeel.AvailabilityZone, cfg TargetConfig) *Host {
	m.next++
	h := &Host{
		Zone: zone, Agent: netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, byte(m.next >> 8), byte(m.next)}), 7000),
		fleet: m, number: m.next << 16,
	}
	m.Hosts = append(m.Hosts, h)
	m.hosts[h.Agent] = h
	h.StartTarget(cfg)
	h.StartAgent()
	m.timers.Every(reportPeriod, func(time.Time) { h.Report() })
	return h
}

// StartTarget starts a new incarnation of the target.
func (h *Host) StartTarget(cfg TargetConfig) {
	if h.Target != nil {
		h.Target.ended = true
	}
	h.number++
	h.Target = &Target{
		fleet: h.fleet, host: h, number: h.number, cfg: cfg, born: h.fleet.Now(), flows: map[mangokeel.Flow]bool{}, asked: map[mangokeel.Flow]uint32{},
		id: fmt.Sprintf("%s-%d", h.Agent, h.fleet.Now().UnixMilli()),
	}
}

// StartAgent starts a new incarnation of the agent, which knows nothing.
func (h *Host) StartAgent() {
	h.StopAgent()
	h.starts++
	h.view = &fleet.View{}
	h.agent = packet.NewAgent(packet.AgentConfig{
		Address: h.Agent, Zone: h.Zone, Service: h.Target.cfg.Service, Start: h.starts, ReportPeriod: reportPeriod, Overload: h.fleet.Overload,
		LearnCapacity: h.fleet.LearnCapacity,
	}, Codec{}, h.view, hostLink{h.fleet, h}, packet.WithClock(h.fleet.Now),
		packet.WithEvents(packet.NewEvents(h.fleet.logger(h.Agent), packet.WithLogRate(allLines))), packet.WithTargetProbe(h.probe))
	h.Report()
	h.heard = h.fleet.Now()
	h.fleet.poll(h.view)
}

// probe tries to connect to the target for the agent.
func (h *Host) probe(report func(packet.ProbeResult)) {
	h.fleet.after(localDelay, func() {
		if h.Target.ended {
			report(packet.ProbeRefused)
			return
		}
		report(packet.ProbeAccepted)
	})
}

// EndTarget ends the target without a notice. The agent stays.
func (h *Host) EndTarget() { h.Target.ended = true }

// Returned reports whether control knows of the agent's target, or that there is none.
func (h *Host) Returned() bool {
	return h.agent != nil && (h.agent.Announcement() != nil || h.agent.Vacancy() != nil)
}

// StopAgent ends the agent.
func (h *Host) StopAgent() { h.agent, h.suspended, h.held = nil, false, nil }

// StartAgentIfStopped starts the agent unless it runs.
func (h *Host) StartAgentIfStopped() {
	if h.agent == nil {
		h.StartAgent()
	}
}

// Report makes the target report now.
func (h *Host) Report() {
	if h.agent != nil && !h.Target.ended && !h.suspended {
		h.agent.HandleReport(h.Target.report())
	}
}

// Remove ends the target, the agent and their registration.
func (h *Host) Remove() {
	h.Target.ended = true
	h.agent = nil
}

// AddBalancer adds a ready balancer.
func (m *Fleet) AddBalancer(zone mangokeel.AvailabilityZone) *Balancer {
	m.next++
	b := &Balancer{Zone: zone, Ready: true, address: netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 1, byte(m.next >> 8), byte(m.next)}), 7000)}
	m.Balancers = append(m.Balancers, b)
	m.Restart(b)
	return b
}

// Restart starts a balancer anew, which knows nothing.
func (m *Fleet) Restart(b *Balancer) {
	b.view = &fleet.View{}
	b.balancer = packet.NewBalancer(packet.BalancerConfig{Zone: b.Zone, HintAddress: b.address}, Codec{}, b.view, balancerLink{m, b},
		packet.WithClock(m.Now), packet.WithEvents(packet.NewEvents(m.logger(b.address), packet.WithLogRate(allLines))))
	m.poll(b.view)
	b.heard, b.misses = m.Now(), 0
}

// Suspend stops the agent's process. What reaches it meanwhile waits in its sockets.
func (h *Host) Suspend() { h.suspended = true }

// Resume lets the agent's process go on.
func (h *Host) Resume() {
	h.suspended = false
	held := h.held
	h.held = nil
	for _, fn := range held {
		fn()
	}
}

// reach brings something to the agent's process.
func (h *Host) reach(fn func()) {
	switch {
	case h.agent == nil:
	case h.suspended:
		h.held = append(h.held, fn)
	default:
		fn()
	}
}

// Move makes all callers of a zone reach the balancers of another one.
func (m *Fleet) Move(from, to mangokeel.AvailabilityZone) {
	for _, c := range m.callers {
		if c.cfg.Zone == from {
			c.cfg.Zone = to
		}
	}
}

// Freeze stops a node from getting frames, or lets it get them again.
func (m *Fleet) Freeze(agent netip.AddrPort, frozen bool) { m.frozen[agent] = frozen }

// poll brings the host's agent up to date.
func (h *Host) poll() {
	if h.agent != nil && !h.suspended {
		h.heard = h.fleet.Now()
	}
	h.reach(func() { h.fleet.pollAs(h.view, h.Target.cfg.Service, false) })
}

// pollBalancer brings a balancer up to date, unless control cannot reach it.
func (m *Fleet) pollBalancer(b *Balancer) {
	if b.CutOff || b.Down {
		return
	}
	m.rotation.RecordPoll(b.address.String(), b.Zone, m.Now())
	m.pollAs(b.view, "", m.rotation.StandsBy(b.Zone))
	b.heard = m.Now()
}

// pollApart brings each node up to date at some moment of the period.
func (m *Fleet) pollApart() {
	moment := func() time.Duration { return time.Duration(m.rand.Int64N(int64(pollPeriod))) }
	for _, h := range m.Hosts {
		m.after(moment(), h.poll)
	}
	for _, b := range m.Balancers {
		m.after(moment(), func() { m.pollBalancer(b) })
	}
}

// Poll brings all nodes up to date now.
func (m *Fleet) Poll() {
	for _, h := range m.Hosts {
		h.poll()
	}
	for _, b := range m.Balancers {
		m.pollBalancer(b)
	}
}

// check does what the fabric does: it takes balancers out of rotation.
func (m *Fleet) check() {
	for _, b := range m.Balancers {
		if !b.Down && b.balancer.Serving(b.heard) {
			b.misses = 0
		} else {
			b.misses++
		}
	}
}

// reachable returns the balancers that the fabric hands the packets of a zone's callers to: those
// in rotation; all of the zone if these are fewer than half; those of another zone if there are
// none. Callers without a zone have one pool of all balancers.
func (m *Fleet) reachable(zone mangokeel.AvailabilityZone) []*Balancer {
	all, inRotation := m.pool(zone)
	if len(inRotation) == 0 {
		for _, b := range m.Balancers {
			if b.Zone != zone && b.inRotation() {
				all, inRotation = m.pool(b.Zone)
				break
			}
		}
	}
	if 2*len(inRotation) < len(all) {
		return all
	}
	return inRotation
}

// pool returns a zone's balancers and those of them that are in rotation.
func (m *Fleet) pool(zone mangokeel.AvailabilityZone) (all, inRotation []*Balancer) {
	for _, b := range m.Balancers {
		if !b.Ready || zone != "" && b.Zone != zone {
			continue
		}
		all = append(all, b)
		if b.inRotation() {
			inRotation = append(inRotation, b)
		}
	}
	return all, inRotation
}

// poll brings a node's view up to date.
func (m *Fleet) poll(v *fleet.View) { m.pollAs(v, "", false) }

// pollAs updates the view of a node, with the typical load of the service of an agent, and control's
// request to a balancer to stand by.
func (m *Fleet) pollAs(v *fleet.View, service string, standby bool) {
	r := &fleetwire.PollReply{
		Leading: true, Desired: m.Revision, Whole: true, Routes: m.Routes, Services: m.Services, Zones: m.Zones,
		Term: 1, All: true, Complete: m.Complete, Standby: standby,
	}
	oldest := m.Now()
	for _, h := range m.Hosts {
		if (h.agent != nil || !h.Target.ended) && h.heard.Before(oldest) {
			oldest = h.heard
		}
	}
	r.HeardMs = uint64(m.Now().Sub(oldest).Milliseconds())
	for _, h := range m.Hosts {
		// A lease outlasts a short absence of the agent.
		if h.Target.ended && h.agent == nil {
			continue
		}
		a := &fleetwire.Announcement{
			Agent: h.Agent.String(), Zone: string(h.Zone), Service: h.Target.cfg.Service, State: fleetwire.State_STATE_READY,
			Load: &fleetwire.Load{Slots: uint32(h.Target.cfg.Slots)}, Start: 1, Serial: 1,
		}
		if h.agent != nil {
			if x := h.agent.Announcement(); x != nil {
				a = x
			} else if h.Target.ended {
				continue
			}
		}
		r.Announcements = append(r.Announcements, a)
	}
	fleet.TypicalLoads(r.Announcements)[service].Fill(r)
	v.Apply(r, m.Now())
}

func (m *Fleet) sweep() {
	for _, h := range m.Hosts {
		if h.agent != nil && !h.suspended {
			h.agent.Sweep()
		}
	}
	for _, b := range m.Balancers {
		b.balancer.Sweep()
	}
}

// frame carries a frame between nodes.
func (m *Fleet) frame(from mangokeel.AvailabilityZone, to netip.AddrPort, b []byte) {
	if m.OnFrame != nil {
		m.OnFrame(from, to, b)
	}
	if m.frozen[to] || m.rand.Float64() < m.Loss || m.loses(b) {
		return
	}
	m.Frames++
	b = append([]byte(nil), b...)
	if h := m.hosts[to]; h != nil {
		if m.Cut == [...]mangokeel.AvailabilityZone{from, h.Zone} {
			return
		}
		m.after(m.delay(from, h.Zone), func() {
			h.reach(func() { h.agent.HandleFrame(b) })
		})
		return
	}
	for _, x := range m.Balancers {
		if x.address == to && !x.CutOff {
			m.after(m.delay(from, x.Zone), func() { x.balancer.HandleHint(b) })
			return
		}
	}
}

// loses reports whether a frame is of the kind that is lost.
func (m *Fleet) loses(b []byte) bool {
	if m.Lost == fleetwire.Kind_KIND_UNSPECIFIED {
		return false
	}
	var x fleetwire.Frame
	_, err := fleetwire.Split(b, &x)
	return err == nil && x.GetKind() == m.Lost
}

func (m *Fleet) delay(a, b mangokeel.AvailabilityZone) time.Duration {
	if a == b {
		return zoneDelay
	}
	return awayDelay
}

type balancerLink struct {
	m *Fleet
	b *Balancer
}

func (l balancerLink) SendFrame(to netip.AddrPort, b []byte) {
	if !l.b.CutOff {
		l.m.frame(l.b.Zone, to, b)
	}
}

func (l balancerLink) SendToTarget([]byte)                 {}
func (l balancerLink) SendToCaller(_ netip.Addr, b []byte) { l.m.answer(b, true) }

type hostLink struct {
	m *Fleet
	h *Host
}

func (l hostLink) SendFrame(to netip.AddrPort, b []byte) { l.m.frame(l.h.Zone, to, b) }

func (l hostLink) SendToTarget(b []byte) {
	b = append([]byte(nil), b...)
	t := l.h.Target
	l.m.after(localDelay, func() { t.take(b) })
}

func (l hostLink) SendToCaller(_ netip.Addr, b []byte) {
	p, err := Codec{}.Parse(b)
	l.m.answer(b, err == nil && p.Reset)
}
