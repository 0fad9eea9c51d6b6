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
	// pollTimeout is pollHoldTime plus a generous round trip.
	pollTimeout = pollHoldTime + 400*time.Millisecond
	// leaderQueryTimeout bounds the first query for the leader, and the time to connect to one of
	// the instances. Each failed round doubles it up to pollTimeout, because small instances
	// may be slow.
	leaderQueryTimeout = 150 * time.Millisecond
	// connectTimeoutDivisor divides the query timeout into the timeout of one connection attempt.
	// An instance without power does not answer at all, and after it restarts it does not
	// know earlier attempts, so they must be repeated.
	connectTimeoutDivisor = 4
	// fullPollTimeout bounds a poll that fetches the whole state.
	fullPollTimeout = 3 * time.Second
	// pollInterval is the minimum time between the starts of two rounds that find no leader.
	pollInterval = 50 * time.Millisecond
)

// Follower keeps a node's View current by polling the leading control instance.
type Follower struct {
	view   *View
	remote mangokeel.Remote
	logger log.Logger
	node   string
	seeds  func() []netip.AddrPort
	// announce returns the node's announcement, or nil.
	announce func() *fleetwire.Announcement
	// vacancy returns the node's statement that it has no target, or nil. It is not called while there
	// is an announcement.
	vacancy func() *fleetwire.Vacancy
	// balancerZone is the zone of a node that is a balancer, and empty for others.
	balancerZone mangokeel.AvailabilityZone

	mu sync.Mutex
	// withdrawn is the agent whose announcement the next poll ends.
	withdrawn string
	// cancelHeldPoll cancels the current poll if control may hold it open; refreshPending makes
	// the next poll return at once. A poll that returns at once is never canceled: refreshes
	// that arrive faster than polls return would otherwise starve all polls.
	cancelHeldPoll context.CancelFunc
	refreshPending bool

	// The following fields are used by the polling goroutine only.

	// leader has confirmed that it leads. suggestedLeader was named as the leader by another
	// instance.
	leader, suggestedLeader netip.AddrPort
	members                 []netip.AddrPort
	nextCandidate           int
	term, registry          uint64
	connected               bool
	// roundStart is when the current round began.
	roundStart time.Time
	// queryTimeout is the timeout of the next query for the leader.
	queryTimeout time.Duration

	ctx    context.Context
	cancel context.CancelFunc
	done   chan struct{}
}

// FollowerOption configures a Follower.
type FollowerOption func(*Follower)

// WithFollowerLogger sets the logger for losing and regaining contact with control.
func WithFollowerLogger(l log.Logger) FollowerOption { return func(f *Follower) { f.logger = l } }

// WithAnnouncement sets what the node announces with each poll. fn may return nil.
func WithAnnouncement(fn func() *fleetwire.Announcement) FollowerOption {
	return func(f *Follower) { f.announce = fn }
}

// WithVacancy sets what the node states in polls without an announcement. fn may return nil.
func WithVacancy(fn func() *fleetwire.Vacancy) FollowerOption {
	return func(f *Follower) { f.vacancy = fn }
}

// WithBalancerZone makes the node known as a balancer of a zone.
func WithBalancerZone(z mangokeel.AvailabilityZone) FollowerOption {
	return func(f *Follower) { f.balancerZone = z }
}

