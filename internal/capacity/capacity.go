// Package capacity estimates from a target's answers how many requests it can serve, and from its
// flows how many it will get, and chooses the target for a new flow by the difference.
//
// It has no clock and no lock: the caller passes the time and the observations. Time must not
// decrease between calls.
package capacity

import (
	"math"
	"time"
)

const (
	// answerWeight is the weight of a new answer in the averages once there are enough of them. The
	// service times of a mix of requests spread about as wide as their mean, so an average over 32
	// answers is off by a sixth. A target that serves 15 requests a second gives as many in 2 s.
	answerWeight = 1.0 / 32
	// rareAnswerTime is the time constant of the average at a target with fewer answers, and
	// maxAnswerWeight the weight that one of them may have.
	rareAnswerTime  = 2 * time.Second
	maxAnswerWeight = 0.25
	// minAnswers is how many answers an estimate needs: half of those of a full average.
	minAnswers = 16
	// answerTTL is how long after the last answer an estimate is valid.
	answerTTL = 10 * time.Second
	// silenceFactor and minSilence bound how long a target may leave requests unanswered before its
	// silence counts as their service time. Requests of ten times the mean occur in ordinary work.
	silenceFactor = 10
	minSilence    = 200 * time.Millisecond
	// minUnanswered is how many requests must have come during the silence. One may have been lost on
	// its way, or its answer, at a target that gets no other for a while.
	minUnanswered = 3
	// minParallelism is the share of the expected rate below which a target does not work on as many
	// requests at once as it claims. At an honest target the share varies between 0.7 and 1.3.
	minParallelism = 0.5
	// uncheckedSlots is how many claimed slots count without a check: what the smallest targets have.
	// Of more, maxClaim times the mean number of requests that arrived with others count. Thus an
	// honest target that is little used looks half used at most.
	uncheckedSlots = 2
	maxClaim       = 2
)

// Answer is a target's answer to a request.
type Answer struct {
	At time.Time
	// Took is the time from the request to the first byte of the answer.
	Took time.Duration
	// InProgress is how many requests the target had when this one arrived, including it.
	InProgress int
	// Slots is how many requests the target claims to work on at once.
	Slots int
	// Cold is set if the target was warming up.
	Cold bool
	// Failed is set if the answer reports a failure.
	Failed bool
}

// average is an exponentially weighted moving average that weighs its first values equally.
type average struct{ value, count float64 }

func (a *average) add(v, weight float64) {
	a.count++
	a.value += max(weight, 1/a.count) * (v - a.value)
}

// Estimator estimates how many requests a second a target can serve. The zero value has no data.
type Estimator struct {
	// serviceTime is the service time of a request without queueing, in seconds.
	serviceTime average
	// alone is the time of requests that arrived at an idle target, together that of requests that
	// arrived with others while the target claimed to have a free slot. companions is how many the
	// latter were, including the request.
	alone, together, companions average
	learnedAt                   time.Time
	// waitingSince is the time since which the target has had requests and answered none, or the
	// zero value if it has no request. unanswered is how many requests it has got since its last
	// answer.
	waitingSince time.Time
	unanswered   int
}

// RecordRequest records that the target has got a request. inProgress includes it.
func (e *Estimator) RecordRequest(now time.Time, inProgress int) {
	e.unanswered++
	if inProgress <= 1 || e.waitingSince.IsZero() {
		e.waitingSince = now
	}
}

// RecordIdle records that the target has no request any more.
func (e *Estimator) RecordIdle() { e.waitingSince, e.unanswered = time.Time{}, 0 }

// RecordTimeout records that a request has not been answered in time, and that the target no longer
// counts as having it. Nothing is known from then on of a target that is silent: without requests in
// progress it would look idle, and as fast as its last answers were.
func (e *Estimator) RecordTimeout(now time.Time) {
	if e.silence(now) > 0 {
		*e = Estimator{}
	}
}

// RecordAnswer records an answer. Failures and the answers of a cold target say nothing about its
// capacity.
func (e *Estimator) RecordAnswer(a Answer) {
	if !e.waitingSince.IsZero() {
		e.waitingSince = a.At
	}
	e.unanswered = 0
	if a.Failed || a.Cold || a.Took <= 0 {
		return
	}
	weight := answerWeight
	if !e.learnedAt.IsZero() {
		weight = max(weight, min(maxAnswerWeight, a.At.Sub(e.learnedAt).Seconds()/rareAnswerTime.Seconds()))
	}
	e.learnedAt = a.At
	took, n := a.Took.Seconds(), float64(a.InProgress)
	switch {
	case a.InProgress <= 1:
		e.alone.add(took, answerWeight)
	case a.InProgress <= a.Slots:
		e.together.add(took, answerWeight)
		e.companions.add(n, answerWeight)
	}
	e.serviceTime.add(took/max(1, n/e.parallelism(a.Slots)), weight)
}

