package claim

import (
	"context"
	"math/rand/v2"
	"net/netip"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/go-kit/log"
	"github.com/go-kit/log/level"
	"github.com/prometheus/client_golang/prometheus"
	"google.golang.org/protobuf/proto"

	"mangokeel"
	"mangokeel/internal/jsonrpc"
	"mangokeel/internal/timer"
	"mangokeel/internal/view"
	"mangokeel/internal/wire"
)

// Timing of a Keeper.
const (
	// claimTimeout bounds the wait for votes; a majority normally votes within one
	// round trip between zones.
	claimTimeout = 400 * time.Millisecond
	// maxRounds bounds the tries of one claim after split votes and home changes.
	maxRounds = 3
	// maxRoundBackoff is the longest pause between two rounds.
	maxRoundBackoff = 20 * time.Millisecond
	// viewUpdateWait is the wait for a view with the home that a member fenced for.
	viewUpdateWait = 50 * time.Millisecond
	// withdrawTimeout is how long a withdrawal is waited for; it goes on after that.
	withdrawTimeout = 100 * time.Millisecond
	// notifyTimeout bounds the tries to tell a member of the end of an attempt.
	notifyTimeout = 30 * time.Second
	// notifyCallTimeout bounds one of these tries.
	notifyCallTimeout = time.Second
	// homeChangeWindow is how long after the end of an attempt a home may change without
	// this agent's knowledge; the end is then told to the new members too.
	homeChangeWindow = 3 * time.Second
	// copyInterval separates looks whether claims have to be copied.
	copyInterval = 100 * time.Millisecond
	// copyCallTimeout bounds the call for one page.
	copyCallTimeout = 2 * time.Second
	// sweepInterval separates sweeps of expired claims.
	sweepInterval = 10 * time.Second
	// maxPendingNotifications bounds the attempts whose end is being told.
	maxPendingNotifications = 10_000
)

// Address returns where an agent serves claims: the port after that of its data
// socket, on the same IP.
func Address(agent netip.AddrPort) netip.AddrPort {
	if agent.Port() == 65535 {
		return netip.AddrPort{}
	}
	return netip.AddrPortFrom(agent.Addr(), agent.Port()+1)
}

// Manager holds and makes claims for one agent.
type Manager struct {
	remote mangokeel.Remote
	timers mangokeel.Timers
	log    log.Logger
	ctx    context.Context
	cancel context.CancelFunc
	// pendingNotifications counts the attempts whose end is being told.
	pendingNotifications atomic.Int64
	copying              atomic.Bool
	outcomes             *prometheus.CounterVec
	unreported           prometheus.Counter
	subscriptions        []mangokeel.Subscription

	mu sync.Mutex
	// member belongs to service; it is replaced when the agent changes its service.
	member  *Member
	service mangokeel.ServiceID
	self    mangokeel.Handle
	home    Home
	peers   map[mangokeel.Handle]netip.AddrPort
	// highestHandle is the highest handle that the view has shown. The agent of a higher
	// one is alive for all this one knows; handles rise, so that of a lower one that
	// is not among peers has left.
	highestHandle mangokeel.Handle
	lifetime      time.Duration
	// othersServing is set when another target of the service is serving.
	othersServing bool
}

// Option changes a Keeper.
type Option func(*Manager)

// WithTimers sets the timer service; the default is the real one.
func WithTimers(t mangokeel.Timers) Option { return func(m *Manager) { m.timers = t } }

// WithLogger sets the logger for changes of the home.
func WithLogger(l log.Logger) Option { return func(m *Manager) { m.log = l } }

// WithRegisterer adds the keeper's metrics to r.
func WithRegisterer(r prometheus.Registerer) Option { return func(m *Manager) { m.register(r) } }

// NewManager returns a keeper that calls other agents through remote. It abstains
// until Update has told it of a home.
func NewManager(remote mangokeel.Remote, opts ...Option) *Manager {
	m := &Manager{remote: remote, timers: timer.Real{}, log: log.NewNopLogger(), lifetime: DefaultLifetime}
	m.outcomes = prometheus.NewCounterVec(prometheus.CounterOpts{
		Namespace: "mangokeel", Subsystem: "claim", Name: "outcomes_total", Help: "Claims by outcome.",
	}, []string{"outcome"})
	m.unreported = prometheus.NewCounter(prometheus.CounterOpts{
		Namespace: "mangokeel", Subsystem: "claim", Name: "unreported_total", Help: "Ends of attempts that a member was not told of.",
	})
	for _, o := range opts {
		o(m)
	}
	m.ctx, m.cancel = context.WithCancel(context.Background())
	m.member = NewMember(m.timers.Now(), m.lifetime)
	m.subscriptions = append(m.subscriptions,
		m.timers.Every(copyInterval, func(time.Time) { m.copyClaims() }),
		m.timers.Every(sweepInterval, func(now time.Time) { m.withLock(func() { m.member.Sweep(now) }) }))
	return m
}

