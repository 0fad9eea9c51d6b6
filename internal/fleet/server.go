package fleet

import (
	"context"
	"net/netip"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/go-kit/log"
	"github.com/go-kit/log/level"
	"google.golang.org/protobuf/proto"

	"mangokeel"
	"mangokeel/internal/fleetwire"
	"mangokeel/internal/jsonrpc"
	"mangokeel/internal/replica"
	"mangokeel/internal/timer"
	"mangokeel/internal/wire"
)

// Timing and limits of a server.
const (
	// pollHoldTime is how long a poll is held open when nothing changes. Six polls fit in one
	// leaseDuration.
	pollHoldTime = 500 * time.Millisecond
	// electionWait is how long a query for the leader waits for an election in progress. It
	// leaves half of leaderQueryTimeout for slow instances.
	electionWait = 75 * time.Millisecond
	// electionCheckPeriod is how often a waiting query checks for a leader.
	electionCheckPeriod = 10 * time.Millisecond
	// proposeAttemptTimeout bounds one attempt to propose a command. A frozen leader is abandoned
	// before the operators' client gives up after a second.
	proposeAttemptTimeout = 400 * time.Millisecond
	// retryInterval separates attempts while there is no leader.
	retryInterval = 20 * time.Millisecond
	// packThresholdBytes is the size from which replies are compressed. A small instance needs
	// 100 ms to decode 20 KB of JSON.
	packThresholdBytes = 1 << 10
	// sweepPeriod is how often the leader checks leases and members.
	sweepPeriod = 250 * time.Millisecond
	// listChangeTimeout bounds one change of the list of agents, so that a leader without a
	// majority notices the next term.
	listChangeTimeout = time.Second
	// batchDelay is how long a reply waits for further changes of the registry. Agents that
	// are started or released together change within 100 ms of each other, and each change
	// would otherwise wake all nodes.
	batchDelay = 20 * time.Millisecond
)

// ErrUnconfirmed means that the instance could not confirm in time that its state is current,
// or that the outcome of a command is unknown. The call can be repeated at any instance.
var ErrUnconfirmed = errors.New("no majority of the control instances confirmed the state in time")

// Log is a replicated log with changeable membership. *replica.Node implements it.
type Log interface {
	mangokeel.Log
	Members() []replica.Member
	Admit(ctx context.Context, addr netip.AddrPort) error
	Replace(ctx context.Context, old string, addr netip.AddrPort) error
	Remove(ctx context.Context, member string) error
	// Silent returns the time since the leader's last contact with a member.
	Silent(id string) time.Duration
	// Changing reports whether a membership change is in progress.
	Changing() bool
}

// Server answers polls, join requests and operators' calls on one control instance. Close
// stops it.
type Server struct {
	desired           *DesiredState
	log               Log
	remote            mangokeel.Remote
	timers            mangokeel.Timers
	logger            log.Logger
	toleratedFailures int
	registry          *registry
	rotation          Rotation
	metrics           *serverMetrics
	packer            wire.Packer

	mu sync.Mutex
	// joinRequests has the latest request of each instance that asks to become a voter.
	joinRequests map[netip.AddrPort]joinRequest
	// leaveRequests has the time of the latest request of each instance that asks to be removed, by
	// ID.
	leaveRequests map[string]time.Time

	sweep      mangokeel.Subscription
	sweepDue   chan struct{}
	stop       chan struct{}
	goroutines sync.WaitGroup
}

type joinRequest struct {
	id string
	at time.Time
}

// ServerOption configures a Server.
type ServerOption func(*Server)

// WithServerLogger sets the logger for state changes and operators' calls.
func WithServerLogger(l log.Logger) ServerOption { return func(s *Server) { s.logger = l } }

// WithServerTimers sets the timer service. The default is real time.
func WithServerTimers(t mangokeel.Timers) ServerOption { return func(s *Server) { s.timers = t } }

// WithToleratedFailures sets how many control instances may fail at once. Silent voters are
// removed while 2n+1 others remain. The default is 1.
func WithToleratedFailures(n int) ServerOption { return func(s *Server) { s.toleratedFailures = n } }

