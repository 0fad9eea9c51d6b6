package main

import (
	"bufio"
	"fmt"
	"io"
	"os"
	"slices"
	"strings"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/go-logfmt/logfmt"
)

// maxLine bounds a log line in bytes.
const maxLine = 1 << 20

type storyCommand struct {
	c    *client
	Skew map[string]time.Duration `long:"skew" key-value-delimiter:"=" value-name:"NODE=DURATION" description:"how far the clock of a node is ahead; may be repeated"`
	Args struct {
		ID    string   `positional-arg-name:"ID" required:"1"`
		Files []string `positional-arg-name:"FILE" required:"1"`
	} `positional-args:"yes"`
}

// Execute implements flags.Commander.
func (x *storyCommand) Execute([]string) error {
	var lines []logLine
	for _, name := range x.Args.Files {
		f, err := os.Open(name)
		if err != nil {
			return errors.Wrap(err, "open log")
		}
		list, err := readLog(f, name, x.Skew)
		f.Close()
		if err != nil {
			return err
		}
		lines = append(lines, list...)
	}
	told := story(lines, x.Args.ID)
	if len(told) == 0 {
		return errors.Newf("no line of %d has the id %q", len(lines), x.Args.ID)
	}
	for _, l := range told {
		fmt.Fprintf(x.c.out, "%s  %-24s  %s\n", l.at.Format("15:04:05.000000"), l.node, l.text)
	}
	return nil
}

// logLine is one line of a process.
type logLine struct {
	at time.Time
	// node is where the line was written; the file's name if the line does not say.
	node string
	// flow and request are empty where the line has none.
	flow, request string
	text          string
}

// readLog reads the lines of a log that have a time. Others are left out: logs may begin or
// end in the middle of a line.
func readLog(r io.Reader, name string, skew map[string]time.Duration) ([]logLine, error) {
	var out []logLine
	s := bufio.NewScanner(r)
	s.Buffer(nil, maxLine)
	for s.Scan() {
		if l, ok := parseLine(s.Text(), name, skew); ok {
			out = append(out, l)
		}
	}
	return out, errors.Wrapf(s.Err(), "read %s", name)
}

func parseLine(text, name string, skew map[string]time.Duration) (logLine, bool) {
	// Collectors of logs put words of their own before the line.
	if i := strings.Index(text, "ts="); i > 0 {
		text = text[i:]
	}
	l := logLine{node: name}
	var rest []string
	d := logfmt.NewDecoder(strings.NewReader(text))
	for d.ScanRecord() {
		for d.ScanKeyval() {
			value := string(d.Value())
			switch key := string(d.Key()); key {
			case "ts":
				l.at, _ = time.Parse(time.RFC3339Nano, value)
				continue
			case "node":
				l.node = value
				continue
			case "process", "level":
				continue
			case "flow":
				l.flow = value
			case "request":
				l.request = value
			}
			rest = append(rest, string(d.Key())+"="+value)
		}
	}
	l.text = strings.Join(rest, " ")
	l.at = l.at.Add(-skew[l.node])
	return l, d.Err() == nil && !l.at.IsZero()
}

// story returns the lines about a flow or request in order of time. A request's story has
// the lines of the flows that carried it.
func story(lines []logLine, id string) []logLine {
	flows := map[string]bool{}
	for _, l := range lines {
		if l.request == id && l.flow != "" {
			flows[l.flow] = true
		}
	}
	var out []logLine
	for _, l := range lines {
		caller, _, _ := strings.Cut(l.flow, ">")
		if l.request == id || l.flow != "" && (flows[l.flow] || l.flow == id || caller == id) {
			out = append(out, l)
		}
	}
	slices.SortStableFunc(out, func(a, b logLine) int { return a.at.Compare(b.at) })
	return out
}
