package replica

import (
	"github.com/cockroachdb/errors"
	"google.golang.org/protobuf/proto"

	"mangokeel"
	"mangokeel/internal/wire"
)

// Reform makes the stopped instance on d the only voter of a new cluster with the
// same state. It is for operators who lost a majority of the voters for good: the
// entries on d are kept whether a majority had them or not, and entries that only
// lost instances had are gone. All other instances must be stopped, and their
// folders emptied before they are admitted again; an instance that still has its
// folder refuses the new cluster. After an error Reform can be repeated.
func Reform(d mangokeel.Disk, cfg Config, opts ...Option) error {
	o := optionsOf(opts)
	s, st, err := openStorage(d, o.segmentBytes, func() string { return o.identity(cfg.Name) })
	if err != nil {
		return err
	}
	defer s.file.Close()
	old := latestMembership(st)
	if len(old.GetMembers()) == 0 {
		return errors.Wrap(ErrMember, "the folder has no log")
	}
	m := proto.Clone(st.meta).(*wire.Meta)
	m.Cluster, m.Term, m.Vote, m.Cut, m.Created = o.identity(cfg.Name), m.GetTerm()+1, "", false, 0
	if err := s.writeMeta(m); err != nil {
		return err
	}
	e := &wire.Entry{Index: st.entries.last() + 1, Term: m.GetTerm(), Body: &wire.Entry_Membership{Membership: alone(old, m.GetId(), cfg)}}
	return s.append(st.entries.last(), st.entries.lastTerm(), []*wire.Entry{e})
}

func latestMembership(st *recoveredState) *wire.Membership {
	if m, i := st.entries.membershipAt(st.entries.last()); i > st.snapshot.GetIndex() {
		return m
	}
	return st.snapshot.GetMembership()
}

// alone returns the membership of a single voter. The others count as former, so
// that they are told of the cluster.
func alone(old *wire.Membership, id string, cfg Config) *wire.Membership {
	m := &wire.Membership{
		Members: []*wire.Member{{Id: id, Name: cfg.Name, Address: cfg.Address.String(), Voter: true}},
		Former:  old.GetFormer(),
	}
	for _, x := range old.GetMembers() {
		if x.GetId() != id {
			m.Former = append(m.Former, x.GetAddress())
		}
	}
	return m
}
