package replica

import (
	"context"
	"net/netip"
	"time"

	"github.com/cockroachdb/errors"

	"mangokeel/internal/wire"
)

// Members returns the last membership in this instance's log.
func (n *Node) Members() []Member {
	n.mu.Lock()
	m := n.published.membership
	n.mu.Unlock()
	var list []Member
	for _, x := range m.GetMembers() {
		list = append(list, memberFromWire(x))
	}
	return list
}

// Silent returns the time since the leader sent the last request that the member
// answered, or since it added the member if that is later. It returns 0 for unknown
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

// Changing reports whether the last membership in this instance's log is not committed, or has
// a change that is not complete: a joint membership, or a joining member.
func (n *Node) Changing() bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.published.changing
}

// Admit adds the instance at addr as a learner that becomes a voter once it has
// caught up. It must be called on the leader and returns once the learner has been
// added; Members shows the progress.
func (n *Node) Admit(ctx context.Context, addr netip.AddrPort) error {
	return n.addLearner(ctx, addr, true, "")
}

// Learn adds the instance at addr as a permanent learner, a member that never votes.
func (n *Node) Learn(ctx context.Context, addr netip.AddrPort) error {
	return n.addLearner(ctx, addr, false, "")
}

// Replace admits the instance at addr and removes old, which is an ID or an
// unambiguous name. The voters do not change until the new instance has caught up.
// A single membership change then swaps the two, so that losing a second instance
// during the replacement never leaves fewer voters than it would have without it.
func (n *Node) Replace(ctx context.Context, old string, addr netip.AddrPort) error {
	id, err := resolveMemberID(n.Members(), old)
	if err != nil {
		return err
	}
	return n.addLearner(ctx, addr, true, id)
}

// Remove removes a member, which is given by ID or by an unambiguous name. Removing
// a joining instance cancels its admission.
func (n *Node) Remove(ctx context.Context, member string) error {
	id, err := resolveMemberID(n.Members(), member)
	if err != nil {
		return err
	}
	return n.changeMembership(ctx, id, func(m *wire.Membership) (*wire.Membership, error) { return withoutMember(m, id) })
}

// resolveMemberID returns the ID of the member with the given ID or unambiguous name.
func resolveMemberID(list []Member, member string) (string, error) {
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
		return "", errors.Wrapf(ErrMember, "%d members have the ID or name %q, want exactly one", len(ids), member)
	}
	return ids[0], nil
}

// addLearner asks the instance at addr for its identity and adds it as a learner.
func (n *Node) addLearner(ctx context.Context, addr netip.AddrPort, voter bool, replaces string) error {
	var r wire.VoteReply
	if err := n.remote.Call(ctx, addr, "vote", &wire.VoteRequest{Phase: wire.Phase_PHASE_IDENTIFY}, &r); err != nil {
		return errors.Wrapf(err, "get the identity of the instance at %s", addr)
	}
	x := &wire.Member{Id: r.GetFrom(), Name: r.GetName(), Address: addr.String(), Joining: voter, Replaces: replaces}
	return n.changeMembership(ctx, "", func(m *wire.Membership) (*wire.Membership, error) {
		if !r.GetEmpty() && r.GetCluster() != n.engine.core.meta.GetCluster() {
			return nil, errors.Wrapf(ErrMember, "the instance at %s belongs to another cluster", addr)
		}
		return withLearner(m, x)
	})
}

// changeMembership starts the membership change computed by fn and waits until its
// first entry is applied. interrupts is as in core.changeMembership.
func (n *Node) changeMembership(ctx context.Context, interrupts string, fn func(*wire.Membership) (*wire.Membership, error)) error {
	w := &proposal{out: make(chan proposalResult, 1)}
	return n.submit(ctx, w, func(now time.Time) {
		i, err := n.engine.core.changeMembership(now, interrupts, fn)
		n.track(w, i, err)
	}).err
}
