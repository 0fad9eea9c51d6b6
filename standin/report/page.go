package report

import (
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"time"

	"github.com/cockroachdb/errors"
)

// page is the file name of the page.
const page = "report.md"

// none stands in a table for a figure without data.
const none = "–"

// Write writes the plots and the page into dir, which it creates.
func (r *Run) Write(dir string) error {
	if err := os.MkdirAll(dir, 0o755); err != nil {
		return errors.Wrap(err, "create folder")
	}
	plots, err := r.plots(dir)
	if err != nil {
		return err
	}
	return errors.Wrap(os.WriteFile(filepath.Join(dir, page), []byte(r.markdown(plots)), 0o644), "write page")
}

// markdown returns the page. Figures that the data does not have are dashes.
func (r *Run) markdown(plots []string) string {
	var b strings.Builder
	b.WriteString("# Run with real processes\n\n")
	r.services(&b)
	r.moves(&b)
	r.events(&b)
	for _, p := range plots {
		fmt.Fprintf(&b, "\n![%s](%s)\n", strings.TrimSuffix(p, filepath.Ext(p)), p)
	}
	return b.String()
}

func (r *Run) services(b *strings.Builder) {
	b.WriteString("Imbalance is the maximum over the mean of all hosts. Broken flows include those that the faults of the run allow.\n" +
		"A refused request was refused as not run on every try until its deadline.\n\n" +
		"| service | hosts | flows | broken flows | requests | answered | refused | refused tries | unknown | unanswered | imbalance of flows | imbalance of requests | longest time without an answer |\n" +
		"| --- | --- | --- | --- | --- | --- | --- | --- | --- | --- | --- | --- | --- |\n")
	for _, s := range r.Services {
		fmt.Fprintf(b, "| %s | %d | %d | %d | %d | %d | %d | %d | %d | %d | %s | %s | %s |\n",
			s.Name, s.Hosts, s.Flows, s.Broken, s.Requests, s.Answered, s.Refused, s.Rejected(), s.Unknown, s.Unanswered,
			ratio(Imbalance(s.FlowsAt, s.Hosts)), ratio(Imbalance(s.AnswersAt, s.Hosts)), s.silence())
	}
}

// silence describes the longest time without an answer.
func (s *Service) silence() string {
	if s.Requests == 0 {
		return none
	}
	return fmt.Sprintf("%.3f s at %s", s.Silence.Seconds(), s.SilenceAt.Round(time.Second))
}

func ratio(v float64) string {
	if v == 0 {
		return none
	}
	return fmt.Sprintf("%.2f", v)
}

func (r *Run) moves(b *strings.Builder) {
	moves := r.Moves()
	if len(moves) == 0 {
		b.WriteString("\nNo availability zone moved in this run.\n")
		return
	}
	fmt.Fprintf(b, "\nService during moves of availability zones, from the zone's way out until %s after its\n"+
		"return. Shares are those of the requests begun in a second that were answered in\n"+
		"the end.\n\n", settle)
	b.WriteString("| zone | from | to | service | requests | lowest share | in second | mean share | fewest answers in a second |\n" +
		"| --- | --- | --- | --- | --- | --- | --- | --- | --- |\n")
	for _, m := range moves {
		for _, s := range r.Services {
			fmt.Fprintf(b, "| %s | %.1f s | %.1f s | %s | %s |\n", m.Zone, m.From.Seconds(), m.To.Seconds(), s.Name, s.During(m))
		}
	}
}

// String returns the cells of the share.
func (s Share) String() string {
	if s.Started == 0 {
		return strings.Join([]string{"0", none, none, none, none}, " | ")
	}
	return fmt.Sprintf("%d | %.3f | %d | %.3f | %d", s.Started, s.Lowest, s.LowestAt/time.Second, s.Mean, s.Answered)
}

func (r *Run) events(b *strings.Builder) {
	b.WriteString("\nEvents, with their numbers in the plots:\n\n| number | second | event |\n| --- | --- | --- |\n")
	for i, e := range r.Events {
		fmt.Fprintf(b, "| %d | %.1f | %s |\n", i+1, e.At.Seconds(), strings.ReplaceAll(e.Text, "|", `\|`))
	}
}
