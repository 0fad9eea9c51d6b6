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

// Timing of the exchange with control.
const (
	// pollWait bounds one long poll, and so the age of the lease.
	pollWait = time.Second
	// callTimeout bounds a call; a frozen instance is left after it.
	callTimeout = 2 * time.Second
	// retryPause separates tries after a failed one.
	retryPause = 100 * time.Millisecond
	// MaxAge is the oldest confirmation by a majority that a node accepts.
	MaxAge = 2 * time.Second
)

// Report is what a node tells control with each poll.
type Report struct {
	Load    *wire.Load
	Release *wire.Release
	// Ready is the epoch of the joint claim home for which the agent is ready as
	// a member of the next home, or 0.
	Ready uint64
}

// Follower keeps a View up to date from a list of control instances. It joins
// the roster, renews the lease with each long poll, and moves to the next
// instance when one fails or serves state that no majority confirmed recently.
type Follower struct {
	view    *View
	remote  mangokeel.Remote
	join    *wire.JoinRequest
	control []netip.AddrPort
	report  func() Report
	changed func(*State)
	joined  func(id uint32)
	// confirmed is told the time before each poll that was answered.
	confirmed func(at time.Time)

	// id is 0 until the node has joined.
	id atomic.Uint32
	// entered is the revision of the join.
	entered uint64
	polls   atomic.Uint64
	moves   atomic.Uint64
	at      int
	cancel  context.CancelFunc
	done    chan struct{}
	current atomic.Pointer[netip.AddrPort]
}

// FollowerOption changes a Follower.
type FollowerOption func(*Follower)

// WithReport sets the function that is asked for a report before each poll.
func WithReport(fn func() Report) FollowerOption {
	return func(f *Follower) { f.report = fn }
}

// WithChanged sets a function that is called after each applied update, from one
// goroutine.
func WithChanged(fn func(*State)) FollowerOption {
	return func(f *Follower) { f.changed = fn }
}

// WithJoined sets a function that is called with each id the node gets. A node
// whose lease ended joins again under a new id.
func WithJoined(fn func(id uint32)) FollowerOption {
	return func(f *Follower) { f.joined = fn }
}

// WithConfirmed sets a function that is called after each poll that control
// answered, from one goroutine. at is the time before the poll: the view has
// everything that a majority had accepted MaxAge before it.
func WithConfirmed(fn func(at time.Time)) FollowerOption {
	return func(f *Follower) { f.confirmed = fn }
}

// NewFollower starts to follow control for v. The incarnation of join is set
// here. Close ends it.
func NewFollower(v *View, remote mangokeel.Remote, control []netip.AddrPort, join *wire.JoinRequest, opts ...FollowerOption) *Follower {
	ctx, cancel := context.WithCancel(context.Background())
	f := &Follower{
		view:    v,
		remote:  remote,
		join:    join,
		control: control,
		report:  func() Report { return Report{} },
		changed: func(*State) {},
		joined:  func(uint32) {},

		confirmed: func(time.Time) {},

		cancel: cancel,
		// Nodes start at different instances, so that each serves its share.
		at:   mathrand.IntN(len(control)),
		done: make(chan struct{}),
	}
	for _, o := range opts {
		o(f)
	}
	f.renew()
	go func() {
		defer close(f.done)
		f.run(ctx)
	}()
	return f
}

// ID returns the handle or balancer id, or 0 before the node has joined.
func (f *Follower) ID() uint32 { return f.id.Load() }

// Control returns the instance that is asked at present.
func (f *Follower) Control() netip.AddrPort {
	if a := f.current.Load(); a != nil {
		return *a
	}
	return netip.AddrPort{}
}

// Counts returns the number of polls and of moves to another instance.
func (f *Follower) Counts() (polls, moves uint64) { return f.polls.Load(), f.moves.Load() }

// Close stops following. The node stays in the roster until Leave or the end of
// its lease.
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

// renew gives the node a new incarnation.
func (f *Follower) renew() {
	f.join.Incarnation = make([]byte, 16)
	// Read of crypto/rand never fails.
	_, _ = rand.Read(f.join.Incarnation)
}

func (f *Follower) run(ctx context.Context) {
	for ctx.Err() == nil {
		if f.step(ctx) {
			continue
		}
		f.at = (f.at + 1) % len(f.control)
		f.moves.Add(1)
		select {
		case <-ctx.Done():
		case <-time.After(retryPause):
		}
	}
}

// step joins or polls once. It returns false when another instance should be
// asked next.
func (f *Follower) step(ctx context.Context) bool {
	addr := f.control[f.at]
	f.current.Store(&addr)
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	if f.ID() == 0 {
		return f.enter(ctx, addr)
	}
	return f.poll(ctx, addr)
}

func (f *Follower) enter(ctx context.Context, addr netip.AddrPort) bool {
	var resp wire.JoinReply
	if err := f.remote.Call(ctx, addr, "join", f.join, &resp); err != nil {
		return false
	}
	if resp.GetCode() != wire.Code_CODE_ACCEPTED {
		return false
	}
	f.entered = resp.GetRevision()
	f.id.Store(resp.GetId())
	f.joined(resp.GetId())
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
		WaitMs:      uint32(pollWait.Milliseconds()),
		Joined:      f.entered,
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
		f.renew()
		return true
	case resp.GetCode() != wire.Code_CODE_ACCEPTED:
		return false
	case time.Duration(resp.GetAgeMs())*time.Millisecond > MaxAge:
		return false
	}
	if !f.apply(&resp) {
		return false
	}
	f.confirmed(at)
	return true
}

// apply moves the view to the reply's update. It returns false when the update
// cannot be used.
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
		f.changed(f.view.State())
	case Older:
		return false
	case Unchanged:
	}
	return true
}
