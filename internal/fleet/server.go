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

// Timing of a server.
const (
	// pollHoldTime is how long a poll is held open when nothing changes. It renews a lease
	// six times within its duration.
	pollHoldTime = 500 * time.Millisecond
	// electionWait is how long a question for the leader waits for an election under way. It
	// leaves most of searchTimeout to small instances.
	electionWait = 75 * time.Millisecond
	// electionCheckPeriod is how often such a question looks for the result.
	electionCheckPeriod = 10 * time.Millisecond
	// proposeAttemptTimeout bounds one try of an order at the leader, so that a frozen leader is
	// left before the operators' client gives up after a second.
	proposeAttemptTimeout = 400 * time.Millisecond
	// retryInterval separates tries while there is no leader.
	retryInterval = 20 * time.Millisecond
	// packThresholdBytes is the size in bytes from which answers are compressed. A small instance
	// decodes 20 KB of JSON in 100 ms.
	packThresholdBytes = 1 << 10
	// sweepPeriod is how often the leader looks at leases and members.
	sweepPeriod = 250 * time.Millisecond
	// listChangeTimeout bounds one change of the list of agents, so that a leader that lost its
	// majority notices the next term.
	listChangeTimeout = time.Second
	// batchDelay is how long an answer waits for further changes of the registry. Many
	// agents change within the same tenth of a second when they are started or released,
	// and each change would wake all nodes.
	batchDelay = 20 * time.Millisecond
)

// ErrUnconfirmed means that the instance could not confirm in time that its state is current,
// or that an order's outcome is unknown. The call can be repeated anywhere.
var ErrUnconfirmed = errors.New("no majority of the control instances confirmed the state in time")

// Log is the replicated log with its membership. *replica.Node implements it.
type Log interface {
	mangokeel.Log
	Members() []replica.Member
	Admit(ctx context.Context, addr netip.AddrPort) error
	Replace(ctx context.Context, old string, addr netip.AddrPort) error
	Remove(ctx context.Context, member string) error
	// Silent returns how long the leader has not heard of a member.
	Silent(id string) time.Duration
}

// Server is one control instance's side of the fleet. Close ends it.
type Server struct {
	desired           *DesiredState
	log               Log
	remote            mangokeel.Remote
	timers            mangokeel.Timers
	logger            log.Logger
	toleratedFailures int
	registry          *registry
	metrics           *serverMetrics
	packer            wire.Packer

	mu sync.Mutex
	// joinRequests has the instances that want to become voters, with the time of the last
	// request.
	joinRequests map[netip.AddrPort]joinRequest

	sweep      mangokeel.Subscription
	stop       chan struct{}
	goroutines sync.WaitGroup
	sweepDue   chan struct{}
}

type joinRequest struct {
	id string
	at time.Time
}

// ServerOption changes a Server.
type ServerOption func(*Server)

// WithServerLogger sets the logger for changes of state and operators' orders.
func WithServerLogger(l log.Logger) ServerOption { return func(s *Server) { s.logger = l } }

// WithServerTimers sets the timer service.
func WithServerTimers(t mangokeel.Timers) ServerOption { return func(s *Server) { s.timers = t } }

// WithToleratedFailures sets how many control instances may be lost at once. Silent voters are
// removed while 2n+1 others remain. The default is 1.
func WithToleratedFailures(n int) ServerOption { return func(s *Server) { s.toleratedFailures = n } }

// NewServer serves nodes and operators from the desired state behind a log.
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
		stop:              make(chan struct{}),
		sweepDue:          make(chan struct{}, 1),
	}
	for _, o := range opts {
		o(s)
	}
	s.sweep = s.timers.Every(sweepPeriod, func(time.Time) {
		select {
		case s.sweepDue <- struct{}{}:
		default:
		}
	})
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

// Close ends the server.
func (s *Server) Close() {
	s.sweep.Cancel()
	close(s.stop)
	s.goroutines.Wait()
}

// Methods returns the calls of nodes and of other control instances.
func (s *Server) Methods() jsonrpc.Methods {
	return jsonrpc.Methods{
		"poll":    jsonrpc.NewMethod(s.handlePoll),
		"join":    jsonrpc.NewMethod(s.handleJoin),
		"propose": jsonrpc.NewMethod(s.handlePropose),
	}
}

// leading reports whether this instance leads, and prepares the registry if it does.
func (s *Server) leading() (mangokeel.LogStatus, bool) {
	st := s.log.Status()
	if st.Leading {
		s.registry.startTerm(st.Term, s.timers.Now())
	}
	return st, st.Leading
}

func (s *Server) members() (list []string) {
	for _, m := range s.log.Members() {
		list = append(list, m.Address.String())
	}
	return list
}

// handlePoll answers a node with what changed since its own revisions.
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
	if r.GetWait() {
		s.awaitChange(ctx, r)
	}
	out := &fleetwire.PollReply{Leading: true, Members: s.members()}
	s.desired.fillChanges(r.GetDesired(), out)
	s.registry.fillChanges(r.GetTerm(), r.GetRegistry(), s.timers.Now(), out)
	if proto.Size(out) < packThresholdBytes {
		return out, nil
	}
	b, err := s.packer.Pack(out)
	if err != nil {
		_ = level.Error(s.logger).Log("msg", "answer not packed", "err", err)
		return out, nil
	}
	return &fleetwire.PollReply{Leading: true, Packed: b}, nil
}

