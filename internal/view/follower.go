package view

import (
	"context"
	"crypto/rand"
	mathrand "math/rand/v2"
	"net/netip"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"

	"mangokeel"
	"mangokeel/internal/wire"
)

// Timing of polls.
const (
	// pollHoldTime is how long control may hold a poll open. Each poll renews the lease.
	pollHoldTime = time.Second
	// callTimeout bounds a call, so that a frozen instance is abandoned.
	callTimeout = 2 * time.Second
	// retryInterval is the wait after a failed attempt.
	retryInterval = 100 * time.Millisecond
	// MaxAge is the maximum age of a majority's confirmation that a node accepts.
	MaxAge = 2 * time.Second
)

// Report is sent to control with each poll.
type Report struct {
	Load    *wire.Load
	Release *wire.Release
	// Ready is the epoch of the joint claim home for which the agent is ready as
	// a member of the next home, or 0.
	Ready uint64
}

// Follower keeps a View current by polling control. It joins the roster, renews the lease
// with each long poll, and switches to the next instance if one fails or its state has not
// been confirmed by a majority recently.
type Follower struct {
	view     *View
	remote   mangokeel.Remote
	join     *wire.JoinRequest
	control  []netip.AddrPort
	report   func() Report
	onChange func(*State)
	onJoin   func(id uint32)
	// onConfirm receives the time at which each successful poll was sent.
	onConfirm func(at time.Time)

	// id is 0 until the node has joined.
	id atomic.Uint32
	// joinRevision is the revision of the join.
	joinRevision uint64
	polls        atomic.Uint64
	switches     atomic.Uint64
	controlIndex int
	cancel       context.CancelFunc
	done         chan struct{}
	current      atomic.Pointer[netip.AddrPort]
}

// FollowerOption configures a Follower.
type FollowerOption func(*Follower)

// WithReport sets the function that provides the report of each poll.
func WithReport(fn func() Report) FollowerOption {
	return func(f *Follower) { f.report = fn }
}

// WithChanged sets a function that is called after each applied update, always from the same
// goroutine.
func WithChanged(fn func(*State)) FollowerOption {
	return func(f *Follower) { f.onChange = fn }
}

// WithJoined sets a function that is called with each ID that the node is assigned. A node
// whose lease has expired joins again under a new ID.
func WithJoined(fn func(id uint32)) FollowerOption {
	return func(f *Follower) { f.onJoin = fn }
}

// WithConfirmed sets a function that is called after each successful poll, always from the
// same goroutine. at is the time at which the poll was sent: the view includes everything that
// a majority had accepted MaxAge before it.
func WithConfirmed(fn func(at time.Time)) FollowerOption {
	return func(f *Follower) { f.onConfirm = fn }
}

// NewFollower starts polling control for v. It sets the incarnation of join. Close stops it.
func NewFollower(v *View, remote mangokeel.Remote, control []netip.AddrPort, join *wire.JoinRequest, opts ...FollowerOption) *Follower {
	ctx, cancel := context.WithCancel(context.Background())
	f := &Follower{
		view:     v,
		remote:   remote,
		join:     join,
		control:  control,
		report:   func() Report { return Report{} },
		onChange: func(*State) {},
		onJoin:   func(uint32) {},

		onConfirm: func(time.Time) {},

		cancel: cancel,
		// Nodes start with random instances, so that each instance serves its share.
		controlIndex: mathrand.IntN(len(control)),
		done:         make(chan struct{}),
	}
	for _, o := range opts {
		o(f)
	}
	f.newIncarnation()
	go func() {
		defer close(f.done)
		f.run(ctx)
	}()
	return f
}

// ID returns the handle or balancer ID, or 0 if the node has not joined.
func (f *Follower) ID() uint32 { return f.id.Load() }

// Control returns the instance that the node currently polls.
func (f *Follower) Control() netip.AddrPort {
	if a := f.current.Load(); a != nil {
		return *a
	}
	return netip.AddrPort{}
}

// Counts returns the numbers of polls and of switches to another instance.
func (f *Follower) Counts() (polls, moves uint64) { return f.polls.Load(), f.switches.Load() }

