package replica

import (
	"net/netip"
	"slices"

	"github.com/cockroachdb/errors"
	"google.golang.org/protobuf/proto"

	"mangokeel/internal/wire"
)

// maxFormerAddresses is the number of former voters' addresses that a membership
// keeps.
const maxFormerAddresses = 32

// Errors of membership changes.
var (
	// ErrChanging means that the leader cannot start a membership change yet: another
	// one is in progress, or no entry of its term is committed.
	ErrChanging = errors.New("another membership change is in progress")
	// ErrMember means that a change names a member that does not exist, already
	// exists, belongs to another cluster or cannot be removed.
	ErrMember = errors.New("invalid membership change")
)

// Member describes one control instance to operators.
type Member struct {
	ID      string
	Name    string
	Address netip.AddrPort
	Voter   bool
	// Joining members become voters once they have caught up.
	Joining bool
	// Replaces is the ID of the member that leaves when this one joins.
	Replaces string
}

// memberFromWire converts a member from its wire form.
func memberFromWire(m *wire.Member) Member {
	a, _ := netip.ParseAddrPort(m.GetAddress())
	return Member{
		ID:       m.GetId(),
		Name:     m.GetName(),
		Address:  a,
		Voter:    m.GetVoter(),
		Joining:  m.GetJoining(),
		Replaces: m.GetReplaces(),
	}
}

// findMember returns the member with the given ID, or nil.
func findMember(m *wire.Membership, id string) *wire.Member {
	for _, x := range m.GetMembers() {
		if x.GetId() == id {
			return x
		}
	}
	return nil
}

// isVoter reports whether id is a voter. In a joint membership a member of either voter
// set is one.
func isVoter(m *wire.Membership, id string) bool {
	x := findMember(m, id)
	return x.GetVoter() || m.GetJoint() && x.GetNext()
}

// voterIDs returns the IDs of all voters, in a joint membership those of both sets.
func voterIDs(m *wire.Membership) []string {
	var ids []string
	for _, x := range m.GetMembers() {
		if isVoter(m, x.GetId()) {
			ids = append(ids, x.GetId())
		}
	}
	return ids
}

// quorumValue returns the largest v such that value is at least v for a majority of the
// voters, in a joint membership for a majority of each set.
func quorumValue(m *wire.Membership, value func(id string) uint64) uint64 {
	v := majorityValue(m, (*wire.Member).GetVoter, value)
	if m.GetJoint() {
		v = min(v, majorityValue(m, (*wire.Member).GetNext, value))
	}
	return v
}

// majorityValue is quorumValue for the single voter set that in selects. It returns 0
// for an empty set.
func majorityValue(m *wire.Membership, in func(*wire.Member) bool, value func(id string) uint64) uint64 {
	var v []uint64
	for _, x := range m.GetMembers() {
		if in(x) {
			v = append(v, value(x.GetId()))
		}
	}
	if len(v) == 0 {
		return 0
	}
	slices.Sort(v)
	return v[(len(v)-1)/2]
}

// hasMajority reports whether yes holds for a majority of the voters, in a joint
// membership for a majority of each set.
func hasMajority(m *wire.Membership, yes func(id string) bool) bool {
	return quorumValue(m, func(id string) uint64 {
		if yes(id) {
			return 1
		}
		return 0
	}) == 1
}

func cloneMembership(m *wire.Membership) *wire.Membership { return proto.Clone(m).(*wire.Membership) }

// withLearner returns m with x added as a learner.
func withLearner(m *wire.Membership, x *wire.Member) (*wire.Membership, error) {
	if findMember(m, x.GetId()) != nil {
		return nil, errors.Wrapf(ErrMember, "instance %s is already a member", x.GetId())
	}
	if r := x.GetReplaces(); r != "" && findMember(m, r) == nil {
		return nil, errors.Wrapf(ErrMember, "instance %s, which is to be replaced, is not a member", r)
	}
	n := cloneMembership(m)
	x.Learner = true
	n.Members = append(n.Members, x)
	return n, nil
}

// withoutMember returns the membership that begins the removal of id. A learner is removed
// at once, a voter through a joint membership.
func withoutMember(m *wire.Membership, id string) (*wire.Membership, error) {
	x := findMember(m, id)
	if x == nil {
		return nil, errors.Wrapf(ErrMember, "instance %s is not a member", id)
	}
	if !x.GetVoter() {
		n := cloneMembership(m)
		n.Members = slices.DeleteFunc(n.Members, func(y *wire.Member) bool { return y.GetId() == id })
		return n, nil
	}
	n := enterJoint(m, func(y *wire.Member) bool { return y.GetId() != id })
	if !slices.ContainsFunc(n.GetMembers(), (*wire.Member).GetNext) {
		return nil, errors.Wrapf(ErrMember, "instance %s is the only voter", id)
	}
	return n, nil
}

// enterJoint returns the joint membership whose next voters are those current voters
// for which keep returns true.
func enterJoint(m *wire.Membership, keep func(*wire.Member) bool) *wire.Membership {
	n := cloneMembership(m)
	n.Joint = true
	for _, x := range n.GetMembers() {
		x.Next = x.GetVoter() && keep(x)
	}
	return n
}

// promoteLearner returns the joint membership that makes the joining learner x a voter and
// removes the member that it replaces.
func promoteLearner(m *wire.Membership, x *wire.Member) *wire.Membership {
	n := enterJoint(m, func(y *wire.Member) bool { return y.GetId() != x.GetReplaces() })
	findMember(n, x.GetId()).Next = true
	if old := findMember(n, x.GetReplaces()); old != nil {
		old.Learner = false
	}
	return n
}

// leaveJoint returns the membership that ends the joint membership m. The next voters
// become the voters, and members that are neither voters nor learners are removed.
func leaveJoint(m *wire.Membership) *wire.Membership {
	n := cloneMembership(m)
	n.Joint = false
	for _, x := range n.GetMembers() {
		if !x.GetNext() && !x.GetLearner() && !slices.Contains(n.GetFormer(), x.GetAddress()) {
			n.Former = append(n.Former, x.GetAddress())
		}
	}
	n.Former = n.Former[max(0, len(n.Former)-maxFormerAddresses):]
	n.Members = slices.DeleteFunc(n.Members, func(x *wire.Member) bool { return !x.GetNext() && !x.GetLearner() })
	for _, x := range n.GetMembers() {
		x.Voter = x.GetNext()
		x.Next = false
		if x.GetVoter() {
			x.Learner, x.Joining, x.Replaces = false, false, ""
		}
	}
	return n
}

// changing reports whether a membership change is in progress.
func (c *core) changing() bool {
	return c.membershipIndex > c.commit || c.membership.GetJoint() || joiningMember(c.membership) != nil
}

// joiningMember returns the learner that is to become a voter, or nil.
func joiningMember(m *wire.Membership) *wire.Member {
	for _, x := range m.GetMembers() {
		if x.GetJoining() {
			return x
		}
	}
	return nil
}
