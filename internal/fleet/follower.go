package fleet

import (
	"context"
	"net/netip"
	"slices"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/go-kit/log"
	"github.com/go-kit/log/level"

	"mangokeel"
	"mangokeel/internal/fleetwire"
	"mangokeel/internal/jsonrpc"
	"mangokeel/internal/wire"
)

// Timing of a follower.
const (
	// pollTimeout is pollHold and a generous round trip.
	pollTimeout = pollHoldTime + 400*time.Millisecond
	// leaderQueryTimeout bounds the first question for the leader, and the time to reach one of the
	// instances. Each round without an answer doubles it up to callTimeout, since small
	// instances may be slow.
	leaderQueryTimeout = 150 * time.Millisecond
	// connectTimeoutDivisor is the part of it in which one instance is reached. One without power does not
	// answer at all, and once it is back it has forgotten who tried before.
	connectTimeoutDivisor = 4
	// fullPollTimeout bounds the poll that fetches the whole state.
	fullPollTimeout = 3 * time.Second
	// pollInterval separates polls that found no leader, from one's begin to that of the next.
	pollInterval = 50 * time.Millisecond
)

// Follower keeps a node's View current by polling the control instance that leads.
type Follower struct {
	view   *View
	remote mangokeel.Remote
	logger log.Logger
	node   string
	seeds  func() []netip.AddrPort
	// announce returns the node's announcement, or nil.
	announce func() *fleetwire.Announcement

	mu sync.Mutex
	// withdrawn is an announcement to end.
	withdrawn string
	// cancelHeldPoll ends the poll under way if control may hold it open; again makes the next one
	// return at once. A poll that returns at once is never ended, or news that come
	// faster than polls return would starve them all.
	cancelHeldPoll context.CancelFunc
	refreshPending bool

	// The following are used by the polling goroutine only.
	// leader has said itself that it leads; suggestedLeader is whom another instance suggestedLeader.
	leader, suggestedLeader netip.AddrPort
	members                 []netip.AddrPort
	nextCandidate           int
	term, registry          uint64
	connected               bool
	// roundStart is when the present round did.
	roundStart time.Time
	// queryTimeout is the time-out of the next question for the leader.
	queryTimeout time.Duration

	ctx    context.Context
	cancel context.CancelFunc
	done   chan struct{}
}

// FollowerOption changes a Follower.
type FollowerOption func(*Follower)

// WithFollowerLogger sets the logger for lost and regained control.
func WithFollowerLogger(l log.Logger) FollowerOption { return func(f *Follower) { f.logger = l } }

// WithAnnouncement sets what the node announces with each poll. fn may return nil.
func WithAnnouncement(fn func() *fleetwire.Announcement) FollowerOption {
	return func(f *Follower) { f.announce = fn }
}

// NewFollower starts to poll for a node. seeds returns the instances that the settings
// name; all others are learned from answers.
func NewFollower(v *View, remote mangokeel.Remote, node string, seeds func() []netip.AddrPort, opts ...FollowerOption) *Follower {
	f := &Follower{
		view: v, remote: remote, node: node, seeds: seeds, logger: log.NewNopLogger(),
		announce:     func() *fleetwire.Announcement { return nil },
		done:         make(chan struct{}),
		queryTimeout: leaderQueryTimeout,
	}
	for _, o := range opts {
		o(f)
	}
	f.ctx, f.cancel = context.WithCancel(context.Background())
	go func() {
		defer close(f.done)
		for f.ctx.Err() == nil {
			f.pollOnce()
		}
	}()
	return f
}

// Close ends the polling.
func (f *Follower) Close() {
	f.cancel()
	<-f.done
}

// Refresh makes the follower poll at once, because the node's announcement changed or
// because there is news.
func (f *Follower) Refresh() {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.refreshPending = true
	if f.cancelHeldPoll != nil {
		f.cancelHeldPoll()
	}
}

// Leave ends the announcement of an agent with the next poll.
func (f *Follower) Leave(agent string) {
	f.mu.Lock()
	f.withdrawn = agent
	f.mu.Unlock()
	f.Refresh()
}

// LastContact returns when a leader last answered; the zero value if never.
func (f *Follower) LastContact() time.Time {
	return f.view.LastContact()
}

// pollOnce sends one poll.
func (f *Follower) pollOnce() {
	f.roundStart = time.Now()
	if !f.leader.IsValid() {
		f.findLeader()
		return
	}
	addr := f.leader
	timeout := pollTimeout
	if !f.connected {
		timeout = fullPollTimeout
	}
	ctx, cancel := context.WithTimeout(f.ctx, timeout)
	defer cancel()
	f.mu.Lock()
	req := &fleetwire.PollRequest{
		Node: f.node, Desired: f.view.State().Revision, Term: f.term, Registry: f.registry,
		Wait: f.connected && !f.refreshPending, Gone: f.withdrawn,
	}
	f.refreshPending, f.cancelHeldPoll = false, nil
	if req.GetWait() {
		f.cancelHeldPoll = cancel
	}
	f.mu.Unlock()
	req.Announcement = f.announce()
	var out fleetwire.PollReply
	err := jsonrpc.CallOrDrop(ctx, f.remote, addr, "poll", req, &out)
	if err == nil && len(out.GetPacked()) > 0 {
		err = wire.Unpack(out.GetPacked(), &out)
	}
	f.mu.Lock()
	f.cancelHeldPoll = nil
	refreshed := f.refreshPending
	f.mu.Unlock()
	switch {
	case err != nil && refreshed && errors.Is(err, context.Canceled):
	case err != nil:
		f.handleFailure(addr, err)
	case !out.GetLeading():
		f.handleRedirect(addr, &out)
	default:
		f.handleReply(addr, req, &out)
	}
}

