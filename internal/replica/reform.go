package replica

import (
	"github.com/cockroachdb/errors"
	"google.golang.org/protobuf/proto"

	"mangokeel"
	"mangokeel/internal/wire"
)

// Reform makes the stopped instance with data folder d the only voter of a new
// cluster that keeps its state. It is meant for operators who have permanently lost a
// majority of the voters. All entries on d are kept, whether a majority had them or
// not; entries that only the lost instances had are lost. All other instances must be
// stopped, and their data folders emptied before they are admitted again: an instance
// with a non-empty data folder refuses the new cluster. Reform can be repeated after
// an error.
func Reform(d mangokeel.Disk, cfg Config, opts ...Option) error {
	o := buildOptions(opts)
	s, st, err := openStorage(d, o.segmentBytes, func() string { return o.newIdentity(cfg.Name) })
	if err != nil {
		return err
	}
	defer s.file.Close()
	old := latestMembership(st)
	if len(old.GetMembers()) == 0 {
		return errors.Wrap(ErrMember, "the data folder holds no membership")
	}
	m := proto.Clone(st.meta).(*wire.Meta)
	m.Cluster, m.Term, m.Vote, m.Cut, m.Created = o.newIdentity(cfg.Name), m.GetTerm()+1, "", false, 0
	if err := s.writeMeta(m); err != nil {
		return err
	}
	e := &wire.Entry{Index: st.entries.last() + 1, Term: m.GetTerm(), Body: &wire.Entry_Membership{Membership: singleVoterMembership(old, m.GetId(), cfg)}}
	return s.append(st.entries.last(), st.entries.lastTerm(), []*wire.Entry{e})
}

// latestMembership returns the last membership in the log or else the snapshot's.
func latestMembership(st *recoveredState) *wire.Membership {
	if m, i := st.entries.membershipAt(st.entries.last()); i > st.snapshot.GetIndex() {
		return m
	}
	return st.snapshot.GetMembership()
}

// singleVoterMembership returns a membership whose only voter is id. The other members'
// addresses are kept as former addresses, so that the leader announces the cluster to
// them.
func singleVoterMembership(old *wire.Membership, id string, cfg Config) *wire.Membership {
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
