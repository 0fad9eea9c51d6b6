package fleet

import (
	"time"

	"github.com/prometheus/client_golang/prometheus"
)

const namespace = "mangokeel_fleet"

// serverMetrics are the metrics of a Server.
type serverMetrics struct {
	polls, retries, unconfirmed, expired, vacancies prometheus.Counter
	targets                                         prometheus.Gauge
	// completions counts the terms in which the registry became complete, by reason.
	completions *prometheus.CounterVec
}

func newServerMetrics() *serverMetrics {
	counter := func(name, help string) prometheus.Counter {
		return prometheus.NewCounter(prometheus.CounterOpts{Namespace: namespace, Name: name, Help: help})
	}
	return &serverMetrics{
		polls:       counter("polls_total", "Polls received from nodes."),
		retries:     counter("order_retries_total", "Failed attempts to propose a command."),
		unconfirmed: counter("unsure_total", "Calls that timed out before a majority confirmed the state or command."),
		expired:     counter("expired_total", "Agents whose lease expired."),
		vacancies:   counter("vacancies_total", "Agents that stated that they have no target."),
		completions: prometheus.NewCounterVec(prometheus.CounterOpts{
			Namespace: namespace, Name: "registry_complete_total", Help: "Terms in which the registry of agents became complete, by reason.",
		}, []string{"reason"}),
		targets: prometheus.NewGauge(prometheus.GaugeOpts{Namespace: namespace, Name: "targets", Help: "Announced targets; current on the leader only."}),
	}
}

// Register registers the follower's metrics.
func (f *Follower) Register(r prometheus.Registerer) error {
	gauge := func(name, help string, fn func() float64) prometheus.Collector {
		return prometheus.NewGaugeFunc(prometheus.GaugeOpts{Namespace: namespace, Name: name, Help: help}, fn)
	}
	for _, c := range []prometheus.Collector{
		gauge("revision", "Revision of the desired state at this node.", func() float64 { return float64(f.view.State().Revision) }),
		gauge("known_targets", "Targets known to this node.", func() float64 { return float64(len(f.view.State().Agents)) }),
		gauge("control_age_seconds", "Time since the last reply of a leader; -1 before the first reply.", func() float64 {
			if t := f.LastContact(); !t.IsZero() {
				return time.Since(t).Seconds()
			}
			return -1
		}),
	} {
		if err := r.Register(c); err != nil {
			return err
		}
	}
	return nil
}

// Register registers the server's metrics.
func (s *Server) Register(r prometheus.Registerer) error {
	for _, c := range []prometheus.Collector{s.metrics.polls, s.metrics.retries, s.metrics.unconfirmed, s.metrics.expired, s.metrics.vacancies, s.metrics.completions, s.metrics.targets} {
		if err := r.Register(c); err != nil {
			return err
		}
	}
	return nil
}