// awaitLeader is leading, but waits for a while if no leader is known.
func (s *Server) awaitLeader(ctx context.Context) (mangokeel.LogStatus, bool) {
	ctx, cancel := context.WithTimeout(ctx, electionWait)
	defer cancel()
	for {
		st, ok := s.leading()
		// One that does not vote hears of no election.
		if ok || st.Leader.IsValid() || !st.Voter || !s.sleep(ctx, electionCheckPeriod) {
			return st, ok
		}
	}
}

func (s *Server) handleAnnouncement(r *fleetwire.PollRequest) {
	if r.GetGone() != "" && s.registry.remove(r.GetGone()) {
		_ = level.Info(s.logger).Log("msg", "target left", "agent", r.GetGone(), "node", r.GetNode())
	}
	a := r.GetAnnouncement()
	if a == nil {
		return
	}
	if _, err := netip.ParseAddrPort(a.GetAgent()); err != nil || a.GetService() == "" {
		_ = level.Warn(s.logger).Log("msg", "announcement refused", "node", r.GetNode(), "agent", a.GetAgent(), "service", a.GetService())
		return
	}
	if s.registry.renew(a, s.timers.Now()) {
		_ = level.Info(s.logger).Log("msg", "target joined", "agent", a.GetAgent(), "service", a.GetService(), "zone", a.GetZone(), "node", r.GetNode())
	}
}

// updateAgentList brings the list of agents in the log up to date with the registry.
func (s *Server) updateAgentList() {
	st, ok := s.leading()
	if !ok {
		return
	}
	ctx, cancel := context.WithTimeout(context.Background(), listChangeTimeout)
	defer cancel()
	if !s.registry.listKnown(st.Term) {
		// Once a command of this term is accepted, those of earlier terms are applied.
		if err := s.proposeListChange(ctx, &fleetwire.AgentChange{}); err != nil {
			_ = level.Warn(s.logger).Log("msg", "list of agents not read", "term", st.Term, "err", err)
			return // the next sweep tries again
		}
		s.registry.setList(st.Term, s.desired.Agents())
	}
	joined, left := s.registry.takeListChange()
	if len(joined)+len(left) == 0 {
		return
	}
	err := s.proposeListChange(ctx, &fleetwire.AgentChange{Joined: joined, Left: left})
	s.registry.setList(st.Term, s.desired.Agents())
	_ = level.Info(s.logger).Log("msg", "list of agents changed", "joined", len(joined), "left", len(left), "err", err)
}

// proposeListChange gets a change of the list accepted while this instance leads.
func (s *Server) proposeListChange(ctx context.Context, x *fleetwire.AgentChange) error {
	b, err := s.packer.Pack(&fleetwire.Command{Body: &fleetwire.Command_Agents{Agents: x}})
	if err != nil {
		return err
	}
	_, _, err = s.log.Propose(ctx, b)
	return err
}

// awaitChange returns when the node lacks something or the poll was held long enough.
func (s *Server) awaitChange(ctx context.Context, r *fleetwire.PollRequest) {
	desired, desiredChanged := s.desired.watch()
	term, registry, registryChanged := s.registry.watch()
	if desired != r.GetDesired() || term != r.GetTerm() {
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

// ReadBarrier waits until a majority confirmed the state after the call began and this
// instance has applied it. It fails with ErrUnsure when ctx ends first.
func (s *Server) ReadBarrier(ctx context.Context) error {
	began := s.timers.Now()
	for {
		st := s.log.Status()
		if st.Age < s.timers.Now().Sub(began) && st.Applied >= st.Committed {
			return nil
		}
		if !s.sleep(ctx, retryInterval) {
			s.metrics.unconfirmed.Inc()
			return ErrUnconfirmed
		}
	}
}

// sleep waits and reports whether to go on.
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

// ReadConfig returns the present configuration. The number is 0 before the first one.
func (s *Server) ReadConfig(ctx context.Context) (version uint64, content []byte, err error) {
	if err := s.ReadBarrier(ctx); err != nil {
		return 0, nil, err
	}
	version, content = s.desired.Config()
	return version, content, nil
}

// Install makes a configuration the present one if its number is the highest. It returns
// the number of the configuration in force. An error leaves the outcome unknown.
func (s *Server) Install(ctx context.Context, x *fleetwire.Configuration) (*fleetwire.Result, error) {
	d, err := s.propose(ctx, &fleetwire.Command{Body: &fleetwire.Command_Install{Install: x}})
	_ = level.Info(s.logger).Log("msg", "configuration ordered", "version", x.GetVersion(), "routes", len(x.GetRoutes()),
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
	_ = level.Info(s.logger).Log("msg", "zone ordered", "zone", zone, "out", out, "err", err)
	return err
}

// propose gets a command accepted through the leader. Every command may be repeated.
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

// proposeOnce proposes once, here or at the leader.
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

// handlePropose answers other instances.
func (s *Server) handlePropose(ctx context.Context, r *fleetwire.ProposeRequest) (*fleetwire.ProposeReply, error) {
	if !s.log.Status().Leading {
		return &fleetwire.ProposeReply{}, nil
	}
	raw, rev, err := s.log.Propose(ctx, r.GetCommand())
	if errors.Is(err, mangokeel.ErrNotLeader) {
		return &fleetwire.ProposeReply{}, nil
	}
	return &fleetwire.ProposeReply{Leading: true, Result: raw, Revision: uint64(rev)}, err
}