func (m *Manager) register(r prometheus.Registerer) {
	gauge := func(name, help string, fn func() float64) prometheus.Collector {
		return prometheus.NewGaugeFunc(prometheus.GaugeOpts{Namespace: "mangokeel", Subsystem: "claim", Name: name, Help: help}, func() (v float64) {
			m.withLock(func() { v = fn() })
			return v
		})
	}
	r.MustRegister(m.outcomes, m.unreported,
		gauge("keys", "Keys held for the home.", func() float64 { return float64(m.member.Len()) }),
		gauge("conflicts", "Attempts that ran beside another one; must stay 0.", func() float64 { return float64(m.member.Conflicts) }),
		gauge("epoch", "Home epoch of the view.", func() float64 { return float64(m.home.Epoch) }))
}

func (m *Manager) withLock(fn func()) {
	m.mu.Lock()
	defer m.mu.Unlock()
	fn()
}

// Update takes the service's record from a newer view and the agent's own handle.
func (m *Manager) Update(s *view.Service, own mangokeel.Handle) {
	if s == nil {
		return
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	now := m.timers.Now()
	if m.service != s.ID {
		m.service = s.ID
		m.member = NewMember(now, m.lifetime)
	}
	if ms := s.GetClaimMs(); ms > 0 {
		m.lifetime = time.Duration(ms) * time.Millisecond
		m.member.SetLifetime(m.lifetime)
	}
	home := HomeOf(s.GetHome())
	if home.Epoch != m.home.Epoch {
		_ = level.Info(m.log).Log("msg", "home changed", "epoch", home.Epoch, "joint", len(home.Next) > 0)
	}
	m.home, m.self = home, own
	m.member.SetHome(now, own, home)
	m.peers = make(map[mangokeel.Handle]netip.AddrPort, len(s.Targets))
	m.othersServing = false
	for h, t := range s.Targets {
		m.othersServing = m.othersServing || h != own && t.GetState() == wire.State_STATE_SERVING
		m.peers[h] = Address(t.Agent)
		m.highestHandle = max(m.highestHandle, h)
	}
}

// ConfirmView tells that control confirmed the view at the given time, which is that
// before the call to control was made. The agent calls it after each successful
// poll; after a lifetime without it the agent grants no claims.
func (m *Manager) ConfirmView(at time.Time) { m.withLock(func() { m.member.ConfirmView(at) }) }

// ReadyEpoch returns the home epoch of the joint step for which this agent has copied
// what it needs as a member of the next home, or 0. The agent reports it to
// control under its handle own, which ends the step only when all members of the
// next home have reported its epoch. It is 0 until the keeper knows own, so that a
// new handle does not report what an earlier one copied.
func (m *Manager) ReadyEpoch(own mangokeel.Handle) (epoch uint64) {
	m.withLock(func() {
		if own == m.self {
			epoch = m.member.ReadyEpoch(m.timers.Now())
		}
	})
	return epoch
}

// NeedsHandover reports whether this agent holds claims that others can take over. An
// agent that leaves waits until it is false, within bounds, so that the home moves
// before the claims are gone.
func (m *Manager) NeedsHandover() (in bool) {
	m.withLock(func() { in = m.othersServing && (m.member.inRoster(m.home.Now) || m.member.inRoster(m.home.Next)) })
	return in
}

// PendingNotifications is the number of attempts whose end is still being told.
func (m *Manager) PendingNotifications() int { return int(m.pendingNotifications.Load()) }

// Close ends the keeper. What Pending counts is abandoned.
func (m *Manager) Close() {
	for _, s := range m.subscriptions {
		s.Cancel()
	}
	m.cancel()
}

// alive reports whether an agent is in the roster as far as this one knows.
func (m *Manager) alive(h mangokeel.Handle) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	_, ok := m.peers[h]
	return ok || h > m.highestHandle
}

// Claim asks the home of key for permission to run a request with the given hash.
// When the outcome's verdict is Run, the claim has to be ended with Record or
// Withdraw; otherwise it has been withdrawn.
func (m *Manager) Claim(ctx context.Context, key string, hash Hash) (Outcome, *Claim) {
	var o Outcome
	var c *Claim
	for range maxRounds {
		c, o = m.runRound(ctx, key, hash)
		if o.Verdict == Run {
			break
		}
		done := m.startWithdrawal(c)
		if o.Verdict != NotRun && !o.SplitVote {
			break
		}
		// The key is free for another round, or another agent, when the call returns.
		waitForWithdrawal(done)
		if !m.waitForRetry(ctx, c, o) {
			break
		}
	}
	m.outcomes.WithLabelValues(o.Verdict.String()).Inc()
	return o, c
}

