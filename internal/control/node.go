package control

import (
	"bytes"
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

func (c *Control) join(ctx context.Context, req *wire.JoinRequest) (*wire.JoinReply, error) {
	addr := req.GetAgent()
	if req.GetRole() == wire.Role_ROLE_BALANCER {
		addr = req.GetData()
	}
	if d := c.joins.delay(addr, c.timers.Now()); d > 0 && !c.sleep(ctx, d) {
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
	if !c.known(req) {
		return &wire.SyncReply{Code: wire.Code_CODE_UNKNOWN, AgeMs: c.age()}
	}
	return nil
}

// known reports whether the node is in the roster under its incarnation.
func (c *Control) known(req *wire.SyncRequest) bool {
	if req.GetRole() == wire.Role_ROLE_BALANCER {
		b := c.machine.Balancer(req.GetId())
		return b != nil && bytes.Equal(b.GetIncarnation(), req.GetIncarnation())
	}
	t := c.machine.Target(mangokeel.Handle(req.GetId()))
	return t != nil && bytes.Equal(t.GetIncarnation(), req.GetIncarnation())
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

// pace spaces events of the same name.
type pace struct {
	mu     sync.Mutex
	period time.Duration
	// next is the earliest time of the next event of each name.
	next map[string]time.Time
}

func newPace(period time.Duration) *pace {
	return &pace{period: period, next: map[string]time.Time{}}
}

// delay reserves the next event of a name and returns how long to wait for it.
func (p *pace) delay(name string, now time.Time) time.Duration {
	p.mu.Lock()
	defer p.mu.Unlock()
	if len(p.next) > 1024 {
		p.clean(now)
	}
	at := p.next[name]
	if at.Before(now) {
		at = now
	}
	// A caller that gives up and calls again must not push its turn further out.
	p.next[name] = minTime(at.Add(p.period), now.Add(2*p.period))
	return at.Sub(now)
}

func (p *pace) clean(now time.Time) {
	for n, at := range p.next {
		if at.Before(now) {
			delete(p.next, n)
		}
	}
}

func minTime(a, b time.Time) time.Time {
	if a.Before(b) {
		return a
	}
	return b
}
