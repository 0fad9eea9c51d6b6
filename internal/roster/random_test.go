package roster_test

import (
	"fmt"
	"maps"
	"slices"
	"testing"

	"google.golang.org/protobuf/proto"
	"pgregory.net/rapid"

	"mangokeel"
	"mangokeel/internal/bucket"
	"mangokeel/internal/roster"
	"mangokeel/internal/view"
	"mangokeel/internal/wire"
)

// bucketKey is one bucket of one target.
type bucketKey struct {
	handle mangokeel.Handle
	bucket uint32
}

// world is a machine with nodes that follow it, and what the agents may hold.
type world struct {
	*driver
	t *rapid.T
	// may has the buckets a target ever owned and neither released nor left, with
	// the revision at which it lost the bucket, 0 while it owns it.
	may map[bucketKey]uint64
	// late are releases that were sent and have not arrived.
	late []*wire.Release
	// balancer and agent are views that lag by some changes.
	balancer, agent *view.View
}

var zones = []string{"port-louis", "plaisance", "ebene"}

func newWorld(t *rapid.T) *world {
	w := &world{driver: newDriver(), t: t, may: map[bucketKey]uint64{}, balancer: &view.View{}, agent: &view.View{}}
	w.force("sieste", dispatch, document)
	for i := range 4 {
		w.enter(i, zones[i%3])
	}
	return w
}

func (w *world) whole(role wire.Role) *view.State {
	var v view.View
	v.Apply(w.Update(0, role, 1))
	return v.State()
}

func (w *world) live() []mangokeel.Handle {
	var out []mangokeel.Handle
	for _, t := range w.Targets() {
		out = append(out, mangokeel.Handle(t.GetHandle()))
	}
	slices.Sort(out)
	return out
}

// pick draws a live target, or 0 when there is none.
func (w *world) pick() mangokeel.Handle {
	live := w.live()
	if len(live) == 0 {
		return 0
	}
	return rapid.SampledFrom(live).Draw(w.t, "handle")
}

func (w *world) step() {
	zone := rapid.SampledFrom(zones).Draw(w.t, "zone")
	host := rapid.IntRange(0, 6).Draw(w.t, "host")
	h := uint32(w.pick())
	switch rapid.IntRange(0, 11).Draw(w.t, "op") {
	case 0, 1:
		w.enter(host, zones[host%3])
	case 2:
		w.apply(&wire.Command{Body: &wire.Command_Expire{Expire: &wire.Expire{Handles: []uint32{h}}}})
	case 3:
		gone := rapid.Bool().Draw(w.t, "gone")
		w.apply(&wire.Command{Body: &wire.Command_Leave{Leave: &wire.LeaveRequest{Role: wire.Role_ROLE_AGENT, Id: h, Incarnation: w.incarnations[h], Gone: gone}}})
	case 4, 5, 6:
		x := &wire.Weight{Handle: h, Weight: rapid.SampledFrom([]uint32{0, 32, 100, 256}).Draw(w.t, "weight")}
		w.apply(&wire.Command{Body: &wire.Command_Weights{Weights: &wire.Weights{Weights: []*wire.Weight{x}}}})
	case 7:
		state := rapid.SampledFrom([]string{"in", "out"}).Draw(w.t, "state")
		w.force("sieste", "/sieste/zones/"+zone, "state: "+state+"\n")
	case 8:
		w.force("sieste", fmt.Sprintf("/sieste/drains/host%d", host), rapid.SampledFrom([]string{"", "reason: test\n"}).Draw(w.t, "drain"))
	case 9:
		w.send(mangokeel.Handle(h))
	case 10:
		w.deliver()
	case 11:
		w.restore()
	}
}

// send makes a release under the present epoch for the buckets that a target
// does not own.
func (w *world) send(h mangokeel.Handle) {
	svc := w.whole(wire.Role_ROLE_BALANCER).Service(1)
	var set bucket.Bitmap
	for b := range svc.GetBuckets() {
		if owner, _ := svc.Table.Owner(b); owner != h {
			set = set.With(b)
		}
	}
	w.late = append(w.late, &wire.Release{Handle: uint32(h), Epoch: uint64(svc.Epoch), Buckets: set})
}

