// Package replica implements a replicated log for a small group of instances.
//
// A command is accepted once a majority has it on disk. Every instance applies
// the accepted commands in the same order to its own Machine:
//
//	n, err := replica.New(cfg, machine, disk, remote, timers)
//	srv, err := jsonrpc.Listen(cfg.Address, n.Methods())
//	result, revision, err := n.Propose(ctx, command)
//
// The revision of a command is its index in the log. Entries that carry no command
// use up an index too, so revisions are not consecutive.
//
// Each data folder has its own identity. The initial instances, the seeds, find each
// other by address and choose the first entry of the log by a vote in which a majority
// suffices. An instance that later starts with an empty folder gets a new identity and waits until it is
// added by Replace or Admit on the leader.
//
// The package has three layers. The core makes all decisions: it does no I/O, takes
// the time and messages, and returns messages to send and records to store. The
// engine connects the core to the files of a Disk and to a Machine. The Node runs
// an engine in one goroutine and exchanges messages over a Remote.
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
	// tickInterval is a fraction of the heartbeat interval so that two instances
	// rarely start an election at the same tick.
	tickInterval = heartbeatInterval / 5
	callTimeout  = time.Second
	// maxCallsInFlight limits the calls in flight to one member. With a heartbeat every
	// 100 ms and a timeout of 1 s, an unresponsive member accounts for about 10.
	maxCallsInFlight = 16
	// maxEventBatch limits the events handled between two disk syncs, and the length
	// of the event queue.
	maxEventBatch = 1 << 10
)

// Errors returned by a Node.
var (
	// ErrClosed is returned when the instance was closed or has failed.
	ErrClosed = errors.New("replica is closed")
	// ErrBusy is returned when too many entries are not yet replicated to a
	// majority. The command was not appended.
	ErrBusy = errors.New("too many uncommitted entries")
	// ErrDeposed is returned when the instance lost leadership before the outcome
	// of a proposal was known. The command may still be committed.
	ErrDeposed = errors.New("leadership lost, outcome of the proposal unknown")
)

// Node is a running instance of the replicated log. It implements mangokeel.Log.
type Node struct {
	remote mangokeel.Remote
	timers mangokeel.Timers
	opts   options
	events chan func(now time.Time)
	ctx    context.Context
	cancel context.CancelFunc
	tick   mangokeel.Subscription
	// done is closed when the event loop has ended.
	done chan struct{}

	// The fields up to mu belong to the event loop.
	engine         *engine
	queued         []*proposal
	pending        map[uint64]*proposal
	pendingReplies map[uint64]chan message
	lastCallID     uint64
	inFlight       map[netip.AddrPort]*atomic.Int32
	// backgroundWork tracks background snapshot writes.
	backgroundWork sync.WaitGroup

	mu sync.Mutex
	// published is the state as of the end of the last batch of events.
	published view
	err       error
}

var _ mangokeel.Log = (*Node)(nil)

// view is the state that the event loop publishes to other goroutines.
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
	// changing is set while a membership change is in progress.
	changing bool
	// lastContact maps each other member to the time at which the leader last heard
	// from it, or began to send to it if that is later. It is nil on non-leaders.
	lastContact map[string]time.Time
}

// proposal is a command or membership change whose caller waits for the outcome.
type proposal struct {
	command []byte
	term    uint64
	out     chan proposalResult
}

type proposalResult struct {
	result   []byte
	revision mangokeel.Revision
	err      error
}

// New opens the data folder and starts the instance. The error matches ErrCorrupt
// if the folder's content is damaged; the instance must then be replaced. Close
// also closes the disk if it is an io.Closer.
func New(cfg Config, m mangokeel.Machine, d mangokeel.Disk, r mangokeel.Remote, t mangokeel.Timers, opts ...Option) (*Node, error) {
	n := &Node{
		remote:         r,
		timers:         t,
		opts:           buildOptions(opts),
		events:         make(chan func(time.Time), maxEventBatch),
		done:           make(chan struct{}),
		pending:        map[uint64]*proposal{},
		pendingReplies: map[uint64]chan message{},
		inFlight:       map[netip.AddrPort]*atomic.Int32{},
	}
	n.engine = &engine{machine: m, clock: t, send: n.send, onApplied: n.resolve, background: n.background, opts: n.opts}
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
		default: // the queue is full; a later tick advances the core
		}
	})
	go func() {
		defer close(n.done)
		n.run()
	}()
	return n, nil
}

