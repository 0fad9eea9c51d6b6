package fleet

import (
	"slices"
	"sync"
	"time"

	"google.golang.org/protobuf/proto"

	"mangokeel/internal/fleetwire"
)

// Timing of the registry.
const (
	// leaseDuration is how long an agent's record stays valid without a poll. It allows two
	// failed polls of pollHoldTime and one of pollTimeout.
	leaseDuration = 3 * time.Second
	// silentRetention is how long a silent agent is kept. Its target may still hold flows that
	// the agent serves, because partitions between nodes and control last for seconds.
	silentRetention = 15 * time.Second
	// announceTimeout is how long a new leader waits for listed agents that do not announce
	// themselves: the lease plus one slow fetch of the whole state.
	announceTimeout = leaseDuration + fullPollTimeout
	// announceTimeoutAfterOutage replaces announceTimeout after an outage of the whole
	// deployment. An agent that survived it finds the leader within this time: it tries to
	// connect to each instance, queries one during the election, waits for the next round and
	// connects again. Agents that return later have lost their flows like the others.
	announceTimeoutAfterOutage = leaderQueryTimeout/connectTimeoutDivisor + electionWait + pollInterval + leaderQueryTimeout/connectTimeoutDivisor
	// outageRestartShare is the share of listed agents that must have just started together with
	// their targets or without one, with no other agent having announced itself, for an outage to
	// be assumed. One host in ten may be missing.
	outageRestartShare = 0.9
	// contactCheckPeriod is how often the leader checks the wait for missing agents and
	// recomputes the oldest contact with an agent.
	contactCheckPeriod = 20 * time.Millisecond
	// typicalLoadPeriod is how often the typical loads are recomputed: a quarter of the time between
	// an agent's polls.
	typicalLoadPeriod = 125 * time.Millisecond
	// maxRemovals bounds the retained removals. A node that missed more gets the whole
	// registry.
	maxRemovals = 1024
)

// record is an announcement with the time of its last renewal and the revision of its last
// change.
type record struct {
	announcement *fleetwire.Announcement
	// revision is the registry's revision at the last change, or 0 until the agent is listed.
	revision  uint64
	lastHeard time.Time
}

// vacancy is an agent's statement that it has no target.
type vacancy struct {
	start, serial uint64
	// fresh is set if the agent had just started.
	fresh bool
	// listed is set if the agent was on the list in the log when it stated this.
	listed bool
}

// Reasons why a registry is complete.
const (
	completeAllReturned = "all agents returned"
	completeOutage      = "restart after an outage"
	completeTimeout     = "wait timed out"
)

// completion describes the moment at which a registry became complete.
type completion struct {
	reason    string
	termStart time.Time
	// announced counts the agents that have announced themselves, fresh those of them that have just
	// started with their targets, vacant those without a target, and missing all others on the list.
	announced, fresh, vacant, missing int
}

type removal struct {
	agent    string
	revision uint64
}

// registry holds the agents known to the leader. An agent is published to nodes, which then
// send it flows, only once it is on the list in the log. A later leader can therefore determine
// whether every agent that may hold flows has announced itself. The zero value is not usable.
type registry struct {
	mu sync.Mutex
	// term identifies the leadership that this registry belongs to.
	term      uint64
	termStart time.Time
	revision  uint64
	records   map[string]*record
	// removals is in ascending order of revision. Those up to revision removalFloor have been
	// discarded.
	removals     []removal
	removalFloor uint64
	changed      chan struct{}

	// listed has the agents on the list in the log. It is nil until the list is known to
	// include all changes of earlier terms.
	listed map[string]bool
	// missing has the listed agents that have neither announced themselves nor stated in this term
	// that they have no target.
	missing map[string]bool
	// vacant has the agents that have stated in this term that they have no target. None of them has
	// a record or is in missing.
	vacant map[string]vacancy
	// completed is set once the registry is complete, and nil again once it was taken.
	completed       *completion
	completionTaken bool
	// announceWaitOver is set once missing agents have had enough time to announce themselves.
	announceWaitOver bool
	// startedEmpty is set if the list was empty when the term began. The first agents of a
	// deployment are not on it, so an empty missing does not mean that all have announced themselves.
	startedEmpty bool
	// oldestContact is the earliest of the times of the leader's last contact with each agent
	// that is not silent, as of contactCheckedAt.
	oldestContact, contactCheckedAt time.Time
	// listUpdate holds a value when the list in the log may differ from the records.
	listUpdate chan struct{}
	// typical has the typical load of each service as of typicalAt.
	typical   map[string]TypicalLoad
	typicalAt time.Time
}

