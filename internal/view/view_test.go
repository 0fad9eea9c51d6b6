package view_test

import (
	"testing"

	qt "github.com/frankban/quicktest"

	"mangokeel"
	"mangokeel/internal/bucket"
	"mangokeel/internal/view"
	"mangokeel/internal/wire"
)

func service(epoch uint64) *wire.Service {
	return &wire.Service{Id: 1, Buckets: 8, Epoch: epoch, Zones: []string{"plaisance"}}
}

func target(h uint32, held bucket.Bitmap) *wire.Target {
	return &wire.Target{Handle: h, Service: 1, Zone: "plaisance", Agent: "127.0.0.1:1", Weight: 256, State: wire.State_STATE_SERVING, Held: held}
}

// Guards against a node that goes back to an older revision after it changed to
// a control instance that lags.
func TestApplyNeverGoesBack(t *testing.T) {
	c := qt.New(t)
	var v view.View
	c.Assert(v.Apply(&wire.Update{Whole: true, Revision: 5, Services: []*wire.Service{service(5)}}), qt.Equals, view.Applied)
	c.Assert(v.Apply(&wire.Update{Whole: true, Revision: 4}), qt.Equals, view.Older)
	c.Assert(v.Apply(&wire.Update{Revision: 5}), qt.Equals, view.Unchanged)
	c.Assert(v.State().Revision, qt.Equals, mangokeel.Revision(5))
	c.Assert(v.State().Service(1), qt.Not(qt.IsNil))
}

// Guards against a chain that misses a target which still holds flows.
func TestChainListsHolders(t *testing.T) {
	c := qt.New(t)
	var v view.View
	leaving := target(2, bucket.Bitmap{0xff})
	leaving.State = wire.State_STATE_LEAVING
	v.Apply(&wire.Update{
		Whole: true, Revision: 1,
		Services: []*wire.Service{service(1)},
		Targets:  []*wire.Target{target(1, bucket.Bitmap{0xff}), leaving, target(3, nil)},
	})
	s := v.State().Service(1)
	for b := range uint32(8) {
		var got []mangokeel.Handle
		s.Chain(b, func(t *view.Target) bool {
			got = append(got, t.Handle)
			return true
		})
		owner := s.Owner(b).Handle
		want := []mangokeel.Handle{owner, 2}
		if owner == 3 {
			want = append(want, 1)
		}
		c.Assert(got, qt.DeepEquals, want)
	}
}
