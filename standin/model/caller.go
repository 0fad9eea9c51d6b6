package model

import (
	"fmt"
	"net/netip"
	"time"

	"mangokeel"
)

// How callers behave.
const (
	firstCopy  = 200 * time.Millisecond
	secondCopy = 600 * time.Millisecond
	openLimit  = 1400 * time.Millisecond
	resend     = 200 * time.Millisecond
)

// LoadConfig says what callers do.
type LoadConfig struct {
	PerSecond float64
	// For is how long callers arrive.
	For time.Duration
	// Requests is how many requests each flow carries, Pause the time between them.
	Requests int
	Pause    time.Duration
	// Aim and Deadline bound a request's time.
	Aim, Deadline time.Duration
	Retries       int
	Zone          mangokeel.AvailabilityZone
}

// Stats counts requests by how they ended.
type Stats struct {
	Asked, InAim, Late, Failed int
	// Resets counts the tries that the system reset; Broken those of flows whose target
	// lives and holds them.
	Resets, Broken int
}

// String returns the counts.
func (s Stats) String() string {
	return fmt.Sprintf("asked=%d in-aim=%d late=%d failed=%d resets=%d broken=%d", s.Asked, s.InAim, s.Late, s.Failed, s.Resets, s.Broken)
}

// caller is one flow of a caller.
type caller struct {
	m      *Fleet
	cfg    LoadConfig
	end    netip.AddrPort
	number uint32
	// began is the time of the present request, over its tries.
	began   time.Time
	retries int
	// server is what the accepting target calls itself.
	server   uint32
	accepted bool
	awaiting bool
	done     bool
	left     int
	asks     int
}

// Load lets callers arrive.
func (m *Fleet) Load(cfg LoadConfig) {
	gap := time.Duration(float64(time.Second) / cfg.PerSecond)
	for at := time.Duration(0); at < cfg.For; at += gap {
		m.after(at+time.Duration(m.rand.Int64N(int64(gap))), func() {
			m.Stats.Asked++
			m.open(cfg, m.Now(), cfg.Retries, max(1, cfg.Requests))
		})
	}
}

func (m *Fleet) open(cfg LoadConfig, began time.Time, retries, left int) *caller {
	m.next++
	n := m.next
	end := netip.AddrPortFrom(netip.AddrFrom4([4]byte{100, 64, byte(n >> 16), byte(n >> 8)}), 1024+uint16(n&0xff))
	c := &caller{m: m, cfg: cfg, end: end, number: n, began: began, retries: retries, left: left}
	m.callers[end] = c
	for i, d := range []time.Duration{0, firstCopy, secondCopy} {
		m.after(d, func() {
			if !c.accepted && !c.done {
				c.send(mangokeel.Packet{Opening: true, Sequence: n, Copy: i})
			}
		})
	}
	m.after(openLimit, func() {
		if !c.accepted {
			c.failed()
		}
	})
	c.watch()
	return c
}

// watch gives up at the deadline of the present request.
func (c *caller) watch() {
	began := c.began
	c.m.after(c.cfg.Deadline-c.m.Now().Sub(began), func() {
		if !c.done && c.began == began && (c.awaiting || !c.accepted) {
			c.done = true
			c.m.Stats.Failed++
		}
	})
}

func (c *caller) send(p mangokeel.Packet) {
	p.Source, p.Destination = c.end, Address
	list := c.m.reachable(c.cfg.Zone)
	if len(list) == 0 {
		return
	}
	b := list[int(c.number)%len(list)]
	raw := Codec{}.Encode(p)
	c.m.after(callerDelay, func() {
		if !b.Down {
			b.balancer.HandleCallerPacket(raw)
		}
	})
}

// ask sends a request until an answer comes.
func (c *caller) ask() {
	c.awaiting = true
	c.asks++
	n := c.asks
	var try func(d time.Duration)
	try = func(d time.Duration) {
		if c.done || !c.awaiting || c.asks != n {
			return
		}
		c.send(mangokeel.Packet{Sequence: c.number + uint32(n), Acknowledged: c.server, Size: 100})
		c.m.after(d, func() { try(2 * d) })
	}
	try(resend)
}

// answer brings a packet to its caller.
func (m *Fleet) answer(b []byte, own bool) {
	b = append([]byte(nil), b...)
	m.after(callerDelay, func() {
		p, err := Codec{}.Parse(b)
		if err != nil {
			m.fail("caller got a malformed packet: %v", err)
			return
		}
		if c := m.callers[p.Destination]; c != nil && !c.done {
			c.take(p, own)
		}
	})
}

func (c *caller) take(p mangokeel.Packet, own bool) {
	switch {
	case p.Reset:
		c.m.Stats.Resets++
		if own && c.accepted && c.m.holds(c) {
			c.m.Stats.Broken++
			_ = c.m.Logger.Log("msg", "broken", "at", c.m.Now().Format("05.0000"), "flow", c.end)
		}
		c.failed()
	case p.Accepting && !c.accepted:
		c.accepted, c.server = true, p.Sequence
		c.ask()
	case p.Failed && c.awaiting:
		c.send(mangokeel.Packet{Sequence: c.number + 2, Acknowledged: c.server, Final: true})
		c.failed()
	case p.Size > 0 && c.awaiting:
		c.answered()
	}
}

// holds reports whether the flow's target lives and has the flow.
func (m *Fleet) holds(c *caller) bool {
	for _, h := range m.Hosts {
		if h.Target.number == c.server && !h.Target.ended {
			return h.Target.flows[mangokeel.Flow{Caller: c.end, Address: Address}]
		}
	}
	return false
}

func (c *caller) answered() {
	c.awaiting = false
	if c.m.Now().Sub(c.began) <= c.cfg.Aim {
		c.m.Stats.InAim++
	} else {
		c.m.Stats.Late++
	}
	c.left--
	if c.left == 0 {
		c.done = true
		c.send(mangokeel.Packet{Sequence: c.number + 2, Acknowledged: c.server, Final: true})
		return
	}
	c.m.after(c.cfg.Pause, func() {
		if c.done {
			return
		}
		c.m.Stats.Asked++
		c.began = c.m.Now()
		c.ask()
		c.watch()
	})
}

// failed ends a try.
func (c *caller) failed() {
	if c.done {
		return
	}
	c.done = true
	if c.accepted && !c.awaiting {
		// No request was under way. The next one uses a new flow.
		c.m.Stats.Asked++
		c.m.open(c.cfg, c.m.Now(), c.cfg.Retries, c.left)
		return
	}
	if c.retries == 0 || c.m.Now().Sub(c.began) >= c.cfg.Deadline {
		c.m.Stats.Failed++
		return
	}
	c.m.open(c.cfg, c.began, c.retries-1, c.left)
}
