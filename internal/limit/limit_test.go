package limit_test

import (
	"math/rand/v2"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"mangokeel/internal/limit"
	"mangokeel/internal/timer"
)

const (
	service  = 20 * time.Millisecond
	slots    = 2
	deadline = 400 * time.Millisecond
)

// simTarget simulates a target in virtual time, behind a limiter unless l is nil.
type simTarget struct {
	t    *timer.Virtual
	l    *limit.Limiter
	rng  *rand.Rand
	busy int
	// slow multiplies the service time.
	slow float64
	// warm is the number of completions after which the target has its full
	// capacity. Load above the capacity increases the service time.
	warm, done         int
	waiting            map[limit.ID]job
	offered            [3]int
	inTime             [3]int
	longestRefusalWait time.Duration // longest time that a refused request was queued
	excess             int           // starts above the limiter's current slots
}

type job struct {
	class    limit.Class
	arrived  time.Time
	deadline time.Time
}

func newModel(l *limit.Limiter) *simTarget {
	return &simTarget{t: timer.NewVirtual(time.Unix(0, 0)), l: l, rng: rand.New(rand.NewPCG(1, 2)), slow: 1, waiting: map[limit.ID]job{}}
}

func (m *simTarget) arrive(j job) {
	m.offered[j.class]++
	if m.l == nil {
		m.run(0, j)
		return
	}
	d := m.l.Offer(m.t.Now(), limit.Request{Class: j.class, Deadline: j.deadline})
	switch d.Verdict {
	case limit.Start:
		m.run(d.ID, j)
	case limit.Wait:
		m.waiting[d.ID] = j
	case limit.Refuse:
	}
	m.poll()
}

func (m *simTarget) poll() {
	for _, e := range m.l.Poll(m.t.Now()) {
		j := m.waiting[e.ID]
		delete(m.waiting, e.ID)
		if e.Verdict == limit.Start {
			m.run(e.ID, j)
		} else {
			m.longestRefusalWait = max(m.longestRefusalWait, m.t.Now().Sub(j.arrived))
		}
	}
}

func (m *simTarget) run(id limit.ID, j job) {
	m.busy++
	if m.l != nil && m.busy > m.l.Slots() {
		m.excess++
	}
	capacity := float64(slots)
	if m.done < m.warm {
		capacity *= 1.0/8 + 7.0/8*float64(m.done)/float64(m.warm)
	}
	s := float64(service) * m.slow * (0.8 + 0.4*m.rng.Float64()) * max(1, float64(m.busy)/max(1, capacity))
	m.t.After(time.Duration(s), func(now time.Time) {
		m.busy--
		m.done++
		if !now.After(j.deadline) {
			m.inTime[j.class]++
		}
		if m.l != nil {
			m.l.Done(now, id, limit.Completed)
			m.poll()
		}
	})
}

// load offers Poisson arrivals at a multiple of the warm capacity for d.
func (m *simTarget) load(multiple float64, d time.Duration) {
	end := m.t.Now().Add(d)
	for m.t.Now().Before(end) {
		m.t.Advance(time.Duration(m.rng.ExpFloat64() * float64(service) / slots / multiple))
		class := limit.Normal
		switch x := m.rng.Float64(); {
		case x < 0.2:
			class = limit.Urgent
		case x > 0.7:
			class = limit.Bulk
		}
		m.arrive(job{class, m.t.Now(), m.t.Now().Add(deadline)})
		if m.l != nil {
			m.poll()
		}
	}
}

func (m *simTarget) reset() { m.offered, m.inTime = [3]int{}, [3]int{} }

func (m *simTarget) goodput() int { return m.inTime[0] + m.inTime[1] + m.inTime[2] }

// Guards against overload up to 3 times the capacity reducing goodput (congestion
// collapse), making Urgent requests late or starving Bulk, and against refusals that
// take longer than half of the deadline.
func TestOverload(t *testing.T) {
	c := qt.New(t)
	var peak, last int
	var m *simTarget
	for _, multiple := range []float64{0.5, 0.8, 1, 1.5, 2, 3} {
		m = newModel(limit.New(limit.Config{Slots: slots, Wait: 150 * time.Millisecond}))
		m.load(0.8, 10*time.Second)
		m.reset()
		m.load(multiple, time.Minute)
		last = m.goodput()
		peak = max(peak, last)
	}
	baseline := newModel(nil)
	baseline.load(3, time.Minute)
	urgent := float64(m.inTime[limit.Urgent]) / float64(m.offered[limit.Urgent])
	t.Logf("per minute: peak %d, at 3 times capacity %d, without admission %d; urgent in time %.4f, bulk %d, longest wait before a refusal %v",
		peak, last, baseline.goodput(), urgent, m.inTime[limit.Bulk], m.longestRefusalWait)
	c.Check(float64(last) >= 0.9*float64(peak), qt.IsTrue)
	c.Check(baseline.goodput() < last/2, qt.IsTrue)
	c.Check(urgent >= 0.99, qt.IsTrue)
	c.Check(float64(m.inTime[limit.Bulk]) >= 0.09*float64(last), qt.IsTrue)
	c.Check(m.longestRefusalWait <= deadline/2, qt.IsTrue)
}

