package fleet

import (
	"context"
	"net/netip"
	"sync/atomic"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"google.golang.org/protobuf/proto"

	"mangokeel/internal/fleetwire"
)

var instance = netip.MustParseAddrPort("10.0.0.1:7000")

// slowControl answers each poll after a delay, or when it is given up.
type slowControl struct {
	delay   time.Duration
	answers atomic.Int64
}

func (s *slowControl) Call(ctx context.Context, _ netip.AddrPort, _ string, _, resp proto.Message) error {
	t := time.NewTimer(s.delay)
	defer t.Stop()
	select {
	case <-t.C:
	case <-ctx.Done():
		return ctx.Err()
	}
	n := s.answers.Add(1)
	proto.Merge(resp, &fleetwire.PollReply{Leading: true, Realm: uint64(n), Whole: true, Reign: 1, Registry: 1, Complete: true})
	return nil
}

// Guards against polls that are ended by news before they return: a node that sees frames
// of a newer configuration asks for it with each of them. Its lease ended, and the flows of
// its target were reset (sieste-hq trouble-3, seed 697459231428).
func TestNewsDoNotStarvePolls(t *testing.T) {
	c := qt.New(t)
	control := &slowControl{delay: 5 * time.Millisecond}
	v := &View{}
	f := NewFollower(v, control, "n", func() []netip.AddrPort { return []netip.AddrPort{instance} })
	defer f.Close()
	end := time.Now().Add(500 * time.Millisecond)
	for time.Now().Before(end) {
		f.Hurry()
		time.Sleep(100 * time.Microsecond)
	}
	c.Assert(control.answers.Load() >= 10, qt.IsTrue, qt.Commentf("%d answers", control.answers.Load()))
	c.Assert(v.State().Revision > 0, qt.IsTrue)
}
