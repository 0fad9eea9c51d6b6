package flow

import (
	"net/netip"
	"time"

	"mangokeel"
	"mangokeel/internal/bucket"
	"mangokeel/internal/wire"
)

// resolution is the unit of entry.seen.
const resolution = 100 * time.Millisecond

// sweepShare is the part of the buckets that one call of Expire looks at.
const sweepShare = 16

// entry is one flow. It has no pointers and takes 24 bytes.
type entry struct {
	high, low uint64
	// seen is the time of the last packet since the table's start, in units of
	// resolution.
	seen uint32
	port uint16
}

func (t *Table) stamp(now time.Time) uint32 {
	if t.start.IsZero() {
		t.start = now
	}
	return uint32(max(now.Sub(t.start), 0) / resolution)
}

// touch marks the caller's flow as used. It is false when there is none.
func (t *Table) touch(now time.Time, b uint32, caller netip.AddrPort) bool {
	i := t.index(b, caller)
	if i < 0 {
		return false
	}
	e := &t.flows[b][i]
	e.seen = max(e.seen, t.stamp(now))
	return true
}

// index returns the position of the caller's entry in its bucket, or -1.
func (t *Table) index(b uint32, caller netip.AddrPort) int {
	if b >= uint32(len(t.flows)) {
		return -1
	}
	high, low := wire.SplitAddr(caller.Addr())
	port := caller.Port()
	for i := range t.flows[b] {
		e := &t.flows[b][i]
		if e.low == low && e.port == port && e.high == high {
			return i
		}
	}
	return -1
}

// insert adds an entry. The caller has none yet and b is below MaxBuckets.
func (t *Table) insert(now time.Time, b uint32, caller netip.AddrPort) {
	if b >= uint32(len(t.flows)) {
		t.flows = append(t.flows, make([][]entry, int(b)+1-len(t.flows))...)
	}
	high, low := wire.SplitAddr(caller.Addr())
	t.flows[b] = append(t.flows[b], entry{high: high, low: low, port: caller.Port(), seen: t.stamp(now)})
	t.count++
}

// remove deletes entry i of bucket b. The last entry takes its place.
func (t *Table) remove(b uint32, i int) {
	s := t.flows[b]
	s[i] = s[len(s)-1]
	t.flows[b] = s[:len(s)-1]
	if len(s) == 1 {
		t.flows[b] = nil
	}
	t.count--
}

// Expire removes flows that were idle for too long and calls ended for each. One
// call looks at a sixteenth of the buckets, so that no call takes long.
func (t *Table) Expire(now time.Time, ended func(caller netip.AddrPort)) {
	if len(t.flows) == 0 {
		return
	}
	limit := uint32(t.cfg.Idle / resolution)
	present := t.stamp(now)
	for range (len(t.flows) + sweepShare - 1) / sweepShare {
		t.sweep = (t.sweep + 1) % len(t.flows)
		t.expire(uint32(t.sweep), present, limit, ended)
	}
}

func (t *Table) expire(b, present, limit uint32, ended func(caller netip.AddrPort)) {
	for i := len(t.flows[b]) - 1; i >= 0; i-- {
		e := t.flows[b][i]
		if present < e.seen+limit {
			continue
		}
		t.remove(b, i)
		t.counters.Expired++
		ended(netip.AddrPortFrom(wire.JoinAddr(e.high, e.low), e.port))
	}
}

// Remove ends the caller's flow. It is false when there is none.
func (t *Table) Remove(caller netip.AddrPort) bool {
	if t.service == nil {
		return false
	}
	b := bucket.Index(caller, t.cfg.Service, t.service.GetBuckets())
	i := t.index(b, caller)
	if i < 0 {
		return false
	}
	t.remove(b, i)
	return true
}

// Release returns the buckets of the target's held set in which there are no
// flows, and the epoch under which that holds. Nothing is created in them under
// that epoch or an older one: the target does not own them at the epoch, and
// packets of older epochs are moved up to it.
func (t *Table) Release() (mangokeel.Epoch, bucket.Bitmap) {
	var free bucket.Bitmap
	if t.service == nil || t.service.Targets[t.cfg.Handle] == nil {
		return 0, nil
	}
	for b := range t.service.Targets[t.cfg.Handle].Held.All {
		owner, _ := t.service.Table.Owner(b)
		if owner == t.cfg.Handle || (b < uint32(len(t.flows)) && len(t.flows[b]) > 0) {
			continue
		}
		free = free.With(b)
		t.counters.Released++
	}
	return t.Epoch(), free
}
