package packet

import (
	"strings"

	"github.com/prometheus/client_golang/prometheus"
)

// Gauges of an agent. The label is the service of its target.
var (
	busyGauge = gauge("busy", "Requests in progress at the target.")
	waitGauge = gauge("waiting", "Flows that wait for the target.")
	slotGauge = gauge("slots", "Requests that the target works on at once, or 0 while it accepts no new flows.")
)

func gauge(name, help string) *prometheus.Desc {
	return prometheus.NewDesc(prometheus.BuildFQName(namespace, "", name), help, []string{"service"}, nil)
}

// targetState is what the gauges show.
type targetState struct {
	service              string
	busy, waiting, slots int
}

// targetState returns the state of the target and of the queue for it.
func (a *Agent) targetState() targetState {
	a.mu.Lock()
	defer a.mu.Unlock()
	g := &a.admission
	s := targetState{service: a.cfg.Service, busy: max(0, a.busy), waiting: a.queue.Len()}
	if g.known {
		s.service = strings.ToValidUTF8(g.service, "?") // other values are not allowed in labels
	}
	if g.known && g.ready && !a.view.State().ZonesOut[a.cfg.Zone] {
		s.slots = g.slots
	}
	return s
}

// Register registers the gauges.
func (a *Agent) Register(r prometheus.Registerer) error {
	if err := r.Register(agentCollector{a}); err != nil {
		return err
	}
	return a.registerLearned(r)
}

// agentCollector exports an agent's gauges. It holds the agent's lock only while it copies the state,
// so that a reader that does not take the metrics delays no packet.
type agentCollector struct{ a *Agent }

// Describe implements prometheus.Collector.
func (agentCollector) Describe(ch chan<- *prometheus.Desc) {
	ch <- busyGauge
	ch <- waitGauge
	ch <- slotGauge
}

// Collect implements prometheus.Collector.
func (c agentCollector) Collect(ch chan<- prometheus.Metric) {
	s := c.a.targetState()
	ch <- prometheus.MustNewConstMetric(busyGauge, prometheus.GaugeValue, float64(s.busy), s.service)
	ch <- prometheus.MustNewConstMetric(waitGauge, prometheus.GaugeValue, float64(s.waiting), s.service)
	ch <- prometheus.MustNewConstMetric(slotGauge, prometheus.GaugeValue, float64(s.slots), s.service)
}