// waitForRetry waits before another round. It returns false when that would not help.
func (m *Manager) waitForRetry(ctx context.Context, c *Claim, o Outcome) bool {
	switch {
	case o.Fenced:
		sleep(ctx, viewUpdateWait)
		changed := false
		m.withLock(func() { changed = m.home.Epoch != c.home.Epoch })
		return changed && ctx.Err() == nil
	case o.SplitVote:
		sleep(ctx, rand.N(maxRoundBackoff))
		return ctx.Err() == nil
	}
	return false
}

func sleep(ctx context.Context, d time.Duration) {
	select {
	case <-time.After(d):
	case <-ctx.Done():
	}
}

// memberReply is one member's reply, nil if there was none.
type memberReply struct {
	from  mangokeel.Handle
	reply *wire.ClaimReply
}

func (m *Manager) runRound(ctx context.Context, key string, hash Hash) (*Claim, Outcome) {
	m.mu.Lock()
	c := New(m.timers.Now(), m.lifetime, m.home, KeyOf(m.service, key), hash, m.self)
	service := m.service
	m.mu.Unlock()
	ctx, cancel := context.WithTimeout(ctx, claimTimeout)
	defer cancel()
	votes := make(chan memberReply, len(c.Members()))
	for _, h := range c.Members() {
		go func() {
			var r wire.ClaimReply
			if err := m.call(ctx, h, "claim", c.Request(service, h), &r); err != nil {
				votes <- memberReply{h, nil}
				return
			}
			votes <- memberReply{h, &r}
		}()
	}
	for range c.Members() {
		v := <-votes
		if o, ok := c.AddReply(v.from, v.reply, m.alive); ok {
			return c, o
		}
	}
	return c, c.Finish(m.alive)
}

// call calls a member, which may be this agent.
func (m *Manager) call(ctx context.Context, h mangokeel.Handle, method string, req, resp proto.Message) error {
	m.mu.Lock()
	self, addr := m.self, m.peers[h]
	m.mu.Unlock()
	if h == self {
		r, err := m.Methods()[method].Handle(ctx, req)
		if err == nil {
			proto.Merge(resp, r)
		}
		return err
	}
	if !addr.IsValid() {
		return errors.Mark(errors.Newf("no address of agent %d", h), mangokeel.ErrNotSent)
	}
	return m.remote.Call(ctx, addr, method, req, resp)
}

// Record stores the end of an attempt that ran, in the background. A nil answer
// means that it was too large to keep; lost means that the outcome is unknown.
func (m *Manager) Record(c *Claim, answer *wire.Answer, lost bool) {
	a := &wire.Attempt{Id: c.ID[:], Hash: c.Hash[:], Owner: uint32(c.Owner), Progress: wire.Progress_PROGRESS_ANSWERED, Answer: answer}
	if lost {
		a.Progress, a.Answer = wire.Progress_PROGRESS_LOST, nil
	}
	m.notifyInBackground(c, func(ctx context.Context, h mangokeel.Handle, service uint32) error {
		return m.call(ctx, h, "record", &wire.RecordRequest{Service: service, Member: uint32(h), Key: c.Key[:], Attempt: a}, &wire.RecordReply{})
	})
}

// Withdraw gives up an attempt that has not run and never will. It waits a short
// time, so that the key is free for another attempt when it returns.
func (m *Manager) Withdraw(c *Claim) { waitForWithdrawal(m.startWithdrawal(c)) }

func waitForWithdrawal(done <-chan struct{}) {
	select {
	case <-done:
	case <-time.After(withdrawTimeout):
	}
}

func (m *Manager) startWithdrawal(c *Claim) <-chan struct{} {
	return m.notifyInBackground(c, func(ctx context.Context, h mangokeel.Handle, service uint32) error {
		return m.call(ctx, h, "withdraw", &wire.WithdrawRequest{Service: service, Member: uint32(h), Key: c.Key[:], Id: c.ID[:]}, &wire.WithdrawReply{})
	})
}

