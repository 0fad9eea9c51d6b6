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
	// callTimeout is pollHold and a generous round trip.
	callTimeout = pollHold + 400*time.Millisecond
	// searchTimeout bounds the first question for the leader, and the time to reach one of the
	// instances. Each round without an answer doubles it up to callTimeout, since small
	// instances may be slow.
	searchTimeout = 150 * time.Millisecond
	// connectShare is the part of it in which one instance is reached. One without power does not
	// answer at all, and once it is back it has forgotten who tried before.
	connectShare = 4
	// wholeTimeout bounds the poll that fetches the whole state.
	wholeTimeout = 3 * time.Second
	// followPause separates polls that found no leader, from one's begin to that of the next.
	followPause = 50 * time.Millisecond
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
	// gone is an announcement to end.
	gone string
	// refresh ends the poll under way if control may hold it open; again makes the next one
	// return at once. A poll that returns at once is never ended, or news that come
	// faster than polls return would starve them all.
	refresh context.CancelFunc
	again   bool

	// The following are used by the polling goroutine only.
	// leader has said itself that it leads; named is whom another instance named.
	leader, named  netip.AddrPort
	known          []netip.AddrPort
	next           int
	term, registry uint64
	connected      bool
	// began is when the present round did.
	began time.Time
	// patience is the time-out of the next question for the leader.
	patience time.Duration

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
		announce: func() *fleetwire.Announcement { return nil },
		done:     make(chan struct{}),
		patience: searchTimeout,
	}
	for _, o := range opts {
		o(f)
	}
	f.ctx, f.cancel = context.WithCancel(context.Background())
	go func() {
		defer close(f.done)
		for f.ctx.Err() == nil {
			f.round()
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
	f.again = true
	if f.refresh != nil {
		f.refresh()
	}
}

// Leave ends the announcement of an agent with the next poll.
func (f *Follower) Leave(agent string) {
	f.mu.Lock()
	f.gone = agent
	f.mu.Unlock()
	f.Refresh()
}

// LastContact returns when a leader last answered; the zero value if never.
func (f *Follower) LastContact() time.Time {
	return f.view.LastContact()
}

// round sends one poll.
func (f *Follower) round() {
	f.began = time.Now()
	if !f.leader.IsValid() {
		f.seek()
		return
	}
	addr := f.leader
	timeout := callTimeout
	if !f.connected {
		timeout = wholeTimeout
	}
	ctx, cancel := context.WithTimeout(f.ctx, timeout)
	defer cancel()
	f.mu.Lock()
	req := &fleetwire.PollRequest{
		Node: f.node, Desired: f.view.State().Revision, Term: f.term, Registry: f.registry,
		Wait: f.connected && !f.again, Gone: f.gone,
	}
	f.again, f.refresh = false, nil
	if req.GetWait() {
		f.refresh = cancel
	}
	f.mu.Unlock()
	req.Announcement = f.announce()
	var out fleetwire.PollReply
	err := jsonrpc.CallOrDrop(ctx, f.remote, addr, "poll", req, &out)
	if err == nil && len(out.GetPacked()) > 0 {
		err = wire.Unpack(out.GetPacked(), &out)
	}
	f.mu.Lock()
	f.refresh = nil
	refreshed := f.again
	f.mu.Unlock()
	switch {
	case err != nil && refreshed && errors.Is(err, context.Canceled):
	case err != nil:
		f.lost(addr, err)
	case !out.GetLeading():
		f.redirected(addr, &out)
	default:
		f.took(addr, req, &out)
	}
}

// seek asks the first instance that can be reached who leads.
func (f *Follower) seek() {
	list := f.candidates()
	if len(list) == 0 {
		f.rest()
		return
	}
	addr, err := f.reach(list)
	if err != nil {
		f.lost(list[0], err)
		f.patience = min(2*f.patience, callTimeout)
		return
	}
	f.search(addr)
}

// candidates returns the instances in the order in which to ask them: the one that is named as
// the leader, then the others, beginning with another one each time.
func (f *Follower) candidates() (list []netip.AddrPort) {
	if f.named.IsValid() {
		list = append(list, f.named)
		f.named = netip.AddrPort{}
	}
	all := slices.Concat(f.seeds(), f.known)
	f.next++
	for i := range all {
		if a := all[(f.next+i)%len(all)]; !slices.Contains(list, a) {
			list = append(list, a)
		}
	}
	return list
}

// connector is a Remote that can open connections ahead of calls.
type connector interface {
	Connect(ctx context.Context, addr netip.AddrPort) error
}

// reach returns the first instance that a connection can be opened to. It tries them in turn and
// does not wait for one before it tries the next, again and again while the patience lasts.
func (f *Follower) reach(list []netip.AddrPort) (netip.AddrPort, error) {
	remote, ok := f.remote.(connector)
	if !ok {
		return list[0], nil
	}
	ctx, cancel := context.WithTimeout(f.ctx, f.patience)
	defer cancel()
	reached := make(chan netip.AddrPort, 1)
	each := f.patience / connectShare
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

// search asks an instance who leads.
func (f *Follower) search(addr netip.AddrPort) {
	ctx, cancel := context.WithTimeout(f.ctx, f.patience)
	defer cancel()
	var out fleetwire.PollReply
	err := jsonrpc.CallOrDrop(ctx, f.remote, addr, "poll", &fleetwire.PollRequest{Node: f.node, Search: true}, &out)
	switch {
	case err != nil:
		f.lost(addr, err)
		if f.next%max(1, len(f.seeds())+len(f.known)) == 0 {
			f.patience = min(2*f.patience, callTimeout)
		}
	case out.GetLeading():
		f.known = addresses(out.GetMembers())
		f.leader = addr
	default:
		f.redirected(addr, &out)
	}
}

// rest waits until the next poll may begin.
func (f *Follower) rest() {
	t := time.NewTimer(followPause - time.Since(f.began))
	defer t.Stop()
	select {
	case <-t.C:
	case <-f.ctx.Done():
	}
}

func (f *Follower) lost(addr netip.AddrPort, err error) {
	if f.connected && f.ctx.Err() == nil {
		_ = level.Warn(f.logger).Log("msg", "control lost", "at", addr, "revision", f.view.State().Revision, "err", err)
	}
	f.connected = false
	f.leader = netip.AddrPort{}
	f.rest()
}

func (f *Follower) redirected(addr netip.AddrPort, out *fleetwire.PollReply) {
	f.known = addresses(out.GetMembers())
	f.leader = netip.AddrPort{}
	named, err := netip.ParseAddrPort(out.GetLeader())
	if err != nil || named == addr {
		f.rest()
		return
	}
	// The one that is named may have frozen, so it is asked before it is relied on.
	f.named = named
	if f.connected {
		f.rest()
	}
}

// took applies a leader's answer.
func (f *Follower) took(addr netip.AddrPort, req *fleetwire.PollRequest, out *fleetwire.PollReply) {
	f.known = addresses(out.GetMembers())
	if !f.connected {
		_ = level.Info(f.logger).Log("msg", "control reached", "at", addr, "revision", out.GetDesired(), "targets", len(out.GetAnnouncements()))
	}
	f.leader, f.connected, f.patience = addr, true, searchTimeout
	f.view.Apply(out, time.Now())
	f.term, f.registry = out.GetTerm(), out.GetRegistry()
	f.mu.Lock()
	if f.gone == req.GetGone() {
		f.gone = ""
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
