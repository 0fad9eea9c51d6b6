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

// Timeouts, intervals and limits of a Manager.
const (
	// claimTimeout limits the wait for votes. A majority normally replies within one round
	// trip between availability zones.
	claimTimeout = 400 * time.Millisecond
	// maxRounds limits the attempts of one call to Claim after split votes and changes of
	// the home.
	maxRounds = 3
	// maxRoundBackoff is the upper limit of the random wait after a split vote.
	maxRoundBackoff = 20 * time.Millisecond
	// viewUpdateWait is how long a fenced claim waits for a view with the newer home.
	viewUpdateWait = 50 * time.Millisecond
	// withdrawTimeout limits the wait for a withdrawal, which continues in the background.
	withdrawTimeout = 100 * time.Millisecond
	// notifyTimeout limits the time for notifying the members of the end of an attempt,
	// including retries.
	notifyTimeout = 30 * time.Second
	// notifyCallTimeout limits one call that notifies a member.
	notifyCallTimeout = time.Second
	// minNotifyBackoff and maxNotifyBackoff are the first and the longest wait before a
	// retry; the wait doubles each time.
	minNotifyBackoff = 100 * time.Millisecond
	maxNotifyBackoff = 3 * time.Second
	// homeChangeWindow is how long after the end of an attempt its home may change without
	// this agent's knowledge. If the view shows a change after this time, the new members
	// are notified as well.
	homeChangeWindow = 3 * time.Second
	// copyInterval separates checks for claims that have to be copied.
	copyInterval = 100 * time.Millisecond
	// copyCallTimeout limits the call for one page.
	copyCallTimeout = 2 * time.Second
	// sweepInterval separates removals of expired claims.
	sweepInterval = 10 * time.Second
	// maxPendingNotifications limits the attempts whose members are being notified.
	maxPendingNotifications = 10_000
)

// Address returns the address at which an agent serves claims: the port after that of its
// data socket, on the same IP address. It is zero if there is no such port.
func Address(agent netip.AddrPort) netip.AddrPort {
	if agent.Port() == 65535 {
		return netip.AddrPort{}
	}
	return netip.AddrPortFrom(agent.Addr(), agent.Port()+1)
}

// Manager makes claims for one agent and serves other agents' calls to its Member. It is
// safe for concurrent use.
type Manager struct {
	remote mangokeel.Remote
	timers mangokeel.Timers
	log    log.Logger
	ctx    context.Context
	cancel context.CancelFunc
	// pendingNotifications counts the attempts whose members are being notified.
	pendingNotifications atomic.Int64
	// copying is set while claims are copied.
	copying       atomic.Bool
	outcomes      *prometheus.CounterVec
	unreported    prometheus.Counter
	subscriptions []mangokeel.Subscription

	mu sync.Mutex
	// member stores the claims of service and is replaced when the agent's service changes.
	member  *Member
	service mangokeel.ServiceID
	self    mangokeel.Handle
	home    Home
	peers   map[mangokeel.Handle]netip.AddrPort
	// highestHandle is the highest handle that any view has had. An agent with a higher one
	// may have joined since. Handles only increase, so an agent with a lower one that is not
	// among peers has left.
	highestHandle mangokeel.Handle
	lifetime      time.Duration
	// othersServing is set when another target of the service is serving.
	othersServing bool
}

// Option configures a Manager.
type Option func(*Manager)

// WithTimers sets the timer service; the default uses the system clock.
func WithTimers(t mangokeel.Timers) Option { return func(m *Manager) { m.timers = t } }

// WithLogger sets the logger, which gets changes of the home.
func WithLogger(l log.Logger) Option { return func(m *Manager) { m.log = l } }

// WithRegisterer registers the manager's metrics with r.
func WithRegisterer(r prometheus.Registerer) Option { return func(m *Manager) { m.register(r) } }

