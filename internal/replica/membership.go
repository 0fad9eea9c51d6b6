package replica

import (
	"net/netip"
	"slices"

	"github.com/cockroachdb/errors"
	"google.golang.org/protobuf/proto"

	"mangokeel/internal/wire"
)

// formerLimit bounds the former addresses of a membership.
const formerLimit = 32

// Errors of membership changes.
var (
	// ErrChanging means that another membership change has not ended yet.
	ErrChanging = errors.New("another membership change is under way")
	// ErrMember means that a change names a member that does not exist, exists
	// already, or cannot be removed.
	ErrMember = errors.New("membership does not allow the change")
)

// Member is one control instance as operators see it.
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

func find(m *wire.Membership, id string) *wire.Member {
	for _, x := range m.GetMembers() {
		if x.GetId() == id {
			return x
		}
	}
	return nil
}

// votes reports whether id is in one of the voter sets.
func votes(m *wire.Membership, id string) bool {
	x := find(m, id)
	return x.GetVoter() || m.GetJoint() && x.GetNext()
}

// voters returns the ids in either voter set.
func voters(m *wire.Membership) []string {
	var ids []string
	for _, x := range m.GetMembers() {
		if votes(m, x.GetId()) {
			ids = append(ids, x.GetId())
		}
	}
	return ids
}

// quorum returns the largest value that a majority of each voter set reaches.
func quorum(m *wire.Membership, value func(id string) uint64) uint64 {
	v := reached(m, (*wire.Member).GetVoter, value)
	if m.GetJoint() {
		v = min(v, reached(m, (*wire.Member).GetNext, value))
	}
	return v
}

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

// majority reports whether a majority of each voter set satisfies yes.
func majority(m *wire.Membership, yes func(id string) bool) bool {
	return quorum(m, func(id string) uint64 {
		if yes(id) {
			return 1
		}
		return 0
	}) == 1
}

func clone(m *wire.Membership) *wire.Membership { return proto.Clone(m).(*wire.Membership) }

// withLearner adds x as a learner.
func withLearner(m *wire.Membership, x *wire.Member) (*wire.Membership, error) {
	if find(m, x.GetId()) != nil {
		return nil, errors.Wrapf(ErrMember, "%s is a member", x.GetId())
	}
	if r := x.GetReplaces(); r != "" && find(m, r) == nil {
		return nil, errors.Wrapf(ErrMember, "%s is no member", r)
	}
	n := clone(m)
	x.Learner = true
	n.Members = append(n.Members, x)
	return n, nil
}

// without removes id: a learner at once, a voter through a joint membership.
func without(m *wire.Membership, id string) (*wire.Membership, error) {
	x := find(m, id)
	if x == nil {
		return nil, errors.Wrapf(ErrMember, "%s is no member", id)
	}
	if !x.GetVoter() {
		n := clone(m)
		n.Members = slices.DeleteFunc(n.Members, func(y *wire.Member) bool { return y.GetId() == id })
		return n, nil
	}
	n := joint(m, func(y *wire.Member) bool { return y.GetId() != id })
	if !slices.ContainsFunc(n.GetMembers(), (*wire.Member).GetNext) {
		return nil, errors.Wrapf(ErrMember, "%s is the last voter", id)
	}
	return n, nil
}

// joint returns a joint membership that moves to those present voters that keep
// accepts.
func joint(m *wire.Membership, keep func(*wire.Member) bool) *wire.Membership {
	n := clone(m)
	n.Joint = true
	for _, x := range n.GetMembers() {
		x.Next = x.GetVoter() && keep(x)
	}
	return n
}

// promoted returns the joint membership in which the joining learner x becomes a
// voter and the member it replaces leaves.
func promoted(m *wire.Membership, x *wire.Member) *wire.Membership {
	n := joint(m, func(y *wire.Member) bool { return y.GetId() != x.GetReplaces() })
	find(n, x.GetId()).Next = true
	if old := find(n, x.GetReplaces()); old != nil {
		old.Learner = false
	}
	return n
}

// final ends a joint membership: the next voters are the voters.
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

func joining(m *wire.Membership) *wire.Member {
	for _, x := range m.GetMembers() {
		if x.GetJoining() {
			return x
		}
	}
	return nil
}