// Close stops polling. The node stays in the roster until Leave or until its lease expires.
func (f *Follower) Close() {
	f.cancel()
	<-f.done
}

// Leave announces that the node leaves (gone false) or has left (gone true).
func (f *Follower) Leave(ctx context.Context, gone bool) error {
	if f.ID() == 0 {
		return nil
	}
	req := &wire.LeaveRequest{Role: f.join.GetRole(), Id: f.ID(), Incarnation: f.join.GetIncarnation(), Gone: gone}
	var last error
	for _, a := range f.control {
		var resp wire.LeaveReply
		cctx, cancel := context.WithTimeout(ctx, callTimeout)
		last = f.remote.Call(cctx, a, "leave", req, &resp)
		cancel()
		if last == nil && resp.GetCode() == wire.Code_CODE_ACCEPTED {
			return nil
		}
	}
	if last == nil {
		last = errors.New("no control instance accepted the departure")
	}
	return last
}

// newIncarnation assigns the node a new incarnation.
func (f *Follower) newIncarnation() {
	f.join.Incarnation = make([]byte, 16)
	// Read of crypto/rand never fails.
	_, _ = rand.Read(f.join.Incarnation)
}

func (f *Follower) run(ctx context.Context) {
	for ctx.Err() == nil {
		if f.joinOrPoll(ctx) {
			continue
		}
		f.controlIndex = (f.controlIndex + 1) % len(f.control)
		f.switches.Add(1)
		select {
		case <-ctx.Done():
		case <-time.After(retryInterval):
		}
	}
}

// joinOrPoll joins or polls once. It returns false if the next attempt should use another
// instance.
func (f *Follower) joinOrPoll(ctx context.Context) bool {
	addr := f.control[f.controlIndex]
	f.current.Store(&addr)
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	if f.ID() == 0 {
		return f.joinRoster(ctx, addr)
	}
	return f.poll(ctx, addr)
}

func (f *Follower) joinRoster(ctx context.Context, addr netip.AddrPort) bool {
	var resp wire.JoinReply
	if err := f.remote.Call(ctx, addr, "join", f.join, &resp); err != nil {
		return false
	}
	if resp.GetCode() != wire.Code_CODE_ACCEPTED {
		return false
	}
	f.joinRevision = resp.GetRevision()
	f.id.Store(resp.GetId())
	f.onJoin(resp.GetId())
	return true
}

func (f *Follower) poll(ctx context.Context, addr netip.AddrPort) bool {
	r := f.report()
	req := &wire.SyncRequest{
		Role:        f.join.GetRole(),
		Id:          f.ID(),
		Incarnation: f.join.GetIncarnation(),
		Revision:    uint64(f.view.State().Revision),
		Load:        r.Load,
		Release:     r.Release,
		WaitMs:      uint32(pollHoldTime.Milliseconds()),
		Joined:      f.joinRevision,
		Ready:       r.Ready,
	}
	var resp wire.SyncReply
	at := time.Now()
	f.polls.Add(1)
	if err := f.remote.Call(ctx, addr, "sync", req, &resp); err != nil {
		return false
	}
	switch {
	case resp.GetCode() == wire.Code_CODE_UNKNOWN:
		f.id.Store(0)
		f.newIncarnation()
		return true
	case resp.GetCode() != wire.Code_CODE_ACCEPTED:
		return false
	case time.Duration(resp.GetAgeMs())*time.Millisecond > MaxAge:
		return false
	}
	if !f.apply(&resp) {
		return false
	}
	f.onConfirm(at)
	return true
}

// apply applies the reply's update to the view. It returns false if the update is unusable.
func (f *Follower) apply(resp *wire.SyncReply) bool {
	u, err := wire.UnpackUpdate(resp)
	if err != nil {
		return false
	}
	if u == nil {
		return true
	}
	switch f.view.Apply(u) {
	case Applied:
		f.onChange(f.view.State())
	case Older:
		return false
	case Unchanged:
	}
	return true
}
