package agent

import (
	"net/http"
	"net/netip"
	"sync/atomic"

	"github.com/prometheus/client_golang/prometheus"

	"mangokeel"
	"mangokeel/internal/flow"
)

// counters counts what package flow does not see.
type counters struct {
	packets, malformed, unregistered, overflow atomic.Uint64
	readErrors, writeErrors, targetErrors      atomic.Uint64
	refused, requests                          atomic.Uint64
	// running is the number of requests that have begun and not ended.
	running atomic.Int64
	// refusedAt is the time of a UDP target's last refusal in nanoseconds since
	// 1970, or 0 when it has answered since.
	refusedAt atomic.Int64
}

// counted returns h with a count of its requests.
func (a *Agent) counted(h http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		a.counters.requests.Add(1)
		a.counters.running.Add(1)
		defer a.counters.running.Add(-1)
		h.ServeHTTP(w, r)
	})
}

// add returns the sums of two sets of counters.
func add(a, b flow.Counters) flow.Counters {
	for i := range a.Actions {
		a.Actions[i] += b.Actions[i]
	}
	for i := range a.Drops {
		a.Drops[i] += b.Drops[i]
	}
	a.Expired += b.Expired
	a.Abandoned += b.Abandoned
	a.Settled += b.Settled
	a.Mismatched += b.Mismatched
	a.Upgraded += b.Upgraded
	a.Fenced += b.Fenced
	a.Released += b.Released
	a.Violations += b.Violations
	return a
}

// Status is the state of an agent for the dump.
type Status struct {
	Handle   mangokeel.Handle    `json:"handle"`
	Service  mangokeel.ServiceID `json:"service"`
	Revision mangokeel.Revision  `json:"revision"`
	Epoch    mangokeel.Epoch     `json:"epoch"`
	Control  netip.AddrPort      `json:"control"`
	Leaving  bool                `json:"leaving"`
	// Flows counts open flows, Table the entries found by address, Floors the
	// floors above Epoch.
	Flows   int   `json:"flows"`
	Table   int   `json:"table"`
	Floors  int   `json:"floors"`
	Running int64 `json:"running"`
	// Weight is the one reported to control, 0 to 256.
	Weight    uint32            `json:"weight"`
	Balancers []netip.AddrPort  `json:"balancers"`
	Actions   map[string]uint64 `json:"actions"`
	Drops     map[string]uint64 `json:"drops"`
	Events    map[string]uint64 `json:"events"`
	// Counters are those of the flow tables of all handles so far.
	Counters flow.Counters `json:"-"`
}

// Status returns the present state.
func (a *Agent) Status() Status {
	s := Status{
		Handle:   a.Handle(),
		Revision: a.view.State().Revision,
		Control:  a.follower.Control(),
		Leaving:  a.Leaving(),
		Running:  a.counters.running.Load(),
		Weight:   a.load().GetWeight(),
	}
	if l := a.replies.live.Load(); l != nil {
		s.Balancers = *l
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	s.Counters, s.Flows = a.past, a.flows()
	if a.reg != nil {
		s.Service, s.Epoch = a.reg.service, a.reg.table.Epoch()
		s.Table, s.Floors = a.reg.table.Len(), a.reg.table.Floors()
		s.Counters = add(a.past, a.reg.table.Counters())
	}
	s.Actions, s.Drops = map[string]uint64{}, map[string]uint64{}
	for i, n := range s.Counters.Actions {
		s.Actions[flow.Action(i).String()] = n
	}
	for i, n := range s.Counters.Drops {
		s.Drops[flow.Reason(i).String()] = n
	}
	s.Events = a.events(s.Counters)
	return s
}

// collector exports an agent's counters to Prometheus.
type collector struct {
	a                         *Agent
	actions, drops, flows     *prometheus.Desc
	events, running, revision *prometheus.Desc
}

// NewCollector returns a collector of a's metrics.
func NewCollector(a *Agent) prometheus.Collector {
	desc := func(name, help string, labels ...string) *prometheus.Desc {
		return prometheus.NewDesc("mangokeel_agent_"+name, help, labels, nil)
	}
	return &collector{
		a:        a,
		actions:  desc("decisions_total", "Decisions about packets.", "action"),
		drops:    desc("drops_total", "Dropped packets.", "reason"),
		events:   desc("events_total", "Other events by kind.", "event"),
		flows:    desc("flows", "Open flows, and entries of the flow table.", "kind"),
		running:  desc("requests", "Requests that run."),
		revision: desc("revision", "Revision of the view."),
	}
}

// Describe implements prometheus.Collector.
func (c *collector) Describe(ch chan<- *prometheus.Desc) { prometheus.DescribeByCollect(c, ch) }

// Collect implements prometheus.Collector.
func (c *collector) Collect(ch chan<- prometheus.Metric) {
	s := c.a.Status()
	count := func(d *prometheus.Desc, v uint64, label string) {
		ch <- prometheus.MustNewConstMetric(d, prometheus.CounterValue, float64(v), label)
	}
	gauge := func(d *prometheus.Desc, v float64, labels ...string) {
		ch <- prometheus.MustNewConstMetric(d, prometheus.GaugeValue, v, labels...)
	}
	for k, v := range s.Actions {
		count(c.actions, v, k)
	}
	for k, v := range s.Drops {
		if k != flow.ReasonNone.String() {
			count(c.drops, v, k)
		}
	}
	for k, v := range s.Events {
		count(c.events, v, k)
	}
	gauge(c.flows, float64(s.Flows), "open")
	gauge(c.flows, float64(s.Table), "table")
	gauge(c.flows, float64(s.Floors), "floors")
	gauge(c.running, float64(s.Running))
	gauge(c.revision, float64(s.Revision))
}

// events returns the counts of all other events.
func (a *Agent) events(c flow.Counters) map[string]uint64 {
	polls, moves := a.follower.Counts()
	return map[string]uint64{
		"packet":        a.counters.packets.Load(),
		"malformed":     a.counters.malformed.Load(),
		"unregistered":  a.counters.unregistered.Load(),
		"overflow":      a.counters.overflow.Load(),
		"read-error":    a.counters.readErrors.Load(),
		"write-error":   a.counters.writeErrors.Load(),
		"target-error":  a.counters.targetErrors.Load(),
		"refused":       a.counters.refused.Load(),
		"request":       a.counters.requests.Load(),
		"reply":         a.replies.sent.Load(),
		"reply-reroute": a.replies.rerouted.Load(),
		"reply-lost":    a.replies.lost.Load(),
		"poll":          polls,
		"move":          moves,
		"expired":       c.Expired,
		"abandoned":     c.Abandoned,
		"settled":       c.Settled,
		"mismatched":    c.Mismatched,
		"upgraded":      c.Upgraded,
		"fenced":        c.Fenced,
		"released":      c.Released,
		"violation":     c.Violations,
	}
}
