package packet

import (
	"net/netip"
	"time"

	"mangokeel/internal/fleet"
)

const (
	// revisionGrace is how long a node may still use its own configuration after it has learned
	// that a newer one is in use: a few times as long as control needs to send that one.
	revisionGrace = 100 * time.Millisecond
	// revisionTimeout is how long after a node has learned of a newer configuration control must have
	// sent it. A revision that control does not have by then was never in use.
	revisionTimeout = 3 * time.Second
	// maxDecisions bounds the decisions that are kept: as many as routes of a large configuration.
	maxDecisions = 8192
)

// decision is the service that a newer configuration chose for a flow.
type decision struct {
	revision uint64
	service  string
}

// revisions tracks which newer configurations other nodes use, so that a node that control does not
// reach never routes by an older configuration than it has before. The zero value is ready to use.
type revisions struct {
	// bound is the oldest configuration that may be used. It never decreases until update drops it.
	bound uint64
	// newest is the newest configuration known to be in use. It becomes the bound at boundAt.
	newest  uint64
	boundAt time.Time
	// learnedAt is when newest was learned.
	learnedAt time.Time
	// pending is the first configuration that was learned and that control has not sent since, or 0.
	// pendingSince is when it was learned.
	pending      uint64
	pendingSince time.Time
	// disproved is a revision of which control has shown that it was never in use, or 0. It and newer
	// ones are ignored until trustUntil, since control sends what is really in use meanwhile.
	disproved  uint64
	trustUntil time.Time
	// decisions has the newest decision that other nodes made for each address. All of them are
	// newer than this node's configuration.
	decisions map[netip.AddrPort]decision
}

// observe records that another node uses a configuration. It returns false if control has shown that
// there is no such configuration.
func (r *revisions) observe(revision uint64, now time.Time) bool {
	r.advance(now)
	if r.disproved > 0 && revision >= r.disproved && now.Before(r.trustUntil) {
		return false
	}
	if revision <= r.newest {
		return true
	}
	if r.newest <= r.bound {
		r.boundAt = now.Add(revisionGrace)
	}
	if r.pending == 0 {
		r.pending, r.pendingSince = revision, now
	}
	r.newest, r.learnedAt = revision, now
	return true
}

// require records that no configuration older than revision may be used any more.
func (r *revisions) require(revision uint64, now time.Time) {
	if r.observe(revision, now) {
		r.bound = max(r.bound, revision)
	}
}

// advance makes the newest configuration the bound once revisionGrace has passed.
func (r *revisions) advance(now time.Time) {
	if r.newest > r.bound && !now.Before(r.boundAt) {
		r.bound = r.newest
	}
}

// oldest returns the oldest configuration that may be used.
func (r *revisions) oldest(now time.Time) uint64 {
	r.advance(now)
	return r.bound
}

// newerThan returns the newest configuration known to be in use, or 0 if it is not newer than revision.
func (r *revisions) newerThan(revision uint64) uint64 {
	if r.newest <= revision {
		return 0
	}
	return r.newest
}

// learn records the decision that another node made for an address by a configuration newer than
// this node's.
func (r *revisions) learn(a netip.AddrPort, d decision, now time.Time) {
	if !r.observe(d.revision, now) || !a.IsValid() || d.service == "" {
		return
	}
	if r.decisions == nil {
		r.decisions = map[netip.AddrPort]decision{}
	}
	if old, ok := r.decisions[a]; ok && old.revision >= d.revision || !ok && len(r.decisions) >= maxDecisions {
		return
	}
	r.decisions[a] = d
}

// update drops what the view of this node has made obsolete. It also drops revisions that control
// would have sent by now if they existed, since frames between nodes are not authenticated.
func (r *revisions) update(s *fleet.State) {
	if s.Revision >= r.disproved {
		r.disproved = 0
	}
	r.trustUntil = s.ConfirmedAt.Add(revisionTimeout)
	switch {
	case r.newest == 0:
	case s.Revision >= r.newest:
		*r = revisions{disproved: r.disproved, trustUntil: r.trustUntil}
	case s.Revision >= r.pending:
		r.pending, r.pendingSince = r.newest, r.learnedAt
	case !s.ConfirmedAt.Before(r.pendingSince.Add(revisionTimeout)):
		*r = revisions{disproved: r.pending, trustUntil: r.trustUntil}
	}
}
