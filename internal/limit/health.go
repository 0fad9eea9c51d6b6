package limit

import "time"

// Bounds of what counts as normal.
const (
	// collapseRatio is the service time, as a multiple of the least one, above
	// which a target with all slots busy has collapsed.
	collapseRatio = 3
	// sampleRatio bounds one sample, so that a single slow request is not a
	// collapse but two in a row are.
	sampleRatio = 4
	// normalRatio is the highest multiple of the least service time at which a
	// completion lets the limit grow.
	normalRatio = 2
	// noise is the service time added by scheduling that says nothing about the
	// target.
	noise = 10 * time.Millisecond
	// leastPeriod is how long a least service time lasts, so that a target that
	// has become slower for good is believed after at most twice as long.
	leastPeriod = 5 * time.Minute
	// failingRatio is the smoothed share of failures from which a target counts
	// as failing: four failures in a row.
	failingRatio = 0.9
	// failingPeriod is how long a target counts as failing after its last failure,
	// so that it is tried again.
	failingPeriod = 5 * time.Second
)

// health is what service times and failures say about a target.
type health struct {
	kinds map[uint32]*kind
	// mean is the smoothed service time of all kinds.
	mean time.Duration
	// ratio is the smoothed multiple of the least service time.
	ratio float64
	// failures is the smoothed share of failures.
	failures float64
	failedAt time.Time
}

// kind is the least service time of requests of one kind.
type kind struct {
	// now and before are the least ones of this period and the one before it;
	// before is 0 in the first period.
	now, before time.Duration
	until       time.Time
}

func newHealth() health { return health{kinds: map[uint32]*kind{}, ratio: 1} }

func (k *kind) least() time.Duration {
	if k.before > 0 {
		return min(k.now, k.before)
	}
	return k.now
}

// least returns the least service time of a kind, 0 when it is unknown.
func (h *health) least(id uint32) time.Duration {
	if k := h.kinds[id]; k != nil {
		return k.least()
	}
	return 0
}

// completed learns from a service time and reports whether it is normal.
func (h *health) completed(now time.Time, id uint32, service time.Duration) bool {
	h.failures /= 2
	h.learn(now, id, service)
	h.ratio = h.project(h.ratio, id, service)
	if h.mean == 0 {
		h.mean = service
	}
	h.mean += (service - h.mean) / 8
	return h.multiple(id, service) <= normalRatio
}

func (h *health) learn(now time.Time, id uint32, service time.Duration) {
	k := h.kinds[id]
	if k == nil {
		k = &kind{now: service, until: now.Add(leastPeriod)}
		h.kinds[id] = k
	}
	if now.After(k.until) {
		k.before, k.now, k.until = k.now, service, now.Add(leastPeriod)
	}
	k.now = min(k.now, service)
}

// multiple returns service as a multiple of the least one of its kind, 1 when it
// is unknown.
func (h *health) multiple(id uint32, service time.Duration) float64 {
	least := h.least(id)
	if least == 0 || service <= least+noise {
		return 1
	}
	return float64(service) / float64(least)
}

// project returns the smoothed multiple after one more sample.
func (h *health) project(ratio float64, id uint32, service time.Duration) float64 {
	return (ratio + min(sampleRatio, h.multiple(id, service))) / 2
}

func (h *health) collapsed(ratio float64) bool { return ratio > collapseRatio }

func (h *health) failed(now time.Time) {
	h.failures = (h.failures + 1) / 2
	h.failedAt = now
}

func (h *health) failing(now time.Time) bool {
	return h.failures > failingRatio && now.Sub(h.failedAt) < failingPeriod
}
