package replica

import (
	"mangokeel/internal/wire"
)

// entries is the part of the log that is held in memory. The zero value is an empty
// log whose first entry will have index 1.
type entries struct {
	// base and baseTerm are the index and term of the entry before list[0], which is
	// committed.
	base, baseTerm uint64
	// list has consecutive indices and non-decreasing terms.
	list []*wire.Entry
}

// last returns the index of the last entry, or base when list is empty.
func (l *entries) last() uint64 { return l.base + uint64(len(l.list)) }

func (l *entries) lastTerm() uint64 {
	t, _ := l.term(l.last())
	return t
}

// term returns the term of entry i. It returns false when i is before base or after
// the last entry.
func (l *entries) term(i uint64) (uint64, bool) {
	switch {
	case i == l.base:
		return l.baseTerm, true
	case i < l.base || i > l.last():
		return 0, false
	}
	return l.list[i-l.base-1].GetTerm(), true
}

func (l *entries) at(i uint64) *wire.Entry { return l.list[i-l.base-1] }

// from returns the entries from i to the last one.
func (l *entries) from(i uint64) []*wire.Entry { return l.list[i-l.base-1:] }

// batch returns consecutive entries from i, as many as fit in size bytes but at least
// one.
func (l *entries) batch(i uint64, size int) []*wire.Entry {
	rest := l.from(i)
	for n, e := range rest {
		size -= len(e.GetCommand()) + entryOverhead
		if size < 0 && n > 0 {
			return rest[:n:n]
		}
	}
	return rest[:len(rest):len(rest)]
}

// append adds e, which must follow the last entry.
func (l *entries) append(e *wire.Entry) {
	if e.GetIndex() != l.last()+1 || e.GetTerm() < l.lastTerm() {
		panicInvariant("entry %d of term %d does not follow entry %d of term %d", e.GetIndex(), e.GetTerm(), l.last(), l.lastTerm())
	}
	l.list = append(l.list, e)
}

// truncate removes entry i and all that follow.
func (l *entries) truncate(i uint64) {
	n := i - l.base - 1
	l.list = l.list[:n:n]
}

// compact removes the entries up to and including i and copies the rest, so that the
// memory of the removed ones is released.
func (l *entries) compact(i uint64) {
	if i <= l.base {
		return
	}
	t, _ := l.term(i)
	l.list = append([]*wire.Entry(nil), l.list[i-l.base:]...)
	l.base, l.baseTerm = i, t
}

// firstOfTerm returns the index of the first entry in memory that has the term of
// entry i.
func (l *entries) firstOfTerm(i uint64) uint64 {
	t, _ := l.term(i)
	for i > l.base+1 {
		if prev, _ := l.term(i - 1); prev != t {
			break
		}
		i--
	}
	return i
}

// membershipAt returns the last membership at or before entry i and its index, or nil
// when no such entry in memory holds one.
func (l *entries) membershipAt(i uint64) (*wire.Membership, uint64) {
	for ; i > l.base; i-- {
		if m := l.at(i).GetMembership(); m != nil {
			return m, i
		}
	}
	return nil, 0
}
