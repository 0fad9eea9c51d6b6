package wire_test

import (
	"testing"

	qt "github.com/frankban/quicktest"
	"google.golang.org/protobuf/proto"

	"mangokeel/internal/wire"
)

// Guards against an update that changes on its way or through a writer used before, and against a corrupt one that
// is applied in part.
func TestPack(t *testing.T) {
	c := qt.New(t)
	u := &wire.Update{Revision: 7, Targets: []*wire.Target{{Handle: 3, Agent: "127.0.0.1:1", Held: make([]byte, 128)}}}
	var p wire.Packer
	_, err := p.Pack(&wire.Update{Revision: 6})
	c.Assert(err, qt.IsNil)
	packed, err := p.Pack(u)
	c.Assert(err, qt.IsNil)
	got, err := wire.UnpackUpdate(&wire.SyncReply{Packed: packed})
	c.Assert(err, qt.IsNil)
	c.Assert(proto.Equal(got, u), qt.IsTrue)
	_, err = wire.UnpackUpdate(&wire.SyncReply{Packed: packed[:len(packed)-2]})
	c.Assert(err, qt.Not(qt.IsNil))
}

// FuzzUnpackUpdate guards against crashes on any bytes from another process.
func FuzzUnpackUpdate(f *testing.F) {
	f.Add([]byte{1, 2, 3})
	f.Fuzz(func(_ *testing.T, b []byte) {
		_, _ = wire.UnpackUpdate(&wire.SyncReply{Packed: b})
	})
}
