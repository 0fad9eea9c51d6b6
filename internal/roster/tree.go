package roster

import (
	"bytes"
	"fmt"
	"maps"
	"slices"
	"strings"

	"mangokeel/internal/wire"
	"mangokeel/pkg/settings"
)

const (
	// maxHistory bounds the accepted changes kept for each team.
	maxHistory = 256
	// maxOutcomes bounds the outcomes kept for resends, across all teams. At
	// 18,000 changes a day this covers more than a day.
	maxOutcomes = 20000
)

// The kinds of documents.
const (
	kindServices = "services"
	kindZones    = "zones"
	kindDrains   = "drains"
)

// team is one team's subtree.
type team struct {
	name string
	// revision is that of the last accepted change. It never falls.
	revision  uint64
	documents map[string]string
	// history is in rising order of revision.
	history []*wire.HistoryEntry
	// keys maps the names of keys to the SHA-256 hashes of their values.
	keys map[string][]byte
}

func (m *Machine) team(name string) *team {
	t := m.teams[name]
	if t == nil {
		t = &team{name: name, documents: map[string]string{}, keys: map[string][]byte{}}
		m.teams[name] = t
	}
	return t
}

// outcomes keeps the answers to changes for resends.
type outcomes struct {
	byID map[string]*wire.Outcome
	// order has the ids, oldest first.
	order []string
}

func (o *outcomes) store(id string, x *wire.Outcome) {
	o.byID[id] = x
	o.order = append(o.order, id)
	if len(o.order) > maxOutcomes {
		delete(o.byID, o.order[0])
		o.order = o.order[1:]
	}
}

// once executes fn unless an outcome is stored under the team's change id.
func (s *step) once(team, id string, fn func() *wire.Outcome) *wire.Outcome {
	if id == "" {
		return refused(wire.Code_CODE_INVALID, "", "the change has no id")
	}
	key := team + "/" + id
	if o := s.m.outcomes.byID[key]; o != nil {
		return o
	}
	o := fn()
	s.m.outcomes.store(key, o)
	return o
}

// draft is a change after its check.
type draft struct {
	team string
	// documents has the new value of each path; empty deletes it.
	documents map[string]string
	services  map[string]*settings.Service
}

// change executes a change as a whole or not at all.
func (s *step) change(c *wire.Change) *wire.Outcome {
	if !settings.NameOK(c.GetTeam()) {
		return refused(wire.Code_CODE_INVALID, c.GetTeam(), "not a team's name")
	}
	var present uint64
	if t := s.m.teams[c.GetTeam()]; t != nil {
		present = t.revision
	}
	if present != c.GetBase() {
		return &wire.Outcome{Code: wire.Code_CODE_CONFLICT, Revision: present, Reason: "the subtree has changed since the base revision"}
	}
	d, bad := s.m.draft(c)
	if bad != nil {
		return bad
	}
	s.accept(c, d)
	return accepted(s.revision)
}

// draft checks all items of a change.
func (m *Machine) draft(c *wire.Change) (*draft, *wire.Outcome) {
	d := &draft{team: c.GetTeam(), documents: map[string]string{}, services: map[string]*settings.Service{}}
	if len(c.GetItems()) == 0 {
		return nil, refused(wire.Code_CODE_INVALID, "", "the change has no items")
	}
	for _, it := range c.GetItems() {
		if code, reason := d.add(it); reason != "" {
			return nil, refused(code, it.GetPath(), reason)
		}
	}
	if bad := m.checkBuckets(d); bad != nil {
		return nil, bad
	}
	return d, m.checkAddresses(d)
}

// checkBuckets refuses another number of buckets for a service that exists.
func (m *Machine) checkBuckets(d *draft) *wire.Outcome {
	for _, path := range slices.Sorted(maps.Keys(d.services)) {
		svc := m.services[m.index.paths[path]]
		if svc == nil {
			continue
		}
		if n := svc.record.GetBuckets(); n != d.services[path].BucketCount() {
			return refused(wire.Code_CODE_INVALID, path, fmt.Sprintf("buckets: the service has %d for life", n))
		}
	}
	return nil
}

// add checks one item. It returns a reason when the item is refused.
func (d *draft) add(it *wire.Item) (wire.Code, string) {
	team, kind, last, ok := SplitPath(it.GetPath())
	if !ok {
		return wire.Code_CODE_INVALID, "not a path such as /TEAM/services/NAME, /TEAM/zones/NAME or /TEAM/drains/HOST"
	}
	if team != d.team {
		return wire.Code_CODE_DENIED, "outside of the subtree of team " + d.team
	}
	if _, twice := d.documents[it.GetPath()]; twice {
		return wire.Code_CODE_INVALID, "the path occurs twice"
	}
	d.documents[it.GetPath()] = it.GetValue()
	if it.GetValue() == "" {
		return wire.Code_CODE_ACCEPTED, ""
	}
	if err := d.parse(kind, last, it); err != nil {
		return wire.Code_CODE_INVALID, err.Error()
	}
	return wire.Code_CODE_ACCEPTED, ""
}

