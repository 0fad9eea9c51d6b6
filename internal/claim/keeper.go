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
	// rounds bounds the tries of one claim after split votes and home changes.
	rounds = 3
	// roundPause is the longest pause between two rounds.
	roundPause = 20 * time.Millisecond
	// viewPause is the wait for a view with the home that a member fenced for.
	viewPause = 50 * time.Millisecond
	// withdrawWait is how long a withdrawal is waited for; it goes on after that.
	withdrawWait = 100 * time.Millisecond
	// spreadTime bounds the tries to tell a member of the end of an attempt.
	spreadTime = 30 * time.Second
	// spreadCall bounds one of these tries.
	spreadCall = time.Second
	// settleTime is how long after the end of an attempt a home may change without
	// this agent's knowledge; the end is then told to the new members too.
	settleTime = 3 * time.Second
	// copyPeriod separates looks whether claims have to be copied.
	copyPeriod = 100 * time.Millisecond
	// copyCall bounds the call for one page.
	copyCall = 2 * time.Second
	// sweepPeriod separates sweeps of expired claims.
	sweepPeriod = 10 * time.Second
	// maxSpread bounds the attempts whose end is being told.
	maxSpread = 10_000
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
	// spreading counts the attempts whose end is being told.
	spreading atomic.Int64
	copying   atomic.Bool
	outcomes  *prometheus.CounterVec
	lost      prometheus.Counter
	subs      []mangokeel.Subscription

	mu sync.Mutex
	// member belongs to service; it is replaced when the agent changes its service.
	member  *Member
	service mangokeel.ServiceID
	self    mangokeel.Handle
	home    Home
	peers   map[mangokeel.Handle]netip.AddrPort
	// newest is the highest handle that the view has shown. The agent of a higher
	// one is alive for all this one knows; handles rise, so that of a lower one that
	// is not among peers has left.
	newest   mangokeel.Handle
	lifetime time.Duration
	// others is set when another target of the service is serving.
	others bool
}

// Option changes a Keeper.
type Option func(*Manager)

// WithTimers sets the timer service; the default is the real one.
func WithTimers(t mangokeel.Timers) Option { return func(k *Manager) { k.timers = t } }

// WithLogger sets the logger for changes of the home.
func WithLogger(l log.Logger) Option { return func(k *Manager) { k.log = l } }

// WithRegisterer adds the keeper's metrics to r.
func WithRegisterer(r prometheus.Registerer) Option { return func(k *Manager) { k.register(r) } }

// NewManager returns a keeper that calls other agents through remote. It abstains
// until Update has told it of a home.
func NewManager(remote mangokeel.Remote, opts ...Option) *Manager {
	k := &Manager{remote: remote, timers: timer.Real{}, log: log.NewNopLogger(), lifetime: DefaultLifetime}
	k.outcomes = prometheus.NewCounterVec(prometheus.CounterOpts{
		Namespace: "mangokeel", Subsystem: "claim", Name: "outcomes_total", Help: "Claims by outcome.",
	}, []string{"outcome"})
	k.lost = prometheus.NewCounter(prometheus.CounterOpts{
		Namespace: "mangokeel", Subsystem: "claim", Name: "unreported_total", Help: "Ends of attempts that a member was not told of.",
	})
	for _, o := range opts {
		o(k)
	}
	k.ctx, k.cancel = context.WithCancel(context.Background())
	k.member = NewMember(k.timers.Now(), k.lifetime)
	k.subs = append(k.subs,
		k.timers.Every(copyPeriod, func(time.Time) { k.copyClaims() }),
		k.timers.Every(sweepPeriod, func(now time.Time) { k.locked(func() { k.member.Sweep(now) }) }))
	return k
}

func (k *Manager) register(r prometheus.Registerer) {
	gauge := func(name, help string, fn func() float64) prometheus.Collector {
		return prometheus.NewGaugeFunc(prometheus.GaugeOpts{Namespace: "mangokeel", Subsystem: "claim", Name: name, Help: help}, func() (v float64) {
			k.locked(func() { v = fn() })
			return v
		})
	}
	r.MustRegister(k.outcomes, k.lost,
		gauge("keys", "Keys held for the home.", func() float64 { return float64(k.member.Len()) }),
		gauge("conflicts", "Attempts that ran beside another one; must stay 0.", func() float64 { return float64(k.member.Conflicts) }),
		gauge("epoch", "Home epoch of the view.", func() float64 { return float64(k.home.Epoch) }))
}

