package packet

import "time"

const (
	// controlSilence is longer than control takes to answer while it can be reached: a poll
	// is held for 0.5 s and given up after 0.9 s.
	controlSilence = time.Second
	// cutCopies is how many copies of opening packets, without any flow that goes on, show
	// that no agent answers, and cutTime how long they must come. Callers send the first
	// copy after 200 ms.
	cutCopies = 3
	cutTime   = 300 * time.Millisecond
	// cutLife is how long a balancer keeps out of rotation without a further sign. Without
	// packets there is none, and control may be away for longer than the agents.
	cutLife = 10 * time.Second
)

// reach is what a balancer knows of whether anything beyond it answers. The zero value
// assumes that it does.
type reach struct {
	// copies counts the copies of opening packets since a flow last went on; since is the
	// time of the first of them.
	copies int
	since  time.Time
	// lost is when the balancer found that it is cut off.
	lost time.Time
}

// copied notes a copy of an opening packet.
func (r *reach) copied(now time.Time) {
	if r.copies == 0 {
		r.since = now
	}
	r.copies++
}

// advanced notes that a flow went on after its opening packet.
func (r *reach) advanced() { *r = reach{} }

// cutOff reports whether neither control nor any agent answers. heard is when control last
// did.
func (r *reach) cutOff(now, heard time.Time) bool {
	switch {
	case now.Sub(heard) <= controlSilence:
		r.lost = time.Time{}
	case !r.lost.IsZero() && now.Sub(r.lost) < cutLife:
		return true
	case r.copies >= cutCopies && now.Sub(r.since) > cutTime:
		*r = reach{lost: now}
		return true
	}
	return false
}
