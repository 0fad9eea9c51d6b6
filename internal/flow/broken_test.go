package flow_test

import (
	"fmt"
	"math/rand/v2"
	"net/netip"
	"testing"

	qt "github.com/frankban/quicktest"

	"mangokeel"
	"mangokeel/internal/bucket"
	"mangokeel/internal/view"
	"mangokeel/internal/wire"
)

// Size of the comparison of schemes.
const (
	plannedChanges = 100
	stepsPerChange = 1000
	plannedCallers = 200
)

// scheme chooses targets for packets as another design would. It returns 0 when
// nobody is eligible.
type scheme func(c *spanCaller, balancer int, svc *view.Service) mangokeel.Handle

// modulo takes the caller's hash modulo the number of eligible targets.
func modulo(c *spanCaller, _ int, svc *view.Service) mangokeel.Handle {
	m := view.Members(svc.Service, records(svc))
	if len(m) == 0 {
		return 0
	}
	return m[int(bucket.Index(c.address, svc.ID, 1<<31))%len(m)].Handle
}

func records(svc *view.Service) map[mangokeel.Handle]*wire.Target {
	m := map[mangokeel.Handle]*wire.Target{}
	for h, t := range svc.Targets {
		m[h] = t.Target
	}
	return m
}

// entryKey is a flow in the table of one balancer.
type entryKey struct {
	balancer int
	caller   netip.AddrPort
	flow     int
}

// flowTables is consistent hashing with a table of flows at each balancer.
func flowTables() scheme {
	known := map[entryKey]mangokeel.Handle{}
	return func(c *spanCaller, balancer int, svc *view.Service) mangokeel.Handle {
		k := entryKey{balancer, c.address, c.flow}
		if t := svc.Targets[known[k]]; t != nil && t.Open {
			return known[k]
		}
		known[k], _ = svc.Table.Owner(bucket.Index(c.address, svc.ID, svc.Table.Buckets()))
		return known[k]
	}
}

// flowKey is one flow of one caller.
type flowKey struct {
	caller netip.AddrPort
	flow   int
}

// tally counts the flows that a scheme breaks: those with a packet at another
// target while the flow's own one is healthy.
type tally struct {
	choose scheme
	first  map[flowKey]mangokeel.Handle
	broken map[flowKey]bool
}

func newTally(s scheme) *tally {
	return &tally{choose: s, first: map[flowKey]mangokeel.Handle{}, broken: map[flowKey]bool{}}
}

func (y *tally) packet(w *span, c *spanCaller, balancer int, s *view.State) {
	h, k := y.choose(c, balancer, s.Service(spanID)), flowKey{c.address, c.flow}
	switch first := y.first[k]; {
	case h == 0:
	case first == 0:
		y.first[k] = h
	case h != first && w.healthy(first):
		y.broken[k] = true
	}
}

// brokenFlows returns the flows that each scheme breaks per planned change, with
// packets sprayed over balancers that lag.
func brokenFlows(seed uint64) (chain, hashed, tables float64) {
	failures := 0
	fail := func(string, ...any) { failures++ }
	w := newSpan("udp", 3, plannedCallers, rand.New(rand.NewPCG(seed, 0)).IntN, fail)
	a, b := newTally(modulo), newTally(flowTables())
	w.sent = func(c *spanCaller, balancer int, s *view.State) {
		a.packet(w, c, balancer, s)
		b.packet(w, c, balancer, s)
	}
	before := w.counts.changes
	for range plannedChanges {
		w.change(true)
		for range stepsPerChange {
			w.step(true, nil)
		}
	}
	w.sent = nil
	w.converge()
	n := float64(w.counts.changes - before)
	return float64(failures) / n, float64(len(a.broken)) / n, float64(len(b.broken)) / n
}

// Guards against planned changes that break flows, and against a comparison that
// would not notice them.
func TestPlannedChangesBreakNothing(t *testing.T) {
	c := qt.New(t)
	chain, hashed, tables := brokenFlows(1)
	c.Assert(chain, qt.Equals, 0.0)
	c.Assert(hashed > 0 && tables > 0, qt.IsTrue, qt.Commentf("%.2f %.2f", hashed, tables))
}

// BenchmarkBrokenFlows gives broken flows per planned change for the chain design
// (bound 0) and for the two baselines of the same run.
func BenchmarkBrokenFlows(b *testing.B) {
	seed := uint64(0)
	for b.Loop() {
		seed++
		chain, hashed, tables := brokenFlows(seed)
		b.ReportMetric(chain, "chain/change")
		b.ReportMetric(hashed, "modulo/change")
		b.ReportMetric(tables, "tables/change")
		if chain != 0 || hashed == 0 || tables == 0 {
			b.Error(fmt.Sprintf("seed %d: %v %v %v", seed, chain, hashed, tables))
		}
	}
}
