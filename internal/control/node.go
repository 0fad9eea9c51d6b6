package control

import (
	"context"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"mangokeel"
	"mangokeel/internal/roster"
	"mangokeel/internal/wire"
)

// joinInterval is the minimum time between two joins at one address, so that a node
// that restarts in a loop does not fill the log.
const joinInterval = time.Second

// maxLimitedAddresses is the number of addresses above which old ones are removed.
const maxLimitedAddresses = 1024

func (c *Control) join(ctx context.Context, req *wire.JoinRequest) (*wire.JoinReply, error) {
	addr := req.GetAgent()
	if req.GetRole() == wire.Role_ROLE_BALANCER {
		addr = req.GetData()
	}
	if d := c.joinLimiter.delay(addr, string(req.GetIncarnation()), c.timers.Now()); d > 0 && !c.sleep(ctx, d) {
		return nil, ctx.Err()
	}
	result, err := c.queue.submit(ctx, &wire.Command{Body: &wire.Command_Join{Join: req}})
	if err != nil {
		return nil, err
	}
	return result.GetJoin(), nil
}

func (c *Control) leave(ctx context.Context, req *wire.LeaveRequest) (*wire.LeaveReply, error) {
	result, err := c.queue.submit(ctx, &wire.Command{Body: &wire.Command_Leave{Leave: req}})
	if err != nil {
		return nil, err
	}
	return &wire.LeaveReply{Code: result.GetOutcome().GetCode()}, nil
}

// sync renews a node's lease, records its report and replies with the changed records as
// soon as there are any.
func (c *Control) sync(ctx context.Context, req *wire.SyncRequest) (*wire.SyncReply, error) {
	if reply := c.rejectSync(req); reply != nil {
		return reply, nil
	}
	c.contacts.add(c.timers.Now(), req)
	wait := min(time.Duration(req.GetWaitMs())*time.Millisecond, maxPoll)
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	timer := c.timers.After(wait, func(time.Time) { cancel() })
	defer timer.Cancel()
	for {
		changed := c.machine.Changed()
		if reply := c.rejectSync(req); reply != nil {
			return reply, nil
		}
		u := c.machine.Update(mangokeel.Revision(req.GetRevision()), req.GetRole(), c.serviceOf(req))
		empty := roster.Empty(u)
		if empty {
			c.contacts.recordRevision(req, u.GetRevision())
		}
		if wait <= 0 || !empty {
			return c.syncReply(req, u), nil
		}
		select {
		case <-changed:
		case <-ctx.Done():
			return c.syncReply(req, u), nil
		}
	}
}

// rejectSync returns the reply to a node that this instance cannot serve, or nil.
func (c *Control) rejectSync(req *wire.SyncRequest) *wire.SyncReply {
	applied := uint64(c.machine.Revision())
	if !c.isCurrent() || applied < req.GetJoined() || applied < req.GetRevision() {
		c.metrics.stale.Inc()
		return &wire.SyncReply{Code: wire.Code_CODE_STALE, AgeMs: c.ageMs()}
	}
	if !c.machine.Known(req.GetRole(), req.GetId(), req.GetIncarnation()) {
		return &wire.SyncReply{Code: wire.Code_CODE_UNKNOWN, AgeMs: c.ageMs()}
	}
	return nil
}

func (c *Control) serviceOf(req *wire.SyncRequest) mangokeel.ServiceID {
	if req.GetRole() == wire.Role_ROLE_BALANCER {
		return 0
	}
	return mangokeel.ServiceID(c.machine.Target(mangokeel.Handle(req.GetId())).GetService())
}

// syncReply returns the reply with an update, unless the node can no longer be served.
func (c *Control) syncReply(req *wire.SyncRequest, u *wire.Update) *wire.SyncReply {
	if reply := c.rejectSync(req); reply != nil {
		return reply
	}
	packed, err := c.packer.Pack(u)
	if err != nil {
		panic(errors.Wrap(err, "encode an update of the roster"))
	}
	return &wire.SyncReply{Code: wire.Code_CODE_ACCEPTED, Packed: packed, AgeMs: c.ageMs()}
}

func (c *Control) ageMs() uint32 { return uint32(c.log.Status().Age.Milliseconds()) }

// joinRateLimiter delays joins of different incarnations at one address.
type joinRateLimiter struct {
	mu     sync.Mutex
	period time.Duration
	last   map[string]turn
}

// turn is the latest incarnation at an address and when it may join.
type turn struct {
	incarnation string
	at          time.Time
}

func newJoinRateLimiter(period time.Duration) *joinRateLimiter {
	return &joinRateLimiter{period: period, last: map[string]turn{}}
}

// delay returns how long an incarnation has to wait, at most one period. A join
// that is sent again takes the turn that it has: a wait that grew with each one
// would outlast the callers' timeout.
func (p *joinRateLimiter) delay(addr, incarnation string, now time.Time) time.Duration {
	p.mu.Lock()
	defer p.mu.Unlock()
	if len(p.last) > maxLimitedAddresses {
		p.clean(now)
	}
	t, ok := p.last[addr]
	switch {
	case !ok || now.Sub(t.at) >= p.period:
		t = turn{incarnation, now}
	case t.incarnation != incarnation:
		t = turn{incarnation, minTime(t.at, now).Add(p.period)}
	}
	p.last[addr] = t
	return t.at.Sub(now)
}

func (p *joinRateLimiter) clean(now time.Time) {
	for a, t := range p.last {
		if now.Sub(t.at) >= p.period {
			delete(p.last, a)
		}
	}
}

func minTime(a, b time.Time) time.Time {
	if a.Before(b) {
		return a
	}
	return b
}
