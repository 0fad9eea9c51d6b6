package limit

import "time"

// Thresholds for slow and failing targets.
const (
	// collapseRatio is the smoothed service time, as a multiple of the minimum,
	// above which a target with all slots busy counts as collapsed.
	collapseRatio = 3
	// maxSampleRatio caps the multiple that one sample contributes, so that one slow
	// request does not count as a collapse but two in a row do.
	maxSampleRatio = 4
	// maxNormalRatio is the highest multiple of the minimum service time at which a
	// completion raises the limit.
	maxNormalRatio = 2
	// schedulingNoise is the increase over the minimum service time that is attributed to
	// scheduling delays and ignored.
	schedulingNoise = 10 * time.Millisecond
	// minServiceWindow is the length of a window of the minimum service time. The
	// minimum covers two windows, so a lasting slowdown becomes the new minimum
	// after at most twice this period.
	minServiceWindow = 5 * time.Minute
	// failingThreshold is the smoothed failure rate above which a target counts as
	// failing. Four consecutive failures exceed it from any earlier rate.
	failingThreshold = 0.9
	// failingPeriod is how long a target counts as failing after its last failure.
	// The state expires so that the target is tried again.
	failingPeriod = 5 * time.Second
)

// health tracks the service times and the failure rate of a target.
type health struct {
	kinds map[uint32]*minServiceTime
	// meanServiceTime is an exponentially weighted moving average over all kinds.
	meanServiceTime time.Duration
	// slowdown is the smoothed service time as a multiple of its kind's minimum.
	slowdown float64
	// failureRate is the smoothed failure rate, between 0 and 1.
	failureRate float64
	failedAt    time.Time
}

// minServiceTime is the minimum service time of one kind of request over the current and the
// previous window.
type minServiceTime struct {
	// current and previous are the minimums of the current and the previous window;
	// previous is 0 during the first window.
	current, previous time.Duration
	windowEnd         time.Time
}

func newHealth() health { return health{kinds: map[uint32]*minServiceTime{}, slowdown: 1} }

func (k *minServiceTime) value() time.Duration {
	if k.previous > 0 {
		return min(k.current, k.previous)
	}
	return k.current
}

// minServiceTimeOf returns the minimum service time of a kind, or 0 if none is known.
func (h *health) minServiceTimeOf(id uint32) time.Duration {
	if k := h.kinds[id]; k != nil {
		return k.value()
	}
	return 0
}

// recordSuccess records the service time of a successful request and reports whether it
// is close enough to the minimum to raise the limit.
func (h *health) recordSuccess(now time.Time, id uint32, service time.Duration) bool {
	h.failureRate /= 2
	h.updateMinimum(now, id, service)
	h.slowdown = h.smooth(h.slowdown, id, service)
	if h.meanServiceTime == 0 {
		h.meanServiceTime = service
	}
	h.meanServiceTime += (service - h.meanServiceTime) / 8
	return h.slowdownOf(id, service) <= maxNormalRatio
}

func (h *health) updateMinimum(now time.Time, id uint32, service time.Duration) {
	k := h.kinds[id]
	if k == nil {
		k = &minServiceTime{current: service, windowEnd: now.Add(minServiceWindow)}
		h.kinds[id] = k
	}
	if now.After(k.windowEnd) {
		k.previous, k.current, k.windowEnd = k.current, service, now.Add(minServiceWindow)
	}
	k.current = min(k.current, service)
}

// slowdownOf returns service as a multiple of the minimum of its kind. It returns 1 if
// no minimum is known or the difference is within schedulingNoise.
func (h *health) slowdownOf(id uint32, service time.Duration) float64 {
	least := h.minServiceTimeOf(id)
	if least == 0 || service <= least+schedulingNoise {
		return 1
	}
	return float64(service) / float64(least)
}

// smooth returns the smoothed multiple that results from ratio and one more sample.
// It leaves the stored one unchanged.
func (h *health) smooth(ratio float64, id uint32, service time.Duration) float64 {
	return (ratio + min(maxSampleRatio, h.slowdownOf(id, service))) / 2
}

func (h *health) collapsed(ratio float64) bool { return ratio > collapseRatio }

func (h *health) recordFailure(now time.Time) {
	h.failureRate = (h.failureRate + 1) / 2
	h.failedAt = now
}

func (h *health) failing(now time.Time) bool {
	return h.failureRate > failingThreshold && now.Sub(h.failedAt) < failingPeriod
}
