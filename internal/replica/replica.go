// Package replica is a replicated log among a few instances.
//
// A command is accepted once a majority has it on disk. Every instance applies
// the accepted commands in the same order to its own Machine:
//
//	n, err := replica.New(cfg, machine, disk, remote, timers)
//	srv, err := jsonrpc.Listen(cfg.Address, n.Methods())
//	result, revision, err := n.Propose(ctx, command)
//
// The revision of a command is its index in the log. Indices of entries that
// carry no command are skipped.
//
// Each data folder has an identity of its own. The instances of the first start
// find each other by address and create the log together once all of them are
// there. An instance that comes up with an empty folder later gets a new identity
// and waits until Replace or Admit at the leader names it.
//
// The package has three layers. The core decides: it is a value without I/O that
// takes the time and messages and returns messages and records. The engine joins
// it with the files of a Disk and with a Machine. The Node runs an engine in one
// goroutine and carries the messages over a Remote.
package replica

import (
	"context"
	"net/netip"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/go-kit/log/level"
	"google.golang.org/protobuf/proto"

	"mangokeel"
	"mangokeel/internal/jsonrpc"
	"mangokeel/internal/wire"
)

const (
	// tickInterval is short so that candidates rarely stand at the same tick.
	tickInterval = heartbeatInterval / 5
	callTimeout  = time.Second
	// callLimit bounds the calls under way to one member. With a heartbeat each
	// 100 ms and a timeout of 1 s, a silent member holds about 10.
	callLimit = 16
	// eventLimit bounds the events handled with one sync.
	eventLimit = 1 << 10
)

// Errors of a Node.
var (
	// ErrClosed means that the instance was closed or has failed.
	ErrClosed = errors.New("replica is closed")
	// ErrBusy means that too many entries wait for a majority. The command was not
	// appended.
	ErrBusy = errors.New("too many entries await a majority")
	// ErrDeposed means that the instance stopped leading before the outcome of a
	// proposal was known.
	ErrDeposed = errors.New("leadership ended, outcome unknown")
)

// Node is one running instance. It implements mangokeel.Log.
type Node struct {
	remote mangokeel.Remote
	timers mangokeel.Timers
	opts   options
	events chan func(now time.Time)
	ctx    context.Context
	cancel context.CancelFunc
	tick   mangokeel.Subscription
	// done is closed when the loop has ended.
	done chan struct{}

	// The following are used by the loop only.
	engine    *engine
	proposals []*waiter
	waiters   map[uint64]*waiter
	calls     map[uint64]chan message
	lastCall  uint64
	underWay  map[netip.AddrPort]*atomic.Int32
	// work has the writers of snapshots.
	work sync.WaitGroup

	mu sync.Mutex
	// seen is the state after the last event.
	seen view
	err  error
}

var _ mangokeel.Log = (*Node)(nil)

// view is what the loop publishes.
type view struct {
	status     mangokeel.LogStatus
	now        time.Time
	confirmed  time.Time
	membership *wire.Membership
	counts     counts
	cut        bool
	role       role
	last       uint64
	snapshot   uint64
	// acked is when the leader last heard of each other member.
	acked map[string]time.Time
}

// waiter is a proposal whose outcome is awaited.
type waiter struct {
	command []byte
	// start is set for membership changes. It returns the index of the entry.
	start func(now time.Time) (uint64, error)
	term  uint64
	out   chan outcome
}

type outcome struct {
	result []byte
	r      mangokeel.Revision
	err    error
}

// New opens the data folder and starts the instance. The error is marked
// ErrCorrupt when the folder's content cannot be trusted; the instance must then
// be replaced. Close also closes the disk if it is an io.Closer.
func New(cfg Config, m mangokeel.Machine, d mangokeel.Disk, r mangokeel.Remote, t mangokeel.Timers, opts ...Option) (*Node, error) {
	n := &Node{
		remote:   r,
		timers:   t,
		opts:     optionsOf(opts),
		events:   make(chan func(time.Time), eventLimit),
		done:     make(chan struct{}),
		waiters:  map[uint64]*waiter{},
		calls:    map[uint64]chan message{},
		underWay: map[netip.AddrPort]*atomic.Int32{},
	}
	n.engine = &engine{machine: m, clock: t, send: n.send, done: n.resolve, background: n.background, opts: n.opts}
	if err := n.engine.open(d, cfg); err != nil {
		return nil, err
	}
	if err := n.register(cfg.Name); err != nil {
		return nil, err
	}
	n.ctx, n.cancel = context.WithCancel(context.Background())
	n.publish()
	n.tick = t.Every(tickInterval, func(time.Time) {
		select {
		case n.events <- func(now time.Time) { n.engine.core.tick(now) }:
		default: // the loop is busy and ticks when it gets there
		}
	})
	go func() {
		defer close(n.done)
		n.run()
	}()
	return n, nil
}