// parallelism returns how many requests the target works on at once: its slots, unless far fewer
// requests at once have been observed, or those took so much longer than alone that it must be fewer.
func (e *Estimator) parallelism(slots int) float64 {
	claimed := min(float64(max(1, slots)), max(uncheckedSlots, maxClaim*e.companions.value))
	if e.alone.count < minAnswers || e.together.count < minAnswers || e.together.value <= 0 {
		return claimed
	}
	share := e.alone.value / e.together.value
	if share >= minParallelism {
		return claimed
	}
	return min(claimed, max(1, share*e.companions.value))
}

// ServiceTime returns the service time of a request. A target that has been silent for long enough
// takes at least as long as it has been silent.
func (e *Estimator) ServiceTime(now time.Time) time.Duration {
	return max(time.Duration(e.serviceTime.value*float64(time.Second)), e.silence(now))
}

// silence returns how long the target has been silent, or 0 if it is not for long enough.
func (e *Estimator) silence(now time.Time) time.Duration {
	if e.waitingSince.IsZero() || e.unanswered < minUnanswered {
		return 0
	}
	d := time.Duration(e.serviceTime.value * float64(time.Second))
	if silent := now.Sub(e.waitingSince); silent > max(minSilence, silenceFactor*d) {
		return silent
	}
	return 0
}

// Confidence returns how well the capacity is known: 0 if it is not, 1 after enough recent answers.
func (e *Estimator) Confidence(now time.Time) float64 {
	if e.serviceTime.count < minAnswers {
		return 0
	}
	age := float64(now.Sub(e.learnedAt)) / float64(answerTTL)
	return min(1, e.serviceTime.count*answerWeight) * max(0, 1-age)
}

// Capacity returns how many requests a second the target can serve, or 0 if that is not known.
func (e *Estimator) Capacity(now time.Time, slots int) float64 {
	d := e.ServiceTime(now)
	if e.Confidence(now) == 0 || d <= 0 {
		return 0
	}
	return e.parallelism(slots) / d.Seconds()
}

const (
	// rateTime is the time constant of the request rate of a flow. Callers pause for about a second
	// between requests, so that a second of 20 flows has some 20 requests.
	rateTime = 2 * time.Second
	// lengthTime is the time constant of the number of requests of a flow: a few lifetimes of flows
	// of a few requests.
	lengthTime = 10 * time.Second
	// minRequests is how many requests must have been observed before flows can count as long.
	minRequests = 20
	// longFlow is the number of requests from which a flow counts as long. Below it, most of a flow's
	// requests have come by the time that its load shows elsewhere.
	longFlow = 3
)

// decaying is a sum whose summands decay exponentially.
type decaying struct{ sum float64 }

func (d *decaying) decay(factor float64) { d.sum *= factor }

// Demand is the load that a target's open flows bring. The zero value has no data.
type Demand struct {
	at time.Time
	// requests and flowSeconds decay with rateTime, and their quotient is the request rate of an
	// open flow. allRequests and opens decay with lengthTime.
	requests, flowSeconds, allRequests, opens decaying
}

// advance accounts for the time since the last call, in which open flows were open.
func (d *Demand) advance(now time.Time, open int) {
	if !d.at.IsZero() && now.After(d.at) {
		since := now.Sub(d.at)
		short := math.Exp(-since.Seconds() / rateTime.Seconds())
		long := math.Exp(-since.Seconds() / lengthTime.Seconds())
		d.requests.decay(short)
		d.flowSeconds.decay(short)
		// The integral of the decaying weight over the time since then.
		d.flowSeconds.sum += float64(max(0, open)) * rateTime.Seconds() * (1 - short)
		d.allRequests.decay(long)
		d.opens.decay(long)
	}
	if d.at.IsZero() || now.After(d.at) {
		d.at = now
	}
}

// RecordOpen records that the target accepted a flow. open is the number of its flows before.
func (d *Demand) RecordOpen(now time.Time, open int) {
	d.advance(now, open)
	d.opens.sum++
}

// RecordClose records that a flow ended. open is the number of flows before.
func (d *Demand) RecordClose(now time.Time, open int) { d.advance(now, open) }

// RecordRequest records a request of one of open flows.
func (d *Demand) RecordRequest(now time.Time, open int) {
	d.advance(now, open)
	d.requests.sum++
	d.allRequests.sum++
}

// Rate returns the requests a second that open flows bring.
func (d *Demand) Rate(now time.Time, open int) float64 {
	d.advance(now, open)
	if d.flowSeconds.sum <= 0 {
		return 0
	}
	return float64(max(0, open)) * d.requests.sum / d.flowSeconds.sum
}

// RequestsPerFlow returns how many requests a flow brings, or 0 if that is not known.
func (d *Demand) RequestsPerFlow(now time.Time, open int) float64 {
	d.advance(now, open)
	if d.allRequests.sum < minRequests {
		return 0
	}
	return d.allRequests.sum / max(1, d.opens.sum)
}

// HasLongFlows reports whether the flows bring several requests each.
func (d *Demand) HasLongFlows(now time.Time, open int) bool {
	return d.RequestsPerFlow(now, open) >= longFlow
}
