package control

import (
	"context"
	"crypto/hmac"
	"crypto/rand"
	"crypto/sha256"
	"encoding/hex"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"google.golang.org/protobuf/proto"

	"mangokeel"
	"mangokeel/internal/wire"
)

const (
	// attemptTimeout bounds one attempt of a proposal, so that a frozen leader is abandoned.
	attemptTimeout = time.Second
	// proposeTimeout bounds all attempts together: an election and two attempts.
	proposeTimeout = 5 * time.Second
	// retryInterval is the interval between attempts while there is no leader.
	retryInterval = 50 * time.Millisecond
	// seedLen is the length of a command's seed in bytes.
	seedLen = 32
)

// propose commits a command through the leader and waits until this instance has applied
// it. It retries after any failure, because every command is idempotent: changes and keys
// by their IDs, joins by their incarnations, changes of homes by their epochs, and the
// others because handles are never reused.
func (c *Control) propose(ctx context.Context, cmd *wire.Command) (*wire.Result, error) {
	cmd.Seed = make([]byte, seedLen)
	// Read of crypto/rand never fails.
	_, _ = rand.Read(cmd.Seed)
	b, err := proto.Marshal(cmd)
	if err != nil {
		return nil, errors.Wrap(err, "encode command")
	}
	ctx, cancel := context.WithTimeout(ctx, proposeTimeout)
	defer cancel()
	for {
		raw, r, err := c.proposeOnce(ctx, b)
		if err == nil {
			return c.awaitResult(ctx, raw, r)
		}
		c.metrics.retries.Inc()
		if !c.sleep(ctx, retryInterval) {
			return nil, errors.Wrap(err, "proposal")
		}
	}
}

func (c *Control) awaitResult(ctx context.Context, raw []byte, r mangokeel.Revision) (*wire.Result, error) {
	var result wire.Result
	if err := proto.Unmarshal(raw, &result); err != nil {
		return nil, errors.Wrap(err, "decode result")
	}
	return &result, c.awaitRevision(ctx, r)
}

// proposeOnce makes one attempt, on this instance or at the leader.
func (c *Control) proposeOnce(ctx context.Context, b []byte) ([]byte, mangokeel.Revision, error) {
	ctx, cancel := context.WithTimeout(ctx, attemptTimeout)
	defer cancel()
	st := c.log.Status()
	if st.Leading {
		return c.log.Propose(ctx, b)
	}
	resp, err := c.callLeader(ctx, st, &wire.ForwardRequest{Command: b})
	if err != nil {
		return nil, 0, err
	}
	return resp.GetResult(), mangokeel.Revision(resp.GetRevision()), nil
}

// callLeader sends a request to the leader.
func (c *Control) callLeader(ctx context.Context, st mangokeel.LogStatus, req *wire.ForwardRequest) (*wire.ForwardReply, error) {
	if !st.Leader.IsValid() || st.Leader == c.cfg.Address {
		return nil, mangokeel.ErrNotLeader
	}
	req.From = c.cfg.Name
	req.Seal = c.seal(req)
	var resp wire.ForwardReply
	if err := c.remote.Call(ctx, st.Leader, "forward", req, &resp); err != nil {
		return nil, err
	}
	if !resp.GetLeader() {
		return nil, mangokeel.ErrNotLeader
	}
	return &resp, nil
}

// seal returns the message authentication code of a request. Without it, anyone who reaches
// a control instance could propose commands and bypass the teams' keys.
func (c *Control) seal(req *wire.ForwardRequest) []byte {
	key, err := hex.DecodeString(c.cfg.Operator)
	if err != nil || len(key) == 0 {
		return nil
	}
	bare := proto.CloneOf(req)
	bare.Seal = nil
	b, err := proto.MarshalOptions{Deterministic: true}.Marshal(bare)
	if err != nil {
		panic(errors.Wrap(err, "encode a forwarded request"))
	}
	h := hmac.New(sha256.New, key)
	h.Write(b)
	return h.Sum(nil)
}

// forward handles a request of another instance. Only a leader executes it.
func (c *Control) forward(ctx context.Context, req *wire.ForwardRequest) (*wire.ForwardReply, error) {
	if !hmac.Equal(req.GetSeal(), c.seal(req)) {
		c.metrics.denied.Inc()
		return nil, errors.New("the request is not sealed by a control instance")
	}
	if !c.log.Status().Leading {
		return &wire.ForwardReply{}, nil
	}
	resp := &wire.ForwardReply{Leader: true}
	if req.GetReport() {
		c.leases.recordContacts(c.timers.Now(), req.GetFrom(), req.GetBeats())
	}
	if req.GetNodes() {
		resp.Nodes = c.nodes(req.GetBelow())
	}
	if len(req.GetCommand()) == 0 {
		return resp, nil
	}
	result, r, err := c.log.Propose(ctx, req.GetCommand())
	if errors.Is(err, mangokeel.ErrNotLeader) {
		return &wire.ForwardReply{}, nil
	}
	resp.Result, resp.Revision = result, uint64(r)
	return resp, err
}

const (
	// batchDelay is how long the queue collects commands before it proposes a batch.
	batchDelay = 20 * time.Millisecond
	// maxBatch is the maximum number of commands in a batch, which bounds the time to apply it.
	maxBatch = 512
)

// queue combines the commands of nodes into batches, one at a time, so that many nodes that
// join or leave at once need few log entries.
type queue struct {
	c  *Control
	mu sync.Mutex
	// waiting has the commands of the next batches.
	waiting []*queued
	wake    chan struct{}
}

type queued struct {
	cmd    *wire.Command
	result *wire.Result
	err    error
	done   chan struct{}
}

func newQueue(c *Control) *queue {
	q := &queue{c: c, wake: make(chan struct{}, 1)}
	c.work.Add(1)
	go func() {
		defer c.work.Done()
		for {
			select {
			case <-c.ctx.Done():
				return
			case <-q.wake:
				q.flush()
			}
		}
	}()
	return q
}

// submit commits a command as part of a batch.
func (q *queue) submit(ctx context.Context, cmd *wire.Command) (*wire.Result, error) {
	x := &queued{cmd: cmd, done: make(chan struct{})}
	q.mu.Lock()
	q.waiting = append(q.waiting, x)
	q.mu.Unlock()
	q.signal()
	select {
	case <-x.done:
		return x.result, x.err
	case <-ctx.Done():
		return nil, ctx.Err()
	}
}

func (q *queue) signal() {
	select {
	case q.wake <- struct{}{}:
	default:
	}
}

// flush proposes one batch.
func (q *queue) flush() {
	if !q.c.sleep(q.c.ctx, batchDelay) {
		return
	}
	q.mu.Lock()
	n := min(len(q.waiting), maxBatch)
	batch := q.waiting[:n]
	q.waiting = q.waiting[n:]
	more := len(q.waiting) > 0
	q.mu.Unlock()
	if more {
		q.signal()
	}
	if n > 0 {
		q.run(batch)
	}
}

func (q *queue) run(batch []*queued) {
	body := &wire.CommandBatch{}
	for _, x := range batch {
		body.Commands = append(body.Commands, x.cmd)
	}
	result, err := q.c.propose(q.c.ctx, &wire.Command{Body: &wire.Command_Batch{Batch: body}})
	for i, x := range batch {
		x.err = err
		if err == nil {
			x.result = result.GetBatch()[i]
		}
		close(x.done)
	}
}
