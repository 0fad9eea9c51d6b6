package roster

import (
	"slices"

	"mangokeel"
	"mangokeel/internal/wire"
)

const (
	// maxTombs and maxServiceTombs bound the tombstones kept for nodes that
	// catch up; a node further behind gets the whole state.
	maxTombs        = 8192
	maxServiceTombs = 512
	// slack is the number of superseded entries that a journal may have beyond
	// as many as it has others.
	slack = 64
)

// entry is one record at the revision of its last change. Exactly one field is
// set.
type entry struct {
	service  *wire.Service
	target   *wire.Target
	balancer *wire.Balancer
}

func (e entry) revision() uint64 {
	switch {
	case e.service != nil:
		return e.service.GetRevision()
	case e.target != nil:
		return e.target.GetRevision()
	}
	return e.balancer.GetRevision()
}

func (e entry) gone() bool {
	return e.service.GetGone() || e.target.GetGone() || e.balancer.GetGone()
}

// journal lists records by revision, so that an update costs only what changed.
type journal struct {
	// entries are in rising order of revision. Those that a later change
	// superseded are skipped by readers and dropped now and then.
	entries []entry
	// floor is the revision of the newest dropped tombstone. Nodes below it need
	// the whole.
	floor uint64
	limit int
	// tombs is the largest number of tombstones kept.
	tombs int
}

// current reports whether no later change superseded e. Ids are never reused, so
// a tombstone always stays current.
func (m *Machine) current(e entry) bool {
	switch {
	case e.gone():
		return true
	case e.service != nil:
		svc := m.services[e.service.GetId()]
		return svc != nil && svc.record == e.service
	case e.target != nil:
		return m.targets[mangokeel.Handle(e.target.GetHandle())] == e.target
	}
	return m.balancers[e.balancer.GetId()] == e.balancer
}

// enter adds e to the journals of those who need it.
func (m *Machine) enter(e entry) {
	m.add(m.all, e)
	switch {
	case e.balancer != nil:
		m.add(m.peers, e)
	case e.service != nil:
		if svc := m.services[e.service.GetId()]; svc != nil {
			m.add(svc.journal, e)
		}
	case e.target != nil:
		if svc := m.services[e.target.GetService()]; svc != nil {
			m.add(svc.journal, e)
		}
	}
}

func (m *Machine) add(j *journal, e entry) {
	j.entries = append(j.entries, e)
	if len(j.entries) > j.limit {
		m.compact(j)
	}
}

// compact drops superseded entries and the oldest tombstones above the bound.
func (m *Machine) compact(j *journal) {
	tombs := 0
	j.entries = slices.DeleteFunc(j.entries, func(e entry) bool {
		if e.gone() {
			tombs++
		}
		return !m.current(e)
	})
	if tombs > j.tombs {
		j.dropOldest(tombs - j.tombs/2)
	}
	j.limit = 2*len(j.entries) + slack
}

// dropOldest drops the n oldest tombstones.
func (j *journal) dropOldest(n int) {
	j.entries = slices.DeleteFunc(j.entries, func(e entry) bool {
		if n == 0 || !e.gone() {
			return false
		}
		n--
		j.floor = e.revision()
		return true
	})
}

// since returns the entries above a revision.
func (j *journal) since(r uint64) []entry {
	i, _ := slices.BinarySearchFunc(j.entries, r+1, func(e entry, r uint64) int {
		if e.revision() < r {
			return -1
		}
		return 1
	})
	return j.entries[i:]
}

// Update returns what brings a node from a revision to the present one. Balancers
// get all records, agents those of their service and all balancers. The update
// of a node that needs nothing has no records.
func (m *Machine) Update(since mangokeel.Revision, role wire.Role, service mangokeel.ServiceID) *wire.Update {
	m.mu.RLock()
	defer m.mu.RUnlock()
	journals := []*journal{m.all}
	if role == wire.Role_ROLE_AGENT {
		journals = []*journal{m.peers}
		if svc := m.services[uint32(service)]; svc != nil {
			journals = append(journals, svc.journal)
		}
	}
	u := &wire.Update{Whole: since == 0, Revision: m.revision, NextHandle: m.nextHandle}
	for _, j := range journals {
		u.Whole = u.GetWhole() || uint64(since) < j.floor
	}
	for _, j := range journals {
		m.collect(u, j, uint64(since))
	}
	return u
}

func (m *Machine) collect(u *wire.Update, j *journal, since uint64) {
	if u.GetWhole() {
		since = 0
	}
	for _, e := range j.since(since) {
		if !m.current(e) || (u.GetWhole() && e.gone()) {
			continue
		}
		switch {
		case e.service != nil:
			u.Services = append(u.Services, e.service)
		case e.target != nil:
			u.Targets = append(u.Targets, e.target)
		case e.balancer != nil:
			u.Balancers = append(u.Balancers, e.balancer)
		}
	}
}

// Empty reports whether an update has no records.
func Empty(u *wire.Update) bool {
	return !u.GetWhole() && len(u.GetServices())+len(u.GetTargets())+len(u.GetBalancers()) == 0
}
