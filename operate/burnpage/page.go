// Package burnpage writes a burn report as a self-contained HTML file: style and
// plots are inside, and nothing is loaded.
package burnpage

import (
	_ "embed"
	"fmt"
	"html/template"
	"io"
	"math"
	"strings"
	"time"

	"github.com/gullhaven/gullhaven/metrics/burn"
)

//go:embed page.html
var pageTemplate string

// page is the parsed template. html/template escapes names, which come from bundles
// and, for workspaces, from callers' operators.
var page = template.Must(template.New("burn").Funcs(template.FuncMap{
	"rate":   func(r float64) string { return fmt.Sprintf("%.2f", r) },
	"window": windowName,
	"plot":   newPlot,
	"all":    orAll,
}).Parse(pageTemplate))

// document is the data of the template.
type document struct {
	burn.Report
	Windows []time.Duration
	Silent  []string
	Fast    float64
	Slow    float64
}

// Write writes the page. unreachable are the addresses that did not answer.
func Write(w io.Writer, r burn.Report, unreachable []string) error {
	return page.Execute(w, document{Report: r, Windows: burn.Windows, Silent: unreachable, Fast: burn.FastRate, Slow: burn.SlowRate})
}

func orAll(text string) string {
	if text == "" {
		return "all"
	}
	return text
}

func windowName(d time.Duration) string {
	if d < time.Hour {
		return fmt.Sprintf("%d min", int(d.Minutes()))
	}
	return fmt.Sprintf("%d h", int(d.Hours()))
}

// Sizes of a plot, in pixels; the margin is left of and below the axes.
const (
	width  = 640
	height = 180
	margin = 44
	// minTop is the lowest maximum of the scale of rates. Without it, a service with a
	// low rate would look like one with a high rate.
	minTop = 2
)

// colours of the causes, in the order of burn.Causes.
var colours = [len(burn.Causes)]string{"#b23a48", "#d98e04", "#6a4c93", "#2a7f9e", "#7a7a7a"}

// plot is a curve of the burn rate over bars of misses by cause.
type plot struct {
	Width, Height, Margin int
	Top, Right            float64
	Curve                 string
	Bars                  []bar
	Bounds                []line
	Hours                 []label
	MaxMissed             int64
	Legend                []entry
}

type bar struct {
	X, Y, Width, Height float64
	Colour, Title       string
}

type line struct {
	Y    float64
	Name string
}

type label struct {
	X    float64
	Text string
}

type entry struct{ Colour, Name string }

// newPlot draws the points of a row. It returns nil if they have no requests.
func newPlot(row burn.Row) *plot {
	p := &plot{Width: width, Height: height, Margin: margin, Right: width, Top: minTop}
	requests := int64(0)
	for _, point := range row.Points {
		p.Top = max(p.Top, point.Rate)
		p.MaxMissed = max(p.MaxMissed, missedRequests(point))
		requests += point.Requests
	}
	if requests == 0 {
		return nil
	}
	p.addCurve(row.Points)
	for i, point := range row.Points {
		p.addBars(i, len(row.Points), point)
	}
	p.addScale(row.Points)
	for i, c := range burn.Causes {
		p.Legend = append(p.Legend, entry{colours[i], c.String()})
	}
	return p
}

func missedRequests(p burn.Point) int64 {
	var n int64
	for _, m := range p.Missed {
		n += m
	}
	return n
}

func (p *plot) x(i, n int) float64 { return margin + float64(i)*float64(width-margin)/float64(n) }

// y returns the position of a rate. The scale is a square root, so that rates of 1
// and of 100 can both be read in one plot.
func (p *plot) y(rate float64) float64 {
	return float64(height) * (1 - math.Sqrt(rate/p.Top))
}

func (p *plot) addCurve(points []burn.Point) {
	var path strings.Builder
	for i, point := range points {
		command := "L"
		if i == 0 {
			command = "M"
		}
		fmt.Fprintf(&path, "%s%.1f %.1f ", command, p.x(i, len(points))+p.slotWidth(len(points))/2, p.y(point.Rate))
	}
	p.Curve = strings.TrimSpace(path.String())
}

func (p *plot) slotWidth(n int) float64 { return p.x(1, n) - p.x(0, n) }

// addBars stacks the misses of one slot.
func (p *plot) addBars(i, n int, point burn.Point) {
	bottom := float64(height)
	for cause, m := range point.Missed {
		if m == 0 {
			continue
		}
		h := float64(height) * float64(m) / float64(p.MaxMissed)
		bottom -= h
		p.Bars = append(p.Bars, bar{
			X: p.x(i, n), Y: bottom, Width: p.slotWidth(n) * 0.8, Height: h, Colour: colours[cause],
			Title: fmt.Sprintf("%s UTC: %s %d of %d", point.At.Format("15:04"), burn.Causes[cause], m, point.Requests),
		})
	}
}

// addScale adds the lines of the thresholds within the scale and the labels of full
// hours.
func (p *plot) addScale(points []burn.Point) {
	for _, rate := range []float64{1, burn.SlowRate, burn.FastRate} {
		if rate <= p.Top {
			p.Bounds = append(p.Bounds, line{p.y(rate), fmt.Sprintf("%g", rate)})
		}
	}
	for i, point := range points {
		if point.At.Minute() == 0 {
			p.Hours = append(p.Hours, label{p.x(i, len(points)), point.At.Format("15:04")})
		}
	}
}
