package fleet

import (
	"context"
	"maps"
	"net/netip"
	"slices"
	"time"

	"github.com/go-kit/log/level"

	"mangokeel"
	"mangokeel/internal/fleetwire"
	"mangokeel/internal/jsonrpc"
	"mangokeel/internal/replica"
)

// Timing of a planned stop.
const (
	// LeaveTimeout bounds how long an instance that stops waits for its removal from the voters: two
	// elections, and a membership change on a busy disk.
	LeaveTimeout = 3 * time.Second
	// leavePeriod is the interval between an instance's requests to be removed. A removal takes two
	// writes of a majority.
	leavePeriod = 50 * time.Millisecond
	// leaveRequestTTL is how long a request to be removed stays valid. An instance that has started
	// again within this time may be removed once and then joins again.
	leaveRequestTTL = 500 * time.Millisecond
)

// Leave asks the leader to remove this instance, whose address is self, from the voters, so that it
// does not count towards a majority once it has stopped. It returns when the removal is complete, when the
// leader cannot spare the instance, or when ctx ends. The instance must not request admission meanwhile.
func (s *Server) Leave(ctx context.Context, self netip.AddrPort) {
	start := s.timers.Now()
	removed, err := s.leave(ctx, self)
	_ = level.Info(s.logger).Log("msg", "instance stops", "removed", removed, "after", s.timers.Now().Sub(start), "err", err)
}

// leave repeats the request until Leave can return. It reports whether this instance has left the voters.
// The error is that of the last request.
func (s *Server) leave(ctx context.Context, self netip.AddrPort) (removed bool, err error) {
	for {
		st, members := s.log.Status(), s.log.Members()
		if !containsMember(members, st.ID) && !s.log.Changing() {
			return true, nil
		}
		r, err := s.requestLeave(ctx, &fleetwire.JoinRequest{Id: st.ID, Address: self.String(), Leaving: true})
		if err == nil && !r.GetPending() {
			return !r.GetVoter(), nil
		}
		if voters, _ := s.countVoters(members); err != nil && !s.maySpareOne(voters) {
			return false, err
		}
		if !s.sleep(ctx, leavePeriod) {
			return false, err
		}
	}
}

// requestLeave sends a request to be removed to the leader and returns its reply.
func (s *Server) requestLeave(ctx context.Context, r *fleetwire.JoinRequest) (*fleetwire.JoinReply, error) {
	ctx, cancel := context.WithTimeout(ctx, membershipChangeTimeout)
	defer cancel()
	st := s.log.Status()
	if st.Leading {
		return s.handleJoin(ctx, r)
	}
	if !st.Leader.IsValid() {
		return nil, mangokeel.ErrNotLeader
	}
	out := &fleetwire.JoinReply{}
	if err := jsonrpc.CallOrDrop(ctx, s.remote, st.Leader, "join", r, out); err != nil {
		return nil, err
	}
	if out.GetLeader() != st.Leader.String() {
		return nil, mangokeel.ErrNotLeader
	}
	return out, nil
}

// recordLeave records, on the leader, the request of an instance to be removed. It reports whether the
// instance should keep running, because a membership change is due or not complete.
func (s *Server) recordLeave(id string, addr netip.AddrPort) (pending bool) {
	now := s.timers.Now()
	s.mu.Lock()
	maps.DeleteFunc(s.leaveRequests, func(_ string, at time.Time) bool { return now.Sub(at) > leaveRequestTTL })
	s.leaveRequests[id] = now
	delete(s.joinRequests, addr)
	s.mu.Unlock()
	members := s.log.Members()
	if s.log.Changing() {
		return true
	}
	if !containsMember(members, id) || s.nextStep(members).kind == noStep {
		return false
	}
	s.requestSweep()
	return true
}

// isLeaving reports whether an instance has a valid request to be removed.
func (s *Server) isLeaving(id string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	at, ok := s.leaveRequests[id]
	return ok && s.timers.Now().Sub(at) <= leaveRequestTTL
}

func containsMember(members []replica.Member, id string) bool {
	return slices.ContainsFunc(members, func(m replica.Member) bool { return m.ID == id })
}
