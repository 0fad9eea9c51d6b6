package bucket_test

import (
	"testing"

	qt "github.com/frankban/quicktest"

	"mangokeel"
	"mangokeel/internal/bucket"
)

const buckets = 4096

func members(n int) []bucket.Member {
	m := make([]bucket.Member, n)
	for i := range m {
		m[i] = bucket.Member{Handle: mangokeel.Handle(i + 1), Weight: 256}
	}
	return m
}

func shares(t bucket.Table) map[mangokeel.Handle]int {
	n := map[mangokeel.Handle]int{}
	for b := range t.Buckets() {
		h, _ := t.Owner(b)
		n[h]++
	}
	return n
}

// Guards against targets that get more than their share of buckets.
func TestSharesFollowWeights(t *testing.T) {
	c := qt.New(t)
	m := members(10)
	m[0].Weight = 128
	n := shares(bucket.New(m, buckets))
	for _, x := range m {
		want := float64(buckets) * float64(x.Weight) / (256*9 + 128)
		c.Assert(float64(n[x.Handle]) > want-2 && float64(n[x.Handle]) < want+2, qt.IsTrue, qt.Commentf("%v: %d", x, n[x.Handle]))
	}
}

// Guards against a change of one target that reshuffles the others.
func TestRemovalMovesFewBuckets(t *testing.T) {
	c := qt.New(t)
	before := bucket.New(members(10), buckets)
	after := bucket.New(members(9), buckets)
	moved := 0
	for b := range uint32(buckets) {
		x, _ := before.Owner(b)
		y, _ := after.Owner(b)
		if x != y && x != 10 {
			moved++
		}
	}
	c.Assert(moved < buckets/10, qt.IsTrue, qt.Commentf("moved %d", moved))
}

// Guards against a table that loops or crashes when nothing is eligible.
func TestNoMembers(t *testing.T) {
	c := qt.New(t)
	_, ok := bucket.New([]bucket.Member{{Handle: 1}}, buckets).Owner(3)
	c.Assert(ok, qt.IsFalse)
	_, ok = bucket.Table{}.Owner(0)
	c.Assert(ok, qt.IsFalse)
}

func TestBitmap(t *testing.T) {
	c := qt.New(t)
	var m bucket.Bitmap
	m = m.With(4095).With(3)
	c.Assert(m.Has(3) && m.Has(4095) && !m.Has(4), qt.IsTrue)
	m = m.Without(4095)
	c.Assert(len(m), qt.Equals, 1)
	m = m.Without(3)
	c.Assert(m.Empty(), qt.IsTrue)
}
