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

// joinPace is the shortest time between two joins at one address, so that a node
// that restarts in a loop does not fill the log.
const joinPace = time.Second

// maxPaced bounds the addresses kept before old ones are forgotten.
const maxPaced = 1024

func (c *Control) join(ctx context.Context, req *wire.JoinRequest) (*wire.JoinReply, error) {
	addr := req.GetAgent()
	if req.GetRole() == wire.Role_ROLE_BALANCER {
		addr = req.GetData()
	}
	if d := c.joins.delay(addr, string(req.GetIncarnation()), c.timers.Now()); d > 0 && !c.sleep(ctx, d) {
		return nil, ctx.Err()
	}
	result, err := c.queue.do(ctx, &wire.Command{Body: &wire.Command_Join{Join: req}})
	if err != nil {
		return nil, err
	}
	return result.GetJoin(), nil
}

func (c *Control) leave(ctx context.Context, req *wire.LeaveRequest) (*wire.LeaveReply, error) {
	result, err := c.queue.do(ctx, &wire.Command{Body: &wire.Command_Leave{Leave: req}})
	if err != nil {
		return nil, err
	}
	return &wire.LeaveReply{Code: result.GetOutcome().GetCode()}, nil
}

// sync renews a node's lease, takes its report and answers with the records that
// changed, as soon as there are any.
func (c *Control) sync(ctx context.Context, req *wire.SyncRequest) (*wire.SyncReply, error) {
	if reply := c.refuse(req); reply != nil {
		return reply, nil
	}
	c.heard.add(c.timers.Now(), req)
	wait := min(time.Duration(req.GetWaitMs())*time.Millisecond, maxPoll)
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	timer := c.timers.After(wait, func(time.Time) { cancel() })
	defer timer.Cancel()
	for {
		changed := c.machine.Changed()
		u := c.machine.Update(mangokeel.Revision(req.GetRevision()), req.GetRole(), c.serviceOf(req))
		empty := roster.Empty(u)
		if empty {
			c.heard.reached(req, u.GetRevision())
		}
		if wait <= 0 || !empty {
			return c.answer(req, u), nil
		}
		select {
		case <-changed:
		case <-ctx.Done():
			return c.answer(req, u), nil
		}
	}
}

// refuse returns the answer to a node that cannot be served here.
func (c *Control) refuse(req *wire.SyncRequest) *wire.SyncReply {
	applied := uint64(c.machine.Revision())
	if !c.current() || applied < req.GetJoined() || applied < req.GetRevision() {
		c.metrics.stale.Inc()
		return &wire.SyncReply{Code: wire.Code_CODE_STALE, AgeMs: c.age()}
	}
	if !c.machine.Known(req.GetRole(), req.GetId(), req.GetIncarnation()) {
		return &wire.SyncReply{Code: wire.Code_CODE_UNKNOWN, AgeMs: c.age()}
	}
	return nil
}

func (c *Control) serviceOf(req *wire.SyncRequest) mangokeel.ServiceID {
	if req.GetRole() == wire.Role_ROLE_BALANCER {
		return 0
	}
	return mangokeel.ServiceID(c.machine.Target(mangokeel.Handle(req.GetId())).GetService())
}

// answer checks once more what may have changed during the wait.
func (c *Control) answer(req *wire.SyncRequest, u *wire.Update) *wire.SyncReply {
	if reply := c.refuse(req); reply != nil {
		return reply
	}
	packed, err := c.packer.Pack(u)
	if err != nil {
		panic(errors.Wrap(err, "encode an update of the roster"))
	}
	return &wire.SyncReply{Code: wire.Code_CODE_ACCEPTED, Packed: packed, AgeMs: c.age()}
}

func (c *Control) age() uint32 { return uint32(c.log.Status().Age.Milliseconds()) }

// pace spaces the joins of different incarnations at one address.
type pace struct {
	mu     sync.Mutex
	period time.Duration
	last   map[string]turn
}

// turn is the latest incarnation at an address and when it may join.
type turn struct {
	incarnation string
	at          time.Time
}

func newPace(period time.Duration) *pace {
	return &pace{period: period, last: map[string]turn{}}
}

// delay returns how long an incarnation has to wait, at most one period. A join
// that is sent again takes the turn that it has: a wait that grew with each one
// would outlast the callers' timeout.
func (p *pace) delay(addr, incarnation string, now time.Time) time.Duration {
	p.mu.Lock()
	defer p.mu.Unlock()
	if len(p.last) > maxPaced {
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

func (p *pace) clean(now time.Time) {
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
