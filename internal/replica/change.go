package replica

import (
	"context"
	"net/netip"
	"time"

	"github.com/cockroachdb/errors"

	"mangokeel/internal/wire"
)

// Members returns the membership as this instance knows it.
func (n *Node) Members() []Member {
	n.mu.Lock()
	m := n.published.membership
	n.mu.Unlock()
	var list []Member
	for _, x := range m.GetMembers() {
		list = append(list, memberOf(x))
	}
	return list
}

// Silent returns how long the leader has not heard of a member. It is 0 for unknown
// members and on instances that do not lead.
func (n *Node) Silent(id string) time.Duration {
	n.mu.Lock()
	t, ok := n.published.lastContact[id]
	n.mu.Unlock()
	if !ok {
		return 0
	}
	return max(0, n.timers.Now().Sub(t))
}

// Admit makes the instance at addr a voter once it has caught up. It works on the
// leader and returns when the joining is accepted; Members shows its progress.
func (n *Node) Admit(ctx context.Context, addr netip.AddrPort) error {
	return n.join(ctx, addr, true, "")
}

// Learn adds the instance at addr as a member that never votes.
func (n *Node) Learn(ctx context.Context, addr netip.AddrPort) error {
	return n.join(ctx, addr, false, "")
}

// Replace admits the instance at addr and removes old, an ID or an unambiguous
// name, in the same step. Until the new instance has caught up the voters stay as
// they are, and then a single decision exchanges the two, so that the loss of a
// second instance never leaves fewer voters than before.
func (n *Node) Replace(ctx context.Context, old string, addr netip.AddrPort) error {
	id, err := resolve(n.Members(), old)
	if err != nil {
		return err
	}
	return n.join(ctx, addr, true, id)
}

// Remove removes a member, given by ID or unambiguous name. The removal of a
// joining instance ends its joining.
func (n *Node) Remove(ctx context.Context, member string) error {
	id, err := resolve(n.Members(), member)
	if err != nil {
		return err
	}
	return n.alter(ctx, id, func(m *wire.Membership) (*wire.Membership, error) { return without(m, id) })
}

func resolve(list []Member, member string) (string, error) {
	var ids []string
	for _, m := range list {
		if m.ID == member {
			return m.ID, nil
		}
		if m.Name == member {
			ids = append(ids, m.ID)
		}
	}
	if len(ids) != 1 {
		return "", errors.Wrapf(ErrMember, "%d members are called %s", len(ids), member)
	}
	return ids[0], nil
}

func (n *Node) join(ctx context.Context, addr netip.AddrPort, voter bool, replaces string) error {
	var r wire.VoteReply
	if err := n.remote.Call(ctx, addr, "vote", &wire.VoteRequest{Phase: wire.Phase_PHASE_IDENTIFY}, &r); err != nil {
		return errors.Wrap(err, "identify the new member")
	}
	x := &wire.Member{Id: r.GetFrom(), Name: r.GetName(), Address: addr.String(), Joining: voter, Replaces: replaces}
	return n.alter(ctx, "", func(m *wire.Membership) (*wire.Membership, error) {
		if !r.GetEmpty() && r.GetCluster() != n.engine.core.meta.GetCluster() {
			return nil, errors.Wrapf(ErrMember, "%s belongs to another cluster", addr)
		}
		return withLearner(m, x)
	})
}

// alter starts a membership change and waits until its first entry is applied.
func (n *Node) alter(ctx context.Context, interrupts string, fn func(*wire.Membership) (*wire.Membership, error)) error {
	w := &proposal{out: make(chan proposalResult, 1)}
	return n.submit(ctx, w, func(now time.Time) {
		i, err := n.engine.core.alter(now, interrupts, fn)
		n.track(w, i, err)
	}).err
}
