package view

// holders lists the targets that hold each bucket, newest handle first. The zero
// value has none. Looking through all holders for each packet would take longer
// than a decision may once hundreds of targets hold buckets.
type holders struct {
	// starts has the index into targets of each bucket's first holder, and the
	// number of targets at its end.
	starts  []uint32
	targets []*Target
}

// newHolders returns the holders of each bucket. list is sorted with the newest
// handle first. Held bits at or above buckets are ignored.
func newHolders(list []*Target, buckets uint32) holders {
	if len(list) == 0 {
		return holders{}
	}
	h := holders{starts: make([]uint32, buckets+1)}
	each(list, buckets, func(b uint32, _ *Target) { h.starts[b+1]++ })
	for b := range buckets {
		h.starts[b+1] += h.starts[b]
	}
	h.targets = make([]*Target, h.starts[buckets])
	next := make([]uint32, buckets)
	copy(next, h.starts)
	each(list, buckets, func(b uint32, t *Target) {
		h.targets[next[b]] = t
		next[b]++
	})
	return h
}

// each calls fn for every bucket of every target in order.
func each(list []*Target, buckets uint32, fn func(b uint32, t *Target)) {
	for _, t := range list {
		for b := range t.Held.All {
			if b < buckets {
				fn(b, t)
			}
		}
	}
}

// of returns the holders of bucket b.
func (h holders) of(b uint32) []*Target {
	if int(b)+1 >= len(h.starts) {
		return nil
	}
	return h.targets[h.starts[b]:h.starts[b+1]]
}