// run handles events until Close or a failure of disk or machine.
func (n *Node) run() {
	for {
		select {
		case <-n.ctx.Done():
			n.end(ErrClosed)
			return
		case fn := <-n.events:
			n.handle(fn)
		}
		if err := n.engine.flush(); err != nil {
			n.end(err)
			return
		}
		n.publish()
	}
}

// handle runs fn and the events that wait behind it, so that they share a sync.
func (n *Node) handle(fn func(time.Time)) {
	fn(n.timers.Now())
	for range eventLimit {
		select {
		case fn := <-n.events:
			fn(n.timers.Now())
		default:
			n.propose()
			return
		}
	}
	n.propose()
}

// propose hands all waiting proposals to the core in one step.
func (n *Node) propose() {
	list := n.proposals
	n.proposals = nil
	if len(list) == 0 {
		return
	}
	commands := make([][]byte, len(list))
	for i, w := range list {
		commands[i] = w.command
	}
	c := n.engine.core
	first, err := c.propose(n.timers.Now(), commands)
	for i, w := range list {
		n.await(w, first+uint64(i), err)
	}
}

func (n *Node) await(w *waiter, i uint64, err error) {
	if err != nil {
		w.out <- outcome{err: err}
		return
	}
	w.term = n.engine.core.term()
	n.waiters[i] = w
}

// resolve gives the result of an applied entry to whoever awaits it.
func (n *Node) resolve(e *wire.Entry, result []byte) {
	w := n.waiters[e.GetIndex()]
	if w == nil {
		return
	}
	delete(n.waiters, e.GetIndex())
	if w.term != e.GetTerm() {
		w.out <- outcome{err: ErrDeposed}
		return
	}
	w.out <- outcome{result: result, r: mangokeel.Revision(e.GetIndex())}
}

// publish makes the state visible and fails what waits for a lost leadership.
func (n *Node) publish() {
	e, c := n.engine, n.engine.core
	v := view{membership: c.membership, counts: c.counts, cut: c.meta.GetCut(), role: c.role}
	v.status, v.now, v.confirmed = e.status()
	v.last, v.snapshot = c.log.last(), c.snapshot.GetIndex()
	v.acked = c.lastContacts()
	n.mu.Lock()
	old := n.seen
	n.seen = v
	n.mu.Unlock()
	if v.status.Applied < old.status.Applied {
		panicInvariant("applied falls from %d to %d", old.status.Applied, v.status.Applied)
	}
	if !v.status.Leading || v.status.Term != old.status.Term {
		n.abandon(ErrDeposed)
	}
	n.logChange(old, v)
}

// abandon fails the proposals of terms in which the instance no longer leads.
func (n *Node) abandon(err error) {
	c := n.engine.core
	for i, w := range n.waiters {
		if c.role == leader && w.term == c.term() && errors.Is(err, ErrDeposed) {
			continue
		}
		delete(n.waiters, i)
		w.out <- outcome{err: err}
	}
}

func (n *Node) logChange(old, v view) {
	if old.role != v.role || old.status.Leader != v.status.Leader {
		_ = level.Info(n.opts.logger).Log("msg", "role changed", "role", v.role, "term", v.status.Term, "leader", v.status.Leader)
	}
	if old.membership != v.membership {
		_ = level.Info(n.opts.logger).Log("msg", "membership changed", "members", len(v.membership.GetMembers()), "joint", v.membership.GetJoint())
	}
	if old.cut != v.cut {
		_ = level.Warn(n.opts.logger).Log("msg", "log tail", "cut", v.cut)
	}
}

// end stops the instance for good.
func (n *Node) end(err error) {
	n.cancel()
	n.tick.Cancel()
	if !errors.Is(err, ErrClosed) {
		_ = level.Error(n.opts.logger).Log("msg", "replica failed", "err", err)
	}
	n.mu.Lock()
	n.err = err
	n.seen.status.Leading = false
	n.mu.Unlock()
	for _, w := range n.proposals {
		w.out <- outcome{err: ErrClosed}
	}
	n.abandon(ErrClosed)
	n.work.Wait()
	if err := n.engine.storage.close(); err != nil {
		_ = level.Warn(n.opts.logger).Log("msg", "closing the log failed", "err", err)
	}
}