// notifyInBackground tells the members of a claim and of the present home of its end, and those
// of a home that replaces it at that time. The channel is closed once the first
// have been told or given up.
func (m *Manager) notifyInBackground(c *Claim, tell func(context.Context, mangokeel.Handle, uint32) error) <-chan struct{} {
	done := make(chan struct{})
	if m.pendingNotifications.Add(1) > maxPendingNotifications {
		m.pendingNotifications.Add(-1)
		m.unreported.Inc()
		close(done)
		return done
	}
	go func() {
		defer m.pendingNotifications.Add(-1)
		epoch := m.notifyMembers(c, tell)
		close(done)
		sleep(m.ctx, homeChangeWindow)
		changed := false
		m.withLock(func() { changed = m.home.Epoch != epoch })
		if changed {
			m.notifyMembers(c, tell)
		}
	}()
	return done
}

func (m *Manager) notifyMembers(c *Claim, tell func(context.Context, mangokeel.Handle, uint32) error) (epoch uint64) {
	m.mu.Lock()
	home, service := m.home, m.service
	m.mu.Unlock()
	members := slices.Concat(c.Members(), Members(home.Now, c.Key), Members(home.Next, c.Key))
	slices.Sort(members)
	ctx, cancel := context.WithTimeout(m.ctx, notifyTimeout)
	defer cancel()
	var wg sync.WaitGroup
	for _, h := range slices.Compact(members) {
		wg.Go(func() { m.notifyMember(ctx, h, uint32(service), tell) })
	}
	wg.Wait()
	return home.Epoch
}

// notifyMember tries until the member answers or has left the roster.
func (m *Manager) notifyMember(ctx context.Context, h mangokeel.Handle, service uint32, tell func(context.Context, mangokeel.Handle, uint32) error) {
	for wait := copyInterval; ctx.Err() == nil && m.alive(h); wait = min(2*wait, homeChangeWindow) {
		cctx, cancel := context.WithTimeout(ctx, notifyCallTimeout)
		err := tell(cctx, h, service)
		cancel()
		if err == nil {
			return
		}
		sleep(ctx, wait)
	}
	m.unreported.Inc()
}

// copyClaims copies claims from old members, one page from each at a time, until
// none is left or none answers.
func (m *Manager) copyClaims() {
	if !m.copying.CompareAndSwap(false, true) {
		return
	}
	go func() {
		defer m.copying.Store(false)
		for more := true; more && m.ctx.Err() == nil; {
			more = m.copyNextPages()
		}
	}()
}

func (m *Manager) copyNextPages() bool {
	var wants []*wire.CopyRequest
	var service mangokeel.ServiceID
	m.withLock(func() { wants, service = m.member.CopyRequests(), m.service })
	var progress atomic.Bool
	var wg sync.WaitGroup
	for _, r := range wants {
		r.Service = uint32(service)
		wg.Go(func() {
			ctx, cancel := context.WithTimeout(m.ctx, copyCallTimeout)
			defer cancel()
			var reply wire.CopyReply
			if err := m.call(ctx, mangokeel.Handle(r.GetMember()), "copy", r, &reply); err != nil || !reply.GetReady() {
				return
			}
			m.withLock(func() { m.member.ApplyCopyReply(m.timers.Now(), r, &reply) })
			progress.Store(true)
		})
	}
	wg.Wait()
	return progress.Load()
}

// Methods returns the calls that the agent serves at Address.
func (m *Manager) Methods() jsonrpc.Methods {
	return jsonrpc.Methods{
		"claim":  memberMethod(m, func(member *Member, now time.Time, r *wire.ClaimRequest) proto.Message { return member.Claim(now, r) }),
		"record": memberMethod(m, func(member *Member, now time.Time, r *wire.RecordRequest) proto.Message { return member.Record(now, r) }),
		"withdraw": memberMethod(m, func(member *Member, now time.Time, r *wire.WithdrawRequest) proto.Message {
			return member.Withdraw(now, r)
		}),
		"copy": memberMethod(m, func(member *Member, now time.Time, r *wire.CopyRequest) proto.Message { return member.Copy(now, r) }),
	}
}

// errWrongService marks calls for a service that is not the agent's.
var errWrongService = errors.New("not the service of this agent")

// memberRequest is a call to a member.
type memberRequest[T any] interface {
	*T
	proto.Message
	GetService() uint32
}

func memberMethod[T any, R memberRequest[T]](m *Manager, fn func(*Member, time.Time, R) proto.Message) jsonrpc.Method {
	return jsonrpc.Method{
		New: func() proto.Message { return R(new(T)) },
		Handle: func(_ context.Context, req proto.Message) (proto.Message, error) {
			r, ok := req.(R)
			if !ok {
				return nil, errors.Newf("unexpected %T", req)
			}
			m.mu.Lock()
			defer m.mu.Unlock()
			if r.GetService() != uint32(m.service) {
				return nil, errWrongService
			}
			return proto.Clone(fn(m.member, m.timers.Now(), r)), nil
		},
	}
}
