package main

import (
	"cmp"
	"context"
	"fmt"
	"io"
	"net/http"
	"net/netip"
	"net/url"
	"slices"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/jessevdk/go-flags"
	"golang.org/x/sync/errgroup"

	"mangokeel/internal/pressure"
)

const (
	// maxScrapes is how many agents are asked at the same time, so that silent ones cost the
	// others little.
	maxScrapes = 32
	// maxMetrics bounds the metrics of one process in bytes. Those of an agent take some 20 kB.
	maxMetrics = 4 << 20
)

type pressureCommand struct {
	c        *client
	Interval time.Duration `long:"interval" default:"2s" value-name:"DURATION" description:"time between the two readings"`
	Once     bool          `long:"once" description:"read once, and count from the start of each process"`
	Args     struct {
		Addresses []string `positional-arg-name:"ADDRESS" required:"1" description:"IP:PORT of an agent's status address"`
	} `positional-args:"yes"`
}

// Execute implements flags.Commander.
func (x *pressureCommand) Execute([]string) error {
	addresses, err := x.addresses()
	if err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(x.c.ctx, x.c.Timeout)
	defer cancel()
	windows, err := x.windows(ctx, addresses)
	switch {
	case x.c.ctx.Err() != nil:
		return nil // interrupted
	case err != nil:
		return err
	}
	x.print(windows)
	return nil
}

// addresses checks the arguments.
func (x *pressureCommand) addresses() ([]netip.AddrPort, error) {
	invalid := func(format string, args ...any) error {
		return &flags.Error{Type: flags.ErrMarshal, Message: "pressure: " + fmt.Sprintf(format, args...)}
	}
	switch {
	case x.Interval <= 0:
		return nil, invalid("--interval %v: not above 0", x.Interval)
	case x.Interval >= x.c.Timeout && !x.Once:
		return nil, invalid("--interval %v: not below --timeout, which is %v", x.Interval, x.c.Timeout)
	}
	var out []netip.AddrPort
	for _, s := range x.Args.Addresses {
		a, err := netip.ParseAddrPort(s)
		switch {
		case err != nil || a.Port() == 0:
			return nil, invalid("%q: not an IP:PORT", s)
		case slices.Contains(out, a):
			return nil, invalid("%s: named twice, which would count it twice", a)
		}
		out = append(out, a)
	}
	return out, nil
}

// windows returns what the agents that answered counted. Others are named on standard error.
func (x *pressureCommand) windows(ctx context.Context, addresses []netip.AddrPort) ([]pressure.Window, error) {
	first := x.scrape(ctx, addresses)
	if !x.Once && slices.ContainsFunc(first, func(s *pressure.Sample) bool { return s != nil }) {
		select {
		case <-ctx.Done():
		case <-time.After(x.Interval):
		}
	}
	var asked []netip.AddrPort
	var before []*pressure.Sample
	for i, s := range first {
		if s != nil {
			asked, before = append(asked, addresses[i]), append(before, s)
		}
	}
	after := before
	if !x.Once {
		after = x.scrape(ctx, asked)
	}
	var out []pressure.Window
	for i, s := range after {
		if s == nil {
			continue
		}
		w, ok := s.SinceStart()
		if !x.Once {
			w, ok = s.Since(before[i]), true
		}
		switch {
		case !ok:
			x.warn(asked[i], errors.New("the start of the process is not known or less than a second ago"))
			continue
		case w.Restarted:
			x.warn(asked[i], errors.New("restarted between the two readings; what it counted before is missing"))
		}
		out = append(out, w)
	}
	if len(out) == 0 {
		return nil, errors.New("pressure: no agent answered")
	}
	return out, nil
}

func (x *pressureCommand) warn(a netip.AddrPort, err error) {
	fmt.Fprintf(x.c.warnings, "mangokeel: %s: %v\n", a, err)
}

// scrape reads the metrics of agents. Those that did not answer have nil, and are named on standard
// error unless the command was interrupted.
func (x *pressureCommand) scrape(ctx context.Context, addresses []netip.AddrPort) []*pressure.Sample {
	out, failures := make([]*pressure.Sample, len(addresses)), make([]error, len(addresses))
	var group errgroup.Group
	group.SetLimit(maxScrapes)
	for i, a := range addresses {
		group.Go(func() error {
			out[i], failures[i] = x.read(ctx, a)
			return nil
		})
	}
	_ = group.Wait()
	for i, err := range failures {
		if err != nil && x.c.ctx.Err() == nil {
			x.warn(addresses[i], err)
		}
	}
	return out
}

