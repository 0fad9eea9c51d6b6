package fleet

import (
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
	// gathering is how long a new leader's registry may lack live agents: as long as an
	// agent may be silent, and one slow fetch of the whole state.
	gathering = lease + wholeTimeout
	// removalLimit bounds the removals that are remembered. A node that missed more
	// gets the whole registry.
	removalLimit = 1024
)

// record is an announcement with the registry's bookkeeping.
type record struct {
	a *fleetwire.Announcement
	// revision rises with each change.
	revision uint64
	heard    time.Time
}

type removal struct {
	agent    string
	revision uint64
}

// registry is the leader's list of agents. The zero value is not usable.
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
}

func newRegistry() *registry {
	return &registry{records: map[string]*record{}, changed: make(chan struct{})}
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
	g.notify()
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
// that have been silent for long.
func (g *registry) expire(now time.Time) (ended []string) {
	g.mu.Lock()
	defer g.mu.Unlock()
	for agent, r := range g.records {
		switch silent := now.Sub(r.heard); {
		case silent > forgotten:
			g.drop(agent)
		case silent > lease && r.a.GetState() != fleetwire.State_STATE_SILENT:
			r.a = proto.CloneOf(r.a)
			r.a.State = fleetwire.State_STATE_SILENT
			g.revision++
			r.revision = g.revision
			g.notify()
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
	out.Term, out.Registry = g.term, g.revision
	out.Complete = now.Sub(g.began) > gathering
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
		if x.revision > revision && g.records[x.agent] == nil {
			out.Removed = append(out.Removed, x.agent)
		}
	}
}

func (g *registry) size() int {
	g.mu.Lock()
	defer g.mu.Unlock()
	return len(g.records)
}
