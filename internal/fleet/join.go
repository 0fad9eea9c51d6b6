package fleet

import (
	"cmp"
	"context"
	"net/netip"
	"slices"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/go-kit/log"
	"github.com/go-kit/log/level"

	"mangokeel"
	"mangokeel/internal/fleetwire"
	"mangokeel/internal/jsonrpc"
	"mangokeel/internal/replica"
)

// Timing and limits of membership changes.
const (
	// voterSilenceLimit is how long a voter may be silent before another instance may replace
	// it. It covers an election and a restart.
	voterSilenceLimit = 2500 * time.Millisecond
	// joinPeriod is the interval between an instance's requests to become a voter.
	joinPeriod = 300 * time.Millisecond
	// joinRequestTTL is how long a request to become a voter stays valid.
	joinRequestTTL = 3 * joinPeriod
	// membershipChangeTimeout bounds the wait for one membership change. The change may still
	// complete later.
	membershipChangeTimeout = time.Second
	// maxVoters limits the voters, because each change waits for a majority of them.
	maxVoters = 9
)

// handleJoin records an instance's request to become a voter, or to be removed.
func (s *Server) handleJoin(_ context.Context, r *fleetwire.JoinRequest) (*fleetwire.JoinReply, error) {
	addr, err := netip.ParseAddrPort(r.GetAddress())
	if err != nil {
		return nil, errors.Newf("address %q is not an IP address and port", r.GetAddress())
	}
	st := s.log.Status()
	out := &fleetwire.JoinReply{Members: s.members()}
	if st.Leader.IsValid() {
		out.Leader = st.Leader.String()
	}
	for _, m := range s.log.Members() {
		out.Voter = out.GetVoter() || m.ID == r.GetId() && m.Voter
	}
	if r.GetLeaving() {
		out.Pending = st.Leading && s.recordLeave(r.GetId(), addr)
		return out, nil
	}
	if !out.GetVoter() && !s.isLeaving(r.GetId()) {
		s.mu.Lock()
		s.joinRequests[addr] = joinRequest{r.GetId(), s.timers.Now()}
		s.mu.Unlock()
	}
	return out, nil
}

// runLeaderTasks marks agents with expired leases as silent, updates the rotation of the balancers
// and takes the next membership step if this instance leads.
func (s *Server) runLeaderTasks() {
	if _, ok := s.leading(); !ok {
		return
	}
	for _, agent := range s.registry.expire(s.timers.Now()) {
		s.metrics.expired.Inc()
		_ = level.Warn(s.logger).Log("msg", "lease expired", "agent", agent, "after", leaseDuration)
	}
	s.logCompletion()
	s.updateRotation()
	s.registry.requestListUpdate()
	s.metrics.targets.Set(float64(s.registry.size()))
	step := s.nextStep(s.log.Members())
	if step.kind == noStep {
		return
	}
	ctx, cancel := context.WithTimeout(context.Background(), membershipChangeTimeout)
	defer cancel()
	err := s.applyStep(ctx, step)
	_ = level.Info(s.logger).Log("msg", "membership step", "kind", step.kind, "address", step.addr, "member", step.member, "err", err)
}

// stepKind is a kind of membership change.
type stepKind int

const (
	noStep stepKind = iota
	admit
	replace
	remove
)

// String returns the name of the kind for logs.
func (k stepKind) String() string { return [...]string{"stay", "admit", "replace", "remove"}[k] }

// step is one membership change.
type step struct {
	kind stepKind
	// member is the ID of the member that leaves.
	member string
	// addr is the address of the instance that joins.
	addr netip.AddrPort
}

func (s *Server) applyStep(ctx context.Context, x step) error {
	switch x.kind {
	case admit:
		return s.log.Admit(ctx, x.addr)
	case replace:
		return s.log.Replace(ctx, x.member, x.addr)
	case remove:
		return s.log.Remove(ctx, x.member)
	}
	return nil
}

// nextStep returns the next membership change. It removes a joining member that fell silent or
// leaves, lets an instance replace the member at its address or a voter that leaves or is silent,
// admits further voters, and removes a voter that leaves or is silent if enough others remain.
func (s *Server) nextStep(members []replica.Member) step {
	for _, m := range members {
		if m.Joining && (s.isLeaving(m.ID) || s.log.Silent(m.ID) > voterSilenceLimit) {
			return step{kind: remove, member: m.ID}
		}
		if m.Joining {
			return step{} // one change at a time
		}
	}
	voters, gone := s.countVoters(members)
	if x, ok := s.nextJoinCandidate(members); ok {
		for _, m := range members {
			if m.Address == x.addr && m.ID != x.id {
				return step{kind: replace, member: m.ID, addr: x.addr}
			}
		}
		if gone != "" {
			return step{kind: replace, member: gone, addr: x.addr}
		}
		if voters < maxVoters {
			return step{kind: admit, addr: x.addr}
		}
	}
	if gone != "" && s.maySpareOne(voters) {
		return step{kind: remove, member: gone}
	}
	return step{}
}

