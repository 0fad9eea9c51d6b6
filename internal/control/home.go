package control

import (
	"slices"
	"time"

	"mangokeel/internal/roster"
	"mangokeel/internal/wire"
)

const (
	// homeDelay is how long the targets of a service must stay the same before its
	// claim home follows, so that a roll costs few steps.
	homeDelay = time.Second
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
		w := old[h.Service]
		if !slices.Equal(w.roster, h.Want) || w.since.IsZero() {
			w = wanted{h.Want, now}
		}
		c.leases.wanted[h.Service] = w
		x := c.leases.rehome(h, now.Sub(w.since) >= homeDelay)
		if x != nil && len(out) < maxHomes {
			out = append(out, &wire.Command{Body: &wire.Command_Rehome{Rehome: x}})
		}
	}
	return out
}

// rehome returns the next step of a home, or nil. settled means that the wanted
// home has been the same for a while. mu is held.
func (l *leases) rehome(h roster.Home, settled bool) *wire.Rehome {
	x := &wire.Rehome{Service: h.Service, Epoch: h.Home.GetEpoch()}
	switch joint := len(h.Home.GetNext()) > 0; {
	case joint && l.ready(h.Home):
		x.Done = true
	case settled && len(h.Want) > 0 && (!joint || h.Broken):
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