func newRegistry() *registry {
	return &registry{records: map[string]*record{}, vacant: map[string]vacancy{}, changed: make(chan struct{}), listUpdate: make(chan struct{}, 1)}
}

// startTerm clears the registry when a new term of leadership begins.
func (g *registry) startTerm(term uint64, now time.Time) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.term == term {
		return
	}
	g.term, g.termStart, g.revision = term, now, 0
	g.records, g.removals, g.removalFloor = map[string]*record{}, nil, 0
	g.listed, g.missing, g.announceWaitOver = nil, nil, false
	g.vacant, g.completed, g.completionTaken = map[string]vacancy{}, nil, false
	g.notify()
	g.requestListUpdate()
}

// requestListUpdate wakes the goroutine that updates the list in the log.
func (g *registry) requestListUpdate() {
	select {
	case g.listUpdate <- struct{}{}:
	default:
	}
}

// listKnown reports whether the list is known in a term.
func (g *registry) listKnown(term uint64) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.term == term && g.listed != nil
}

// setList stores the list of agents in the log and publishes the records of listed agents. The
// first list of a term must include all changes of earlier terms.
func (g *registry) setList(term uint64, agents []string) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.term != term {
		return
	}
	firstOfTerm := g.listed == nil
	g.listed = make(map[string]bool, len(agents))
	for _, agent := range agents {
		g.listed[agent] = true
	}
	if firstOfTerm {
		g.startedEmpty, g.missing = len(agents) == 0, map[string]bool{}
		for _, agent := range agents {
			v, vacant := g.vacant[agent]
			switch {
			case vacant:
				v.listed = true
				g.vacant[agent] = v
			case g.records[agent] == nil:
				g.missing[agent] = true
			}
		}
		if g.complete() {
			g.revision++ // so that no poll is held that has seen the registry incomplete
			g.recordCompletion(completeAllReturned)
		}
	}
	changed := firstOfTerm
	for agent, r := range g.records {
		if r.revision == 0 && g.listed[agent] {
			g.revision++
			r.revision, changed = g.revision, true
		}
	}
	if changed {
		g.notify()
	}
}

// takeListChange returns the agents to add to the list and those to remove from it. Agents to
// remove count as unlisted at once: if one returns before the change is committed, it must be
// listed again.
func (g *registry) takeListChange() (joined, left []string) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.listed == nil {
		return nil, nil
	}
	for agent := range g.records {
		if !g.listed[agent] {
			joined = append(joined, agent)
		}
	}
	for agent := range g.listed {
		if g.records[agent] == nil && !g.missing[agent] {
			left = append(left, agent)
		}
	}
	for _, agent := range left {
		delete(g.listed, agent)
	}
	slices.Sort(joined)
	slices.Sort(left)
	return joined, left
}

// complete reports whether every agent that may hold flows has announced itself or had enough
// time to do so. mu is held.
func (g *registry) complete() bool {
	return g.announceWaitOver || g.listed != nil && !g.startedEmpty && len(g.missing) == 0
}

// checkAnnounceWait ends the wait for missing agents once it has timed out. Agents that are
// partitioned or slow may still hold flows, so they are recorded as silent and expire like
// others. mu is held.
func (g *registry) checkAnnounceWait(now time.Time) {
	since := now.Sub(g.termStart)
	switch {
	case g.announceWaitOver || g.listed == nil:
		return
	case since > announceTimeout:
		g.recordCompletion(completeTimeout)
	case since > announceTimeoutAfterOutage && g.restartedAfterOutage():
		g.recordCompletion(completeOutage)
	default:
		return
	}
	g.announceWaitOver = true
	g.revision++
	for agent := range g.missing {
		a := &fleetwire.Announcement{Agent: agent, State: fleetwire.State_STATE_SILENT}
		g.records[agent] = &record{announcement: a, revision: g.revision, lastHeard: g.termStart}
	}
	clear(g.missing)
	g.notify()
}