// NewManager returns a manager that calls other agents through remote. Its member abstains
// until Update has set a home.
func NewManager(remote mangokeel.Remote, opts ...Option) *Manager {
	m := &Manager{remote: remote, timers: timer.Real{}, log: log.NewNopLogger(), lifetime: DefaultLifetime}
	m.outcomes = prometheus.NewCounterVec(prometheus.CounterOpts{
		Namespace: "mangokeel", Subsystem: "claim", Name: "outcomes_total", Help: "Claims by outcome.",
	}, []string{"outcome"})
	m.unreported = prometheus.NewCounter(prometheus.CounterOpts{
		Namespace: "mangokeel", Subsystem: "claim", Name: "unreported_total", Help: "Attempt ends that a member was not notified of.",
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
		gauge("keys", "Keys with stored claims.", func() float64 { return float64(m.member.Len()) }),
		gauge("conflicts", "Attempts that ran beside another one or after a withdrawal; must stay 0.", func() float64 { return float64(m.member.Conflicts) }),
		gauge("epoch", "Epoch of the home in the view.", func() float64 { return float64(m.home.Epoch) }))
}

func (m *Manager) withLock(fn func()) {
	m.mu.Lock()
	defer m.mu.Unlock()
	fn()
}

// Update sets the service's record from a newer view and the agent's own handle. A nil
// record changes nothing.
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
		_ = level.Info(m.log).Log("msg", "claim home changed", "epoch", home.Epoch, "joint", len(home.Next) > 0)
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

// ConfirmView sets when control last confirmed the view: the time before the call to
// control was made. The agent calls it after each successful poll; after one lifetime
// without it the agent grants no claims.
func (m *Manager) ConfirmView(at time.Time) { m.withLock(func() { m.member.ConfirmView(at) }) }

// ReadyEpoch returns the epoch of the joint home if this agent has copied the claims that
// it needs as a member of the next home, and 0 otherwise. The agent reports it to control
// under its handle own, and control ends the joint step only when all members of the next
// home have reported its epoch. It is 0 until Update has set own, so that a new handle
// doesn't report the copies of an earlier one.
func (m *Manager) ReadyEpoch(own mangokeel.Handle) (epoch uint64) {
	m.withLock(func() {
		if own == m.self {
			epoch = m.member.ReadyEpoch(m.timers.Now())
		}
	})
	return epoch
}

// NeedsHandover reports whether this agent is in the home while other targets serve that
// can take over its claims. A leaving agent waits for a limited time until it is false, so
// that the home moves before the claims are lost.
func (m *Manager) NeedsHandover() (needed bool) {
	m.withLock(func() { needed = m.othersServing && (m.member.inRoster(m.home.Now) || m.member.inRoster(m.home.Next)) })
	return needed
}

// PendingNotifications returns the number of ended attempts whose members are still being
// notified.
func (m *Manager) PendingNotifications() int { return int(m.pendingNotifications.Load()) }

// Close stops the manager and abandons all pending notifications.
func (m *Manager) Close() {
	for _, s := range m.subscriptions {
		s.Cancel()
	}
	m.cancel()
}

// alive reports whether an agent is in the roster, or has a handle that is too new for the
// current view.
func (m *Manager) alive(h mangokeel.Handle) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	_, ok := m.peers[h]
	return ok || h > m.highestHandle
}

// Claim asks the members that hold key for permission to run a request with the given
// hash. If the verdict is Run, the caller must end the claim with Record or Withdraw.
// Otherwise Claim withdraws it.
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
		// Frees the key for the next round, or for another agent once Claim returns.
		waitForWithdrawal(done)
		if !m.waitForRetry(ctx, c, o) {
			break
		}
	}
	m.outcomes.WithLabelValues(o.Verdict.String()).Inc()
	return o, c
}

// waitForRetry waits before another round. It returns false if ctx has ended or another
// round would have the same outcome.
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

// sleep waits for d or until ctx ends.
func sleep(ctx context.Context, d time.Duration) {
	select {
	case <-time.After(d):
	case <-ctx.Done():
	}
}

// memberReply is the reply of one member, nil if the call failed.
type memberReply struct {
	from  mangokeel.Handle
	reply *wire.ClaimReply
}

// runRound makes one attempt: it sends a claim to its members and waits for an outcome.
func (m *Manager) runRound(ctx context.Context, key string, hash Hash) (*Claim, Outcome) {
	m.mu.Lock()
	c := New(m.timers.Now(), m.lifetime, m.home, KeyOf(m.service, key), hash, m.self)
	service := m.service
	m.mu.Unlock()
	ctx, cancel := context.WithTimeout(ctx, claimTimeout)
	defer cancel()
	replies := make(chan memberReply, len(c.Members()))
	for _, h := range c.Members() {
		go func() {
			var r wire.ClaimReply
			if err := m.call(ctx, h, "claim", c.Request(service, h), &r); err != nil {
				replies <- memberReply{h, nil}
				return
			}
			replies <- memberReply{h, &r}
		}()
	}
	for range c.Members() {
		r := <-replies
		if o, ok := c.AddReply(r.from, r.reply, m.alive); ok {
			return c, o
		}
	}
	return c, c.Finish(m.alive)
}

// call calls a method of an agent. Calls to this agent don't use the network.
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
		return errors.Mark(errors.Newf("address of agent %d is not known", h), mangokeel.ErrNotSent)
	}
	return m.remote.Call(ctx, addr, method, req, resp)
}