// maySpareOne reports whether one of n voters may be removed although no other instance takes its
// place.
func (s *Server) maySpareOne(n int) bool { return n-1 >= 2*s.toleratedFailures+1 }

// countVoters returns the number of voters and one that is gone: one that leaves, this instance last, or
// else the one that has been silent for longest, if that is longer than voterSilenceLimit.
func (s *Server) countVoters(members []replica.Member) (n int, gone string) {
	longest, self := voterSilenceLimit, s.log.Status().ID
	var silent, leaving string
	for _, m := range members {
		if !m.Voter {
			continue
		}
		n++
		// Once this instance is removed, the others have to elect a leader before the next one can leave.
		if (leaving == "" || leaving == self) && s.isLeaving(m.ID) {
			leaving = m.ID
		}
		if d := s.log.Silent(m.ID); d > longest {
			silent, longest = m.ID, d
		}
	}
	return n, cmp.Or(leaving, silent)
}

// joinCandidate is an instance with a valid join request.
type joinCandidate struct {
	addr netip.AddrPort
	id   string
}

// nextJoinCandidate returns the instance with the lowest address among those with a valid
// request whose ID is not a member.
func (s *Server) nextJoinCandidate(members []replica.Member) (joinCandidate, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	var list []joinCandidate
	now := s.timers.Now()
	for addr, x := range s.joinRequests {
		if now.Sub(x.at) > joinRequestTTL {
			delete(s.joinRequests, addr)
			continue
		}
		if !containsMember(members, x.id) {
			list = append(list, joinCandidate{addr, x.id})
		}
	}
	if len(list) == 0 {
		return joinCandidate{}, false
	}
	return slices.MinFunc(list, func(a, b joinCandidate) int { return a.addr.Compare(b.addr) }), true
}

// Joiner requests admission from other control instances until this one is a voter, and again
// after it was removed. Close stops it.
type Joiner struct {
	log    Log
	remote mangokeel.Remote
	self   netip.AddrPort
	seeds  func() []netip.AddrPort
	logger log.Logger
	// members are the instances learned from replies, in addition to the seeds.
	members  []netip.AddrPort
	next     int
	inFlight chan struct{}
	ticker   mangokeel.Subscription
}

// NewJoiner starts requesting admission. seeds returns the instances named in the settings.
func NewJoiner(l Log, remote mangokeel.Remote, timers mangokeel.Timers, self netip.AddrPort, seeds func() []netip.AddrPort, logger log.Logger) *Joiner {
	c := &Joiner{log: l, remote: remote, self: self, seeds: seeds, logger: logger, inFlight: make(chan struct{}, 1)}
	c.ticker = timers.Every(joinPeriod, func(time.Time) {
		select {
		case c.inFlight <- struct{}{}:
		default:
			return // the previous request is still in flight
		}
		go func() {
			defer func() { <-c.inFlight }()
			c.tryJoin()
		}()
	})
	return c
}

// Close stops the requests.
func (c *Joiner) Close() { c.ticker.Cancel() }

// tryJoin sends one request unless this instance is a voter and knows a leader.
func (c *Joiner) tryJoin() {
	st := c.log.Status()
	if st.Voter && st.Leader.IsValid() {
		return
	}
	list := append(slices.Clone(c.seeds()), c.members...)
	list = slices.DeleteFunc(list, func(a netip.AddrPort) bool { return a == c.self })
	if len(list) == 0 {
		return
	}
	c.next++
	c.requestJoin(list[c.next%len(list)], st.ID)
}

func (c *Joiner) requestJoin(addr netip.AddrPort, id string) {
	ctx, cancel := context.WithTimeout(context.Background(), membershipChangeTimeout)
	defer cancel()
	req := &fleetwire.JoinRequest{Id: id, Address: c.self.String()}
	var out fleetwire.JoinReply
	if err := jsonrpc.CallOrDrop(ctx, c.remote, addr, "join", req, &out); err != nil {
		_ = level.Debug(c.logger).Log("msg", "join request failed", "at", addr, "err", err)
		return
	}
	c.members = addresses(out.GetMembers())
	leader, err := netip.ParseAddrPort(out.GetLeader())
	if err != nil || leader == addr || leader == c.self || out.GetVoter() {
		return
	}
	// Only the leader admits instances.
	if err := jsonrpc.CallOrDrop(ctx, c.remote, leader, "join", req, &out); err != nil {
		_ = level.Debug(c.logger).Log("msg", "join request failed", "at", leader, "err", err)
	}
}
