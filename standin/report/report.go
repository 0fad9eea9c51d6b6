// Package report turns the reports of callers and the events of a run into plots and
// a page of figures.
package report

import (
	"bufio"
	"bytes"
	"encoding/json"
	"os"
	"path/filepath"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/cockroachdb/errors"

	"mangokeel/standin"
)

// Service is what the callers of one service saw.
type Service struct {
	// Name is the name of the report's file without its extension.
	Name string
	// Report has at least one second in its timeline, and the timeline's sums of
	// answered requests and broken flows equal the report's counts.
	standin.Report
	// Hosts is the number of hosts of the service, at least the number of those that
	// served any flow or request.
	Hosts int
}

// Event is something that a run did to the system.
type Event struct {
	// At is the time since the load began, not negative.
	At   time.Duration
	Text string
}

// Run is the data of one run.
type Run struct {
	// Services have different names.
	Services []Service
	// Events are in the order of their times.
	Events []Event
}

// Load reads the callers' reports, one file for each service, and the events. Hosts
// has the number of hosts by service. A service that it does not have counts the
// hosts that served any flow or request.
func Load(reports []string, hosts map[string]int, events string) (Run, error) {
	var run Run
	for _, f := range reports {
		s, err := readService(f, hosts)
		if err != nil {
			return Run{}, err
		}
		if slices.ContainsFunc(run.Services, func(o Service) bool { return o.Name == s.Name }) {
			return Run{}, errors.Newf("%s: second report of service %s", f, s.Name)
		}
		run.Services = append(run.Services, s)
	}
	if len(run.Services) == 0 {
		return Run{}, errors.New("no reports")
	}
	var err error
	run.Events, err = readEvents(events)
	return run, err
}

func readService(file string, hosts map[string]int) (Service, error) {
	b, err := os.ReadFile(file)
	if err != nil {
		return Service{}, errors.Wrap(err, "read report")
	}
	s := Service{Name: strings.TrimSuffix(filepath.Base(file), filepath.Ext(file))}
	if err := json.Unmarshal(b, &s.Report); err != nil {
		return Service{}, errors.Wrapf(err, "%s: not a report", file)
	}
	s.Hosts = s.seen()
	if n, ok := hosts[s.Name]; ok {
		s.Hosts = n
	}
	return s, errors.Wrap(s.check(), file)
}

// check reports data from which figures cannot be computed.
func (s *Service) check() error {
	if len(s.Timeline) == 0 {
		return errors.New("no timeline")
	}
	if s.Flows == 0 && s.Requests == 0 {
		return errors.New("neither flows nor requests")
	}
	if seen := s.seen(); s.Hosts < seen {
		return errors.Newf("%d hosts served, of %d", seen, s.Hosts)
	}
	var answered, broken int64
	for _, sec := range s.Timeline {
		answered += sec.Answered
		broken += sec.Broken
	}
	if answered != s.Answered {
		return errors.Newf("timeline has %d answered requests, counts have %d", answered, s.Answered)
	}
	if broken != s.Broken {
		return errors.Newf("timeline has %d broken flows, counts have %d", broken, s.Broken)
	}
	return nil
}

func readEvents(file string) ([]Event, error) {
	b, err := os.ReadFile(file)
	if err != nil {
		return nil, errors.Wrap(err, "read events")
	}
	var events []Event
	scan := bufio.NewScanner(bytes.NewReader(b))
	for n := 1; scan.Scan(); n++ {
		e, err := parseEvent(scan.Text())
		if err != nil {
			return nil, errors.Wrapf(err, "%s:%d", file, n)
		}
		events = append(events, e)
	}
	if err := scan.Err(); err != nil {
		return nil, errors.Wrap(err, file)
	}
	if len(events) == 0 {
		return nil, errors.Newf("%s: no events", file)
	}
	slices.SortStableFunc(events, func(a, b Event) int { return int(a.At - b.At) })
	return events, nil
}

// maxRun bounds the times of events.
const maxRun = 30 * 24 * time.Hour

func parseEvent(line string) (Event, error) {
	at, text, ok := strings.Cut(line, "\t")
	if !ok || text == "" {
		return Event{}, errors.Newf("%q: want seconds, tab, text", line)
	}
	seconds, err := strconv.ParseFloat(at, 64)
	if err != nil || !(seconds >= 0 && seconds <= maxRun.Seconds()) {
		return Event{}, errors.Newf("%q: not a number of seconds since the load began", at)
	}
	return Event{At: time.Duration(seconds * float64(time.Second)), Text: text}, nil
}
