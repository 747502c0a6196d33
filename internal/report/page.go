package report

import (
	"bytes"
	"fmt"
	"html/template"
	"image/color"
	"io"
	"strings"
	"text/tabwriter"
	"time"

	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/vg"
	"gonum.org/v1/plot/vg/draw"
	"gonum.org/v1/plot/vg/vgsvg"

	"cleathold/internal/audit"
	"cleathold/internal/scenario"
)

// Page is the report of a run.
type Page struct {
	Title      string
	Lines      []Line // the parameters of the run and its results
	Violations []audit.Violation
	Marks      []Mark
	Classes    []ClassLine
	Causes     []CauseLine
	Plots      []Plot
	notes      []string
}

// Line is a named value in the head of the page.
type Line struct{ Name, Value string }

// Mark is a numbered interval on the time axis, such as a fault.
type Mark struct {
	Number int
	Span   string
	Text   string
}

// ClassLine holds the latencies of a class in milliseconds.
type ClassLine struct {
	Class                        string
	Delivered                    int64
	Share                        float64
	P50, P90, P99, P999, Longest int64
}

// CauseLine is the number of failures with a cause.
type CauseLine struct {
	Cause string
	Count int
}

// Plot is a plot in SVG.
type Plot struct {
	Title string
	SVG   template.HTML
}

// Facts holds the contents of a page that do not come from the events of the run.
type Facts struct {
	Head       []Line
	Violations []audit.Violation
	Notes      []string // warnings, such as a test rig that lagged or an incomplete ledger
}

// Page returns the page for the collected events and the given facts.
func (c *Collector) Page(f Facts) (*Page, error) {
	score := c.meter.Score()
	p := &Page{Title: c.plan.Scenario.Name, Violations: f.Violations, notes: f.Notes}
	p.Lines = append(p.Lines, f.Head...)
	p.Lines = append(p.Lines,
		Line{"service", fmt.Sprintf("%.3f (whole %.3f, worst 10 s %.3f at %v)", score.Service, score.Overall, score.Worst,
			score.WorstAt)},
		Line{"messages", fmt.Sprintf("%d; %d calls, %d of them turned away by partners; %d hand-ins turned away",
			score.Messages, score.Calls, score.RejectedCalls, score.Rejected)},
		Line{"senders that ended", fmt.Sprint(c.processEnds)},
		Line{"rules", rulesText(f.Violations)},
	)
	marks := c.plan.Marks()
	for i, m := range marks {
		p.Marks = append(p.Marks, Mark{i + 1, spanText(m), m.Text})
	}
	for i, class := range c.plan.Scenario.Traffic.Classes {
		h := c.byClass[i]
		p.Classes = append(p.Classes, ClassLine{
			class.Name, h.TotalCount(), score.Classes[i],
			h.ValueAtQuantile(50), h.ValueAtQuantile(90), h.ValueAtQuantile(99), h.ValueAtQuantile(99.9), h.Max(),
		})
	}
	for _, cause := range c.Causes() {
		p.Causes = append(p.Causes, CauseLine{cause, c.causes[cause]})
	}
	for _, d := range []struct {
		title, y string
		lines    []series
		marks    bool
	}{
		{"Service", "share of the worth asked for",
			[]series{{"brought, by the time it was wanted", c.seriesOf(func(b *timeBin) (float64, bool) {
				return b.delivered / max(b.requested, 1e-9), b.requested > 0
			})}}, true},
		{"What came to nothing", "in each " + c.binWidth.String(), c.causeSeries(), true},
		{"Calls in flight, messages that wait", "at most", []series{
			{"calls out", c.seriesOf(func(b *timeBin) (float64, bool) { return float64(b.callsInFlight), true })},
			{"messages without an end", c.seriesOf(func(b *timeBin) (float64, bool) { return float64(b.openMessages), true })},
		}, true},
		{"Age of the oldest message without an end", "seconds",
			[]series{{"oldest", c.seriesOf(func(b *timeBin) (float64, bool) { return b.oldestAge.Seconds(), true })}}, true},
		{"How long messages took, by class", "share delivered by then", c.latencies(), false},
	} {
		svg, err := c.draw(d.title, d.y, d.lines, marks, d.marks)
		if err != nil {
			return nil, fmt.Errorf("report: %s: %w", d.title, err)
		}
		p.Plots = append(p.Plots, Plot{d.title, svg})
	}
	return p, nil
}

