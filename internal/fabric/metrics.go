package fabric

import (
	"strings"

	"github.com/prometheus/client_golang/prometheus"

	"mangokeel/internal/wire"
)

// Values of the reason label of dropped datagrams.
const (
	dropNoTarget       = "no-target"
	dropUnknownService = "unknown-service"
	dropOversized      = "oversized"
	dropMalformedReply = "malformed-reply"
	dropForeignReply   = "foreign-reply"
	dropSendFailed     = "send-failed"
	dropInvariant      = "invariant"
)

// Values of the outcome label of TCP connections.
const (
	streamEnded     = "ended"
	streamFailed    = "failed"
	streamNoTarget  = "no-target"
	streamCancelled = "cancelled"
)

// metrics holds the balancer's Prometheus metrics. The counters of forwarded packets
// are looked up once at startup so that incrementing them does not allocate.
type metrics struct {
	packets             [8]prometheus.Counter // indexed by wire.Kind
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
	counterVec := func(name, help, label string) *prometheus.CounterVec {
		return prometheus.NewCounterVec(prometheus.CounterOpts{Name: name, Help: help}, []string{label})
	}
	gauge := func(name, help string) prometheus.Gauge {
		return prometheus.NewGauge(prometheus.GaugeOpts{Name: "mangokeel_balancer_" + name, Help: help})
	}
	packets := counterVec("mangokeel_balancer_packets_total", "Packets sent to agents, by kind.", "kind")
	m := &metrics{
		replies:             counter("replies_total", "Packets sent to callers."),
		drops:               counterVec("mangokeel_balancer_dropped_total", "Datagrams dropped, by reason.", "reason"),
		invariantViolations: counterVec("mangokeel_invariant_violations_total", "Violations of design invariants, by invariant.", "invariant"),
		streams:             counterVec("mangokeel_balancer_streams_total", "TCP connections closed, by outcome.", "outcome"),
		redials:             counter("stream_redials_total", "Failed connection attempts to agents, before any byte of the caller was relayed."),
		openStreams:         gauge("streams", "Open TCP connections."),
		services:            gauge("services", "Services with open sockets."),
		bindFailures:        counter("bind_failures_total", "Failed attempts to open the sockets of a service."),
		revision:            gauge("revision", "Revision of the balancer's view."),
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

// countDrop counts a dropped datagram.
func (m *metrics) countDrop(reason string) { m.drops.WithLabelValues(reason).Inc() }

// countRejection counts a decision whose outcome is not Forward.
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
