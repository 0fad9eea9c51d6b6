// Package control implements the control process, which serves nodes and operators
// from the roster behind the replicated log.
//
// Every instance answers reads and long polls from its own copy of the roster as long
// as a majority has confirmed it recently. It forwards proposals and the contacts of
// nodes to the leader, which alone decides on leases and weights:
//
//	m := roster.New()
//	c := control.New(cfg, m, log, remote, timers)
//	srv, err := jsonrpc.Listen(cfg.Address, c.Methods())
package control

import (
	"context"
	"net/netip"
	"sync"
	"time"

	kitlog "github.com/go-kit/log"
	"github.com/prometheus/client_golang/prometheus"
	"google.golang.org/protobuf/proto"

	"mangokeel"
	"mangokeel/internal/jsonrpc"
	"mangokeel/internal/replica"
	"mangokeel/internal/roster"
	"mangokeel/internal/wire"
	"mangokeel/pkg/settings"
)

const (
	// maxAge is the oldest confirmation by a majority that is served as current.
	maxAge = 2 * time.Second
	// maxPoll bounds the long polls of nodes. An idle node renews its lease with
	// each poll, so three times within leaseDuration.
	maxPoll = time.Second
	// maxWatch bounds the long polls of operators.
	maxWatch = 30 * time.Second
)

// Control is one control instance. Close stops it.
type Control struct {
	cfg     *settings.Control
	machine *roster.Machine
	log     mangokeel.Log
	remote  mangokeel.Remote
	timers  mangokeel.Timers
	logger  kitlog.Logger
	metrics *metrics
	members Members
	packer  wire.Packer

	queue       *queue
	contacts    *contactBuffer
	leases      *leases
	joinLimiter *joinRateLimiter

	ctx    context.Context
	cancel context.CancelFunc
	subs   []mangokeel.Subscription
	work   sync.WaitGroup
}

// Members lists and replaces control instances. replica.Node implements it.
type Members interface {
	Members() []replica.Member
	// Replace admits the instance at addr in place of old, which is an ID or a name.
	// It succeeds only on the leader.
	Replace(ctx context.Context, old string, addr netip.AddrPort) error
}

// Option configures a Control.
type Option func(*Control)

// WithLogger sets the logger for state changes.
func WithLogger(l kitlog.Logger) Option { return func(c *Control) { c.logger = l } }

// WithRegisterer registers the metrics.
func WithRegisterer(r prometheus.Registerer) Option {
	return func(c *Control) { c.metrics.register(r, c) }
}

// WithMembers sets the list of control instances that operators see and change.
func WithMembers(m Members) Option { return func(c *Control) { c.members = m } }

// New starts an instance. machine must be the state machine of the log, and cfg must be
// valid.
func New(cfg *settings.Control, machine *roster.Machine, log mangokeel.Log, remote mangokeel.Remote, timers mangokeel.Timers, opts ...Option) *Control {
	ctx, cancel := context.WithCancel(context.Background())
	c := &Control{
		cfg:         cfg,
		machine:     machine,
		log:         log,
		remote:      remote,
		timers:      timers,
		logger:      kitlog.NewNopLogger(),
		metrics:     newMetrics(),
		contacts:    newContactBuffer(),
		leases:      newLeases(),
		joinLimiter: newJoinRateLimiter(joinInterval),
		ctx:         ctx,
		cancel:      cancel,
	}
	for _, o := range opts {
		o(c)
	}
	c.queue = newQueue(c)
	c.subs = []mangokeel.Subscription{
		timers.Every(reportPeriod, c.skipWhileRunning(c.report)),
		timers.Every(sweepPeriod, c.skipWhileRunning(c.sweep)),
	}
	return c
}

// Close cancels all calls and waits for background work.
func (c *Control) Close() {
	for _, s := range c.subs {
		s.Cancel()
	}
	c.cancel()
	c.work.Wait()
}

// skipWhileRunning returns a function that runs fn in a goroutine unless the previous
// run has not returned yet.
func (c *Control) skipWhileRunning(fn func(now time.Time)) func(time.Time) {
	slot := make(chan struct{}, 1)
	return func(now time.Time) {
		select {
		case slot <- struct{}{}:
		default:
			return
		}
		c.work.Add(1)
		go func() {
			defer c.work.Done()
			fn(now)
			<-slot
		}()
	}
}

// Methods returns the RPC methods of the instance, without those of the log.
func (c *Control) Methods() jsonrpc.Methods {
	return jsonrpc.Methods{
		"join":    method(c, "join", c.join),
		"sync":    method(c, "sync", c.sync),
		"leave":   method(c, "leave", c.leave),
		"forward": method(c, "forward", c.forward),
		"get":     method(c, "get", c.get),
		"set":     method(c, "set", c.set),
		"diff":    method(c, "diff", c.diff),
		"history": method(c, "history", c.history),
		"watch":   method(c, "watch", c.watch),
		"status":  method(c, "status", c.status),
		"wait":    method(c, "wait", c.wait),
		"key":     method(c, "key", c.key),
		"replace": method(c, "replace", c.replace),
		"dump":    method(c, "dump", c.dumpCall),
	}
}

// method counts the calls of a typed handler and cancels them when the instance closes.
func method[Q any, P jsonrpc.Request[Q], R proto.Message](c *Control, name string, fn func(context.Context, P) (R, error)) jsonrpc.Method {
	return jsonrpc.NewMethod(func(ctx context.Context, req P) (R, error) {
		c.metrics.calls.WithLabelValues(name).Inc()
		ctx, cancel := context.WithCancel(ctx)
		defer cancel()
		defer context.AfterFunc(c.ctx, cancel)()
		return fn(ctx, req)
	})
}

// isCurrent reports whether a majority has confirmed this instance's state within maxAge.
func (c *Control) isCurrent() bool { return c.log.Status().Age <= maxAge }

// awaitRevision waits until the instance has applied a revision.
func (c *Control) awaitRevision(ctx context.Context, r mangokeel.Revision) error {
	for {
		changed := c.machine.Changed()
		if c.machine.Revision() >= r {
			return nil
		}
		select {
		case <-changed:
		case <-ctx.Done():
			return ctx.Err()
		}
	}
}

// sleep waits for d and returns false if ctx ends first.
func (c *Control) sleep(ctx context.Context, d time.Duration) bool {
	due := make(chan struct{})
	s := c.timers.After(d, func(time.Time) { close(due) })
	defer s.Cancel()
	select {
	case <-due:
		return true
	case <-ctx.Done():
		return false
	}
}

// agentRole is the role of targets in tables keyed by role.
const agentRole = wire.Role_ROLE_AGENT