// NewFollower starts polling for a node. seeds returns the instances named in the settings;
// all others are learned from replies.
func NewFollower(v *View, remote mangokeel.Remote, node string, seeds func() []netip.AddrPort, opts ...FollowerOption) *Follower {
	f := &Follower{
		view: v, remote: remote, node: node, seeds: seeds, logger: log.NewNopLogger(),
		announce:     func() *fleetwire.Announcement { return nil },
		vacancy:      func() *fleetwire.Vacancy { return nil },
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

// Close stops polling.
func (f *Follower) Close() {
	f.cancel()
	<-f.done
}

// Refresh makes the follower poll at once. Call it when the node's announcement has changed
// or a newer revision is known to exist.
func (f *Follower) Refresh() {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.refreshPending = true
	if f.cancelHeldPoll != nil {
		f.cancelHeldPoll()
	}
}

// Leave withdraws an agent's announcement with the next poll.
func (f *Follower) Leave(agent string) {
	f.mu.Lock()
	f.withdrawn = agent
	f.mu.Unlock()
	f.Refresh()
}

// LastContact returns when a leader last answered, or the zero time if none has.
func (f *Follower) LastContact() time.Time {
	return f.view.LastContact()
}

// pollOnce sends one poll to the leader, or looks for a leader if none is known.
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
	state := f.view.State()
	req := &fleetwire.PollRequest{
		Node: f.node, Desired: state.Revision, Term: f.term, Registry: f.registry,
		Wait: f.connected && !f.refreshPending, Gone: f.withdrawn,
		Balancer: string(f.balancerZone), Standby: state.Standby,
	}
	f.refreshPending, f.cancelHeldPoll = false, nil
	if req.GetWait() {
		f.cancelHeldPoll = cancel
	}
	f.mu.Unlock()
	if req.Announcement = f.announce(); req.GetAnnouncement() == nil {
		req.Vacant = f.vacancy()
	}
	sentAt := time.Now()
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
		// The reply may have been waiting for this process.
		out.UnconfirmedMs += uint64(time.Since(sentAt).Milliseconds())
		f.handleReply(addr, req, &out)
	}
}

// findLeader queries the first reachable instance for the leader.
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

// candidates returns the instances in the order in which to query them: first the suggested
// leader, then all others, starting from a different one in each round.
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

// connector is a Remote that can open connections before calls.
type connector interface {
	Connect(ctx context.Context, addr netip.AddrPort) error
}

// connectAny returns the first instance that accepts a connection. It starts attempts in
// turn, without waiting for earlier ones, and repeats the list until queryTimeout.
func (f *Follower) connectAny(list []netip.AddrPort) (netip.AddrPort, error) {
	remote, ok := f.remote.(connector)
	if !ok {
		return list[0], nil
	}
	ctx, cancel := context.WithTimeout(f.ctx, f.queryTimeout)
	defer cancel()
	connected := make(chan netip.AddrPort, 1)
	attemptTimeout := f.queryTimeout / connectTimeoutDivisor
	t := time.NewTicker(attemptTimeout / time.Duration(len(list)))
	defer t.Stop()
	for i := 0; ; i++ {
		addr := list[i%len(list)]
		go func() {
			ctx, cancel := context.WithTimeout(ctx, attemptTimeout)
			defer cancel()
			if remote.Connect(ctx, addr) == nil {
				select {
				case connected <- addr:
				default:
				}
			}
		}()
		select {
		case a := <-connected:
			return a, nil
		case <-ctx.Done():
			return netip.AddrPort{}, errors.Wrapf(ctx.Err(), "none of %d control instances can be reached", len(list))
		case <-t.C:
		}
	}
}

// queryLeader asks an instance for the leader.
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

// waitForNextRound waits until pollInterval after the start of the current round.
func (f *Follower) waitForNextRound() {
	t := time.NewTimer(pollInterval - time.Since(f.roundStart))
	defer t.Stop()
	select {
	case <-t.C:
	case <-f.ctx.Done():
	}
}

// handleFailure clears the leader after a failed call.
func (f *Follower) handleFailure(addr netip.AddrPort, err error) {
	if f.connected && f.ctx.Err() == nil {
		_ = level.Warn(f.logger).Log("msg", "control lost", "at", addr, "revision", f.view.State().Revision, "err", err)
	}
	f.connected = false
	f.leader = netip.AddrPort{}
	f.waitForNextRound()
}

// handleRedirect clears the leader after a reply of an instance that does not lead, and
// remembers the leader that it names.
func (f *Follower) handleRedirect(addr netip.AddrPort, out *fleetwire.PollReply) {
	f.members = addresses(out.GetMembers())
	f.leader = netip.AddrPort{}
	named, err := netip.ParseAddrPort(out.GetLeader())
	if err != nil || named == addr {
		f.waitForNextRound()
		return
	}
	// The suggested leader may have frozen, so it is queried before it is used.
	f.suggestedLeader = named
	if f.connected {
		f.waitForNextRound()
	}
}

// handleReply applies a leader's reply.
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

// addresses parses the addresses of members and skips malformed ones.
func addresses(members []string) (list []netip.AddrPort) {
	for _, m := range members {
		if a, err := netip.ParseAddrPort(m); err == nil {
			list = append(list, a)
		}
	}
	return list
}