// findLeader asks the first instance that can be reached who leads.
func (f *Follower) findLeader() {
	list := f.candidates()
	if len(list) == 0 {
		f.waitForNextRound()
		return
	}
	addr, err := f.connectAny(list)
	if err != nil {
		f.handleFailure(list[0], err)
		f.queryTimeout = min(2*f.queryTimeout, pollTimeout)
		return
	}
	f.queryLeader(addr)
}

// candidates returns the instances in the order in which to ask them: the one that is named as
// the leader, then the others, beginning with another one each time.
func (f *Follower) candidates() (list []netip.AddrPort) {
	if f.suggestedLeader.IsValid() {
		list = append(list, f.suggestedLeader)
		f.suggestedLeader = netip.AddrPort{}
	}
	all := slices.Concat(f.seeds(), f.members)
	f.nextCandidate++
	for i := range all {
		if a := all[(f.nextCandidate+i)%len(all)]; !slices.Contains(list, a) {
			list = append(list, a)
		}
	}
	return list
}

// connector is a Remote that can open connections ahead of calls.
type connector interface {
	Connect(ctx context.Context, addr netip.AddrPort) error
}

// connectAny returns the first instance that a connection can be opened to. It tries them in turn and
// does not wait for one before it tries the next, again and again while the patience lasts.
func (f *Follower) connectAny(list []netip.AddrPort) (netip.AddrPort, error) {
	remote, ok := f.remote.(connector)
	if !ok {
		return list[0], nil
	}
	ctx, cancel := context.WithTimeout(f.ctx, f.queryTimeout)
	defer cancel()
	reached := make(chan netip.AddrPort, 1)
	each := f.queryTimeout / connectTimeoutDivisor
	t := time.NewTicker(each / time.Duration(len(list)))
	defer t.Stop()
	for i := 0; ; i++ {
		addr := list[i%len(list)]
		go func() {
			ctx, cancel := context.WithTimeout(ctx, each)
			defer cancel()
			if remote.Connect(ctx, addr) == nil {
				select {
				case reached <- addr:
				default:
				}
			}
		}()
		select {
		case a := <-reached:
			return a, nil
		case <-ctx.Done():
			return netip.AddrPort{}, errors.Wrapf(ctx.Err(), "none of %d control instances can be reached", len(list))
		case <-t.C:
		}
	}
}

// queryLeader asks an instance who leads.
func (f *Follower) queryLeader(addr netip.AddrPort) {
	ctx, cancel := context.WithTimeout(f.ctx, f.queryTimeout)
	defer cancel()
	var out fleetwire.PollReply
	err := jsonrpc.CallOrDrop(ctx, f.remote, addr, "poll", &fleetwire.PollRequest{Node: f.node, Search: true}, &out)
	switch {
	case err != nil:
		f.handleFailure(addr, err)
		if f.nextCandidate%max(1, len(f.seeds())+len(f.members)) == 0 {
			f.queryTimeout = min(2*f.queryTimeout, pollTimeout)
		}
	case out.GetLeading():
		f.members = addresses(out.GetMembers())
		f.leader = addr
	default:
		f.handleRedirect(addr, &out)
	}
}

// waitForNextRound waits until the next poll may begin.
func (f *Follower) waitForNextRound() {
	t := time.NewTimer(pollInterval - time.Since(f.roundStart))
	defer t.Stop()
	select {
	case <-t.C:
	case <-f.ctx.Done():
	}
}

func (f *Follower) handleFailure(addr netip.AddrPort, err error) {
	if f.connected && f.ctx.Err() == nil {
		_ = level.Warn(f.logger).Log("msg", "control lost", "at", addr, "revision", f.view.State().Revision, "err", err)
	}
	f.connected = false
	f.leader = netip.AddrPort{}
	f.waitForNextRound()
}

func (f *Follower) handleRedirect(addr netip.AddrPort, out *fleetwire.PollReply) {
	f.members = addresses(out.GetMembers())
	f.leader = netip.AddrPort{}
	named, err := netip.ParseAddrPort(out.GetLeader())
	if err != nil || named == addr {
		f.waitForNextRound()
		return
	}
	// The one that is named may have frozen, so it is asked before it is relied on.
	f.suggestedLeader = named
	if f.connected {
		f.waitForNextRound()
	}
}

// handleReply applies a leader's answer.
func (f *Follower) handleReply(addr netip.AddrPort, req *fleetwire.PollRequest, out *fleetwire.PollReply) {
	f.members = addresses(out.GetMembers())
	if !f.connected {
		_ = level.Info(f.logger).Log("msg", "control reached", "at", addr, "revision", out.GetDesired(), "targets", len(out.GetAnnouncements()))
	}
	f.leader, f.connected, f.queryTimeout = addr, true, leaderQueryTimeout
	f.view.Apply(out, time.Now())
	f.term, f.registry = out.GetTerm(), out.GetRegistry()
	f.mu.Lock()
	if f.withdrawn == req.GetGone() {
		f.withdrawn = ""
	}
	f.mu.Unlock()
}

// addresses returns those of a list of members that can be read.
func addresses(members []string) (list []netip.AddrPort) {
	for _, m := range members {
		if a, err := netip.ParseAddrPort(m); err == nil {
			list = append(list, a)
		}
	}
	return list
}
