package replica

import (
	"net/netip"
	"slices"

	"github.com/cockroachdb/errors"
	"google.golang.org/protobuf/proto"

	"mangokeel/internal/wire"
)

// formerLimit is the number of former voters' addresses that a membership keeps.
const formerLimit = 32

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

// memberOf converts a member from its wire form.
func memberOf(m *wire.Member) Member {
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

// find returns the member with the given ID, or nil.
func find(m *wire.Membership, id string) *wire.Member {
	for _, x := range m.GetMembers() {
		if x.GetId() == id {
			return x
		}
	}
	return nil
}

// votes reports whether id is a voter. In a joint membership a member of either voter
// set is one.
func votes(m *wire.Membership, id string) bool {
	x := find(m, id)
	return x.GetVoter() || m.GetJoint() && x.GetNext()
}

// voters returns the IDs of all voters, in a joint membership those of both sets.
func voters(m *wire.Membership) []string {
	var ids []string
	for _, x := range m.GetMembers() {
		if votes(m, x.GetId()) {
			ids = append(ids, x.GetId())
		}
	}
	return ids
}

// quorum returns the largest v such that value is at least v for a majority of the
// voters, in a joint membership for a majority of each set.
func quorum(m *wire.Membership, value func(id string) uint64) uint64 {
	v := reached(m, (*wire.Member).GetVoter, value)
	if m.GetJoint() {
		v = min(v, reached(m, (*wire.Member).GetNext, value))
	}
	return v
}

// reached is quorum for the single voter set that in selects. It returns 0 for an
// empty set.
func reached(m *wire.Membership, in func(*wire.Member) bool, value func(id string) uint64) uint64 {
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

// majority reports whether yes holds for a majority of the voters, in a joint
// membership for a majority of each set.
func majority(m *wire.Membership, yes func(id string) bool) bool {
	return quorum(m, func(id string) uint64 {
		if yes(id) {
			return 1
		}
		return 0
	}) == 1
}

func clone(m *wire.Membership) *wire.Membership { return proto.Clone(m).(*wire.Membership) }

// withLearner returns m with x added as a learner.
func withLearner(m *wire.Membership, x *wire.Member) (*wire.Membership, error) {
	if find(m, x.GetId()) != nil {
		return nil, errors.Wrapf(ErrMember, "instance %s is already a member", x.GetId())
	}
	if r := x.GetReplaces(); r != "" && find(m, r) == nil {
		return nil, errors.Wrapf(ErrMember, "instance %s, which is to be replaced, is not a member", r)
	}
	n := clone(m)
	x.Learner = true
	n.Members = append(n.Members, x)
	return n, nil
}

// without returns the membership that begins the removal of id. A learner is removed
// at once, a voter through a joint membership.
func without(m *wire.Membership, id string) (*wire.Membership, error) {
	x := find(m, id)
	if x == nil {
		return nil, errors.Wrapf(ErrMember, "instance %s is not a member", id)
	}
	if !x.GetVoter() {
		n := clone(m)
		n.Members = slices.DeleteFunc(n.Members, func(y *wire.Member) bool { return y.GetId() == id })
		return n, nil
	}
	n := joint(m, func(y *wire.Member) bool { return y.GetId() != id })
	if !slices.ContainsFunc(n.GetMembers(), (*wire.Member).GetNext) {
		return nil, errors.Wrapf(ErrMember, "instance %s is the only voter", id)
	}
	return n, nil
}

// joint returns the joint membership whose next voters are those current voters for
// which keep returns true.
func joint(m *wire.Membership, keep func(*wire.Member) bool) *wire.Membership {
	n := clone(m)
	n.Joint = true
	for _, x := range n.GetMembers() {
		x.Next = x.GetVoter() && keep(x)
	}
	return n
}

// promoted returns the joint membership that makes the joining learner x a voter and
// removes the member that it replaces.
func promoted(m *wire.Membership, x *wire.Member) *wire.Membership {
	n := joint(m, func(y *wire.Member) bool { return y.GetId() != x.GetReplaces() })
	find(n, x.GetId()).Next = true
	if old := find(n, x.GetReplaces()); old != nil {
		old.Learner = false
	}
	return n
}

// final returns the membership that ends the joint membership m. The next voters
// become the voters, and members that are neither voters nor learners are removed.
func final(m *wire.Membership) *wire.Membership {
	n := clone(m)
	n.Joint = false
	for _, x := range n.GetMembers() {
		if !x.GetNext() && !x.GetLearner() {
			n.Former = append(n.Former, x.GetAddress())
		}
	}
	n.Former = n.Former[max(0, len(n.Former)-formerLimit):]
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

// joining returns the learner that is to become a voter, or nil.
func joining(m *wire.Membership) *wire.Member {
	for _, x := range m.GetMembers() {
		if x.GetJoining() {
			return x
		}
	}
	return nil
}