// run is the event loop. It returns after Close or a failure of the disk or the
// machine.
func (n *Node) run() {
	for {
		select {
		case <-n.ctx.Done():
			n.shutdown(ErrClosed)
			return
		case fn := <-n.events:
			n.handle(fn)
		}
		if err := n.engine.flush(); err != nil {
			n.shutdown(err)
			return
		}
		n.publish()
	}
}

// handle runs fn and the events queued behind it, so that they share one disk sync.
func (n *Node) handle(fn func(time.Time)) {
	fn(n.timers.Now())
	for range maxEventBatch {
		select {
		case fn := <-n.events:
			fn(n.timers.Now())
		default:
			n.proposeQueued()
			return
		}
	}
	n.proposeQueued()
}

// proposeQueued passes all queued proposals to the core as one batch.
func (n *Node) proposeQueued() {
	list := n.queued
	n.queued = nil
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
		n.track(w, first+uint64(i), err)
	}
}

// track registers w for the entry at index i, or fails it if err is not nil.
func (n *Node) track(w *proposal, i uint64, err error) {
	if err != nil {
		w.out <- proposalResult{err: err}
		return
	}
	w.term = n.engine.core.term()
	n.pending[i] = w
}

// resolve delivers the result of an applied entry to its proposer. If the index
// holds an entry of another term, the proposal was overwritten by another leader.
func (n *Node) resolve(e *wire.Entry, result []byte) {
	w := n.pending[e.GetIndex()]
	if w == nil {
		return
	}
	delete(n.pending, e.GetIndex())
	if w.term != e.GetTerm() {
		w.out <- proposalResult{err: ErrDeposed}
		return
	}
	w.out <- proposalResult{result: result, revision: mangokeel.Revision(e.GetIndex())}
}

// publish makes the state visible to other goroutines and fails the proposals of
// a lost leadership.
func (n *Node) publish() {
	e, c := n.engine, n.engine.core
	v := view{membership: c.membership, counts: c.counts, cut: c.meta.GetCut(), role: c.role}
	v.status, v.now, v.confirmed = e.status()
	v.last, v.snapshot = c.log.last(), c.snapshot.GetIndex()
	v.changing = c.changing()
	v.lastContact = c.lastContacts()
	n.mu.Lock()
	old := n.published
	n.published = v
	n.mu.Unlock()
	if v.status.Applied < old.status.Applied {
		panicInvariant("applied index decreased from %d to %d", old.status.Applied, v.status.Applied)
	}
	if !v.status.Leading || v.status.Term != old.status.Term {
		n.failPending(ErrDeposed)
	}
	n.logChange(old, v)
}

// failPending fails the pending proposals with err. With ErrDeposed it keeps those
// of the current term while the instance is the leader.
func (n *Node) failPending(err error) {
	c := n.engine.core
	for i, w := range n.pending {
		if c.role == leader && w.term == c.term() && errors.Is(err, ErrDeposed) {
			continue
		}
		delete(n.pending, i)
		w.out <- proposalResult{err: err}
	}
}

func (n *Node) logChange(old, v view) {
	if old.role != v.role || old.status.Leader != v.status.Leader {
		_ = level.Info(n.opts.logger).Log("msg", "role or leader changed", "role", v.role, "term", v.status.Term, "leader", v.status.Leader)
	}
	if old.membership != v.membership {
		_ = level.Info(n.opts.logger).Log("msg", "membership changed", "members", len(v.membership.GetMembers()), "joint", v.membership.GetJoint())
	}
	if old.cut != v.cut {
		_ = level.Warn(n.opts.logger).Log("msg", "log tail state changed", "cut", v.cut)
	}
}

// shutdown stops the instance and fails all pending proposals.
func (n *Node) shutdown(err error) {
	n.cancel()
	n.tick.Cancel()
	if !errors.Is(err, ErrClosed) {
		_ = level.Error(n.opts.logger).Log("msg", "replica stopped after a failure", "err", err)
	}
	n.mu.Lock()
	n.err = err
	n.published.status.Leading = false
	n.mu.Unlock()
	for _, w := range n.queued {
		w.out <- proposalResult{err: ErrClosed}
	}
	n.failPending(ErrClosed)
	n.backgroundWork.Wait()
	if err := n.engine.storage.close(); err != nil {
		_ = level.Warn(n.opts.logger).Log("msg", "failed to close the log", "err", err)
	}
}

