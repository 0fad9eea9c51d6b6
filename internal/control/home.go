package control

import (
	"slices"
	"time"

	"mangokeel/internal/roster"
	"mangokeel/internal/wire"
)

const (
	// homeDelay is how long new targets of a service must have been there before its
	// claim home takes them in, so that a roll costs few steps. A home that has lost
	// members moves at once: until it has moved, the loss of one more member leaves
	// some keys without a majority, and their requests are refused until two claim
	// lifetimes have passed.
	homeDelay = time.Second
	// homeSilence is how long a target may be silent before a next home leaves it
	// out. A joint step waits for all members of the next home, so a dead one would
	// hold it up until its lease ends.
	homeSilence = 1500 * time.Millisecond
	// maxHomes bounds the steps of one sweep.
	maxHomes = 64
)

// wanted is the home that a service should have, and since when.
type wanted struct {
	roster []uint32
	since  time.Time
}

// homes returns the commands that move claim homes one step. A joint step ends
// only once every member of the next home has reported that it is ready, because
// a member that missed the step would vote without knowing earlier claims.
func (c *Control) homes(now time.Time) []*wire.Command {
	c.leases.mu.Lock()
	defer c.leases.mu.Unlock()
	old := c.leases.wanted
	c.leases.wanted = map[uint32]wanted{}
	var out []*wire.Command
	for _, h := range c.machine.Homes() {
		h.Want = c.leases.withoutSilent(now, h.Want)
		w := old[h.Service]
		if !slices.Equal(w.roster, h.Want) || w.since.IsZero() {
			w = wanted{h.Want, now}
		}
		c.leases.wanted[h.Service] = w
		x := c.leases.rehome(h, now.Sub(w.since) >= homeDelay || missing(h.Home.GetNow(), h.Want))
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

// withoutSilent returns home without the members that are silent. Those that this
// instance has not heard yet stay. mu is held.
func (l *leases) withoutSilent(now time.Time, home []uint32) []uint32 {
	var out []uint32
	next := false // whether the zone of the next member differs from the last one's
	for _, x := range home {
		if x == 0 {
			next = true
			continue
		}
		if n := l.nodes[nodeKey{agentRole, x}]; n != nil && !l.heardLately(now, n) {
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

// heardLately reports whether a node was heard lately. One whose control instance is
// silent counts as heard until its lease ends. mu is held.
func (l *leases) heardLately(now time.Time, n *nodeState) bool {
	if last, ok := l.instances[n.via]; ok && now.Sub(last) > instanceSilence {
		return true
	}
	return now.Sub(later(n.at, l.since)) <= homeSilence
}

func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

// rehome returns the next step of a home, or nil. settled means that the wanted
// home has been the same for a while. mu is held.
func (l *leases) rehome(h roster.Home, settled bool) *wire.Rehome {
	x := &wire.Rehome{Service: h.Service, Epoch: h.Home.GetEpoch()}
	switch joint := len(h.Home.GetNext()) > 0; {
	case joint && l.ready(h.Home):
		x.Done = true
	case !joint && slices.Equal(h.Home.GetNow(), h.Want):
		// All that the home lacks is silent.
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
