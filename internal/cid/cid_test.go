package cid_test

import (
	"testing"

	qt "github.com/frankban/quicktest"

	"mangokeel/internal/cid"
)

func keys(t testing.TB) *cid.Keys {
	k, err := cid.NewKeys([]cid.Secret{{Number: 1, Key: make([]byte, cid.KeyLen)}, {Number: 2, Key: []byte("0123456789abcdef")}})
	qt.Assert(t, err, qt.IsNil)
	return k
}

// Guards against accepting the ID of another service or a modified ID.
func TestReadChecksService(t *testing.T) {
	c := qt.New(t)
	k := keys(t)
	id := k.Encode(7, 42, 0x1234567890abcdef)
	h, ok := k.Decode(7, id[:])
	c.Assert(ok, qt.IsTrue)
	c.Assert(int(h), qt.Equals, 42)
	_, ok = k.Decode(8, id[:])
	c.Assert(ok, qt.IsFalse)
	id[9] ^= 1
	_, ok = k.Decode(7, id[:])
	c.Assert(ok, qt.IsFalse)
}

// Guards against crashes on arbitrary packets.
func FuzzFind(f *testing.F) {
	f.Add([]byte{})
	f.Add([]byte{0xc0, 0, 0, 0, 1, 255})
	k := keys(f)
	f.Fuzz(func(_ *testing.T, b []byte) {
		k.Decode(1, cid.FromPacket(b))
	})
}

func BenchmarkRead(b *testing.B) {
	k := keys(b)
	id := k.Encode(7, 42, 99)
	b.ReportAllocs()
	for b.Loop() {
		k.Decode(7, id[:])
	}
}