func (k *Manager) locked(fn func()) {
	k.mu.Lock()
	defer k.mu.Unlock()
	fn()
}

// Update takes the service's record from a newer view and the agent's own handle.
func (k *Manager) Update(s *view.Service, own mangokeel.Handle) {
	if s == nil {
		return
	}
	k.mu.Lock()
	defer k.mu.Unlock()
	now := k.timers.Now()
	if k.service != s.ID {
		k.service = s.ID
		k.member = NewMember(now, k.lifetime)
	}
	if ms := s.GetClaimMs(); ms > 0 {
		k.lifetime = time.Duration(ms) * time.Millisecond
		k.member.SetLifetime(k.lifetime)
	}
	home := HomeOf(s.GetHome())
	if home.Epoch != k.home.Epoch {
		_ = level.Info(k.log).Log("msg", "home changed", "epoch", home.Epoch, "joint", len(home.Next) > 0)
	}
	k.home, k.self = home, own
	k.member.SetHome(now, own, home)
	k.peers = make(map[mangokeel.Handle]netip.AddrPort, len(s.Targets))
	k.others = false
	for h, t := range s.Targets {
		k.others = k.others || h != own && t.GetState() == wire.State_STATE_SERVING
		k.peers[h] = Address(t.Agent)
		k.newest = max(k.newest, h)
	}
}

// ConfirmView tells that control confirmed the view at the given time, which is that
// before the call to control was made. The agent calls it after each successful
// poll; after a lifetime without it the agent grants no claims.
func (k *Manager) ConfirmView(at time.Time) { k.locked(func() { k.member.ConfirmView(at) }) }

// ReadyEpoch returns the home epoch of the joint step for which this agent has copied
// what it needs as a member of the next home, or 0. The agent reports it to
// control under its handle own, which ends the step only when all members of the
// next home have reported its epoch. It is 0 until the keeper knows own, so that a
// new handle does not report what an earlier one copied.
func (k *Manager) ReadyEpoch(own mangokeel.Handle) (epoch uint64) {
	k.locked(func() {
		if own == k.self {
			epoch = k.member.ReadyEpoch(k.timers.Now())
		}
	})
	return epoch
}

// NeedsHandover reports whether this agent holds claims that others can take over. An
// agent that leaves waits until it is false, within bounds, so that the home moves
// before the claims are gone.
func (k *Manager) NeedsHandover() (in bool) {
	k.locked(func() { in = k.others && (k.member.in(k.home.Now) || k.member.in(k.home.Next)) })
	return in
}

// PendingNotifications is the number of attempts whose end is still being told.
func (k *Manager) PendingNotifications() int { return int(k.spreading.Load()) }

// Close ends the keeper. What Pending counts is abandoned.
func (k *Manager) Close() {
	for _, s := range k.subs {
		s.Cancel()
	}
	k.cancel()
}

// alive reports whether an agent is in the roster as far as this one knows.
func (k *Manager) alive(h mangokeel.Handle) bool {
	k.mu.Lock()
	defer k.mu.Unlock()
	_, ok := k.peers[h]
	return ok || h > k.newest
}

// Claim asks the home of key for permission to run a request with the given hash.
// When the outcome's verdict is Run, the claim has to be ended with Record or
// Withdraw; otherwise it has been withdrawn.
func (k *Manager) Claim(ctx context.Context, key string, hash Hash) (Outcome, *Claim) {
	var o Outcome
	var c *Claim
	for range rounds {
		c, o = k.round(ctx, key, hash)
		if o.Verdict == Run {
			break
		}
		done := k.withdraw(c)
		if o.Verdict != NotRun && !o.SplitVote {
			break
		}
		// The key is free for another round, or another agent, when the call returns.
		await(done)
		if !k.again(ctx, c, o) {
			break
		}
	}
	k.outcomes.WithLabelValues(o.Verdict.String()).Inc()
	return o, c
}