// Close stops the instance. Pending proposals return ErrClosed.
func (n *Node) Close() {
	n.cancel()
	<-n.done
}

// Done returns a channel that is closed once the instance has stopped, after Close
// or a failure.
func (n *Node) Done() <-chan struct{} { return n.done }

// Err returns the reason why the instance stopped, or nil while it runs.
func (n *Node) Err() error {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.err
}

// background runs work in a goroutine and then done on the event loop.
func (n *Node) background(work func() error, done func(error)) {
	n.backgroundWork.Go(func() {
		err := work()
		_ = n.enqueue(n.ctx, func(time.Time) { done(err) })
	})
}

// enqueue queues fn for the event loop.
func (n *Node) enqueue(ctx context.Context, fn func(now time.Time)) error {
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
	w := &proposal{command: command, out: make(chan proposalResult, 1)}
	o := n.submit(ctx, w, func(time.Time) { n.queued = append(n.queued, w) })
	return o.result, o.revision, o.err
}

// submit enqueues fn and waits for the outcome of w.
func (n *Node) submit(ctx context.Context, w *proposal, fn func(now time.Time)) proposalResult {
	if err := n.enqueue(ctx, fn); err != nil {
		return proposalResult{err: err}
	}
	select {
	case o := <-w.out:
		return o
	case <-ctx.Done():
		return proposalResult{err: ctx.Err()}
	case <-n.done:
	}
	select {
	case o := <-w.out:
		return o
	default:
		return proposalResult{err: ErrClosed}
	}
}

// Status implements mangokeel.Log.
func (n *Node) Status() mangokeel.LogStatus {
	n.mu.Lock()
	v := n.published
	n.mu.Unlock()
	now := n.timers.Now()
	v.status.Age = age(now, v.now, v.confirmed)
	// The loop publishes at least once per tick. If it was stalled for maxElectionTimeout,
	// by a process pause or a slow disk, the other members may have elected another
	// leader.
	v.status.Leading = v.status.Leading && now.Sub(v.now) < maxElectionTimeout
	return v.status
}

// Methods returns the RPC methods that other instances call.
func (n *Node) Methods() jsonrpc.Methods {
	return jsonrpc.Methods{
		"vote":     {New: func() proto.Message { return &wire.VoteRequest{} }, Handle: n.serve},
		"append":   {New: func() proto.Message { return &wire.AppendRequest{} }, Handle: n.serve},
		"snapshot": {New: func() proto.Message { return &wire.SnapshotRequest{} }, Handle: n.serve},
	}
}

// serve handles a call from another instance and waits for the core's reply.
func (n *Node) serve(ctx context.Context, req proto.Message) (proto.Message, error) {
	out := make(chan message, 1)
	err := n.enqueue(ctx, func(now time.Time) {
		n.lastCallID++
		n.pendingReplies[n.lastCallID] = out
		n.engine.core.step(now, n.lastCallID, req)
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

// send delivers a reply to its waiting call, or starts a call to another instance.
// It drops the message if too many calls to that instance are in flight.
func (n *Node) send(m message) {
	if m.call != 0 {
		n.pendingReplies[m.call] <- m
		delete(n.pendingReplies, m.call)
		return
	}
	count := n.inFlight[m.to]
	if count == nil {
		count = &atomic.Int32{}
		n.inFlight[m.to] = count
	}
	if count.Load() >= maxCallsInFlight {
		return
	}
	count.Add(1)
	go func() {
		defer count.Add(-1)
		n.call(m)
	}()
}

// call sends a request and passes the reply to the core. It ignores failures
// because the core retransmits.
func (n *Node) call(m message) {
	ctx, cancel := context.WithTimeout(n.ctx, callTimeout)
	defer cancel()
	method, resp := methodOf(m.body)
	if err := jsonrpc.CallOrDrop(ctx, n.remote, m.to, method, m.body, resp); err == nil {
		_ = n.enqueue(n.ctx, func(now time.Time) { n.engine.core.step(now, 0, resp) })
	}
}

// methodOf returns the RPC method of a request and an empty reply to decode into.
func methodOf(req proto.Message) (string, proto.Message) {
	switch req.(type) {
	case *wire.VoteRequest:
		return "vote", &wire.VoteReply{}
	case *wire.AppendRequest:
		return "append", &wire.AppendReply{}
	case *wire.SnapshotRequest:
		return "snapshot", &wire.SnapshotReply{}
	}
	panicInvariant("no RPC method for message type %T", req)
	return "", nil
}
