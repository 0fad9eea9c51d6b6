package packet

import (
	"sync"
	"time"

	"github.com/go-kit/log"
	"github.com/prometheus/client_golang/prometheus"

	"mangokeel"
)

const namespace = "mangokeel_packet"

// Event is a kind of decision about a packet.
type Event int

// Events.
const (
	// Forwarded packets went to an agent, Delivered ones to the target, Returned ones
	// came back from it, and Answered ones went from it to a caller.
	Forwarded Event = iota
	Delivered
	Returned
	Answered
	// Opened flows were offered to the target, and Asked requests given to it.
	Opened
	Asked
	// Dropped packets have no place to go, and Malformed ones cannot be read.
	Dropped
	Malformed
	// Bypassed opening packets went around an agent that counts as silent.
	Bypassed
	// Passed opening packets went to another agent, because this one's target has more
	// to do or may not take them.
	Passed
	// Queued opening packets wait until the target can take them.
	Queued
	// Refused flows ended with a reset before anything ran.
	Refused
	// Searched packets belong to flows that this agent does not know.
	Searched
	// Lost packets belong to flows that no agent knows.
	Lost
	// Ended flows were reset because their target ended.
	Ended
	// Failed requests got no answer from the target, or one that says that it failed.
	Failed
	eventCount
)

// String returns the event's name.
func (e Event) String() string {
	return [...]string{
		"forwarded", "delivered", "returned", "answered", "opened", "asked", "dropped", "malformed", "bypassed",
		"passed", "queued", "refused", "searched", "lost", "ended", "failed",
	}[e]
}

const (
	// defaultLogRate is the default number of lines a second about decisions of each class.
	// Beyond it, decisions are only counted, and the next line says how many were left out.
	defaultLogRate = 20.0
	// logBurstSeconds is how many seconds of lines may come at once.
	logBurstSeconds = 2.0
)

// eventClass is a eventClass of events with its own bound, so that failures are still logged when
// there are many ordinary events.
type eventClass int

const (
	ordinaryEvent eventClass = iota
	failureEvent
	eventClassCount
)

func (e Event) class() eventClass {
	switch e {
	case Refused, Lost, Ended, Bypassed, Failed:
		return failureEvent
	}
	return ordinaryEvent
}

// Events counts all decisions and logs those that change a flow's way or end it.
type Events struct {
	logger   log.Logger
	counters [eventCount]prometheus.Counter
	// answerTimes has the times from a request to the first byte of its answer, waitTimes those
	// of opening packets that waited for a target.
	answerTimes, waitTimes prometheus.Histogram

	mu       sync.Mutex
	logRate  float64
	limiters [eventClassCount]rateLimiter
}

// rateLimiter bounds the lines of one class.
type rateLimiter struct {
	tokens float64
	last   time.Time
	// omitted counts the lines left out since the last one.
	omitted int
}

// EventsOption changes Events.
type EventsOption func(*Events)

// WithLogRate sets how many lines a second each class of events may write.
func WithLogRate(perSecond float64) EventsOption { return func(e *Events) { e.logRate = perSecond } }

// NewEvents returns events that log to l.
func NewEvents(l log.Logger, opts ...EventsOption) *Events {
	e := &Events{logger: l, logRate: defaultLogRate}
	for _, o := range opts {
		o(e)
	}
	for i := range e.limiters {
		e.limiters[i].tokens = e.logRate * logBurstSeconds
	}
	vec := prometheus.NewCounterVec(prometheus.CounterOpts{
		Namespace: namespace, Name: "events_total", Help: "Decisions about packets, by kind.",
	}, []string{"event"})
	e.answerTimes = histogram("answer_seconds", "Time from a request to the first byte of its answer.")
	e.waitTimes = histogram("wait_seconds", "Time for which opening packets waited for a target.")
	for i := range e.counters {
		e.counters[i] = vec.WithLabelValues(Event(i).String())
	}
	return e
}

func histogram(name, help string) prometheus.Histogram {
	return prometheus.NewHistogram(prometheus.HistogramOpts{
		Namespace: namespace, Name: name, Help: help,
		// 5 ms to 5 s: the shortest service time to the longest deadline of small requests.
		Buckets: prometheus.ExponentialBuckets(0.005, 2, 11),
	})
}

// Register registers the counters and histograms.
func (e *Events) Register(r prometheus.Registerer) error {
	for _, c := range []prometheus.Collector{eventCollector{e}, e.answerTimes, e.waitTimes} {
		if err := r.Register(c); err != nil {
			return err
		}
	}
	return nil
}

// lazyRequestID is the id of the request in a packet, which is only looked for when a line is
// written.
type lazyRequestID struct {
	codec mangokeel.Codec
	raw   []byte
}

// String returns the id.
func (l lazyRequestID) String() string { return l.codec.Request(l.raw) }

type eventCollector struct{ e *Events }

// Describe implements prometheus.Collector.
func (c eventCollector) Describe(ch chan<- *prometheus.Desc) { ch <- c.e.counters[0].Desc() }

// Collect implements prometheus.Collector.
func (c eventCollector) Collect(ch chan<- prometheus.Metric) {
	for _, x := range c.e.counters {
		ch <- x
	}
}

func (e *Events) count(k Event) { e.counters[k].Inc() }

// record counts a decision and logs it with its inputs.
func (e *Events) record(k Event, f mangokeel.Flow, keyvals ...any) {
	e.count(k)
	omitted, ok := e.allow(k.class())
	if !ok {
		return
	}
	line := append([]any{"msg", k.String(), "flow", f.Caller.String() + ">" + f.Address.String()}, keyvals...)
	if omitted > 0 {
		line = append(line, "omitted", omitted)
	}
	_ = e.logger.Log(line...)
}

// logChange logs a logChange of what the process believes.
func (e *Events) logChange(msg string, keyvals ...any) {
	_ = e.logger.Log(append([]any{"msg", msg}, keyvals...)...)
}

func (e *Events) allow(k eventClass) (omitted int, ok bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	b := &e.limiters[k]
	now := time.Now()
	if !b.last.IsZero() {
		b.tokens = min(e.logRate*logBurstSeconds, b.tokens+now.Sub(b.last).Seconds()*e.logRate)
	}
	b.last = now
	if b.tokens < 1 {
		b.omitted++
		return 0, false
	}
	b.tokens--
	omitted, b.omitted = b.omitted, 0
	return omitted, true
}