// rulesText returns a text that states whether any rule was violated.
func rulesText(violations []audit.Violation) string {
	if len(violations) == 0 {
		return "kept"
	}
	return fmt.Sprintf("BROKEN %d times", len(violations))
}

// spanText returns the time or the interval of a mark as text.
func spanText(m scenario.Mark) string {
	if m.To <= m.From {
		return fmt.Sprintf("%.1f s", m.From.Seconds())
	}
	return fmt.Sprintf("%.1f to %.1f s", m.From.Seconds(), m.To.Seconds())
}

// series is one curve in a plot.
type series struct {
	name   string
	points plotter.XYs
}

// seriesOf returns the points of a curve. The function returns the value of a bin, or false if the bin has none.
func (c *Collector) seriesOf(value func(*timeBin) (float64, bool)) plotter.XYs {
	var list plotter.XYs
	for i := range c.bins {
		if y, hasValue := value(&c.bins[i]); hasValue {
			list = append(list, plotter.XY{X: (time.Duration(i) * c.binWidth).Seconds(), Y: y})
		}
	}
	return list
}

// maxCausesDrawn is the maximum number of causes in a plot. The table lists all causes.
const maxCausesDrawn = 6

// causeSeries returns the failures over time for each of the most frequent causes.
func (c *Collector) causeSeries() []series {
	var list []series
	for _, cause := range c.Causes() {
		if len(list) == maxCausesDrawn {
			break
		}
		list = append(list, series{cause, c.seriesOf(func(b *timeBin) (float64, bool) {
			return float64(b.causes[cause]), true
		})})
	}
	return list
}

// latencies returns the cumulative distribution of the latencies of each class.
func (c *Collector) latencies() []series {
	var list []series
	for i, class := range c.plan.Scenario.Traffic.Classes {
		s := series{name: class.Name}
		for _, q := range c.byClass[i].CumulativeDistribution() {
			s.points = append(s.points, plotter.XY{X: float64(q.ValueAt) / 1000, Y: q.Quantile / 100})
		}
		list = append(list, s)
	}
	return list
}

// palette holds the colors of the curves.
var palette = []color.Color{
	color.RGBA{31, 119, 180, 255}, color.RGBA{214, 39, 40, 255}, color.RGBA{44, 160, 44, 255},
	color.RGBA{148, 103, 189, 255},
	color.RGBA{255, 127, 14, 255}, color.RGBA{23, 190, 207, 255},
}

// draw returns a plot as SVG. If timed is set, the X axis is the time of the run, and the marks are shaded and
// numbered.
func (c *Collector) draw(title, y string, lines []series, marks []scenario.Mark, timed bool) (template.HTML, error) {
	p := plot.New()
	p.Title.Text, p.Y.Label.Text, p.X.Label.Text = title, y, "seconds"
	p.Y.Min = 0
	maxY := 0.0
	for _, s := range lines {
		for _, xy := range s.points {
			maxY = max(maxY, xy.Y)
		}
	}
	if maxY == 0 {
		maxY = 1
	}
	if timed {
		if err := c.shadeMarks(p, marks, maxY); err != nil {
			return "", err
		}
	}
	for i, s := range lines {
		if len(s.points) == 0 {
			continue
		}
		l, err := plotter.NewLine(s.points)
		if err != nil {
			return "", err
		}
		l.Color, l.Width = palette[i%len(palette)], vg.Points(1.2)
		p.Add(l)
		p.Legend.Add(s.name, l)
	}
	p.Legend.Top = true
	p.Y.Max = maxY * 1.15
	canvas := vgsvg.New(22*vg.Centimeter, 7*vg.Centimeter)
	p.Draw(draw.New(canvas))
	var text bytes.Buffer
	if _, err := canvas.WriteTo(&text); err != nil {
		return "", err
	}
	svg := text.String()
	if i := strings.Index(svg, "<svg"); i >= 0 {
		svg = svg[i:] // without the XML declaration
	}
	return template.HTML(svg), nil // safe: generated above, where all text is escaped
}

