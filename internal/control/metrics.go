package control

import (
	"github.com/prometheus/client_golang/prometheus"
)

const namespace = "mangokeel_control"

// metrics counts what an instance does. Counters are never reset.
type metrics struct {
	calls      *prometheus.CounterVec
	outcomes   *prometheus.CounterVec
	retries    prometheus.Counter
	stale      prometheus.Counter
	denied     prometheus.Counter
	expired    prometheus.Counter
	weights    prometheus.Counter
	unreported prometheus.Counter
}

func counter(name, help string) prometheus.Counter {
	return prometheus.NewCounter(prometheus.CounterOpts{Namespace: namespace, Name: name, Help: help})
}

func counters(name, label, help string) *prometheus.CounterVec {
	return prometheus.NewCounterVec(prometheus.CounterOpts{Namespace: namespace, Name: name, Help: help}, []string{label})
}

func newMetrics() *metrics {
	return &metrics{
		calls:      counters("calls_total", "method", "Calls by method."),
		outcomes:   counters("changes_total", "code", "Changes by outcome."),
		retries:    counter("proposal_retries_total", "Tries of proposals that failed."),
		stale:      counter("stale_total", "Calls refused because no majority confirmed the state recently."),
		denied:     counter("denied_total", "Calls refused because of their key."),
		expired:    counter("expired_total", "Nodes whose lease ended."),
		weights:    counter("weights_total", "Proposed weights."),
		unreported: counter("unreported_total", "Reports that did not reach the leader."),
	}
}

func (m *metrics) register(r prometheus.Registerer, c *Control) {
	gauge := func(name, help string, fn func() float64) prometheus.Collector {
		return prometheus.NewGaugeFunc(prometheus.GaugeOpts{Namespace: namespace, Name: name, Help: help}, fn)
	}
	r.MustRegister(
		m.calls, m.outcomes, m.retries, m.stale, m.denied, m.expired, m.weights, m.unreported,
		gauge("revision", "Revision of the last applied command.", func() float64 { return float64(c.machine.Revision()) }),
		gauge("age_seconds", "Time since a majority confirmed the state.", func() float64 { return c.log.Status().Age.Seconds() }),
		gauge("leading", "1 on the leader.", func() float64 {
			if c.log.Status().Leading {
				return 1
			}
			return 0
		}),
		gauge("lagging", "Nodes that do not have a revision in force that is 2 s old, on the leader.", func() float64 {
			c.leases.mu.Lock()
			defer c.leases.mu.Unlock()
			return float64(c.leases.lagging)
		}),
		gauge("targets", "Targets in the roster.", func() float64 { return float64(len(c.machine.Targets())) }),
		gauge("balancers", "Balancers in the roster.", func() float64 { return float64(len(c.machine.Balancers())) }),
	)
}
