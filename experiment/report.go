package experiment

import (
	"encoding/json"
	"fmt"
	"io"
	"math"
	"text/tabwriter"

	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/plotutil"
	"gonum.org/v1/plot/vg"
)

// Spread is the mean, minimum and maximum over the seeds.
type Spread struct{ Mean, Min, Max float64 }

// SpreadOf returns the spread of a figure over a row's seeds.
func (r *Row) SpreadOf(figure func(*Figures) float64) Spread {
	s := Spread{Min: math.Inf(1), Max: math.Inf(-1)}
	for i := range r.Seeds {
		v := figure(&r.Seeds[i])
		s.Mean += v / float64(len(r.Seeds))
		s.Min = min(s.Min, v)
		s.Max = max(s.Max, v)
	}
	return s
}

// total returns the sum of a count over the seeds.
func (r *Row) total(count func(*Figures) int) int {
	sum := 0
	for i := range r.Seeds {
		sum += count(&r.Seeds[i])
	}
	return sum
}

func p99(f *Figures) float64    { return float64(f.P99) }
func inTime(f *Figures) float64 { return f.InTime }

// seconds formats a time in milliseconds as seconds.
func seconds(ms float64) string {
	if math.IsInf(ms, 0) {
		return "inf"
	}
	return fmt.Sprintf("%.2f", ms/1000)
}

func (s Spread) seconds() string {
	return fmt.Sprintf("%s (%s-%s)", seconds(s.Mean), seconds(s.Min), seconds(s.Max))
}

func percent(v float64) string { return fmt.Sprintf("%.1f", 100*v) }

func (s Spread) percent() string {
	return fmt.Sprintf("%s (%s-%s)", percent(s.Mean), percent(s.Min), percent(s.Max))
}

const legend = `Times in seconds to the first token of answered model requests; shares in % of
all requests after the warm-up; mean over the seeds, with (min-max).
p99all counts refused, failed and lost as infinite. plain is the p99 of plain
services in ms. forced is the share whose home had no capacity for it: lost, leaving,
loading and crashed targets and peaks counted by rate; fits is the part of it that the
spare capacity elsewhere carries at average work. cost is busy target-seconds per
answered request. doubled, lost and crashes are sums; doubled holds requests sent in
a loop or out of their regions as well. killed is the most targets that one killer took.
Requests are cancelled at their deadline and count as failed then, unless told to
run on: then what is answered late is not in time. Baselines never refuse for a
deadline.
`

const header = "decider\tp50\tp95\tp99\tp99.9\tp99all\tplain\tin time\trefused\tfailed\taway\tforced\tfits\tcost\thits\tdoubled\tlost\tcrashes\tkilled\t"

// WriteTable writes the result as a table, one block per setting.
func (res *Result) WriteTable(out io.Writer) error {
	fmt.Fprint(out, legend)
	tw := tabwriter.NewWriter(out, 0, 0, 2, ' ', tabwriter.AlignRight)
	for i := range res.Rows {
		r := &res.Rows[i]
		if i == 0 || !r.sameSetting(&res.Rows[i-1]) {
			if err := tw.Flush(); err != nil {
				return err
			}
			fmt.Fprintf(out, "\n%s, load %s%%, fault %s (%d seeds)\n", r.Workload, percent(r.Load), r.Fault, len(r.Seeds))
			fmt.Fprintln(tw, header)
		}
		r.write(tw)
	}
	return tw.Flush()
}

func (r *Row) sameSetting(o *Row) bool {
	return r.Workload == o.Workload && r.Load == o.Load && r.Fault == o.Fault
}