// again waits before another round. It returns false when that would not help.
func (k *Manager) again(ctx context.Context, c *Claim, o Outcome) bool {
	switch {
	case o.Fenced:
		pause(ctx, viewPause)
		changed := false
		k.locked(func() { changed = k.home.Epoch != c.home.Epoch })
		return changed && ctx.Err() == nil
	case o.SplitVote:
		pause(ctx, rand.N(roundPause))
		return ctx.Err() == nil
	}
	return false
}

func pause(ctx context.Context, d time.Duration) {
	select {
	case <-time.After(d):
	case <-ctx.Done():
	}
}

// vote is one member's reply, nil if there was none.
type vote struct {
	from  mangokeel.Handle
	reply *wire.ClaimReply
}

func (k *Manager) round(ctx context.Context, key string, hash Hash) (*Claim, Outcome) {
	k.mu.Lock()
	c := New(k.timers.Now(), k.lifetime, k.home, KeyOf(k.service, key), hash, k.self)
	service := k.service
	k.mu.Unlock()
	ctx, cancel := context.WithTimeout(ctx, claimTimeout)
	defer cancel()
	votes := make(chan vote, len(c.Members()))
	for _, h := range c.Members() {
		go func() {
			var r wire.ClaimReply
			if err := k.call(ctx, h, "claim", c.Request(service, h), &r); err != nil {
				votes <- vote{h, nil}
				return
			}
			votes <- vote{h, &r}
		}()
	}
	for range c.Members() {
		v := <-votes
		if o, ok := c.AddReply(v.from, v.reply, k.alive); ok {
			return c, o
		}
	}
	return c, c.Finish(k.alive)
}

// call calls a member, which may be this agent.
func (k *Manager) call(ctx context.Context, h mangokeel.Handle, method string, req, resp proto.Message) error {
	k.mu.Lock()
	self, addr := k.self, k.peers[h]
	k.mu.Unlock()
	if h == self {
		r, err := k.Methods()[method].Handle(ctx, req)
		if err == nil {
			proto.Merge(resp, r)
		}
		return err
	}
	if !addr.IsValid() {
		return errors.Mark(errors.Newf("no address of agent %d", h), mangokeel.ErrNotSent)
	}
	return k.remote.Call(ctx, addr, method, req, resp)
}

// Record stores the end of an attempt that ran, in the background. A nil answer
// means that it was too large to keep; lost means that the outcome is unknown.
func (k *Manager) Record(c *Claim, answer *wire.Answer, lost bool) {
	a := &wire.Attempt{Id: c.ID[:], Hash: c.Hash[:], Owner: uint32(c.Owner), Progress: wire.Progress_PROGRESS_ANSWERED, Answer: answer}
	if lost {
		a.Progress, a.Answer = wire.Progress_PROGRESS_LOST, nil
	}
	k.spread(c, func(ctx context.Context, h mangokeel.Handle, service uint32) error {
		return k.call(ctx, h, "record", &wire.RecordRequest{Service: service, Member: uint32(h), Key: c.Key[:], Attempt: a}, &wire.RecordReply{})
	})
}

// Withdraw gives up an attempt that has not run and never will. It waits a short
// time, so that the key is free for another attempt when it returns.
func (k *Manager) Withdraw(c *Claim) { await(k.withdraw(c)) }

func await(done <-chan struct{}) {
	select {
	case <-done:
	case <-time.After(withdrawWait):
	}
}

func (k *Manager) withdraw(c *Claim) <-chan struct{} {
	return k.spread(c, func(ctx context.Context, h mangokeel.Handle, service uint32) error {
		return k.call(ctx, h, "withdraw", &wire.WithdrawRequest{Service: service, Member: uint32(h), Key: c.Key[:], Id: c.ID[:]}, &wire.WithdrawReply{})
	})
}

// spread tells the members of a claim and of the present home of its end, and those
// of a home that replaces it at that time. The channel is closed once the first
// have been told or given up.
func (k *Manager) spread(c *Claim, tell func(context.Context, mangokeel.Handle, uint32) error) <-chan struct{} {
	done := make(chan struct{})
	if k.spreading.Add(1) > maxSpread {
		k.spreading.Add(-1)
		k.lost.Inc()
		close(done)
		return done
	}
	go func() {
		defer k.spreading.Add(-1)
		epoch := k.tellAll(c, tell)
		close(done)
		pause(k.ctx, settleTime)
		changed := false
		k.locked(func() { changed = k.home.Epoch != epoch })
		if changed {
			k.tellAll(c, tell)
		}
	}()
	return done
}

