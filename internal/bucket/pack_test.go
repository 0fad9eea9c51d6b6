package bucket_test

import (
	"testing"

	qt "github.com/frankban/quicktest"
	"pgregory.net/rapid"

	"mangokeel/internal/bucket"
)

// Guards against held marks that change on their way to the nodes.
func TestPackRoundTrip(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var m bucket.Bitmap
		for _, b := range rapid.SliceOf(rapid.Uint32Range(0, 65535)).Draw(t, "buckets") {
			m = m.With(b)
		}
		got := bucket.Unpack(m.Pack())
		if string(got) != string(m) {
			t.Fatalf("%x came back as %x", m, got)
		}
	})
}

// Guards against a malformed form that crashes a node or fills its memory.
func TestUnpackMalformed(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := bucket.Unpack(rapid.SliceOf(rapid.Byte()).Draw(t, "bytes"))
		if len(m) > 65536/8 {
			t.Fatal("more buckets than any table has")
		}
	})
}

// Guards against records of drained targets that grow to a bit for each bucket.
func TestPackIsShort(t *testing.T) {
	c := qt.New(t)
	var m bucket.Bitmap
	for h := range uint32(4096) {
		if h*2654435761>>16%7 == 0 {
			m = m.With(h)
		}
	}
	c.Assert(len(m.Pack()) < 400, qt.IsTrue, qt.Commentf("%d bytes", len(m.Pack())))
}