// deliver applies one release, in any order. The release counts for the buckets
// that the target had lost by then and did not own again since.
func (w *world) deliver() {
	if len(w.late) == 0 {
		return
	}
	i := rapid.IntRange(0, len(w.late)-1).Draw(w.t, "release")
	x := w.late[i]
	w.late = slices.Delete(w.late, i, i+1)
	w.apply(&wire.Command{Body: &wire.Command_Release{Release: x}})
	maps.DeleteFunc(w.may, func(k bucketKey, lost uint64) bool {
		return uint32(k.handle) == x.GetHandle() && lost != 0 && lost <= x.GetEpoch() && bucket.Bitmap(x.GetBuckets()).Has(k.bucket)
	})
}

// restore continues on a machine restored from a snapshot.
func (w *world) restore() {
	b, err := w.Snapshot()
	if err != nil {
		w.t.Fatal(err)
	}
	w.Machine = roster.New()
	if err := w.Restore(w.revision, b); err != nil {
		w.t.Fatal(err)
	}
}

// check compares the chains with what targets may hold.
func (w *world) check() {
	svc := w.whole(wire.Role_ROLE_BALANCER).Service(1)
	open := func(h mangokeel.Handle) bool { t := svc.Targets[h]; return t != nil && t.Open }
	maps.DeleteFunc(w.may, func(k bucketKey, _ uint64) bool { return !open(k.handle) })
	for b := range svc.GetBuckets() {
		owner, ok := svc.Table.Owner(b)
		if ok {
			w.may[bucketKey{owner, b}] = 0
		}
	}
	for k, lost := range w.may {
		owner, _ := svc.Table.Owner(k.bucket)
		if owner == k.handle {
			continue
		}
		if lost == 0 {
			w.may[k] = uint64(w.revision)
		}
		if !svc.Targets[k.handle].Held.Has(k.bucket) {
			w.t.Fatalf("revision %d: target %d may hold flows of bucket %d and is not in its chain", w.revision, k.handle, k.bucket)
		}
	}
}

// follow brings the lagging views up to date and compares them with the whole.
func (w *world) follow() {
	for role, v := range map[wire.Role]*view.View{wire.Role_ROLE_BALANCER: w.balancer, wire.Role_ROLE_AGENT: w.agent} {
		v.Apply(w.Update(v.State().Revision, role, 1))
		if diff := differ(v.State(), w.whole(role)); diff != "" {
			w.t.Fatalf("revision %d: %v: %s", w.revision, role, diff)
		}
	}
}

func differ(a, b *view.State) string {
	if a.Revision != b.Revision || a.NextHandle != b.NextHandle {
		return "revision or next handle"
	}
	x, y := a.Service(1), b.Service(1)
	if !proto.Equal(x.Service, y.Service) || len(x.Targets) != len(y.Targets) {
		return "service or number of targets"
	}
	for h, t := range x.Targets {
		if y.Targets[h] == nil || !proto.Equal(t.Target, y.Targets[h].Target) {
			return fmt.Sprint("target ", h)
		}
	}
	for b := range x.GetBuckets() {
		i, _ := x.Table.Owner(b)
		if j, _ := y.Table.Owner(b); i != j {
			return fmt.Sprint("owner of bucket ", b)
		}
	}
	return ""
}

// Guards against a chain that misses an earlier owner, and against a node whose
// state after updates from any revision differs from the whole.
func TestRandomChanges(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		w := newWorld(t)
		w.check()
		for range rapid.IntRange(1, 40).Draw(t, "steps") {
			w.step()
			w.check()
			if rapid.IntRange(0, 3).Draw(t, "follow") == 0 {
				w.follow()
			}
		}
		w.follow()
	})
}
