package fabric

import (
	"strings"

	"github.com/prometheus/client_golang/prometheus"

	"mangokeel/internal/wire"
)

// Reasons for dropping a datagram.
const (
	dropNoTarget       = "no-target"
	dropUnknownService = "unknown-service"
	dropOversized      = "oversized"
	dropMalformedReply = "malformed-reply"
	dropForeignReply   = "foreign-reply"
	dropSendFailed     = "send-failed"
	dropInvariant      = "invariant"
)

// Outcomes of a TCP connection.
const (
	streamEnded     = "ended"
	streamFailed    = "failed"
	streamNoTarget  = "no-target"
	streamCancelled = "cancelled"
)

// metrics are the balancer's counters. The counters of the packet path are looked
// up once, so that counting allocates nothing.
type metrics struct {
	packets             [8]prometheus.Counter // by wire.Kind
	replies             prometheus.Counter
	drops               *prometheus.CounterVec
	invariantViolations *prometheus.CounterVec
	streams             *prometheus.CounterVec
	redials             prometheus.Counter
	openStreams         prometheus.Gauge
	services            prometheus.Gauge
	bindFailures        prometheus.Counter
	revision            prometheus.Gauge
}

func newMetrics(r prometheus.Registerer) *metrics {
	counter := func(name, help string) prometheus.Counter {
		return prometheus.NewCounter(prometheus.CounterOpts{Name: "mangokeel_balancer_" + name, Help: help})
	}
	vec := func(name, help, label string) *prometheus.CounterVec {
		return prometheus.NewCounterVec(prometheus.CounterOpts{Name: name, Help: help}, []string{label})
	}
	gauge := func(name, help string) prometheus.Gauge {
		return prometheus.NewGauge(prometheus.GaugeOpts{Name: "mangokeel_balancer_" + name, Help: help})
	}
	packets := vec("mangokeel_balancer_packets_total", "Packets sent to agents by kind.", "kind")
	m := &metrics{
		replies:             counter("replies_total", "Packets sent to callers."),
		drops:               vec("mangokeel_balancer_dropped_total", "Datagrams dropped by reason.", "reason"),
		invariantViolations: vec("mangokeel_invariant_violations_total", "Broken invariants by number in the design.", "invariant"),
		streams:             vec("mangokeel_balancer_streams_total", "TCP connections that ended, by outcome.", "outcome"),
		redials:             counter("stream_redials_total", "Connections to agents that failed before anything was sent."),
		openStreams:         gauge("streams", "TCP connections open at present."),
		services:            gauge("services", "Services with open sockets."),
		bindFailures:        counter("bind_failures_total", "Service sockets that could not be opened."),
		revision:            gauge("revision", "Revision of the node view."),
	}
	for k := range m.packets {
		name := strings.TrimPrefix(wire.Kind(k).String(), "KIND_")
		m.packets[k] = packets.WithLabelValues(strings.ToLower(name))
	}
	m.invariantViolations.WithLabelValues("I2")
	m.invariantViolations.WithLabelValues("I4")
	r.MustRegister(packets, m.replies, m.drops, m.invariantViolations, m.streams, m.redials, m.openStreams, m.services, m.bindFailures, m.revision)
	return m
}

// countDrop counts a datagram that goes nowhere.
func (m *metrics) countDrop(reason string) { m.drops.WithLabelValues(reason).Inc() }

// countRejection counts a decision that is not Forward.
func (m *metrics) countRejection(o Outcome) {
	switch o {
	case WrongService:
		m.invariantViolations.WithLabelValues("I2").Inc()
		m.countDrop(dropInvariant)
	case ClosedZone:
		m.invariantViolations.WithLabelValues("I4").Inc()
		m.countDrop(dropInvariant)
	default:
		m.countDrop(dropNoTarget)
	}
}