func (k *Manager) tellAll(c *Claim, tell func(context.Context, mangokeel.Handle, uint32) error) (epoch uint64) {
	k.mu.Lock()
	home, service := k.home, k.service
	k.mu.Unlock()
	members := slices.Concat(c.Members(), Members(home.Now, c.Key), Members(home.Next, c.Key))
	slices.Sort(members)
	ctx, cancel := context.WithTimeout(k.ctx, spreadTime)
	defer cancel()
	var wg sync.WaitGroup
	for _, h := range slices.Compact(members) {
		wg.Go(func() { k.tell(ctx, h, uint32(service), tell) })
	}
	wg.Wait()
	return home.Epoch
}

// tell tries until the member answers or has left the roster.
func (k *Manager) tell(ctx context.Context, h mangokeel.Handle, service uint32, tell func(context.Context, mangokeel.Handle, uint32) error) {
	for wait := copyPeriod; ctx.Err() == nil && k.alive(h); wait = min(2*wait, settleTime) {
		cctx, cancel := context.WithTimeout(ctx, spreadCall)
		err := tell(cctx, h, service)
		cancel()
		if err == nil {
			return
		}
		pause(ctx, wait)
	}
	k.lost.Inc()
}

// copyClaims copies claims from old members, one page from each at a time, until
// none is left or none answers.
func (k *Manager) copyClaims() {
	if !k.copying.CompareAndSwap(false, true) {
		return
	}
	go func() {
		defer k.copying.Store(false)
		for more := true; more && k.ctx.Err() == nil; {
			more = k.copyPages()
		}
	}()
}

func (k *Manager) copyPages() bool {
	var wants []*wire.CopyRequest
	var service mangokeel.ServiceID
	k.locked(func() { wants, service = k.member.CopyRequests(), k.service })
	var progress atomic.Bool
	var wg sync.WaitGroup
	for _, r := range wants {
		r.Service = uint32(service)
		wg.Go(func() {
			ctx, cancel := context.WithTimeout(k.ctx, copyCall)
			defer cancel()
			var reply wire.CopyReply
			if err := k.call(ctx, mangokeel.Handle(r.GetMember()), "copy", r, &reply); err != nil || !reply.GetReady() {
				return
			}
			k.locked(func() { k.member.ApplyCopyReply(k.timers.Now(), r, &reply) })
			progress.Store(true)
		})
	}
	wg.Wait()
	return progress.Load()
}

// Methods returns the calls that the agent serves at Address.
func (k *Manager) Methods() jsonrpc.Methods {
	return jsonrpc.Methods{
		"claim":    method(k, func(m *Member, now time.Time, r *wire.ClaimRequest) proto.Message { return m.Claim(now, r) }),
		"record":   method(k, func(m *Member, now time.Time, r *wire.RecordRequest) proto.Message { return m.Record(now, r) }),
		"withdraw": method(k, func(m *Member, now time.Time, r *wire.WithdrawRequest) proto.Message { return m.Withdraw(now, r) }),
		"copy":     method(k, func(m *Member, now time.Time, r *wire.CopyRequest) proto.Message { return m.Copy(now, r) }),
	}
}

// errService marks calls for a service that is not the agent's.
var errService = errors.New("not the service of this agent")

// request is a call to a member.
type request[T any] interface {
	*T
	proto.Message
	GetService() uint32
}

func method[T any, R request[T]](k *Manager, fn func(*Member, time.Time, R) proto.Message) jsonrpc.Method {
	return jsonrpc.Method{
		New: func() proto.Message { return R(new(T)) },
		Handle: func(_ context.Context, req proto.Message) (proto.Message, error) {
			r, ok := req.(R)
			if !ok {
				return nil, errors.Newf("unexpected %T", req)
			}
			k.mu.Lock()
			defer k.mu.Unlock()
			if r.GetService() != uint32(k.service) {
				return nil, errService
			}
			return proto.Clone(fn(k.member, k.timers.Now(), r)), nil
		},
	}
}