// read reads the metrics of one agent.
func (x *pressureCommand) read(ctx context.Context, a netip.AddrPort) (*pressure.Sample, error) {
	ctx, cancel := context.WithTimeout(ctx, statusTimeout)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+a.String()+"/metrics", nil)
	if err != nil {
		return nil, err
	}
	resp, err := http.DefaultClient.Do(req)
	var failed *url.Error
	if errors.As(err, &failed) {
		return nil, failed.Err // without the address, which the caller adds
	}
	if err != nil {
		return nil, err
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		return nil, errors.Newf("metrics: %s", resp.Status)
	}
	at := time.Now()
	if x.Once {
		// The start is by the clock of the agent's machine, and so must be the time since.
		if at, err = http.ParseTime(resp.Header.Get("Date")); err != nil {
			return nil, errors.Wrap(err, "metrics: header Date")
		}
	}
	return pressure.Parse(io.LimitReader(resp.Body, maxMetrics), at)
}

func (x *pressureCommand) print(windows []pressure.Window) {
	longest := slices.MaxFunc(windows, func(a, b pressure.Window) int { return cmp.Compare(a.Length, b.Length) }).Length
	span := "for " + longest.Round(100*time.Millisecond).String()
	if x.Once {
		span = "since their start, at most " + longest.Round(time.Second).String() + " ago"
	}
	fmt.Fprintf(x.c.out, "%d of %d agents, counted %s. Refused callers that come back count as demand again.\n\n",
		len(windows), len(x.Args.Addresses), span)
	services := pressure.Summarize(windows)
	table(x.c.out, func(w io.Writer) {
		fmt.Fprintln(w, "SERVICE\tAGENTS\tDEMAND/S\tOPENED/S\tREFUSED/S\tREFUSED\tSLOTS\tBUSY\tWAITING\tANSWERS/S")
		for _, s := range services {
			fmt.Fprintf(w, "%s\t%d\t%s\t%s\t%s\t%s\t%.0f\t%.0f\t%.0f\t%s\n", known(s.Name), s.Agents, rate(s.Demand()), rate(s.Opened), rate(s.Refused),
				percent(s.RefusedShare()), s.Slots, s.Busy, s.Waiting, rate(s.Answers))
		}
	})
	fmt.Fprintln(x.c.out)
	table(x.c.out, func(w io.Writer) {
		fmt.Fprintln(w, "SERVICE\tREASON\tREFUSED/S\tSHARE")
		for _, s := range services {
			for _, r := range s.Reasons {
				fmt.Fprintf(w, "%s\t%s\t%s\t%s\n", known(s.Name), r.Name, rate(r.Refused), percent(s.ShareOfRefused(r)))
			}
		}
	})
	x.printGroups("PRIORITY", services, func(s *pressure.Service) []pressure.Rates { return s.Priorities })
	x.printGroups("ZONE", services, func(s *pressure.Service) []pressure.Rates { return s.Zones })
	fmt.Fprintln(x.c.out)
	table(x.c.out, func(w io.Writer) {
		fmt.Fprintln(w, "SERVICE\tTIME OF\tCOUNT\tP50\tP99")
		for _, s := range services {
			printTimes(w, s.Name, "waits", s.WaitTimes)
			printTimes(w, s.Name, "answers", s.AnswerTimes)
		}
	})
}

// printGroups prints the parts of each service's demand.
func (x *pressureCommand) printGroups(title string, services []pressure.Service, groups func(*pressure.Service) []pressure.Rates) {
	fmt.Fprintln(x.c.out)
	table(x.c.out, func(w io.Writer) {
		fmt.Fprintf(w, "SERVICE\t%s\tDEMAND/S\tSHARE\tOPENED/S\tREFUSED/S\tREFUSED\n", title)
		for i := range services {
			s := &services[i]
			for _, g := range groups(s) {
				fmt.Fprintf(w, "%s\t%s\t%s\t%s\t%s\t%s\t%s\n", known(s.Name), known(g.Name), rate(g.Demand()), percent(s.ShareOf(g)),
					rate(g.Opened), rate(g.Refused), percent(g.RefusedShare()))
			}
		}
	})
}

func printTimes(w io.Writer, service, name string, h pressure.Histogram) {
	fmt.Fprintf(w, "%s\t%s\t%.0f\t%s\t%s\n", known(service), name, h.Count(), quantile(h, 0.5), quantile(h, 0.99))
}

// quantile returns a quantile for people.
func quantile(h pressure.Histogram, q float64) string {
	d, beyond, ok := h.Quantile(q)
	switch {
	case !ok:
		return "-"
	case beyond:
		return ">" + d.String()
	}
	return d.Round(100 * time.Microsecond).String()
}

// known returns a name, or a dash if there is none.
func known(name string) string {
	if name == "" {
		return "-"
	}
	return name
}

func rate(perSecond float64) string { return fmt.Sprintf("%.1f", perSecond) }

func percent(share float64) string { return fmt.Sprintf("%.1f%%", 100*share) }