// recordCompletion records the first moment of the term at which the registry is complete. mu is held.
func (g *registry) recordCompletion(reason string) {
	if g.completed != nil || g.completionTaken {
		return
	}
	x := &completion{reason: reason, termStart: g.termStart, announced: len(g.records), missing: len(g.missing)}
	for _, r := range g.records {
		if r.announcement.GetFresh() {
			x.fresh++
		}
	}
	for _, v := range g.vacant {
		if v.listed {
			x.vacant++
		}
	}
	g.completed = x
}

// takeCompletion returns the moment at which the registry became complete, once in a term.
func (g *registry) takeCompletion() (completion, bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.completed == nil {
		return completion{}, false
	}
	x := *g.completed
	g.completed, g.completionTaken = nil, true
	return x, true
}

// restartedAfterOutage reports whether every agent that has announced itself has just started together
// with its target, every one without a target has just started, and both are at least
// outageRestartShare of the listed agents. mu is held.
func (g *registry) restartedAfterOutage() bool {
	if g.startedEmpty {
		return false
	}
	fresh, listed := 0, len(g.listed)
	for agent, v := range g.vacant {
		switch {
		case !v.listed:
			continue
		case !v.fresh:
			return false // the agent survived
		case !g.listed[agent]:
			listed++ // it has been taken off the list since
		}
		fresh++
	}
	for agent, r := range g.records {
		if !r.announcement.GetFresh() {
			return false
		}
		if g.listed[agent] {
			fresh++
		}
	}
	return float64(fresh) >= outageRestartShare*float64(listed)
}

// notify wakes waiting polls. mu is held.
func (g *registry) notify() {
	close(g.changed)
	g.changed = make(chan struct{})
}

// wake wakes waiting polls for a change outside the registry.
func (g *registry) wake() {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.notify()
}

// renew renews an agent's lease and reports whether its record is new. Announcements that
// differ only in the load do not wake waiting polls.
func (g *registry) renew(a *fleetwire.Announcement, now time.Time) (joined bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	old := g.records[a.GetAgent()]
	if old != nil && old.announcement.GetStart() == a.GetStart() && a.GetSerial() < old.announcement.GetSerial() {
		return false
	}
	if v, ok := g.vacant[a.GetAgent()]; ok && v.start == a.GetStart() && a.GetSerial() < v.serial {
		return false
	}
	r := &record{announcement: a, lastHeard: now}
	g.records[a.GetAgent()] = r
	delete(g.vacant, a.GetAgent())
	if g.missing[a.GetAgent()] {
		delete(g.missing, a.GetAgent())
		if g.complete() {
			g.recordCompletion(completeAllReturned)
		}
	}
	if !g.listed[a.GetAgent()] {
		g.requestListUpdate()
		return old == nil
	}
	if old != nil && old.announcement.GetStart() == a.GetStart() && old.announcement.GetSerial() == a.GetSerial() && old.announcement.GetState() == a.GetState() {
		r.revision = old.revision
		return false
	}
	g.revision++
	r.revision = g.revision
	g.notify()
	return old == nil
}

// vacate records that an agent has no target and reports whether that is new. Its record, if it has
// one, is removed. A vacancy does not count if it was stated to a leader of another term, or if it is older than
// the agent's announcement. It is no lease: a target that starts later is announced, and the agent
// is put on the list again before it gets flows.
func (g *registry) vacate(term uint64, x *fleetwire.Vacancy) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	agent := x.GetAgent()
	r, v := g.records[agent], g.vacant[agent]
	switch {
	case g.term != term:
		return false
	case r != nil && supersedes(r.announcement.GetStart(), r.announcement.GetSerial(), x):
		return false
	case supersedes(v.start, v.serial, x):
		return false
	case g.listed != nil && !g.listed[agent] && r == nil:
		return false // nothing depends on it
	}
	_, known := g.vacant[agent]
	g.vacant[agent] = vacancy{start: x.GetStart(), serial: x.GetSerial(), fresh: x.GetFresh(), listed: v.listed || g.listed[agent]}
	g.removeLocked(agent)
	if g.missing[agent] {
		delete(g.missing, agent)
		g.requestListUpdate()
		if g.complete() {
			g.recordCompletion(completeAllReturned)
			g.revision++
			g.notify()
		}
	}
	return !known
}

