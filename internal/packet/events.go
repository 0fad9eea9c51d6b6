package packet

import (
	"net/netip"
	"strconv"
	"sync"
	"time"

	"github.com/go-kit/log"
	"github.com/prometheus/client_golang/prometheus"

	"mangokeel"
	"mangokeel/internal/fleet"
)

const namespace = "mangokeel_packet"

// Event is a kind of event in the handling of packets.
type Event int

// Kinds of events.
const (
	// Forwarded packets went to an agent, Delivered ones to the target, Returned ones came back
	// from it, and Answered ones went from it to a caller.
	Forwarded Event = iota
	Delivered
	Returned
	Answered
	// Opened flows were offered to the target, and Asked requests were given to it.
	Opened
	Asked
	// Dropped packets could not be handled, Malformed ones could not be parsed.
	Dropped
	Malformed
	// Bypassed opening packets were sent to another agent because the first one is considered unresponsive.
	Bypassed
	// Passed opening packets went to another agent because this one's target is busier or may not
	// take them.
	Passed
	// Queued opening packets wait until the target can take them.
	Queued
	// Refused flows were rejected before any request ran.
	Refused
	// Searched packets belong to flows that this agent does not know.
	Searched
	// Lost packets belong to flows for which no owner was found and which may still be alive.
	Lost
	// Ended flows were reset because their target ended or because no agent holds them.
	Ended
	// Failed requests got no answer from the target, or an answer that reports a failure.
	Failed
	// Rejected reports are not about the agent's own target or cannot be read.
	Rejected
	// Probed counts connection attempts to a target that has not reported, Vacant how often an agent
	// became certain that it has no target.
	Probed
	Vacant
	eventCount
)

// String returns the event's name.
func (e Event) String() string {
	return [...]string{
		"forwarded", "delivered", "returned", "answered", "opened", "asked", "dropped", "malformed", "bypassed",
		"passed", "queued", "refused", "searched", "lost", "ended", "failed", "rejected", "probed", "vacant",
	}[e]
}

const (
	// defaultLogRate is the default number of log lines a second for each class of events. Beyond
	// it, events are only counted, and the next line reports how many were omitted.
	defaultLogRate = 20.0
	// logBurstSeconds bounds a burst of lines, in seconds at the log rate.
	logBurstSeconds = 2.0
)

// eventClass is a class of events with a rate limit of its own, so that failures are still logged
// when there are many ordinary events.
type eventClass int

const (
	ordinaryEvent eventClass = iota
	failureEvent
	eventClassCount
)

func (e Event) class() eventClass {
	switch e {
	case Refused, Lost, Ended, Bypassed, Failed, Rejected:
		return failureEvent
	}
	return ordinaryEvent
}

// Events counts all events and logs those that redirect or end a flow.
type Events struct {
	logger   log.Logger
	counters [eventCount]prometheus.Counter
	// answerTimes observes the times from a request to the first byte of its answer, waitTimes the
	// times that opening packets waited for a target.
	answerTimes, waitTimes prometheus.Histogram
	// flows counts new flows by what became of them, their priority and the zone of their balancer.
	flows *prometheus.CounterVec

	mu       sync.Mutex
	logRate  float64
	limiters [eventClassCount]rateLimiter
}

// rateLimiter is a token bucket for the log lines of one class.
type rateLimiter struct {
	tokens float64
	last   time.Time
	// omitted counts the lines omitted since the last one that was logged.
	omitted int
}

// EventsOption sets an option of Events.
type EventsOption func(*Events)

// WithLogRate sets how many lines a second may be logged for each class of events.
func WithLogRate(perSecond float64) EventsOption { return func(e *Events) { e.logRate = perSecond } }

// NewEvents returns an Events that logs to l.
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
	e.flows = prometheus.NewCounterVec(prometheus.CounterOpts{
		Namespace: namespace, Name: "flows_total", Help: "New flows that were opened, or the reason for which they were refused.",
	}, []string{"outcome", "priority", "zone"})
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
	for _, c := range []prometheus.Collector{eventCollector{e}, e.answerTimes, e.waitTimes, e.flows} {
		if err := r.Register(c); err != nil {
			return err
		}
	}
	return nil
}

// lazyRequestID is the request ID in a packet. It is extracted only if the line is logged.
type lazyRequestID struct {
	codec mangokeel.Codec
	raw   []byte
}

// String returns the request ID.
func (l lazyRequestID) String() string { return l.codec.Request(l.raw) }

// eventCollector exports the event counters as one metric.
type eventCollector struct{ e *Events }

// Describe implements prometheus.Collector.
func (c eventCollector) Describe(ch chan<- *prometheus.Desc) { ch <- c.e.counters[0].Desc() }

// Collect implements prometheus.Collector.
func (c eventCollector) Collect(ch chan<- prometheus.Metric) {
	for _, x := range c.e.counters {
		ch <- x
	}
}

// count counts an event without logging it.
func (e *Events) count(k Event) { e.counters[k].Inc() }

// countFlow counts a new flow that was opened or, with the reason as its outcome, refused.
func (e *Events) countFlow(outcome string, s *fleet.State, address netip.AddrPort, zone mangokeel.AvailabilityZone) {
	priority := ""
	if route := s.Routes[address]; route != nil {
		priority = strconv.Itoa(route.Priority)
	}
	if !s.HasZone(zone) {
		zone = "" // frames are not authenticated, and each new value would take memory
	}
	e.flows.WithLabelValues(outcome, priority, string(zone)).Inc()
}

// record counts an event of a flow and logs it with keyvals, if the rate limit allows.
func (e *Events) record(k Event, f mangokeel.Flow, keyvals ...any) {
	e.count(k)
	omitted, ok := e.allow(k.class())
	if !ok {
		return
	}
	e.log(omitted, append([]any{"msg", k.String(), "flow", f.Caller.String() + ">" + f.Address.String()}, keyvals...))
}

// recordReport counts an event of a target's report and logs it, if the rate limit allows.
func (e *Events) recordReport(k Event, id string, err error) {
	e.count(k)
	if omitted, ok := e.allow(k.class()); ok {
		e.log(omitted, []any{"msg", "report " + k.String(), "id", id, "err", err})
	}
}

func (e *Events) log(omitted int, line []any) {
	if omitted > 0 {
		line = append(line, "omitted", omitted)
	}
	_ = e.logger.Log(line...)
}

// logChange logs a change of the process's state. It has no rate limit.
func (e *Events) logChange(msg string, keyvals ...any) {
	_ = e.logger.Log(append([]any{"msg", msg}, keyvals...)...)
}

// allow takes a token of a class, and returns how many lines were omitted before.
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