func (d *draft) parse(kind, _ string, it *wire.Item) error {
	b := []byte(it.GetValue())
	switch kind {
	case kindServices:
		var x settings.Service
		if err := settings.Parse(b, &x); err != nil {
			return err
		}
		d.services[it.GetPath()] = &x
		return nil
	case kindZones:
		return settings.Parse(b, &settings.Zone{})
	}
	return settings.Parse(b, &settings.Drain{})
}

// checkAddresses refuses an address that another service has after the change.
func (m *Machine) checkAddresses(d *draft) *wire.Outcome {
	claimed := map[string]string{}
	for _, path := range slices.Sorted(maps.Keys(d.services)) {
		a := d.services[path].Address.String()
		if other := claimed[a]; other != "" {
			return refused(wire.Code_CODE_INVALID, path, "address: "+a+" is the address of "+other)
		}
		claimed[a] = path
		id, taken := m.index.addresses[a]
		if !taken {
			continue
		}
		owner := m.services[id].record
		other := pathOf(owner)
		if _, changes := d.documents[other]; !changes {
			return refused(wire.Code_CODE_INVALID, path, "address: "+a+" is the address of another service"+visible(owner, d.team))
		}
	}
	return nil
}

// visible names a service to its own team only.
func visible(x *wire.Service, team string) string {
	if x.GetTeam() != team {
		return ""
	}
	return ", " + pathOf(x)
}

func pathOf(x *wire.Service) string {
	return "/" + x.GetTeam() + "/" + kindServices + "/" + x.GetName()
}

// accept executes a checked change.
func (s *step) accept(c *wire.Change, d *draft) {
	t := s.m.team(c.GetTeam())
	t.revision = s.revision
	t.record(&wire.HistoryEntry{Revision: s.revision, Team: t.name, Author: c.GetAuthor(), TimeMs: c.GetTimeMs(), Edits: d.apply(t)})
	for _, path := range slices.Sorted(maps.Keys(d.documents)) {
		if _, kind, _, _ := SplitPath(path); kind == kindServices && d.services[path] == nil {
			if svc := s.m.services[s.m.index.paths[path]]; svc != nil {
				s.remove(svc, path)
			}
		}
	}
	for _, path := range slices.Sorted(maps.Keys(d.services)) {
		svc := s.m.services[s.m.index.paths[path]]
		if svc == nil {
			_, _, last, _ := SplitPath(path)
			svc = s.create(t.name, last, path, d.services[path].BucketCount())
		}
		s.configure(svc, d.services[path])
	}
	s.refresh(t)
}

// apply enters the documents and returns the edits in order of their paths.
func (d *draft) apply(t *team) []*wire.Edit {
	var edits []*wire.Edit
	for _, path := range slices.Sorted(maps.Keys(d.documents)) {
		value := d.documents[path]
		edits = append(edits, &wire.Edit{Path: path, Before: t.documents[path], After: value})
		if value == "" {
			delete(t.documents, path)
			continue
		}
		t.documents[path] = value
	}
	return edits
}

func (t *team) record(e *wire.HistoryEntry) {
	t.history = append(t.history, e)
	if len(t.history) > maxHistory {
		t.history = slices.Clone(t.history[len(t.history)-maxHistory:])
	}
}

// refresh applies the availability zones and drains of a team to its services.
func (s *step) refresh(t *team) {
	for _, id := range slices.Sorted(maps.Keys(s.m.services)) {
		svc := s.m.services[id]
		if svc.record.GetTeam() != t.name {
			continue
		}
		s.rezone(svc, t.zones(svc))
		for h, x := range svc.targets {
			switch {
			case s.m.drained(t.name, x.GetHost()):
				s.setState(h, wire.State_STATE_LEAVING)
			case !s.m.announced[h]:
				s.setState(h, wire.State_STATE_SERVING)
			}
		}
	}
}

// zones returns the configured zones of a service that are not taken out.
func (t *team) zones(svc *service) []string {
	var x settings.Service
	if err := settings.Parse([]byte(t.documents[pathOf(svc.record)]), &x); err != nil {
		return svc.record.GetZones()
	}
	var in []string
	for _, z := range x.Zones {
		var doc settings.Zone
		text := t.documents["/"+t.name+"/"+kindZones+"/"+z]
		if text == "" || (settings.Parse([]byte(text), &doc) == nil && doc.State != "out") {
			in = append(in, z)
		}
	}
	slices.Sort(in)
	return slices.Compact(in)
}

// drained reports whether a host of a team is drained.
func (m *Machine) drained(team, host string) bool {
	t := m.teams[team]
	return t != nil && t.documents["/"+team+"/"+kindDrains+"/"+host] != ""
}