// supersedes reports whether what an agent stated with a start and a serial is newer than a vacancy of
// that agent, or the same.
func supersedes(start, serial uint64, x *fleetwire.Vacancy) bool {
	return start > x.GetStart() || start == x.GetStart() && serial >= x.GetSerial()
}

// remove deletes an agent's record and reports whether there was one.
func (g *registry) remove(agent string) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.removeLocked(agent)
}

func (g *registry) removeLocked(agent string) bool {
	if g.records[agent] == nil {
		return false
	}
	delete(g.records, agent)
	g.requestListUpdate()
	g.revision++
	g.removals = append(g.removals, removal{agent, g.revision})
	if n := len(g.removals) - maxRemovals; n > 0 {
		g.removalFloor = g.removals[n-1].revision
		g.removals = g.removals[n:]
	}
	g.notify()
	return true
}

// expire marks records whose lease has ended as silent and returns their agents. It removes
// records older than silentRetention and checks the wait for missing agents.
func (g *registry) expire(now time.Time) (expired []string) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.checkAnnounceWait(now)
	for agent, r := range g.records {
		switch silent := now.Sub(r.lastHeard); {
		case silent > silentRetention:
			g.removeLocked(agent)
		case silent > leaseDuration && r.announcement.GetState() != fleetwire.State_STATE_SILENT:
			r.announcement = proto.CloneOf(r.announcement)
			r.announcement.State = fleetwire.State_STATE_SILENT
			if g.listed[agent] {
				g.revision++
				r.revision = g.revision
				g.notify()
			}
			expired = append(expired, agent)
		}
	}
	return expired
}

// watch returns the term, the revision and a channel that is closed at the next change.
func (g *registry) watch() (term, revision uint64, changed <-chan struct{}) {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.term, g.revision, g.changed
}

// fillChanges adds the changes after a revision of a term to a reply.
func (g *registry) fillChanges(term, revision uint64, now time.Time, out *fleetwire.PollReply) {
	g.mu.Lock()
	defer g.mu.Unlock()
	out.HeardMs = uint64(g.oldestContactAge(now).Milliseconds())
	out.Term, out.Registry = g.term, g.revision
	out.Complete = g.complete()
	out.All = term != g.term || revision < g.removalFloor || revision > g.revision
	if out.GetAll() {
		revision = 0
	}
	if revision == g.revision {
		return // most polls return without changes
	}
	for _, r := range g.records {
		if r.revision > revision {
			out.Announcements = append(out.Announcements, r.announcement)
		}
	}
	if out.GetAll() {
		return
	}
	for _, x := range g.removals {
		if r := g.records[x.agent]; x.revision > revision && (r == nil || r.revision == 0) {
			out.Removed = append(out.Removed, x.agent)
		}
	}
}

// oldestContactAge returns the age of the oldest contact with an agent that is not silent. It
// also checks the wait for missing agents. mu is held.
func (g *registry) oldestContactAge(now time.Time) time.Duration {
	if now.Sub(g.contactCheckedAt) > contactCheckPeriod {
		g.contactCheckedAt, g.oldestContact = now, now
		g.checkAnnounceWait(now)
		for _, r := range g.records {
			if r.announcement.GetState() != fleetwire.State_STATE_SILENT && r.lastHeard.Before(g.oldestContact) {
				g.oldestContact = r.lastHeard
			}
		}
	}
	return now.Sub(g.oldestContact)
}

// typicalLoad returns the typical load of the targets of a service.
func (g *registry) typicalLoad(service string, now time.Time) TypicalLoad {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.typical == nil || now.Sub(g.typicalAt) > typicalLoadPeriod || now.Before(g.typicalAt) {
		list := make([]*fleetwire.Announcement, 0, len(g.records))
		for _, r := range g.records {
			list = append(list, r.announcement)
		}
		g.typical, g.typicalAt = TypicalLoads(list), now
	}
	return g.typical[service]
}

func (g *registry) size() int {
	g.mu.Lock()
	defer g.mu.Unlock()
	return len(g.records)
}
