package packet

import "time"

const (
	// controlTimeout is how long control may be silent before it counts as unreachable. Control
	// holds a poll for 0.5 s, and the balancer abandons it after 0.9 s.
	controlTimeout = time.Second
	// cutOffRetransmits is how many retransmitted opening packets, without progress of any flow,
	// show that no agent responds; they must come over more than cutOffMinTime. Callers
	// retransmit for the first time after 200 ms.
	cutOffRetransmits = 3
	cutOffMinTime     = 300 * time.Millisecond
	// cutOffDuration is how long a balancer stays out of rotation before it tries again. Out of
	// rotation it gets no packets that could show that agents respond, and control may be
	// unreachable for longer than the agents are.
	cutOffDuration = 10 * time.Second
)

// reachability tracks whether a balancer can reach control or any agent. The zero value assumes
// that it can.
type reachability struct {
	// retransmits counts the retransmitted opening packets since a flow last made progress;
	// firstRetransmit is the time of the first of them.
	retransmits     int
	firstRetransmit time.Time
	// cutOffSince is when the balancer detected that it is cut off; the zero value if it is not.
	cutOffSince time.Time
}

// recordRetransmit counts a retransmitted opening packet.
func (r *reachability) recordRetransmit(now time.Time) {
	if r.retransmits == 0 {
		r.firstRetransmit = now
	}
	r.retransmits++
}

// recordProgress records that a caller continued its flow after the opening packet.
func (r *reachability) recordProgress() { *r = reachability{} }

// isCutOff reports whether neither control nor any agent responds. lastHeard is when control last
// answered.
func (r *reachability) isCutOff(now, lastHeard time.Time) bool {
	switch {
	case now.Sub(lastHeard) <= controlTimeout:
		r.cutOffSince = time.Time{}
	case !r.cutOffSince.IsZero() && now.Sub(r.cutOffSince) < cutOffDuration:
		return true
	case r.retransmits >= cutOffRetransmits && now.Sub(r.firstRetransmit) > cutOffMinTime:
		*r = reachability{cutOffSince: now}
		return true
	}
	return false
}
