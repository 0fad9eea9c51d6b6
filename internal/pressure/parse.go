package pressure

import (
	"cmp"
	"io"
	"math"
	"slices"
	"time"

	"github.com/cockroachdb/errors"
	dto "github.com/prometheus/client_model/go"
	"github.com/prometheus/common/expfmt"
	"github.com/prometheus/common/model"
)

// Metrics of an agent.
const (
	busyMetric    = "mangokeel_packet_busy"
	waitingMetric = "mangokeel_packet_waiting"
	slotsMetric   = "mangokeel_packet_slots"
	flowsMetric   = "mangokeel_packet_flows_total"
	waitsMetric   = "mangokeel_packet_wait_seconds"
	answersMetric = "mangokeel_packet_answer_seconds"
	startMetric   = "process_start_time_seconds"
)

// ErrNotAgent means that metrics are not those of an agent of the packet path.
var ErrNotAgent = errors.New("no agent of the packet path, or one of an older build: metric " + busyMetric + " is missing")

// Parse reads the metrics of an agent in the text format, as they were at a time.
func Parse(r io.Reader, at time.Time) (*Sample, error) {
	parser := expfmt.NewTextParser(model.UTF8Validation)
	families, err := parser.TextToMetricFamilies(r)
	if err != nil {
		return nil, errors.Wrap(err, "read metrics")
	}
	busy := first(families[busyMetric])
	if busy == nil {
		return nil, ErrNotAgent
	}
	s := &Sample{
		Service: label(busy, "service"), At: at, Flows: map[Flow]float64{},
		Busy: value(busy), Waiting: value(first(families[waitingMetric])), Slots: value(first(families[slotsMetric])),
		Waits: histogram(first(families[waitsMetric])), Answers: histogram(first(families[answersMetric])),
	}
	if v := value(first(families[startMetric])); v > 0 {
		s.Started = time.UnixMilli(int64(v * 1000))
	}
	for _, m := range families[flowsMetric].GetMetric() {
		s.Flows[Flow{label(m, "outcome"), label(m, "priority"), label(m, "zone")}] += value(m)
	}
	return s, nil
}

// first returns the first metric of a family, or nil if there is none.
func first(f *dto.MetricFamily) *dto.Metric {
	if len(f.GetMetric()) == 0 {
		return nil
	}
	return f.GetMetric()[0]
}

// value returns the value of a gauge, counter or metric without type. A value that is negative or no
// number counts as 0.
func value(m *dto.Metric) float64 {
	v := m.GetGauge().GetValue() + m.GetCounter().GetValue() + m.GetUntyped().GetValue()
	if math.IsNaN(v) || math.IsInf(v, 0) {
		return 0
	}
	return max(0, v)
}

func label(m *dto.Metric, name string) string {
	for _, l := range m.GetLabel() {
		if l.GetName() == name {
			return l.GetValue()
		}
	}
	return ""
}

// histogram returns the buckets of a metric, or none if it is nil.
func histogram(m *dto.Metric) Histogram {
	if m == nil {
		return nil
	}
	var h Histogram
	for _, b := range m.GetHistogram().GetBucket() {
		h = append(h, Bucket{b.GetUpperBound(), float64(b.GetCumulativeCount())})
	}
	slices.SortFunc(h, func(a, b Bucket) int { return cmp.Compare(a.UpTo, b.UpTo) })
	if all := float64(m.GetHistogram().GetSampleCount()); len(h) == 0 || !math.IsInf(h[len(h)-1].UpTo, 1) {
		h = append(h, Bucket{math.Inf(1), all})
	}
	return h
}
