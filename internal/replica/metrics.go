package replica

import (
	"github.com/prometheus/client_golang/prometheus"

	"mangokeel"
)

const namespace = "mangokeel_replica"

// register registers the instance's metrics if a registerer is configured.
func (n *Node) register(name string) error {
	if n.opts.registerer == nil {
		return nil
	}
	labels := prometheus.Labels{"instance_name": name}
	counter := func(metric, help string, value func(view) uint64) prometheus.Collector {
		return prometheus.NewCounterFunc(prometheus.CounterOpts{
			Namespace: namespace, Name: metric, Help: help, ConstLabels: labels,
		}, func() float64 { return float64(value(n.view())) })
	}
	gauge := func(metric, help string, value func(view) float64) prometheus.Collector {
		return prometheus.NewGaugeFunc(prometheus.GaugeOpts{
			Namespace: namespace, Name: metric, Help: help, ConstLabels: labels,
		}, func() float64 { return value(n.view()) })
	}
	for _, c := range []prometheus.Collector{
		counter("elections_total", "Elections started by this instance.", func(v view) uint64 { return v.counts.elections }),
		counter("leaderships_total", "Elections won by this instance.", func(v view) uint64 { return v.counts.leaderships }),
		counter("depositions_total", "Times this instance stopped being the leader.", func(v view) uint64 { return v.counts.depositions }),
		counter("refused_total", "Calls rejected because they were addressed to another instance or cluster.", func(v view) uint64 { return v.counts.refused }),
		counter("clock_backwards_total", "Times the clock was observed to go backwards.", func(v view) uint64 { return v.counts.backwards }),
		counter("applied_total", "Index of the last applied log entry.", func(v view) uint64 { return uint64(v.status.Applied) }),
		gauge("committed", "Index of the last log entry known to be committed.", func(v view) float64 { return float64(v.status.Committed) }),
		gauge("term", "Current term.", func(v view) float64 { return float64(v.status.Term) }),
		gauge("leading", "1 while this instance is the leader, otherwise 0.", func(v view) float64 { return boolToFloat(v.status.Leading) }),
		gauge("age_seconds", "Seconds since a majority last confirmed the committed index.", func(v view) float64 {
			return age(n.timers.Now(), v.now, v.confirmed).Seconds()
		}),
	} {
		if err := n.opts.registerer.Register(c); err != nil {
			return err
		}
	}
	return nil
}

func boolToFloat(b bool) float64 {
	if b {
		return 1
	}
	return 0
}

func (n *Node) view() view {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.published
}

// Dump is the diagnostic state of an instance.
type Dump struct {
	mangokeel.LogStatus
	Role     string
	Members  []Member
	Joint    bool
	Last     uint64
	Snapshot uint64
	// Cut is true from the loss of the end of the log until the instance has
	// caught up.
	Cut   bool
	Error string `json:",omitempty"`
}

// Dump returns the current diagnostic state in a form that encoding/json can
// encode.
func (n *Node) Dump() any {
	v := n.view()
	d := Dump{
		LogStatus: n.Status(),
		Role:      v.role.String(),
		Members:   n.Members(),
		Joint:     v.membership.GetJoint(),
		Last:      v.last,
		Snapshot:  v.snapshot,
		Cut:       v.cut,
	}
	if err := n.Err(); err != nil {
		d.Error = err.Error()
	}
	return d
}
