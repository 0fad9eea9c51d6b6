package fleet

import (
	"maps"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/go-kit/log/level"

	"mangokeel"
)

// Limits of the rotation.
const (
	// balancerPollTimeout is how long a balancer may be silent before it counts as down. It equals
	// the time after which a balancer abandons a poll.
	balancerPollTimeout = pollTimeout
	// balancerRetention is how long a balancer that is down still belongs to its zone: instances
	// are replaced within minutes.
	balancerRetention = 5 * time.Minute
	// maxLoadFactor is how many times its share of the callers a balancer may get when other zones
	// stand by. A balancer uses about a tenth of its link at its own share.
	maxLoadFactor = 5
	// maxSweepGap is the time between two updates from which the leader itself may have been
	// suspended, so that the silence of balancers proves nothing.
	maxSweepGap = 2 * sweepPeriod
)

// Rotation decides in which availability zones the balancers stand by, that is, leave the fabric's
// rotation although they run.
//
// Fabrics hand the packets of a zone to all of its balancers, dead ones included, once fewer than
// half of them are in rotation, and to other zones once none is. A zone that has lost most of its
// balancers therefore loses most of its packets until the remaining ones stand by. The zone's
// callers are then served through zones that still have most of their balancers.
//
// It belongs to the leader: the zero value is ready for a term of leadership. It is safe for
// concurrent use.
type Rotation struct {
	mu sync.Mutex
	// term is the term of leadership to which the other fields belong.
	term uint64
	// balancers has the balancers that have polled within balancerRetention, by name.
	balancers map[string]balancerRecord
	// standby has the zones that stand by as of updatedAt.
	standby   map[mangokeel.AvailabilityZone]bool
	updatedAt time.Time
}

// balancerRecord is what the leader knows of a balancer.
type balancerRecord struct {
	zone      mangokeel.AvailabilityZone
	lastHeard time.Time
}

// zoneBalancers counts a zone's balancers and those of them that are not down.
type zoneBalancers struct {
	known, alive int
}

// lostMost reports whether fewer than half of the balancers are alive.
func (z zoneBalancers) lostMost() bool { return 2*z.alive < z.known }

// startTerm removes all balancers when a new term of leadership begins.
func (r *Rotation) startTerm(term uint64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.term != term {
		r.term, r.balancers, r.standby, r.updatedAt = term, nil, nil, time.Time{}
	}
}

// RecordPoll records that a balancer has polled.
func (r *Rotation) RecordPoll(name string, zone mangokeel.AvailabilityZone, now time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.balancers == nil {
		r.balancers = map[string]balancerRecord{}
	}
	r.balancers[name] = balancerRecord{zone, now}
}

// StandsBy reports whether the balancers of a zone should stand by.
func (r *Rotation) StandsBy(zone mangokeel.AvailabilityZone) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.standby[zone]
}

// Update recomputes which zones stand by and reports whether any has changed. The leader calls it
// every sweepPeriod.
func (r *Rotation) Update(now time.Time) (changed bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if now.Sub(r.updatedAt) > maxSweepGap {
		r.excuseSilence(now)
	}
	r.updatedAt = now
	next := r.zonesToStandBy(now)
	changed = !maps.Equal(next, r.standby)
	r.standby = next
	return changed
}

// excuseSilence restarts the time that balancers may be silent, except for those that were down at
// the last update. mu is held.
func (r *Rotation) excuseSilence(now time.Time) {
	for name, b := range r.balancers {
		if r.updatedAt.Sub(b.lastHeard) <= balancerPollTimeout {
			b.lastHeard = now
			r.balancers[name] = b
		}
	}
}

// zonesToStandBy returns the zones that have lost most of their balancers, or none if the balancers
// of the other zones could not carry the callers of all zones. mu is held.
func (r *Rotation) zonesToStandBy(now time.Time) map[mangokeel.AvailabilityZone]bool {
	zones := map[mangokeel.AvailabilityZone]zoneBalancers{}
	for name, b := range r.balancers {
		silent := now.Sub(b.lastHeard)
		if silent > balancerRetention {
			delete(r.balancers, name)
			continue
		}
		z := zones[b.zone]
		z.known++
		if silent <= balancerPollTimeout {
			z.alive++
		}
		zones[b.zone] = z
	}
	standby := map[mangokeel.AvailabilityZone]bool{}
	remaining := 0
	for zone, z := range zones {
		if z.lostMost() {
			standby[zone] = true
		} else {
			remaining += z.alive
		}
	}
	if remaining*maxLoadFactor < len(r.balancers) {
		return nil
	}
	return standby
}

// updateRotation updates the rotation and wakes waiting polls if it has changed.
func (s *Server) updateRotation() {
	if !s.rotation.Update(s.timers.Now()) {
		return
	}
	zones := s.rotation.zonesStandingBy()
	_ = level.Warn(s.logger).Log("msg", "balancers on standby changed", "zones", zones)
	s.registry.wake()
}

// zonesStandingBy returns the names of the zones that stand by, in ascending order.
func (r *Rotation) zonesStandingBy() string {
	r.mu.Lock()
	defer r.mu.Unlock()
	var list []string
	for zone := range r.standby {
		list = append(list, string(zone))
	}
	slices.Sort(list)
	return strings.Join(list, ",")
}
