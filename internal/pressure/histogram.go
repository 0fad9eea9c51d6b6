package pressure

import (
	"math"
	"slices"
	"time"
)

// Bucket counts the observations up to and including a bound, those of smaller buckets among them.
type Bucket struct {
	// UpTo is in seconds; that of the last bucket is infinite.
	UpTo  float64
	Count float64
}

// Histogram has the buckets of a histogram by their bounds, the smallest first. The last one counts all
// observations. An empty Histogram has none.
type Histogram []Bucket

// Count returns the number of observations.
func (h Histogram) Count() float64 {
	if len(h) == 0 {
		return 0
	}
	return h[len(h)-1].Count
}

// minus returns what h has counted since an earlier state of it.
func (h Histogram) minus(before Histogram) Histogram {
	if len(before) == 0 {
		return h
	}
	return h.combine(before, func(a, b float64) float64 { return max(0, a-b) })
}

// plus returns the observations of both. Processes of other builds may have other bounds: only common
// ones are kept.
func (h Histogram) plus(x Histogram) Histogram {
	switch {
	case len(h) == 0:
		return x
	case len(x) == 0:
		return h
	}
	return h.combine(x, func(a, b float64) float64 { return a + b })
}

func (h Histogram) combine(x Histogram, fn func(a, b float64) float64) Histogram {
	var out Histogram
	for _, b := range h {
		if i := slices.IndexFunc(x, func(y Bucket) bool { return y.UpTo == b.UpTo }); i >= 0 {
			out = append(out, Bucket{b.UpTo, fn(b.Count, x[i].Count)})
		}
	}
	return out
}

// Quantile returns the time that a share q of the observations does not exceed, interpolated within its
// bucket. beyond is set if it exceeds the largest finite bound, which is returned then. ok is false
// without observations.
func (h Histogram) Quantile(q float64) (d time.Duration, beyond, ok bool) {
	if h.Count() <= 0 {
		return 0, false, false
	}
	rank := q * h.Count()
	i := slices.IndexFunc(h, func(b Bucket) bool { return b.Count >= rank && b.Count > 0 })
	lower, below := 0.0, 0.0
	if i > 0 {
		lower, below = h[i-1].UpTo, h[i-1].Count
	}
	if math.IsInf(h[i].UpTo, 1) {
		return seconds(lower), true, true
	}
	return seconds(lower + (h[i].UpTo-lower)*share(rank-below, h[i].Count-below)), false, true
}

func seconds(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }
