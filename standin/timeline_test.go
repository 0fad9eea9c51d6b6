package standin

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// Guards against requests, flows and response times that count in the wrong second.
func TestTimeline(t *testing.T) {
	c := qt.New(t)
	start := time.Unix(1000, 0)
	at := func(ms int) time.Time { return start.Add(time.Duration(ms) * time.Millisecond) }
	l := timeline{start: start}
	l.begin(at(100))
	l.flow(1, at(200))
	l.begin(at(900))
	l.finish(answered, at(100), at(2100))
	l.finish(refused, at(900), at(2200))
	l.flow(-1, at(3500))
	got := l.list()
	c.Assert(got, qt.HasLen, 4)
	c.Assert(got[0], qt.Equals, Second{Started: 2, Served: 1, Open: 1})
	c.Assert(got[1], qt.Equals, Second{Open: 1})
	c.Assert(got[2].P99 >= 2*time.Second && got[2].P99 < 2020*time.Millisecond, qt.IsTrue)
	got[2].P99 = 0
	c.Assert(got[2], qt.Equals, Second{Answered: 1, Refused: 1, Open: 1})
	c.Assert(got[3], qt.Equals, Second{})
}

// Guards against a silence that is missed because no answer ends it before the load
// does.
func TestSilenceUntilEnd(t *testing.T) {
	c := qt.New(t)
	start := time.Now().Add(-time.Minute)
	n := Counts{start: start, end: start.Add(10 * time.Second), last: start}
	n.answered(start.Add(time.Second))
	n.answered(start.Add(time.Minute))
	r := n.Report()
	c.Assert(r.Silence, qt.Equals, 9*time.Second)
	c.Assert(r.SilenceAt, qt.Equals, time.Second)
}
