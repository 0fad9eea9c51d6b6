package report

import (
	"image/color"
	"path/filepath"
	"strconv"
	"time"

	"github.com/cockroachdb/errors"
	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/plotutil"
	"gonum.org/v1/plot/vg"
	_ "gonum.org/v1/plot/vg/vgsvg" // registers the SVG format

	"mangokeel/standin"
)

// Size of a plot.
const (
	width  = 24 * vg.Centimeter
	height = 10 * vg.Centimeter
)

// series is one line of a plot.
type series struct {
	name   string
	points plotter.XYs
}

// plots writes all plots into dir and returns their file names.
func (r *Run) plots(dir string) ([]string, error) {
	var names []string
	draw := func(name, title, unit string, lines []series) error {
		if len(lines) == 0 {
			return nil
		}
		names = append(names, name+".svg")
		err := r.draw(filepath.Join(dir, name+".svg"), title, unit, lines)
		return errors.Wrapf(err, "plot %s", name)
	}
	for _, s := range r.Services {
		if err := draw("answered-"+s.Name, s.Name+": requests per second", "requests", s.requests()); err != nil {
			return nil, err
		}
	}
	if err := draw("flows", "open and broken flows", "flows", r.flows()); err != nil {
		return nil, err
	}
	return names, draw("p99", "99th percentile of the response time", "ms", r.times())
}

// requests returns the lines of answered and refused requests and of refused tries.
func (s *Service) requests() []series {
	if s.Requests == 0 {
		return nil
	}
	return []series{
		{"answered", each(s.Timeline, func(t standin.Second) float64 { return float64(t.Answered) })},
		{"refused", each(s.Timeline, func(t standin.Second) float64 { return float64(t.Refused) })},
		{"refused tries", each(s.Timeline, func(t standin.Second) float64 { return float64(t.Rejected) })},
	}
}

// flows returns the lines of open and broken flows of the services that have any.
func (r *Run) flows() []series {
	var lines []series
	for _, s := range r.Services {
		if s.Flows == 0 {
			continue
		}
		lines = append(
			lines,
			series{s.Name + " open", each(s.Timeline, func(t standin.Second) float64 { return float64(t.Open) })},
			series{s.Name + " broken", each(s.Timeline, func(t standin.Second) float64 { return float64(t.Broken) })},
		)
	}
	return lines
}

// times returns the lines of response times in milliseconds, without the seconds in
// which nothing was answered.
func (r *Run) times() []series {
	var lines []series
	for _, s := range r.Services {
		var points plotter.XYs
		for i, t := range s.Timeline {
			if t.Answered > 0 {
				points = append(points, plotter.XY{X: float64(i), Y: float64(t.P99) / float64(time.Millisecond)})
			}
		}
		if len(points) > 0 {
			lines = append(lines, series{s.Name, points})
		}
	}
	return lines
}

func each(timeline []standin.Second, value func(standin.Second) float64) plotter.XYs {
	points := make(plotter.XYs, len(timeline))
	for i, s := range timeline {
		points[i] = plotter.XY{X: float64(i), Y: value(s)}
	}
	return points
}

// draw writes one plot with a mark at each event.
func (r *Run) draw(file, title, unit string, lines []series) error {
	p := plot.New()
	p.Title.Text, p.X.Label.Text, p.Y.Label.Text = title, "seconds since the load began", unit
	p.Legend.Top = true
	for i, s := range lines {
		l, err := plotter.NewLine(s.points)
		if err != nil {
			return err
		}
		// A point stands for the whole second that begins there.
		l.StepStyle = plotter.PostStep
		l.Color, l.Dashes = plotutil.Color(i), plotutil.Dashes(i)
		p.Add(l)
		p.Legend.Add(s.name, l)
	}
	// The legend stands to the right of the data.
	p.X.Max *= 1.25
	p.Y.Min = 0
	// A line of zeros alone would leave the axis without a range.
	p.Y.Max = max(p.Y.Max, 1)
	if err := r.mark(p); err != nil {
		return err
	}
	return p.Save(width, height, file)
}

// mark draws a vertical line with the event's number at each event, over the whole
// range of p's vertical axis.
func (r *Run) mark(p *plot.Plot) error {
	labels := plotter.XYLabels{}
	for i, e := range r.Events {
		x := e.At.Seconds()
		l, err := plotter.NewLine(plotter.XYs{{X: x, Y: 0}, {X: x, Y: p.Y.Max}})
		if err != nil {
			return err
		}
		l.Color, l.Width = color.Gray{Y: 0xb0}, vg.Points(0.5)
		p.Add(l)
		labels.XYs = append(labels.XYs, plotter.XY{X: x, Y: p.Y.Max})
		labels.Labels = append(labels.Labels, strconv.Itoa(i+1))
	}
	marks, err := plotter.NewLabels(labels)
	if err != nil {
		return err
	}
	p.Add(marks)
	return nil
}