func (r *Row) write(out io.Writer) {
	mean := func(figure func(*Figures) float64) float64 { return r.SpreadOf(figure).Mean }
	cells := []string{
		r.Decider,
		seconds(mean(func(f *Figures) float64 { return float64(f.P50) })),
		seconds(mean(func(f *Figures) float64 { return float64(f.P95) })),
		r.SpreadOf(p99).seconds(),
		seconds(mean(func(f *Figures) float64 { return float64(f.P999) })),
		seconds(mean(func(f *Figures) float64 { return float64(f.P99All) })),
		fmt.Sprintf("%.0f", mean(func(f *Figures) float64 { return float64(f.PlainP99) })),
		r.SpreadOf(inTime).percent(),
		percent(mean(func(f *Figures) float64 { return f.RefusedShare })),
		percent(mean(func(f *Figures) float64 { return f.FailedShare })),
		percent(mean(func(f *Figures) float64 { return f.Away })),
		percent(mean(func(f *Figures) float64 { return f.Forced })),
		percent(mean(func(f *Figures) float64 { return f.Fits })),
		fmt.Sprintf("%.3f", mean(func(f *Figures) float64 { return f.Cost })),
		percent(mean(func(f *Figures) float64 { return f.CacheHits })),
		fmt.Sprint(r.total(func(f *Figures) int { return f.Doubled + f.Violations })),
		fmt.Sprint(r.total(func(f *Figures) int { return f.Lost })),
		fmt.Sprint(r.total(func(f *Figures) int { return f.Crashes })),
		fmt.Sprint(r.SpreadOf(func(f *Figures) float64 { return float64(f.MostKilled) }).Max),
	}
	for _, c := range cells {
		fmt.Fprint(out, c, "\t")
	}
	fmt.Fprintln(out)
}

// WriteJSON writes the result with all figures of all seeds as JSON.
func (res *Result) WriteJSON(out io.Writer) error {
	enc := json.NewEncoder(out)
	enc.SetIndent("", " ")
	return enc.Encode(res)
}

// Size of a plot.
const (
	plotWidth  = 24 * vg.Centimeter
	plotHeight = 12 * vg.Centimeter
	barWidth   = 9
)

// panel is a kind of plot: one figure for each fault.
type panel struct {
	name, label string
	figure      func(*Figures) float64
}

var panels = []panel{
	{"in-time", "answered in time, % of requests", func(f *Figures) float64 { return 100 * f.InTime }},
	{"p99", "p99 to first token of answered, seconds", func(f *Figures) float64 { return float64(f.P99) / 1000 }},
}

// legendRoom is the height of a plot relative to its highest bar, which leaves
// space for the legend.
const legendRoom = 1.35

// plot draws a panel for one workload and load, with a group of bars for each fault.
func (res *Result) plot(pn panel, workload string, load float64) (*plot.Plot, error) {
	p := plot.New()
	p.Title.Text = fmt.Sprintf("%s at %s%% load", workload, percent(load))
	p.Y.Label.Text = pn.label
	p.Legend.Top = true
	var faults, deciders []string
	values := make(map[string]plotter.Values)
	for i := range res.Rows {
		r := &res.Rows[i]
		if r.Workload != workload || r.Load != load {
			continue
		}
		if len(faults) == 0 || r.Fault != Fault(faults[len(faults)-1]) {
			faults = append(faults, string(r.Fault))
		}
		if values[r.Decider] == nil {
			deciders = append(deciders, r.Decider)
		}
		values[r.Decider] = append(values[r.Decider], r.SpreadOf(pn.figure).Mean)
	}
	for i, d := range deciders {
		bars, err := plotter.NewBarChart(values[d], vg.Points(barWidth))
		if err != nil {
			return nil, err
		}
		bars.Color = plotutil.Color(i)
		bars.Offset = vg.Points(barWidth * (float64(i) - float64(len(deciders)-1)/2))
		p.Add(bars)
		p.Legend.Add(d, bars)
	}
	p.NominalX(faults...)
	p.Y.Max *= legendRoom
	return p, nil
}

// SavePlots writes two plots for each workload and load, of the share in time and
// of the p99, to files named prefix-WORKLOAD-LOAD-NAME.format. It returns the names
// of the written files. format is svg or png.
func (res *Result) SavePlots(prefix, format string) ([]string, error) {
	var names []string
	for i := range res.Rows {
		r := &res.Rows[i]
		if i > 0 && r.Workload == res.Rows[i-1].Workload && r.Load == res.Rows[i-1].Load {
			continue
		}
		for _, pn := range panels {
			p, err := res.plot(pn, r.Workload, r.Load)
			if err != nil {
				return names, err
			}
			name := fmt.Sprintf("%s-%s-%.0f-%s.%s", prefix, r.Workload, 100*r.Load, pn.name, format)
			if err := p.Save(plotWidth, plotHeight, name); err != nil {
				return names, err
			}
			names = append(names, name)
		}
	}
	return names, nil
}