// SplitPath splits /TEAM/KIND/NAME. It is false for any other form.
func SplitPath(path string) (team, kind, last string, ok bool) {
	parts := strings.Split(path, "/")
	if len(parts) != 4 || parts[0] != "" || !settings.NameOK(parts[1]) || !settings.NameOK(parts[3]) {
		return "", "", "", false
	}
	if !slices.Contains([]string{kindServices, kindZones, kindDrains}, parts[2]) {
		return "", "", "", false
	}
	return parts[1], parts[2], parts[3], true
}

// key issues or revokes a key.
func (s *step) key(x *wire.KeyChange) *wire.Outcome {
	if !settings.NameOK(x.GetTeam()) || !settings.NameOK(x.GetName()) {
		return refused(wire.Code_CODE_INVALID, x.GetTeam(), "team and name are required")
	}
	t := s.m.team(x.GetTeam())
	if x.GetRevoke() {
		if t.keys[x.GetName()] == nil {
			return refused(wire.Code_CODE_INVALID, x.GetName(), "no such key")
		}
		delete(t.keys, x.GetName())
		return accepted(s.revision)
	}
	if len(x.GetHash()) != keyHashLen {
		return refused(wire.Code_CODE_INVALID, x.GetName(), "the hash does not have 32 bytes")
	}
	if t.keys[x.GetName()] != nil {
		return refused(wire.Code_CODE_INVALID, x.GetName(), "the key exists")
	}
	t.keys[x.GetName()] = x.GetHash()
	return accepted(s.revision)
}

// keyHashLen is the length of a SHA-256 hash in bytes.
const keyHashLen = 32

// Author returns the name of the team's key with a hash. It is false when the
// team has no such key.
func (m *Machine) Author(team string, hash []byte) (string, bool) {
	m.mu.RLock()
	defer m.mu.RUnlock()
	t := m.teams[team]
	if t == nil {
		return "", false
	}
	for n, h := range t.keys {
		if bytes.Equal(h, hash) {
			return team + "/" + n, true
		}
	}
	return "", false
}

// Get returns the documents at and below a path in order of their paths, and the
// revision of the team's subtree. The path / has the documents of all teams and
// the revision of the state.
func (m *Machine) Get(path string) (items []*wire.Item, revision uint64) {
	m.mu.RLock()
	defer m.mu.RUnlock()
	if path == "/" {
		for _, n := range slices.Sorted(maps.Keys(m.teams)) {
			items = append(items, m.teams[n].below("/"+n)...)
		}
		return items, m.revision
	}
	t := m.teams[TeamOf(path)]
	if t == nil {
		return nil, 0
	}
	return t.below(path), t.revision
}

func (t *team) below(path string) (items []*wire.Item) {
	for _, p := range slices.Sorted(maps.Keys(t.documents)) {
		if p == path || strings.HasPrefix(p, strings.TrimSuffix(path, "/")+"/") {
			items = append(items, &wire.Item{Path: p, Value: t.documents[p]})
		}
	}
	return items
}

// TeamOf returns the team that a path begins with.
func TeamOf(path string) string {
	team, _, _ := strings.Cut(strings.TrimPrefix(path, "/"), "/")
	return team
}

// History returns the team's accepted changes after a revision and the subtree's
// revision. It is false when older changes than those kept would be needed.
func (m *Machine) History(name string, after uint64) (entries []*wire.HistoryEntry, revision uint64, whole bool) {
	m.mu.RLock()
	defer m.mu.RUnlock()
	t := m.teams[name]
	if t == nil {
		return nil, 0, true
	}
	i := slices.IndexFunc(t.history, func(e *wire.HistoryEntry) bool { return e.GetRevision() > after })
	if i < 0 {
		return nil, t.revision, true
	}
	return slices.Clone(t.history[i:]), t.revision, i > 0 || len(t.history) < maxHistory
}

// Diff returns the edits that lead from the state before the first entry to the
// state at a revision, in order of their paths. Revision 0 is the last entry's.
func Diff(entries []*wire.HistoryEntry, until uint64) []*wire.Edit {
	edits := map[string]*wire.Edit{}
	for _, e := range entries {
		if until != 0 && e.GetRevision() > until {
			break
		}
		for _, x := range e.GetEdits() {
			d := edits[x.GetPath()]
			if d == nil {
				d = &wire.Edit{Path: x.GetPath(), Before: x.GetBefore()}
				edits[x.GetPath()] = d
			}
			d.After = x.GetAfter()
		}
	}
	var out []*wire.Edit
	for _, p := range slices.Sorted(maps.Keys(edits)) {
		if edits[p].GetBefore() != edits[p].GetAfter() {
			out = append(out, edits[p])
		}
	}
	return out
}