// NewServer returns a server for nodes and operators. desired must be the state machine of the
// log.
func NewServer(desired *DesiredState, l Log, remote mangokeel.Remote, opts ...ServerOption) *Server {
	s := &Server{
		desired:           desired,
		log:               l,
		remote:            remote,
		timers:            timer.Real{},
		logger:            log.NewNopLogger(),
		toleratedFailures: 1,
		registry:          newRegistry(),
		metrics:           newServerMetrics(),
		joinRequests:      map[netip.AddrPort]joinRequest{},
		leaveRequests:     map[string]time.Time{},
		stop:              make(chan struct{}),
		sweepDue:          make(chan struct{}, 1),
	}
	for _, o := range opts {
		o(s)
	}
	s.sweep = s.timers.Every(sweepPeriod, func(time.Time) { s.requestSweep() })
	s.goroutines.Go(func() {
		for {
			select {
			case <-s.stop:
				return
			case <-s.sweepDue:
				s.runLeaderTasks()
			}
		}
	})
	s.goroutines.Go(func() {
		for {
			select {
			case <-s.stop:
				return
			case <-s.registry.listUpdate:
				s.updateAgentList()
			}
		}
	})
	return s
}

// requestSweep wakes the goroutine that does the leader's periodic tasks.
func (s *Server) requestSweep() {
	select {
	case s.sweepDue <- struct{}{}:
	default:
	}
}

// Close stops the server's background work.
func (s *Server) Close() {
	s.sweep.Cancel()
	close(s.stop)
	s.goroutines.Wait()
}

// Methods returns the methods that nodes and other control instances call.
func (s *Server) Methods() jsonrpc.Methods {
	return jsonrpc.Methods{
		"poll":    jsonrpc.NewMethod(s.handlePoll),
		"join":    jsonrpc.NewMethod(s.handleJoin),
		"propose": jsonrpc.NewMethod(s.handlePropose),
	}
}

// leading reports whether this instance leads. If it does, it starts the registry's term.
func (s *Server) leading() (mangokeel.LogStatus, bool) {
	st := s.log.Status()
	if st.Leading {
		s.registry.startTerm(st.Term, s.timers.Now())
		s.rotation.startTerm(st.Term)
	}
	return st, st.Leading
}

func (s *Server) members() (list []string) {
	for _, m := range s.log.Members() {
		list = append(list, m.Address.String())
	}
	return list
}

// handlePoll replies to a node with the changes since the revisions that it has.
func (s *Server) handlePoll(ctx context.Context, r *fleetwire.PollRequest) (*fleetwire.PollReply, error) {
	s.metrics.polls.Inc()
	st, ok := s.leading()
	if !ok && r.GetSearch() {
		st, ok = s.awaitLeader(ctx)
	}
	if !ok {
		out := &fleetwire.PollReply{Members: s.members()}
		if st.Leader.IsValid() {
			out.Leader = st.Leader.String()
		}
		return out, nil
	}
	if r.GetSearch() {
		return &fleetwire.PollReply{Leading: true, Members: s.members()}, nil
	}
	s.handleAnnouncement(r)
	s.logCompletion()
	zone := mangokeel.AvailabilityZone(r.GetBalancer())
	if zone != "" {
		s.rotation.RecordPoll(r.GetNode(), zone, s.timers.Now())
	}
	if r.GetWait() {
		s.awaitChange(ctx, r)
	}
	out := &fleetwire.PollReply{
		Leading: true, Members: s.members(), Standby: s.rotation.StandsBy(zone), UnconfirmedMs: s.unconfirmedMillis(),
	}
	s.desired.fillChanges(r.GetDesired(), out)
	s.registry.fillChanges(r.GetTerm(), r.GetRegistry(), s.timers.Now(), out)
	if a := r.GetAnnouncement(); a.GetLoad().GetUtilisation() > 0 {
		s.registry.typicalLoad(a.GetService(), s.timers.Now()).Fill(out)
	}
	if proto.Size(out) < packThresholdBytes {
		return out, nil
	}
	b, err := s.packer.Pack(out)
	if err != nil {
		_ = level.Error(s.logger).Log("msg", "reply not compressed, sent as it is", "err", err)
		return out, nil
	}
	return &fleetwire.PollReply{Leading: true, Packed: b}, nil
}

// unconfirmedMillis returns the time since a majority confirmed the state that this instance has
// applied, in milliseconds.
func (s *Server) unconfirmedMillis() uint64 {
	st := s.log.Status()
	if st.Applied < st.Committed {
		return uint64(replica.NoAge.Milliseconds())
	}
	return uint64(st.Age.Milliseconds())
}

// awaitLeader is like leading but waits up to electionWait if no leader is known.
func (s *Server) awaitLeader(ctx context.Context) (mangokeel.LogStatus, bool) {
	ctx, cancel := context.WithTimeout(ctx, electionWait)
	defer cancel()
	for {
		st, ok := s.leading()
		// An instance that does not vote is not informed of elections.
		if ok || st.Leader.IsValid() || !st.Voter || !s.sleep(ctx, electionCheckPeriod) {
			return st, ok
		}
	}
}

