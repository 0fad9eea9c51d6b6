package report

import (
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

const (
	orders = `{"requests": 8, "answered": 6, "refused": 2, "silence": 1500000000, "silenceat": 1000000000,
		"answersat": {"a": 4, "b": 2}, "timeline": [
		{"started": 4, "served": 4, "answered": 4, "p99": 20000000},
		{"started": 4, "served": 2, "rejected": 5},
		{"answered": 2, "refused": 2, "p99": 1500000000}]}`
	feeds = `{"flows": 4, "broken": 1, "flowsat": {"c": 3, "d": 1}, "timeline": [{"open": 4}, {"open": 3, "broken": 1}]}`
	moved = "0.500\tzone z out\n1.500\tzone z back\n"
)

func write(c *qt.C, dir, name, text string) string {
	f := filepath.Join(dir, name)
	c.Assert(os.WriteFile(f, []byte(text), 0o600), qt.IsNil)
	return f
}

// Guards against figures that do not follow from the data, and plots that are
// missing or empty.
func TestWrite(t *testing.T) {
	c := qt.New(t)
	dir := c.TempDir()
	run, err := Load([]string{write(c, dir, "orders.json", orders), write(c, dir, "feeds.json", feeds)}, map[string]int{"feeds": 3}, write(c, dir, "events.tsv", moved))
	c.Assert(err, qt.IsNil)
	c.Assert(run.Moves(), qt.DeepEquals, []Move{{Zone: "z", From: 500 * time.Millisecond, To: 6500 * time.Millisecond}})
	out := filepath.Join(dir, "out")
	c.Assert(run.Write(out), qt.IsNil)
	b, err := os.ReadFile(filepath.Join(out, page))
	c.Assert(err, qt.IsNil)
	for _, row := range []string{
		"| orders | 2 | 0 | 0 | 8 | 6 | 2 | 5 | 0 | 0 | – | 1.33 | 1.500 s at 1s |",
		"| feeds | 3 | 4 | 1 | 0 | 0 | 0 | 0 | 0 | 0 | 2.25 | – | – |",
		"| z | 0.5 s | 6.5 s | orders | 8 | 0.500 | 1 | 0.750 | 0 |",
		"| z | 0.5 s | 6.5 s | feeds | 0 | – | – | – | – |",
	} {
		c.Assert(string(b), qt.Contains, row)
	}
	for _, p := range []string{"answered-orders.svg", "flows.svg", "p99.svg"} {
		b, err := os.ReadFile(filepath.Join(out, p))
		c.Assert(err, qt.IsNil)
		c.Assert(strings.Contains(string(b), "<path"), qt.IsTrue, qt.Commentf(p))
	}
	_, err = os.Stat(filepath.Join(out, "answered-feeds.svg"))
	c.Assert(os.IsNotExist(err), qt.IsTrue)
}

// Guards against a page of zeros made from empty, missing or inconsistent data.
func TestLoadErrors(t *testing.T) {
	c := qt.New(t)
	for _, test := range []struct{ report, events, want string }{
		{"", moved, ".*not a report.*"},
		{`{"requests": 1}`, moved, ".*no timeline"},
		{`{"timeline": [{}]}`, moved, ".*neither flows nor requests"},
		{`{"requests": 1, "answered": 1, "timeline": [{}]}`, moved, ".*timeline has 0 answered requests, counts have 1"},
		{`{"flows": 1, "broken": 1, "timeline": [{}]}`, moved, ".*timeline has 0 broken flows, counts have 1"},
		{`{"flows": 3, "flowsat": {"a": 1, "b": 1, "c": 1}, "timeline": [{}]}`, moved, ".*3 hosts served, of 2"},
		{feeds, "", ".*no events"},
		{feeds, "1.0 zone z out\n", ".*:1: .*want seconds, tab, text"},
		{feeds, "0\tx\nNaN\ty\n", ".*:2: .*not a number of seconds.*"},
		{feeds, "-1\tx\n", ".*not a number of seconds.*"},
	} {
		dir := c.TempDir()
		_, err := Load([]string{write(c, dir, "r.json", test.report)}, map[string]int{"r": 2}, write(c, dir, "events.tsv", test.events))
		c.Check(err, qt.ErrorMatches, test.want)
	}
	dir := c.TempDir()
	f, events := write(c, dir, "r.json", feeds), write(c, dir, "events.tsv", moved)
	_, err := Load([]string{f, f}, nil, events)
	c.Check(err, qt.ErrorMatches, ".*second report of service r")
	_, err = Load(nil, nil, events)
	c.Check(err, qt.ErrorMatches, "no reports")
	_, err = Load([]string{filepath.Join(dir, "missing.json")}, nil, events)
	c.Check(err, qt.ErrorMatches, "read report.*")
	_, err = Load([]string{f}, nil, filepath.Join(dir, "missing.tsv"))
	c.Check(err, qt.ErrorMatches, "read events.*")
}
