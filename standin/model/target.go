package model

import (
	"time"

	"mangokeel"
	"mangokeel/internal/packet"
)

// TargetConfig says how a target works.
type TargetConfig struct {
	Service string
	// Slots is how many requests it works on at once, Queue how many wait besides.
	Slots, Queue int
	// Work is the time of a request. Cold targets take ColdFactor times as long.
	Work       time.Duration
	ColdFactor float64
}

// Target is the model of a target. Its fields may be changed while the fleet runs.
type Target struct {
	fleet *Fleet
	host  *Host
	cfg   TargetConfig
	id    string
	// number is the sequence number of the target's answers to opening packets. No other incarnation has it.
	number uint32
	born   time.Time
	seq    uint64

	// Draining is what the target reports.
	Draining  bool
	ColdUntil time.Time
	// Mute targets take packets and never answer.
	Mute bool
	// Factor slows the work down; 0 is 1.
	Factor float64
	// FailShare is the part of the requests that the target answers with a failure, at once.
	FailShare float64

	flows map[mangokeel.Flow]bool
	// asked has the sequence number of each flow's last request, which callers repeat until the
	// answer comes.
	asked   map[mangokeel.Flow]uint32
	running int
	waiting []mangokeel.Flow
	// Opened has the times of the opening packets that the target took.
	Opened []time.Time
	// Foreign counts packets of flows that the target does not hold.
	Foreign int
	Served  int
	// FailedRequests counts the answers that said so.
	FailedRequests int
	ended          bool
}

// Config returns how the target works.
func (t *Target) Config() TargetConfig { return t.cfg }

func (t *Target) report() packet.Report {
	t.seq++
	return packet.Report{
		ID: t.id, StartedAt: t.born, Service: t.cfg.Service, Draining: t.Draining, Slots: t.cfg.Slots,
		ColdFor: max(0, t.ColdUntil.Sub(t.fleet.Now())), Serial: t.seq,
	}
}

// take handles a packet from the agent.
func (t *Target) take(b []byte) {
	if t.ended || t.Mute {
		return
	}
	p, err := Codec{}.Parse(b)
	if err != nil {
		t.fleet.fail("target got a malformed packet: %v", err)
		return
	}
	f := mangokeel.Flow{Caller: p.Source, Address: p.Destination}
	switch {
	case p.Opening && !t.flows[f] && t.running+len(t.waiting) >= t.cfg.Slots+t.cfg.Queue:
		t.send(returnedPacket(p))
	case p.Opening:
		if !t.flows[f] {
			t.Opened = append(t.Opened, t.fleet.Now())
		}
		t.flows[f] = true
		t.send(mangokeel.Packet{Source: f.Address, Destination: f.Caller, Accepting: true, Sequence: t.number, Acknowledged: p.Sequence})
	case !t.flows[f] || p.Acknowledged != t.number: // the caller may continue with another target's answer
		t.Foreign++
		t.send(returnedPacket(p))
	case p.Final || p.Reset:
		delete(t.flows, f)
		delete(t.asked, f)
		if p.Final {
			t.send(mangokeel.Packet{Source: f.Address, Destination: f.Caller, Final: true})
		}
	case p.Size > 0 && t.asked[f] == p.Sequence:
		// repeated
	case p.Size > 0:
		t.asked[f] = p.Sequence
		if t.fleet.rand.Float64() < t.FailShare {
			t.FailedRequests++
			t.send(mangokeel.Packet{Source: f.Address, Destination: f.Caller, Sequence: t.number, Size: 100, Failed: true})
			return
		}
		t.waiting = append(t.waiting, f)
		t.work()
	}
}

func returnedPacket(p mangokeel.Packet) mangokeel.Packet {
	p.Returned = true
	return p
}

func (t *Target) send(p mangokeel.Packet) {
	b := Codec{}.Encode(p)
	a := t.host.agent
	t.fleet.after(localDelay, func() {
		if t.host.agent == a {
			t.host.reach(func() { a.HandleTargetPacket(b) })
		}
	})
}

// work starts the waiting requests that have a slot.
func (t *Target) work() {
	for t.running < t.cfg.Slots && len(t.waiting) > 0 {
		f := t.waiting[0]
		t.waiting = t.waiting[1:]
		t.running++
		d := float64(t.cfg.Work) * (0.5 + t.fleet.rand.Float64())
		if t.fleet.Now().Before(t.ColdUntil) && t.cfg.ColdFactor > 0 {
			d *= t.cfg.ColdFactor
		}
		if t.Factor > 0 {
			d *= t.Factor
		}
		t.fleet.after(time.Duration(d), func() {
			if t.ended {
				return
			}
			t.running--
			t.Served++
			t.send(mangokeel.Packet{Source: f.Address, Destination: f.Caller, Sequence: t.number, Size: 1000})
			t.work()
		})
	}
}

// Flows returns how many flows the target holds.
func (t *Target) Flows() int { return len(t.flows) }