// shadeMarks shades the intervals of the marks in a plot and writes their numbers at its top.
func (c *Collector) shadeMarks(p *plot.Plot, marks []scenario.Mark, maxY float64) error {
	labels := plotter.XYLabels{}
	for i, m := range marks {
		from, to := m.From.Seconds(), m.To.Seconds()
		if to <= from {
			to = from + c.plan.Scenario.Length.Seconds()/1000
		}
		box, err := plotter.NewPolygon(plotter.XYs{{X: from, Y: 0}, {X: to, Y: 0}, {X: to, Y: maxY}, {X: from, Y: maxY}})
		if err != nil {
			return err
		}
		box.Color, box.LineStyle.Width = color.RGBA{235, 225, 205, 255}, 0
		p.Add(box)
		labels.XYs = append(labels.XYs, plotter.XY{X: from, Y: maxY})
		labels.Labels = append(labels.Labels, fmt.Sprint(i+1))
	}
	if len(labels.Labels) == 0 {
		return nil
	}
	l, err := plotter.NewLabels(labels)
	if err != nil {
		return err
	}
	p.Add(l)
	return nil
}

// pageTemplate is the template of the HTML page. It is executed with a *Page.
var pageTemplate = template.Must(template.New("page").Parse(`<!DOCTYPE html>
<html lang="en"><head><meta charset="utf-8"><title>{{.Title}}</title>
<style>body{font:15px sans-serif;margin:2em auto;max-width:60em}td,th{padding:.15em .8em;text-align:left;vertical-align:top}
th{font-weight:600}.bad{color:#b00}svg{display:block;margin:1em 0;max-width:100%;height:auto}</style></head><body>
<h1>{{.Title}}</h1>
{{range .Notes}}<p class="bad">{{.}}</p>{{end}}
<table>{{range .Lines}}<tr><th>{{.Name}}</th><td>{{.Value}}</td></tr>{{end}}</table>
{{if .Violations}}<h2 class="bad">Broken rules</h2><table>{{range .Violations}}<tr><td>{{.At}}</td><td>sender {{.Sender}}</td><td>{{.Rule}}: {{.Text}}</td><td>message {{.Message}} calls {{.Calls}} times {{.Times}}</td></tr>{{end}}</table>{{end}}
{{if .Marks}}<h2>What happened</h2><table>{{range .Marks}}<tr><th>{{.Number}}</th><td>{{.Span}}</td><td>{{.Text}}</td></tr>{{end}}</table>{{end}}
{{range .Plots}}{{.SVG}}{{end}}
<h2>How long messages took, in ms from when they were wanted</h2>
<table><tr><th>class</th><th>delivered</th><th>share of worth</th><th>50%</th><th>90%</th><th>99%</th><th>99.9%</th><th>longest</th></tr>
{{range .Classes}}<tr><td>{{.Class}}</td><td>{{.Delivered}}</td><td>{{printf "%.3f" .Share}}</td><td>{{.P50}}</td><td>{{.P90}}</td><td>{{.P99}}</td><td>{{.P999}}</td><td>{{.Longest}}</td></tr>{{end}}</table>
<h2>What came to nothing</h2>
<table>{{range .Causes}}<tr><td>{{.Cause}}</td><td>{{.Count}}</td></tr>{{end}}</table>
</body></html>
`))

// Notes returns the warnings from Facts.Notes.
func (p *Page) Notes() []string { return p.notes }

// HTML writes the page as a self-contained HTML file.
func (p *Page) HTML(out io.Writer) error { return pageTemplate.Execute(out, p) }

// Text writes the page as plain text without the plots.
func (p *Page) Text(out io.Writer) error {
	fmt.Fprintln(out, p.Title)
	for _, n := range p.notes {
		fmt.Fprintln(out, "NOTE:", n)
	}
	t := tabwriter.NewWriter(out, 0, 4, 2, ' ', 0)
	for _, l := range p.Lines {
		fmt.Fprintf(t, "%s\t%s\n", l.Name, l.Value)
	}
	for _, v := range p.Violations {
		fmt.Fprintf(t, "BROKEN\t%v by sender %d: %s: %s (message %s, calls %v, times %v)\n", v.At, v.Sender, v.Rule, v.Text,
			v.Message, v.Calls, v.Times)
	}
	for _, m := range p.Marks {
		fmt.Fprintf(t, "%d\t%s\t%s\n", m.Number, m.Span, m.Text)
	}
	fmt.Fprintln(t, "class\tdelivered\tshare\t50%\t90%\t99%\t99.9%\tlongest ms")
	for _, c := range p.Classes {
		fmt.Fprintf(t, "%s\t%d\t%.3f\t%d\t%d\t%d\t%d\t%d\n", c.Class, c.Delivered, c.Share, c.P50, c.P90, c.P99, c.P999,
			c.Longest)
	}
	for _, c := range p.Causes {
		fmt.Fprintf(t, "%s\t%d\n", c.Cause, c.Count)
	}
	return t.Flush()
}
