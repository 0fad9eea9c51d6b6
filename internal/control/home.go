package control

import (
	"slices"
	"time"

	"mangokeel/internal/roster"
	"mangokeel/internal/wire"
)

const (
	// homeDelay is how long new targets of a service must have been present before its
	// claim home includes them, so that a rolling restart causes few steps. A home that
	// has lost members moves at once: until it has moved, the loss of one more member
	// leaves some keys without a majority, and their requests are rejected for two claim
	// lifetimes.
	homeDelay = time.Second
	// homeTimeout is how long a target may be silent before the next home excludes it. A
	// joint step waits for all members of the next home, so a dead one would delay it
	// until its lease expires.
	homeTimeout = 1500 * time.Millisecond
	// maxHomes bounds the steps of one sweep.
	maxHomes = 64
)

// wantedHome is the home that a service should have, and since when it should.
type wantedHome struct {
	roster []uint32
	since  time.Time
}

// homeCommands returns the commands that move claim homes by one step. A joint step ends
// only once every member of the next home has reported that it is ready, because a member
// that missed the step would vote without knowing earlier claims.
func (c *Control) homeCommands(now time.Time) []*wire.Command {
	c.leases.mu.Lock()
	defer c.leases.mu.Unlock()
	old := c.leases.wantedHomes
	c.leases.wantedHomes = map[uint32]wantedHome{}
	var out []*wire.Command
	for _, h := range c.machine.Homes() {
		h.Want = c.leases.withoutSilent(now, h.Want)
		w := old[h.Service]
		if !slices.Equal(w.roster, h.Want) || w.since.IsZero() {
			w = wantedHome{h.Want, now}
		}
		c.leases.wantedHomes[h.Service] = w
		x := c.leases.nextHomeStep(h, now.Sub(w.since) >= homeDelay || missing(h.Home.GetNow(), h.Want))
		if x != nil && len(out) < maxHomes {
			out = append(out, &wire.Command{Body: &wire.Command_Rehome{Rehome: x}})
		}
	}
	return out
}

// missing reports whether a member of a home is not in another one.
func missing(home, other []uint32) bool {
	return slices.ContainsFunc(home, func(x uint32) bool { return x != 0 && !slices.Contains(other, x) })
}

// withoutSilent returns home without its silent members. Members without a contact so far
// are kept. mu is held.
func (l *leases) withoutSilent(now time.Time, home []uint32) []uint32 {
	var out []uint32
	next := false // whether the zone of the next member differs from the last one's
	for _, x := range home {
		if x == 0 {
			next = true
			continue
		}
		if n := l.nodes[nodeKey{agentRole, x}]; n != nil && !l.responsive(now, n) {
			continue
		}
		if next && len(out) > 0 {
			out = append(out, 0)
		}
		next = false
		out = append(out, x)
	}
	return out
}

// responsive reports whether a node has been in contact within homeTimeout. A node whose
// control instance is silent counts as responsive until its lease expires. mu is held.
func (l *leases) responsive(now time.Time, n *nodeState) bool {
	if last, ok := l.instances[n.reportedBy]; ok && now.Sub(last) > instanceTimeout {
		return true
	}
	return now.Sub(later(n.at, l.leadingSince)) <= homeTimeout
}

func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

// nextHomeStep returns the next step of a home, or nil. settled is set if the wanted home
// has not changed for homeDelay. mu is held.
func (l *leases) nextHomeStep(h roster.Home, settled bool) *wire.Rehome {
	x := &wire.Rehome{Service: h.Service, Epoch: h.Home.GetEpoch()}
	switch joint := len(h.Home.GetNext()) > 0; {
	case joint && l.ready(h.Home):
		x.Done = true
	case !joint && slices.Equal(h.Home.GetNow(), h.Want):
		// All missing members are silent.
		return nil
	case settled && len(h.Want) > 0 && (!joint || missing(h.Home.GetNext(), h.Want)):
		x.Next = h.Want
	default:
		return nil
	}
	return x
}

// ready reports whether all members of the next home are ready. mu is held.
func (l *leases) ready(h *wire.Home) bool {
	for _, x := range h.GetNext() {
		if x == 0 {
			continue
		}
		if n := l.nodes[nodeKey{agentRole, x}]; n == nil || n.ready != h.GetEpoch() {
			return false
		}
	}
	return true
}
