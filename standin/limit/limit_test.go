package limit_test

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"mangokeel/standin/limit"
)

const ms = time.Millisecond

// feed is a class of 100 requests per second that 10 slots serve with room to spare.
func feed() limit.Class {
	return limit.Class{
		Name: "feed", Service: "s", Rate: 100, Work: 50 * ms, TargetTime: 300 * ms, Timeout: 1500 * ms, Value: 1, LateValue: 0.3,
	}
}

func serve(o limit.Outage, slots int, cold float64, classes ...limit.Class) []limit.Request {
	list := limit.Requests(classes, 0, 6*time.Second)
	limit.Serve(o, list, map[string]limit.Service{"s": {Slots: slots, ColdFactor: cold, ColdFor: 2 * time.Second}})
	return list
}

// Guards against a limit below 1 where nothing is lost.
func TestNoOutage(t *testing.T) {
	c := qt.New(t)
	n := limit.Count(serve(limit.Outage{}, 10, 1, feed()), 0, 5*time.Second)
	c.Assert(n, qt.Equals, limit.Counts{Asked: 500, InTime: 500, Worth: 1})
}

// Guards against a limit that serves more than the slots can: half the slots that the load needs
// answer half of the requests in time.
func TestOverload(t *testing.T) {
	c := qt.New(t)
	x := feed()
	x.Rate, x.LateValue = 200, 0
	n := limit.Count(serve(limit.Outage{}, 5, 1, x), time.Second, 3*time.Second)
	c.Assert(n.Asked, qt.Equals, 400)
	c.Assert(n.InTime >= 195 && n.InTime <= 205, qt.IsTrue, qt.Commentf("%+v", n))
}

// Guards against answers in time for requests of the dark, and against a limit that ignores those
// which can still be answered late.
func TestOutage(t *testing.T) {
	c := qt.New(t)
	o := limit.Outage{From: 2 * time.Second, Until: 3 * time.Second, Request: 10 * ms, Answer: 5 * ms}
	list := serve(o, 100, 1, feed())
	// What begins from 2.765 s on can be answered in time; the work of the 50 ms before it is lost.
	n := limit.Count(list, 2*time.Second, 3*time.Second)
	c.Assert(n.InTime, qt.Equals, 24)
	c.Assert(n.Late, qt.Equals, 76)
	c.Assert(limit.Count(list, 0, 1900*ms).InTime, qt.Equals, 190)
	c.Assert(limit.Count(list, 1950*ms, 2*time.Second).InTime, qt.Equals, 0)
	c.Assert(limit.Count(list, 3*time.Second, 5*time.Second).InTime, qt.Equals, 200)

	// With copies after 200 and 600 ms, what began in the last 35 ms is answered in time only if a
	// copy comes early enough.
	o.Copies = []time.Duration{200 * ms, 600 * ms}
	n = limit.Count(serve(o, 100, 1, feed()), 2*time.Second, 3*time.Second)
	c.Assert(n.InTime, qt.Equals, 20)
	c.Assert(n.Failed, qt.Equals, 40)
}

// Guards against a limit that serves late requests before those that can be answered in time, and
// requests of little value before others.
func TestOrder(t *testing.T) {
	c := qt.New(t)
	o := limit.Outage{From: time.Second, Until: 2 * time.Second}
	cheap, dear := feed(), feed()
	cheap.Name, dear.Name, dear.Value = "cheap", "dear", 2
	list := serve(o, 7, 2, cheap, dear) // 70 per second while cold, of 200 asked
	var inTime, late [2]int
	for _, r := range list {
		if r.Begins < 2*time.Second || r.Begins > 3500*ms {
			continue
		}
		i := 0
		if r.Class.Name == "dear" {
			i = 1
		}
		switch r.Outcome {
		case limit.InTime:
			inTime[i]++
		case limit.Late:
			late[i]++
		}
	}
	c.Assert(inTime[1] > 90, qt.IsTrue, qt.Commentf("in time %v, late %v", inTime, late))
	c.Assert(inTime[0], qt.Equals, 0)
	c.Assert(late[0]+late[1], qt.Equals, 0)
}
