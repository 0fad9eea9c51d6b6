package packet

import "time"

const (
	// controlTimeout is longer than control takes to answer while it can be reached: a poll
	// is held for 0.5 s and given up after 0.9 s.
	controlTimeout = time.Second
	// cutOffRetransmits is how many copies of opening packets, without any flow that goes on, show
	// that no agent answers, and cutTime how long they must come. Callers send the first
	// copy after 200 ms.
	cutOffRetransmits = 3
	cutOffMinTime     = 300 * time.Millisecond
	// cutOffDuration is how long a balancer keeps out of rotation without a further sign. Without
	// packets there is none, and control may be away for longer than the agents.
	cutOffDuration = 10 * time.Second
)

// reachability is what a balancer knows of whether anything beyond it answers. The zero value
// assumes that it does.
type reachability struct {
	// retransmits counts the retransmits of opening packets since a flow last went on; since is the
	// time of the first of them.
	retransmits     int
	firstRetransmit time.Time
	// cutOffSince is when the balancer found that it is cut off.
	cutOffSince time.Time
}

// recordRetransmit notes a copy of an opening packet.
func (r *reachability) recordRetransmit(now time.Time) {
	if r.retransmits == 0 {
		r.firstRetransmit = now
	}
	r.retransmits++
}

// recordProgress notes that a flow went on after its opening packet.
func (r *reachability) recordProgress() { *r = reachability{} }

// isCutOff reports whether neither control nor any agent answers. heard is when control last
// did.
func (r *reachability) isCutOff(now, heard time.Time) bool {
	switch {
	case now.Sub(heard) <= controlTimeout:
		r.cutOffSince = time.Time{}
	case !r.cutOffSince.IsZero() && now.Sub(r.cutOffSince) < cutOffDuration:
		return true
	case r.retransmits >= cutOffRetransmits && now.Sub(r.firstRetransmit) > cutOffMinTime:
		*r = reachability{cutOffSince: now}
		return true
	}
	return false
}
