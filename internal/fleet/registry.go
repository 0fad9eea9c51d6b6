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
	// lease is how long an agent's record lasts without a poll: two polls of pollHold
	// and one of callTimeout may fail.
	lease = 3 * time.Second
	// forgotten is how long a silent agent's target may still hold flows that its agent
	// serves: cuts between nodes and control last for seconds.
	forgotten = 15 * time.Second
	// gathering is how long a new leader waits for agents on the list that do not announce
	// themselves: as long as an agent may be silent, and one slow fetch of the whole state.
	gathering = lease + fullPollTimeout
	// gatheringAnew is the same after an outage of the whole deployment. An agent that it spared
	// finds the leader once it has tried each instance, asked one during the election, and rested.
	// Agents that come back later have lost their flows with the others.
	gatheringAnew = leaderQueryTimeout/connectAttempts + searchHold + pollInterval + leaderQueryTimeout/connectAttempts
	// anew is the share of the agents on the list that shows such an outage, if they started
	// together with their targets and no other agent was heard of: all but one host in ten.
	anew = 0.9
	// agePeriod is how often the leader looks for missing agents, and for the one that it has
	// not heard of for the longest time.
	agePeriod = 20 * time.Millisecond
	// removalLimit bounds the removals that are remembered. A node that missed more
	// gets the whole registry.
	removalLimit = 1024
)

// record is an announcement with the registry's bookkeeping.
type record struct {
	a *fleetwire.Announcement
	// revision rises with each change. It is 0 until the agent is on the list.
	revision uint64
	heard    time.Time
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
	term     uint64
	began    time.Time
	revision uint64
	records  map[string]*record
	// removals is in ascending order; those up to dropped are no longer in it.
	removals []removal
	dropped  uint64
	changed  chan struct{}

	// listed has the agents on the list. It is nil until the list of this term is known, which
	// includes all changes of earlier terms.
	listed map[string]bool
	// missing are the agents on the list that have not announced themselves in this term.
	missing map[string]bool
	// gathered is set once the agents that are missing had the time to announce themselves.
	gathered bool
	// first is set while the list was empty when the term began: the first agents of a
	// deployment are not on it.
	first bool
	// heard is when the leader last heard of the agent that it has not heard of for the longest
	// time, as of agedAt.
	heard, agedAt time.Time
	// unlisted has a value when the list may differ from the records.
	unlisted chan struct{}
}

func newRegistry() *registry {
	return &registry{records: map[string]*record{}, changed: make(chan struct{}), unlisted: make(chan struct{}, 1)}
}

// begin empties the registry for a new leadership.
func (g *registry) begin(term uint64, now time.Time) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.term == term {
		return
	}
	g.term, g.began, g.revision = term, now, 0
	g.records, g.removals, g.dropped = map[string]*record{}, nil, 0
	g.listed, g.missing, g.gathered = nil, nil, false
	g.notify()
	g.relist()
}

// relist makes whoever keeps the list look at it.
func (g *registry) relist() {
	select {
	case g.unlisted <- struct{}{}:
	default:
	}
}

// known reports whether the list of the present term is known.
func (g *registry) known(term uint64) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.term == term && g.listed != nil
}

// list takes over the list of agents in the log. The first one of a term must include all
// changes of earlier terms.
func (g *registry) list(term uint64, agents []string) {
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
		g.first, g.missing = len(agents) == 0, map[string]bool{}
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

// listChange returns what the list lacks and what it has too much. What is about to leave the
// list counts as left: if it comes back meanwhile, it must be listed again.
func (g *registry) listChange() (joined, left []string) {
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
	return g.gathered || g.listed != nil && !g.first && len(g.missing) == 0
}

// gather ends the wait for missing agents. Those that are cut off or slow may still hold flows:
// they count as silent, and leave after as long as others.
func (g *registry) gather(now time.Time) {
	if since := now.Sub(g.began); g.gathered || g.listed == nil || since <= gathering && (since <= gatheringAnew || !g.startedAnew()) {
		return
	}
	g.gathered = true
	g.revision++
	for agent := range g.missing {
		a := &fleetwire.Announcement{Agent: agent, State: fleetwire.State_STATE_SILENT}
		g.records[agent] = &record{a: a, revision: g.revision, heard: g.began}
	}
	clear(g.missing)
	g.notify()
}

// startedAnew reports whether nearly all agents on the list have just started together with
// their targets, and no others were heard of.
func (g *registry) startedAnew() bool {
	if g.first {
		return false
	}
	fresh := 0
	for agent, r := range g.records {
		if !r.a.GetFresh() {
			return false
		}
		if g.listed[agent] {
			fresh++
		}
	}
	return float64(fresh) >= anew*float64(len(g.listed))
}

func (g *registry) notify() {
	close(g.changed)
	g.changed = make(chan struct{})
}

// hear renews the lease of an announcement and reports whether the record is new. Only
// changes of more than the load wake up waiting nodes.
func (g *registry) hear(a *fleetwire.Announcement, now time.Time) (joined bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	old := g.records[a.GetAgent()]
	if old != nil && old.a.GetStart() == a.GetStart() && a.GetSerial() < old.a.GetSerial() {
		return false
	}
	r := &record{a: a, heard: now}
	g.records[a.GetAgent()] = r
	delete(g.missing, a.GetAgent())
	if !g.listed[a.GetAgent()] {
		g.relist()
		return old == nil
	}
	if old != nil && old.a.GetStart() == a.GetStart() && old.a.GetSerial() == a.GetSerial() && old.a.GetState() == a.GetState() {
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
	return g.drop(agent)
}

func (g *registry) drop(agent string) bool {
	if g.records[agent] == nil {
		return false
	}
	delete(g.records, agent)
	g.relist()
	g.revision++
	g.removals = append(g.removals, removal{agent, g.revision})
	if n := len(g.removals) - removalLimit; n > 0 {
		g.dropped = g.removals[n-1].revision
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
	g.gather(now)
	for agent, r := range g.records {
		switch silent := now.Sub(r.heard); {
		case silent > forgotten:
			g.drop(agent)
		case silent > lease && r.a.GetState() != fleetwire.State_STATE_SILENT:
			r.a = proto.CloneOf(r.a)
			r.a.State = fleetwire.State_STATE_SILENT
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

// since fills in what changed after a revision of a term.
func (g *registry) since(term, revision uint64, now time.Time, out *fleetwire.PollReply) {
	g.mu.Lock()
	defer g.mu.Unlock()
	out.HeardMs = uint64(g.oldest(now).Milliseconds())
	out.Term, out.Registry = g.term, g.revision
	out.Complete = g.complete()
	out.All = term != g.term || revision < g.dropped || revision > g.revision
	if out.GetAll() {
		revision = 0
	}
	if revision == g.revision {
		return // most polls end without news
	}
	for _, r := range g.records {
		if r.revision > revision {
			out.Announcements = append(out.Announcements, r.a)
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

// oldest ends the wait for missing agents if it is time, and returns how long ago the leader heard of the agent that it has not heard of for the
// longest time, silent ones left out.
func (g *registry) oldest(now time.Time) time.Duration {
	if now.Sub(g.agedAt) > agePeriod {
		g.agedAt, g.heard = now, now
		g.gather(now)
		for _, r := range g.records {
			if r.a.GetState() != fleetwire.State_STATE_SILENT && r.heard.Before(g.heard) {
				g.heard = r.heard
			}
		}
	}
	return now.Sub(g.heard)
}

func (g *registry) size() int {
	g.mu.Lock()
	defer g.mu.Unlock()
	return len(g.records)
}