// handleAnnouncement applies the announcement of a poll, or its withdrawal, to the registry.
func (s *Server) handleAnnouncement(r *fleetwire.PollRequest) {
	if r.GetGone() != "" && s.registry.remove(r.GetGone()) {
		_ = level.Info(s.logger).Log("msg", "target left", "agent", r.GetGone(), "node", r.GetNode())
	}
	if v := r.GetVacant(); v != nil {
		s.handleVacancy(r.GetNode(), r.GetTerm(), v)
	}
	a := r.GetAnnouncement()
	if a == nil {
		return
	}
	if _, err := netip.ParseAddrPort(a.GetAgent()); err != nil || a.GetService() == "" {
		_ = level.Warn(s.logger).Log("msg", "announcement rejected: malformed agent address or no service", "node", r.GetNode(),
			"agent", a.GetAgent(), "service", a.GetService())
		return
	}
	if s.registry.renew(a, s.timers.Now()) {
		_ = level.Info(s.logger).Log("msg", "target joined", "agent", a.GetAgent(), "service", a.GetService(), "zone", a.GetZone(), "node", r.GetNode())
	}
}

// handleVacancy applies an agent's statement that it has no target to the registry.
func (s *Server) handleVacancy(node string, term uint64, v *fleetwire.Vacancy) {
	if _, err := netip.ParseAddrPort(v.GetAgent()); err != nil {
		_ = level.Warn(s.logger).Log("msg", "vacancy rejected: malformed agent address", "node", node, "agent", v.GetAgent())
		return
	}
	if s.registry.vacate(term, v) {
		s.metrics.vacancies.Inc()
		_ = level.Info(s.logger).Log("msg", "agent has no target", "agent", v.GetAgent(), "node", node, "fresh", v.GetFresh())
	}
}

// logCompletion logs once in a term that the registry is complete.
func (s *Server) logCompletion() {
	x, ok := s.registry.takeCompletion()
	if !ok {
		return
	}
	s.metrics.completions.WithLabelValues(x.reason).Inc()
	_ = level.Info(s.logger).Log("msg", "registry complete", "reason", x.reason, "after", s.timers.Now().Sub(x.termStart),
		"announced", x.announced, "fresh", x.fresh, "vacant", x.vacant, "missing", x.missing)
}

// updateAgentList brings the list of agents in the log into line with the registry.
func (s *Server) updateAgentList() {
	st, ok := s.leading()
	if !ok {
		return
	}
	ctx, cancel := context.WithTimeout(context.Background(), listChangeTimeout)
	defer cancel()
	if !s.registry.listKnown(st.Term) {
		// Once a command of this term is committed, all commands of earlier terms are applied.
		if err := s.proposeListChange(ctx, &fleetwire.AgentChange{}); err != nil {
			_ = level.Warn(s.logger).Log("msg", "list of agents not read", "term", st.Term, "err", err)
			return // the next sweep retries
		}
		s.registry.setList(st.Term, s.desired.Agents())
		s.logCompletion()
	}
	joined, left := s.registry.takeListChange()
	if len(joined)+len(left) == 0 {
		return
	}
	err := s.proposeListChange(ctx, &fleetwire.AgentChange{Joined: joined, Left: left})
	s.registry.setList(st.Term, s.desired.Agents())
	_ = level.Info(s.logger).Log("msg", "list of agents changed", "joined", len(joined), "left", len(left), "err", err)
}

// proposeListChange proposes a change of the list of agents on this instance only.
func (s *Server) proposeListChange(ctx context.Context, x *fleetwire.AgentChange) error {
	b, err := s.packer.Pack(&fleetwire.Command{Body: &fleetwire.Command_Agents{Agents: x}})
	if err != nil {
		return err
	}
	_, _, err = s.log.Propose(ctx, b)
	return err
}

// awaitChange holds a poll until the node is out of date or pollHoldTime has passed.
func (s *Server) awaitChange(ctx context.Context, r *fleetwire.PollRequest) {
	desired, desiredChanged := s.desired.watch()
	term, registry, registryChanged := s.registry.watch()
	if desired != r.GetDesired() || term != r.GetTerm() || s.rotation.StandsBy(mangokeel.AvailabilityZone(r.GetBalancer())) != r.GetStandby() {
		return
	}
	if registry == r.GetRegistry() {
		t := time.NewTimer(pollHoldTime)
		defer t.Stop()
		select {
		case <-registryChanged:
		case <-desiredChanged:
			return
		case <-t.C:
			return
		case <-ctx.Done():
			return
		case <-s.stop:
			return
		}
	}
	s.sleep(ctx, batchDelay)
}

