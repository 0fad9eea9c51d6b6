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
	// leaseDuration is how long an agent's record lasts without a poll: two polls of pollHold
	// and one of callTimeout may fail.
	leaseDuration = 3 * time.Second
	// silentRetention is how long a silent agent's target may still hold flows that its agent
	// serves: cuts between nodes and control last for seconds.
	silentRetention = 15 * time.Second
	// announceTimeout is how long a new leader waits for agents on the list that do not announce
	// themselves: as long as an agent may be silent, and one slow fetch of the whole state.
	announceTimeout = leaseDuration + fullPollTimeout
	// announceTimeoutAfterOutage is the same after an outage of the whole deployment. An agent that it spared
	// finds the leader once it has tried each instance, asked one during the election, and rested.
	// Agents that come back later have lost their flows with the others.
	announceTimeoutAfterOutage = leaderQueryTimeout/connectTimeoutDivisor + electionWait + pollInterval + leaderQueryTimeout/connectTimeoutDivisor
	// outageRestartShare is the share of the agents on the list that shows such an outage, if they started
	// together with their targets and no other agent was heard of: all but one host in ten.
	outageRestartShare = 0.9
	// contactCheckPeriod is how often the leader looks for missing agents, and for the one that it has
	// not heard of for the longest time.
	contactCheckPeriod = 20 * time.Millisecond
	// maxRemovals bounds the removals that are remembered. A node that missed more
	// gets the whole registry.
	maxRemovals = 1024
)

// record is an announcement with the registry's bookkeeping.
type record struct {
	announcement *fleetwire.Announcement
	// revision rises with each change. It is 0 until the agent is on the list.
	revision  uint64
	lastHeard time.Time
}

type removal struct {
	agent    string
	revision uint64
}

// registry is the leader's record of agents. Nodes hear of an agent, and so send it flows, only
// once it is on the list in the log. A later leader therefore knows that it has heard of every
// agent that may hold flows. The zero value is not usable.
type registry struct {
	mu sync.Mutex
	// term tells registries of different leaderships apart.
	term      uint64
	termStart time.Time
	revision  uint64
	records   map[string]*record
	// removals is in ascending order; those up to dropped are no longer in it.
	removals     []removal
	removalFloor uint64
	changed      chan struct{}

	// listed has the agents on the list. It is nil until the list of this term is known, which
	// includes all changes of earlier terms.
	listed map[string]bool
	// missing are the agents on the list that have not announced themselves in this term.
	missing map[string]bool
	// announceWaitOver is set once the agents that are missing had the time to announce themselves.
	announceWaitOver bool
	// startedEmpty is set while the list was empty when the term began: the startedEmpty agents of a
	// deployment are not on it.
	startedEmpty bool
	// oldestContact is when the leader last oldestContact of the agent that it has not oldestContact of for the longest
	// time, as of contactCheckedAt.
	oldestContact, contactCheckedAt time.Time
	// listUpdate has a value when the list may differ from the records.
	listUpdate chan struct{}
}

func newRegistry() *registry {
	return &registry{records: map[string]*record{}, changed: make(chan struct{}), listUpdate: make(chan struct{}, 1)}
}

// startTerm empties the registry for a new leadership.
func (g *registry) startTerm(term uint64, now time.Time) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.term == term {
		return
	}
	g.term, g.termStart, g.revision = term, now, 0
	g.records, g.removals, g.removalFloor = map[string]*record{}, nil, 0
	g.listed, g.missing, g.announceWaitOver = nil, nil, false
	g.notify()
	g.requestListUpdate()
}

// requestListUpdate makes whoever keeps the list look at it.
func (g *registry) requestListUpdate() {
	select {
	case g.listUpdate <- struct{}{}:
	default:
	}
}

// listKnown reports whether the list of the present term is listKnown.
func (g *registry) listKnown(term uint64) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.term == term && g.listed != nil
}

// setList takes over the setList of agents in the log. The first one of a term must include all
// changes of earlier terms.
func (g *registry) setList(term uint64, agents []string) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.term != term {
		return
	}
	begins := g.listed == nil
	g.listed = make(map[string]bool, len(agents))
	for _, agent := range agents {
		g.listed[agent] = true
	}
	if begins {
		g.startedEmpty, g.missing = len(agents) == 0, map[string]bool{}
		for _, agent := range agents {
			if g.records[agent] == nil {
				g.missing[agent] = true
			}
		}
	}
	changed := begins
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

// takeListChange returns what the list lacks and what it has too much. What is about to leave the
// list counts as left: if it comes back meanwhile, it must be listed again.
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

// complete reports whether every agent that may hold flows was heard of, or had the time to
// announce itself.
func (g *registry) complete() bool {
	return g.announceWaitOver || g.listed != nil && !g.startedEmpty && len(g.missing) == 0
}

// checkAnnounceWait ends the wait for missing agents. Those that are cut off or slow may still hold flows:
// they count as silent, and leave after as long as others.
func (g *registry) checkAnnounceWait(now time.Time) {
	if since := now.Sub(g.termStart); g.announceWaitOver || g.listed == nil || since <= announceTimeout && (since <= announceTimeoutAfterOutage || !g.restartedAfterOutage()) {
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

// restartedAfterOutage reports whether nearly all agents on the list have just started together with
// their targets, and no others were heard of.
func (g *registry) restartedAfterOutage() bool {
	if g.startedEmpty {
		return false
	}
	fresh := 0
	for agent, r := range g.records {
		if !r.announcement.GetFresh() {
			return false
		}
		if g.listed[agent] {
			fresh++
		}
	}
	return float64(fresh) >= outageRestartShare*float64(len(g.listed))
}

func (g *registry) notify() {
	close(g.changed)
	g.changed = make(chan struct{})
}

// renew renews the lease of an announcement and reports whether the record is new. Only
// changes of more than the load wake up waiting nodes.
func (g *registry) renew(a *fleetwire.Announcement, now time.Time) (joined bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	old := g.records[a.GetAgent()]
	if old != nil && old.announcement.GetStart() == a.GetStart() && a.GetSerial() < old.announcement.GetSerial() {
		return false
	}
	r := &record{announcement: a, lastHeard: now}
	g.records[a.GetAgent()] = r
	delete(g.missing, a.GetAgent())
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

// remove ends a record.
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

// expire marks the records whose lease has ended, returns their agents, and removes those
// that have been silent for long. It also ends the wait for missing agents.
func (g *registry) expire(now time.Time) (ended []string) {
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
			ended = append(ended, agent)
		}
	}
	return ended
}

// watch returns the state of the registry and a channel that is closed at the next change.
func (g *registry) watch() (term, revision uint64, changed <-chan struct{}) {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.term, g.revision, g.changed
}

// fillChanges fills in what changed after a revision of a term.
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
		return // most polls end without news
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

// oldestContactAge ends the wait for missing agents if it is time, and returns how long ago the leader heard of the agent that it has not heard of for the
// longest time, silent ones left out.
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

func (g *registry) size() int {
	g.mu.Lock()
	defer g.mu.Unlock()
	return len(g.records)
}
