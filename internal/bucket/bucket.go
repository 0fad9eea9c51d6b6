// Package bucket maps callers to targets.
//
// A service has a fixed number of buckets. Index returns the bucket of a caller.
// New computes which target owns each bucket, the same way on every node, from
// the handles and weights of the eligible targets:
//
//	t := bucket.New(members, 4096)
//	owner, ok := t.Owner(bucket.Index(caller, service, 4096))
//
// The rules are those of a weighted Maglev table: shares follow the weights to
// within one bucket for each target, and a change of one target moves few
// buckets of the others.
package bucket

import (
	"encoding/binary"
	"net/netip"

	"github.com/cespare/xxhash/v2"

	"mangokeel"
)

// Member is one eligible target.
type Member struct {
	Handle mangokeel.Handle
	// Weight is the relative share. Members with weight 0 own nothing.
	Weight uint32
}

// Table has the owner of each bucket. The zero value has no buckets.
type Table struct {
	// owners has an index into handles for each bucket. Indexes take half the
	// memory of handles.
	owners []uint16
	// handles has 0, for no owner, and then the members with weight.
	handles []mangokeel.Handle
}

// MaxMembers is the largest number of targets of one service.
const MaxMembers = 1<<16 - 1

// seat is a member while the table is filled. Its preference list is
// offset + k*skip modulo the number of buckets; skip is odd and the number of
// buckets a power of two, so the list visits every bucket once.
type seat struct {
	handle       mangokeel.Handle
	weight       uint64
	offset, skip uint32
	tried        uint32
	credit       uint64
}

// New computes a table. The number of buckets must be a power of two. Members
// must be sorted by handle, so that every node computes the same table. Members
// beyond MaxMembers own nothing.
func New(members []Member, buckets uint32) Table {
	seats, heaviest := seatsOf(members, buckets)
	t := Table{owners: make([]uint16, buckets), handles: make([]mangokeel.Handle, 1, 1+len(seats))}
	if heaviest == 0 {
		return t
	}
	for _, s := range seats {
		t.handles = append(t.handles, s.handle)
	}
	for filled := uint32(0); filled < buckets; {
		for i := range seats {
			s := &seats[i]
			s.credit += s.weight
			if s.credit < heaviest {
				continue
			}
			s.credit -= heaviest
			t.take(s, uint16(i+1))
			filled++
			if filled == buckets {
				break
			}
		}
	}
	return t
}

// seatsOf returns the members with weight and the largest weight.
func seatsOf(members []Member, buckets uint32) ([]seat, uint64) {
	seats := make([]seat, 0, len(members))
	var heaviest uint64
	for _, m := range members {
		if m.Weight == 0 || len(seats) == MaxMembers {
			continue
		}
		var b [4]byte
		binary.BigEndian.PutUint32(b[:], uint32(m.Handle))
		h := xxhash.Sum64(b[:])
		seats = append(seats, seat{
			handle: m.Handle,
			weight: uint64(m.Weight),
			offset: uint32(h) & (buckets - 1),
			skip:   uint32(h>>32)&(buckets-1) | 1,
		})
		heaviest = max(heaviest, uint64(m.Weight))
	}
	return seats, heaviest
}

// take gives s, whose index in handles is at, the next free bucket of its preference
// list.
func (t Table) take(s *seat, at uint16) {
	n := uint32(len(t.owners))
	for {
		b := (s.offset + s.tried*s.skip) & (n - 1)
		s.tried++
		if t.owners[b] == 0 {
			t.owners[b] = at
			return
		}
	}
}

// Buckets returns the number of buckets.
func (t Table) Buckets() uint32 { return uint32(len(t.owners)) }

// Owner returns the owner of bucket b. It is false when the service has no
// eligible target or b is out of range.
func (t Table) Owner(b uint32) (mangokeel.Handle, bool) {
	if b >= uint32(len(t.owners)) {
		return 0, false
	}
	h := t.handles[t.owners[b]]
	return h, h != 0
}

// Index returns the bucket of a caller at a service. It allocates nothing.
func Index(caller netip.AddrPort, service mangokeel.ServiceID, buckets uint32) uint32 {
	if buckets == 0 {
		return 0
	}
	var b [22]byte
	a := caller.Addr().As16()
	copy(b[:16], a[:])
	binary.BigEndian.PutUint16(b[16:], caller.Port())
	binary.BigEndian.PutUint32(b[18:], uint32(service))
	return uint32(xxhash.Sum64(b[:])) & (buckets - 1)
}

// Bitmap is a set of buckets. The zero value is empty.
type Bitmap []byte

// Has reports whether b is in the set.
func (m Bitmap) Has(b uint32) bool {
	i := b / 8
	return i < uint32(len(m)) && m[i]&(1<<(b%8)) != 0
}

// With returns the set with b added. It may reuse m's memory.
func (m Bitmap) With(b uint32) Bitmap {
	for uint32(len(m)) <= b/8 {
		m = append(m, 0)
	}
	m[b/8] |= 1 << (b % 8)
	return m
}

// Without returns the set without b. It reuses m's memory and drops empty bytes
// at the end.
func (m Bitmap) Without(b uint32) Bitmap {
	if m.Has(b) {
		m[b/8] &^= 1 << (b % 8)
	}
	for len(m) > 0 && m[len(m)-1] == 0 {
		m = m[:len(m)-1]
	}
	return m
}

// Empty reports whether no bucket is in the set.
func (m Bitmap) Empty() bool {
	for _, b := range m {
		if b != 0 {
			return false
		}
	}
	return true
}

// All calls yield for each bucket in ascending order until it returns false.
func (m Bitmap) All(yield func(b uint32) bool) {
	for i, v := range m {
		for j := range uint32(8) {
			if v&(1<<j) != 0 && !yield(uint32(i)*8+j) {
				return
			}
		}
	}
}