// ReadBarrier waits until a majority has confirmed the committed state after the call began
// and this instance has applied it. It returns ErrUnconfirmed if ctx ends first.
func (s *Server) ReadBarrier(ctx context.Context) error {
	start := s.timers.Now()
	for {
		st := s.log.Status()
		if st.Age < s.timers.Now().Sub(start) && st.Applied >= st.Committed {
			return nil
		}
		if !s.sleep(ctx, retryInterval) {
			s.metrics.unconfirmed.Inc()
			return ErrUnconfirmed
		}
	}
}

// sleep waits for d and returns false if ctx or the server ends first.
func (s *Server) sleep(ctx context.Context, d time.Duration) bool {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
		return true
	case <-ctx.Done():
		return false
	case <-s.stop:
		return false
	}
}

// ReadConfig returns the current configuration. The version is 0 until one is installed.
func (s *Server) ReadConfig(ctx context.Context) (version uint64, content []byte, err error) {
	if err := s.ReadBarrier(ctx); err != nil {
		return 0, nil, err
	}
	version, content = s.desired.Config()
	return version, content, nil
}

// Install installs a configuration if its version is higher than the current one. The result
// has the version now in force. An error leaves the outcome unknown.
func (s *Server) Install(ctx context.Context, x *fleetwire.Configuration) (*fleetwire.Result, error) {
	d, err := s.propose(ctx, &fleetwire.Command{Body: &fleetwire.Command_Install{Install: x}})
	_ = level.Info(s.logger).Log("msg", "configuration install requested", "version", x.GetVersion(), "routes", len(x.GetRoutes()),
		"installed", d.GetInstalled(), "present", d.GetVersion(), "err", err)
	return d, err
}

// SetZone takes a zone out of service or back in. An error leaves the outcome unknown.
func (s *Server) SetZone(ctx context.Context, zone mangokeel.AvailabilityZone, out bool) error {
	err := s.ReadBarrier(ctx)
	if err == nil {
		after, _ := s.desired.watch()
		_, err = s.propose(ctx, &fleetwire.Command{Body: &fleetwire.Command_Zone{Zone: &fleetwire.ZoneChange{Zone: string(zone), Out: out, After: after}}})
	}
	_ = level.Info(s.logger).Log("msg", "zone change requested", "zone", zone, "out", out, "err", err)
	return err
}

// propose commits a command through the leader. It retries until ctx ends, because every
// command is idempotent.
func (s *Server) propose(ctx context.Context, d *fleetwire.Command) (*fleetwire.Result, error) {
	b, err := s.packer.Pack(d)
	if err != nil {
		return nil, err
	}
	for {
		raw, err := s.proposeOnce(ctx, b)
		if err == nil {
			out := &fleetwire.Result{}
			return out, errors.Wrap(proto.Unmarshal(raw, out), "decode result")
		}
		s.metrics.retries.Inc()
		if !s.sleep(ctx, retryInterval) {
			s.metrics.unconfirmed.Inc()
			return nil, errors.WithSecondaryError(ErrUnconfirmed, err)
		}
	}
}

// proposeOnce makes one attempt, on this instance if it leads or else at the leader.
func (s *Server) proposeOnce(ctx context.Context, b []byte) ([]byte, error) {
	ctx, cancel := context.WithTimeout(ctx, proposeAttemptTimeout)
	defer cancel()
	st := s.log.Status()
	if st.Leading {
		raw, _, err := s.log.Propose(ctx, b)
		return raw, err
	}
	if !st.Leader.IsValid() {
		return nil, mangokeel.ErrNotLeader
	}
	var out fleetwire.ProposeReply
	if err := jsonrpc.CallOrDrop(ctx, s.remote, st.Leader, "propose", &fleetwire.ProposeRequest{Command: b}, &out); err != nil {
		return nil, err
	}
	if !out.GetLeading() {
		return nil, mangokeel.ErrNotLeader
	}
	return out.GetResult(), nil
}

// handlePropose proposes a command for another instance.
func (s *Server) handlePropose(ctx context.Context, r *fleetwire.ProposeRequest) (*fleetwire.ProposeReply, error) {
	if !s.log.Status().Leading {
		return &fleetwire.ProposeReply{}, nil
	}
	if err := wire.Unpack(r.GetCommand(), &fleetwire.Command{}); err != nil {
		return nil, errors.Wrap(err, "command")
	}
	raw, rev, err := s.log.Propose(ctx, r.GetCommand())
	if errors.Is(err, mangokeel.ErrNotLeader) {
		return &fleetwire.ProposeReply{}, nil
	}
	return &fleetwire.ProposeReply{Leading: true, Result: raw, Revision: uint64(rev)}, err
}
