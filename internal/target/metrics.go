package target

import "github.com/prometheus/client_golang/prometheus"

// metrics counts what became of requests.
type metrics struct {
	// requests is by outcome, refusals by reason, retries by result.
	requests, refusals, retries *prometheus.CounterVec
	truncated, foreign          prometheus.Counter
}

func newMetrics() *metrics {
	vec := func(name, help, label string) *prometheus.CounterVec {
		return prometheus.NewCounterVec(prometheus.CounterOpts{Namespace: "mangokeel", Subsystem: "target", Name: name, Help: help}, []string{label})
	}
	one := func(name, help string) prometheus.Counter {
		return prometheus.NewCounter(prometheus.CounterOpts{Namespace: "mangokeel", Subsystem: "target", Name: name, Help: help})
	}
	return &metrics{
		requests:  vec("requests_total", "Requests by outcome.", "outcome"),
		refusals:  vec("refusals_total", "Requests refused here by reason.", "reason"),
		retries:   vec("retries_total", "Requests offered to another agent by result.", "result"),
		truncated: one("truncated_total", "Responses that ended early at the target."),
		foreign:   one("foreign_total", "Responses that belonged to another request."),
	}
}

// register adds the counters, and gauges of the handler's state, to r.
func (h *Handler) register(r prometheus.Registerer) {
	gauge := func(name, help string, fn func(stats) float64) prometheus.Collector {
		return prometheus.NewGaugeFunc(prometheus.GaugeOpts{Namespace: "mangokeel", Subsystem: "target", Name: name, Help: help},
			func() float64 { return fn(h.gate.stats()) })
	}
	m := h.metrics
	r.MustRegister(m.requests, m.refusals, m.retries, m.truncated, m.foreign,
		gauge("running", "Requests in slots.", func(s stats) float64 { return float64(s.running) }),
		gauge("queued", "Requests that wait.", func(s stats) float64 { return float64(s.queued) }),
		gauge("streams", "Responses that left their slots.", func(s stats) float64 { return float64(s.streams) }),
		gauge("slots", "Requests that may run at one time at present.", func(s stats) float64 { return float64(s.slots) }),
		gauge("share", "Present limit as a part of the configured slots.", func(s stats) float64 { return s.share }),
		gauge("collapses", "Times the limit fell to the cold share since the start.", func(s stats) float64 { return float64(s.Collapses) }),
	)
}