// Record stores the end of an attempt that ran at its members, in the background. A nil
// answer means that the answer was too large to keep. lost means that the result of the
// request is unknown.
func (m *Manager) Record(c *Claim, answer *wire.Answer, lost bool) {
	a := &wire.Attempt{Id: c.ID[:], Hash: c.Hash[:], Owner: uint32(c.Owner), Progress: wire.Progress_PROGRESS_ANSWERED, Answer: answer}
	if lost {
		a.Progress, a.Answer = wire.Progress_PROGRESS_LOST, nil
	}
	m.notifyInBackground(c, func(ctx context.Context, h mangokeel.Handle, service uint32) error {
		return m.call(ctx, h, "record", &wire.RecordRequest{Service: service, Member: uint32(h), Key: c.Key[:], Attempt: a}, &wire.RecordReply{})
	})
}

// Withdraw ends an attempt that has not run and never will. It waits for up to
// withdrawTimeout, so that the key is normally free for another attempt when it returns.
func (m *Manager) Withdraw(c *Claim) { waitForWithdrawal(m.startWithdrawal(c)) }

// waitForWithdrawal waits until done is closed or withdrawTimeout has passed.
func waitForWithdrawal(done <-chan struct{}) {
	select {
	case <-done:
	case <-time.After(withdrawTimeout):
	}
}

// startWithdrawal withdraws an attempt in the background. The channel is closed as for
// notifyInBackground.
func (m *Manager) startWithdrawal(c *Claim) <-chan struct{} {
	return m.notifyInBackground(c, func(ctx context.Context, h mangokeel.Handle, service uint32) error {
		return m.call(ctx, h, "withdraw", &wire.WithdrawRequest{Service: service, Member: uint32(h), Key: c.Key[:], Id: c.ID[:]}, &wire.WithdrawReply{})
	})
}

// notifyFunc notifies one member of the end of an attempt.
type notifyFunc func(ctx context.Context, member mangokeel.Handle, service uint32) error

// notifyInBackground notifies the members of a claim and those of the current home, and,
// if the home changes within homeChangeWindow, those of the new home as well. The channel
// is closed when the first notifications have succeeded or been given up.
func (m *Manager) notifyInBackground(c *Claim, notify notifyFunc) <-chan struct{} {
	done := make(chan struct{})
	if m.pendingNotifications.Add(1) > maxPendingNotifications {
		m.pendingNotifications.Add(-1)
		m.unreported.Inc()
		close(done)
		return done
	}
	go func() {
		defer m.pendingNotifications.Add(-1)
		epoch := m.notifyMembers(c, notify)
		close(done)
		sleep(m.ctx, homeChangeWindow)
		changed := false
		m.withLock(func() { changed = m.home.Epoch != epoch })
		if changed {
			m.notifyMembers(c, notify)
		}
	}()
	return done
}

// notifyMembers notifies the members of a claim and those of the current home, and waits
// until it has succeeded or given up. It returns the epoch of that home.
func (m *Manager) notifyMembers(c *Claim, notify notifyFunc) (epoch uint64) {
	m.mu.Lock()
	home, service := m.home, m.service
	m.mu.Unlock()
	members := slices.Concat(c.Members(), Members(home.Now, c.Key), Members(home.Next, c.Key))
	slices.Sort(members)
	ctx, cancel := context.WithTimeout(m.ctx, notifyTimeout)
	defer cancel()
	var wg sync.WaitGroup
	for _, h := range slices.Compact(members) {
		wg.Go(func() { m.notifyMember(ctx, h, uint32(service), notify) })
	}
	wg.Wait()
	return home.Epoch
}

// notifyMember retries until the member replies, it has left the roster, or ctx ends.
func (m *Manager) notifyMember(ctx context.Context, h mangokeel.Handle, service uint32, notify notifyFunc) {
	for wait := minNotifyBackoff; ctx.Err() == nil && m.alive(h); wait = min(2*wait, maxNotifyBackoff) {
		callCtx, cancel := context.WithTimeout(ctx, notifyCallTimeout)
		err := notify(callCtx, h, service)
		cancel()
		if err == nil {
			return
		}
		sleep(ctx, wait)
	}
	m.unreported.Inc()
}

// copyClaims copies claims from the old members in the background, one page from each at a
// time, until all are copied or none replies. It does nothing while an earlier call runs.
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

// copyNextPages copies the next page of each old member and reports whether any of them
// returned one.
func (m *Manager) copyNextPages() bool {
	var requests []*wire.CopyRequest
	var service mangokeel.ServiceID
	m.withLock(func() { requests, service = m.member.CopyRequests(), m.service })
	var progress atomic.Bool
	var wg sync.WaitGroup
	for _, r := range requests {
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

// Methods returns the methods that the agent serves at Address.
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

// errWrongService is the reply to calls for another service than the agent's.
var errWrongService = errors.New("not the service of this agent")

// memberRequest is a request message of a method that a Member handles.
type memberRequest[T any] interface {
	*T
	proto.Message
	GetService() uint32
}

// memberMethod returns the method that passes requests for the agent's service to fn. The
// reply is a copy, which is sent after the lock is released.
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
