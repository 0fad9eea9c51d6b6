package standin

import (
	"strings"
	"testing"

	qt "github.com/frankban/quicktest"
)

// Guards against a verdict that misses duplicates on two targets, bookings that no
// target ran, and refusals that were not true.
func TestSummarise(t *testing.T) {
	c := qt.New(t)
	r := Report{Flows: 3, Broken: 2, Requests: 4, Answered: 3, Unknown: 1, Booked: []string{"a", "gone"}, NotRun: []string{"b"}, BrokenAt: map[string]int{"h1": 1, "h2": 1}}
	l := []Ledger{{Runs: map[string]int{"a": 1, "b": 1}}, {Runs: map[string]int{"a": 1}}}
	s := Summarise([]Report{r}, l, Allowance{})
	c.Assert([]int{int(s.Broken), s.Duplicated, s.Lost, s.Untrue}, qt.DeepEquals, []int{2, 1, 2, 1})
	c.Assert(s.OK(), qt.IsFalse)
	s = Summarise([]Report{r}, l, Allowance{Hosts: []string{"h1"}, Unknown: true})
	c.Assert([]int{int(s.Broken), int(s.Allowed), s.Lost}, qt.DeepEquals, []int{1, 1, 1})
}

// Guards against a feed check that accepts gaps, early ends or another target.
func TestCheckFeed(t *testing.T) {
	c := qt.New(t)
	for feed, want := range map[string]string{
		"0 a\n1 a\n2 a\n": "",
		"0 a\n2 a\n":      "line 2 in place of 1",
		"0 a\n1 b\n2 b\n": "target changed",
		"0 a\n":           "ended early.*",
	} {
		_, err := checkFeed(strings.NewReader(feed), 3)
		if want == "" {
			c.Assert(err, qt.IsNil)
			continue
		}
		c.Assert(err, qt.ErrorMatches, want)
	}
}