// Close stops the instance. Proposals under way get ErrClosed.
func (n *Node) Close() {
	n.cancel()
	<-n.done
}

// Done is closed once the instance has stopped, by Close or by a failure.
func (n *Node) Done() <-chan struct{} { return n.done }

// Err says why the instance stopped. It is nil while the instance runs.
func (n *Node) Err() error {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.err
}

func (n *Node) background(work func() error, done func(error)) {
	n.work.Go(func() {
		err := work()
		_ = n.post(n.ctx, func(time.Time) { done(err) })
	})
}

func (n *Node) post(ctx context.Context, fn func(now time.Time)) error {
	select {
	case n.events <- fn:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	case <-n.ctx.Done():
		return ErrClosed
	}
}

// Propose implements mangokeel.Log.
func (n *Node) Propose(ctx context.Context, command []byte) ([]byte, mangokeel.Revision, error) {
	w := &waiter{command: command, out: make(chan outcome, 1)}
	o := n.wait(ctx, w, func(time.Time) { n.proposals = append(n.proposals, w) })
	return o.result, o.r, o.err
}

// wait posts fn and waits for w's outcome.
func (n *Node) wait(ctx context.Context, w *waiter, fn func(now time.Time)) outcome {
	if err := n.post(ctx, fn); err != nil {
		return outcome{err: err}
	}
	select {
	case o := <-w.out:
		return o
	case <-ctx.Done():
		return outcome{err: ctx.Err()}
	case <-n.done:
	}
	select {
	case o := <-w.out:
		return o
	default:
		return outcome{err: ErrClosed}
	}
}

// Status implements mangokeel.Log.
func (n *Node) Status() mangokeel.LogStatus {
	n.mu.Lock()
	v := n.seen
	n.mu.Unlock()
	now := n.timers.Now()
	v.status.Age = age(now, v.now, v.confirmed)
	// The loop publishes with each tick. When it was held up for so long, by a
	// freeze or a slow disk, the others have elected another leader.
	v.status.Leading = v.status.Leading && now.Sub(v.now) < maxElectionTimeout
	return v.status
}

// Methods returns the calls that other instances make.
func (n *Node) Methods() jsonrpc.Methods {
	return jsonrpc.Methods{
		"vote":     {New: func() proto.Message { return &wire.VoteRequest{} }, Handle: n.serve},
		"append":   {New: func() proto.Message { return &wire.AppendRequest{} }, Handle: n.serve},
		"snapshot": {New: func() proto.Message { return &wire.SnapshotRequest{} }, Handle: n.serve},
	}
}

// serve answers one call of another instance.
func (n *Node) serve(ctx context.Context, req proto.Message) (proto.Message, error) {
	out := make(chan message, 1)
	err := n.post(ctx, func(now time.Time) {
		n.lastCall++
		n.calls[n.lastCall] = out
		n.engine.core.step(now, n.lastCall, req)
	})
	if err != nil {
		return nil, err
	}
	select {
	case m := <-out:
		return m.body, m.err
	case <-ctx.Done():
		return nil, ctx.Err()
	case <-n.done:
		return nil, ErrClosed
	}
}

// send carries a message of the core.
func (n *Node) send(m message) {
	if m.call != 0 {
		n.calls[m.call] <- m
		delete(n.calls, m.call)
		return
	}
	count := n.underWay[m.to]
	if count == nil {
		count = &atomic.Int32{}
		n.underWay[m.to] = count
	}
	if count.Load() >= callLimit {
		return
	}
	count.Add(1)
	go func() {
		defer count.Add(-1)
		n.call(m)
	}()
}

// call sends a request and hands the reply to the core. Failed calls need no
// handling: the core sends again in time.
func (n *Node) call(m message) {
	ctx, cancel := context.WithTimeout(n.ctx, callTimeout)
	defer cancel()
	method, resp := methodOf(m.body)
	if err := jsonrpc.CallOrDrop(ctx, n.remote, m.to, method, m.body, resp); err == nil {
		_ = n.post(n.ctx, func(now time.Time) { n.engine.core.step(now, 0, resp) })
	}
}

func methodOf(req proto.Message) (string, proto.Message) {
	switch req.(type) {
	case *wire.VoteRequest:
		return "vote", &wire.VoteReply{}
	case *wire.AppendRequest:
		return "append", &wire.AppendReply{}
	case *wire.SnapshotRequest:
		return "snapshot", &wire.SnapshotReply{}
	}
	panicInvariant("no method for %T", req)
	return "", nil
}