// Guards against overloading a target whose capacity grows with the requests that it
// completes after a start.
func TestColdStart(t *testing.T) {
	c := qt.New(t)
	l := limit.New(limit.Config{Slots: slots})
	m := newModel(l)
	m.warm = 24
	start := m.t.Now()
	m.load(3, 150*time.Millisecond)
	c.Check(m.done <= 2, qt.IsTrue, qt.Commentf("%d at the cold share", m.done))
	for l.Share() < 1 && m.t.Now().Sub(start) < time.Minute {
		m.load(3, 10*time.Millisecond)
	}
	t.Logf("full limit after %v and %d requests, %d starts above the slots, %d collapses",
		m.t.Now().Sub(start), m.done, m.excess, l.Counts().Collapses)
	c.Check(l.Share(), qt.Equals, 1.0)
	c.Check(m.excess, qt.Equals, 0)
	c.Check(l.Counts().Collapses, qt.Equals, uint64(0))
}

// Guards against keeping the full load on a target that becomes slower under it, with
// factors for a target that still completes requests and for one that hangs.
func TestCollapse(t *testing.T) {
	for _, slow := range []float64{6, 1000} {
		c := qt.New(t)
		l := limit.New(limit.Config{Slots: slots})
		m := newModel(l)
		m.load(2, 10*time.Second)
		c.Assert(l.Share(), qt.Equals, 1.0)
		m.slow = slow
		slowedAt := m.t.Now()
		for l.Share() > 1.0/8 && m.t.Now().Sub(slowedAt) < time.Minute {
			m.load(2, time.Millisecond)
		}
		t.Logf("%v times slower: cold share after %v", slow, m.t.Now().Sub(slowedAt))
		c.Check(m.t.Now().Sub(slowedAt) < time.Second, qt.IsTrue)
	}
}

// Guards against a target that fails fast and, because its slots free up quickly,
// gets more requests than healthy ones. The limiter doesn't rely on its health
// endpoint.
func TestFailing(t *testing.T) {
	c := qt.New(t)
	l := limit.New(limit.Config{Slots: slots})
	m := newModel(l)
	m.load(1, 10*time.Second)
	m.t.Advance(time.Second)
	now := m.t.Now()
	for range 4 {
		d := l.Offer(now, limit.Request{Class: limit.Normal})
		c.Assert(d.Verdict, qt.Equals, limit.Start)
		l.Done(now, d.ID, limit.Failed)
		now = now.Add(time.Second)
	}
	c.Check(l.Failing(now), qt.IsTrue)
	c.Check(l.Failing(now.Add(time.Minute)), qt.IsFalse)
	c.Check(l.Share(), qt.Equals, 1.0/8)
}

// Guards against starting requests that cannot meet their deadline, and against
// streams that occupy a slot or exceed the limit of connections.
func TestDeadlineAndStreams(t *testing.T) {
	c := qt.New(t)
	l := limit.New(limit.Config{Slots: 1, Connections: 2})
	now := time.Unix(0, 0)
	d := l.Offer(now, limit.Request{Deadline: now})
	c.Check(d.Reason, qt.Equals, limit.Late)
	for range 2 {
		d = l.Offer(now, limit.Request{})
		c.Assert(d.Verdict, qt.Equals, limit.Start)
		now = now.Add(10 * time.Millisecond)
		l.Detach(now, d.ID)
		now = now.Add(time.Second)
	}
	c.Check(l.Running(), qt.Equals, 0)
	c.Check(l.Offer(now, limit.Request{}).Reason, qt.Equals, limit.Connections)
	l.Done(now, d.ID, limit.Completed)
	c.Check(l.Offer(now, limit.Request{Deadline: now.Add(5 * time.Millisecond)}).Reason, qt.Equals, limit.Late)
	c.Check(l.Offer(now, limit.Request{}).Verdict, qt.Equals, limit.Start)
}

func BenchmarkOffer(b *testing.B) {
	l := limit.New(limit.Config{Slots: slots})
	now := time.Unix(0, 0)
	for b.Loop() {
		d := l.Offer(now, limit.Request{Class: limit.Normal, Deadline: now.Add(time.Second)})
		now = now.Add(time.Millisecond)
		l.Done(now, d.ID, limit.Completed)
		now = now.Add(time.Second)
		l.Poll(now)
	}
}
