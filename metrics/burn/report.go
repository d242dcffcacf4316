package burn

import (
	"cmp"
	"slices"
	"time"
)

// Windows that burn is reported over: two short ones that detect an outage and its end fast, and
// two long ones that show whether it is significant.
var Windows = []time.Duration{5 * time.Minute, 30 * time.Minute, time.Hour, LongestWindow}

// Indexes in Windows.
const (
	fiveMinutes = iota
	halfHour
	oneHour
	sixHours
)

const (
	// FastRate over an hour uses up 2% of a month's budget.
	FastRate = 14.4
	// SlowRate over six hours uses up 5% of a month's budget.
	SlowRate = 6
	// minMisses prevents an alarm for a single missed request of a service with little load.
	minMisses = 2
	// minBudget is the budget of an objective that allows no miss.
	minBudget = 1e-6
)

// Verdict is the rating of the burn over all windows.
type Verdict string

// Verdicts. Slow and Fast need a long window, which shows that the burn is significant, and a
// short one, which shows that it continues.
const (
	// Idle services had no requests in the longest window.
	Idle Verdict = "idle"
	// Fine services burn at less than both rates.
	Fine Verdict = "ok"
	// Slow burn: SlowRate over six hours and half an hour. Needs attention within the day.
	Slow Verdict = "slow"
	// Fast burn: FastRate over an hour and five minutes. Needs immediate action.
	Fast Verdict = "fast"
)

// Objective is the objective of a service in the bundle.
type Objective struct {
	Service          string  `json:"service"`
	Share            float64 `json:"share"`
	FirstTokenMillis float64 `json:"first_token_ms"`
}

// Window is the burn in one window.
type Window struct {
	Seconds  float64 `json:"window_s"`
	Requests int64   `json:"requests"`
	Missed   int64   `json:"missed"`
	// Rate is the share missed divided by the share that the objective allows to be missed; at
	// 1 exactly the budget is used up. It is 0 without requests.
	Rate float64 `json:"rate"`
}

// Miss is the number of requests missed through one cause.
type Miss struct {
	Cause    string `json:"cause"`
	Requests int64  `json:"requests"`
}

// Point is a slot of five minutes in a plot.
type Point struct {
	At       time.Time `json:"at"`
	Requests int64     `json:"requests"`
	Rate     float64   `json:"rate"`
	// Missed is in the order of Causes.
	Missed [causeCount]int64 `json:"missed"`
}

// Row is the burn of a service in all regions, in one region, or of one workspace in a region.
type Row struct {
	Service string `json:"service"`
	// Region is empty for all; it is the region of the instances that served the requests.
	Region string `json:"region,omitempty"`
	// Workspace is empty for all, and Rest for those without a history.
	Workspace string   `json:"workspace,omitempty"`
	Verdict   Verdict  `json:"verdict"`
	Windows   []Window `json:"windows"`
	// Causes of the misses in the longest window, the most frequent first.
	Causes []Miss `json:"causes,omitempty"`
	// Points are set in rows of whole regions and services.
	Points []Point `json:"points,omitempty"`
}

// Rest is the id of all workspaces without a history of their own.
const Rest = "(rest)"

// Report is the burn of all services with an objective.
type Report struct {
	At         time.Time   `json:"at"`
	Instances  []string    `json:"instances"`
	Objectives []Objective `json:"objectives"`
	Rows       []Row       `json:"rows"`
}

// NewReport computes the burn from a joined snapshot. Services without an objective are not in
// the report.
func NewReport(s Snapshot, objectives []Objective, now time.Time) Report {
	r := Report{At: now, Objectives: objectives, Instances: []string{}, Rows: []Row{}}
	for _, p := range s.Parts {
		if !slices.Contains(r.Instances, p.Instance) {
			r.Instances = append(r.Instances, p.Instance)
		}
	}
	for _, o := range objectives {
		if o.Share > 0 {
			r.Rows = append(r.Rows, serviceRows(s, o, now)...)
		}
	}
	return r
}

// serviceRows returns the rows of one service: all regions, then each region followed by its
// workspaces.
func serviceRows(s Snapshot, o Objective, now time.Time) []Row {
	whole := newTally(o, now)
	regions := map[string]*tally{}
	for _, p := range s.Parts {
		for _, sp := range p.Services {
			if sp.Service != o.Service {
				continue
			}
			if regions[p.Region] == nil {
				regions[p.Region] = newTally(o, now)
			}
			whole.add(sp)
			regions[p.Region].add(sp)
		}
	}
	rows := []Row{whole.row()}
	for _, name := range sortedKeys(regions) {
		row := regions[name].row()
		row.Region = name
		rows = append(rows, row)
		rows = append(rows, regions[name].workspaceRows(name)...)
	}
	return rows
}

func sortedKeys[V any](m map[string]V) []string {
	names := make([]string, 0, len(m))
	for n := range m {
		names = append(names, n)
	}
	slices.Sort(names)
	return names
}

// tally collects the slots of several parts.
type tally struct {
	objective    Objective
	now          time.Time
	fine, coarse []Slot
	workspaces   map[string][]Slot
}

func newTally(o Objective, now time.Time) *tally {
	return &tally{objective: o, now: now, workspaces: map[string][]Slot{}}
}

func (t *tally) add(p ServicePart) {
	t.fine = append(t.fine, p.Fine...)
	t.coarse = append(t.coarse, p.Coarse...)
	for _, w := range p.Workspaces {
		t.workspaces[w.Workspace] = append(t.workspaces[w.Workspace], w.Slots...)
	}
}

// count returns the sum over a window; all but the longest are covered by the fine slots.
func (t *tally) count(window time.Duration) Count {
	if window > time.Duration(fineSlotCount)*fineSlotDuration {
		return sum(t.coarse, coarseSlotDuration, window, t.now)
	}
	return sum(t.fine, fineSlotDuration, window, t.now)
}

// coarseCount returns the sum over a window from coarse slots only. It covers up to five minutes
// more.
func (t *tally) coarseCount(list []Slot, window time.Duration) Count {
	if window < LongestWindow {
		window += coarseSlotDuration
	}
	return sum(list, coarseSlotDuration, window, t.now)
}

func (t *tally) row() Row {
	counts := make([]Count, len(Windows))
	for i, w := range Windows {
		counts[i] = t.count(w)
	}
	row := t.rowFromCounts(counts)
	row.Points = t.points()
	return row
}

// rowFromCounts returns a row with the counts of each window.
func (t *tally) rowFromCounts(counts []Count) Row {
	row := Row{Service: t.objective.Service, Causes: missesByCause(counts[sixHours])}
	for i, c := range counts {
		row.Windows = append(row.Windows, Window{
			Seconds: Windows[i].Seconds(), Requests: int64(c.Requests), Missed: c.Misses(), Rate: t.rate(c),
		})
	}
	row.Verdict = verdictFor(row.Windows)
	return row
}

func (t *tally) rate(c Count) float64 {
	if c.Requests == 0 {
		return 0
	}
	return float64(c.Misses()) / float64(c.Requests) / max(1-t.objective.Share, minBudget)
}

// verdictFor rates the windows.
func verdictFor(w []Window) Verdict {
	exceeds := func(long, short int, bound float64) bool {
		return w[long].Rate >= bound && w[short].Rate >= bound && w[long].Missed >= minMisses
	}
	switch {
	case w[sixHours].Requests == 0:
		return Idle
	case exceeds(oneHour, fiveMinutes, FastRate):
		return Fast
	case exceeds(sixHours, halfHour, SlowRate):
		return Slow
	default:
		return Fine
	}
}

func missesByCause(c Count) []Miss {
	var list []Miss
	for _, cause := range Causes {
		if n := c.ByCause(cause); n > 0 {
			list = append(list, Miss{Cause: cause.String(), Requests: n})
		}
	}
	slices.SortStableFunc(list, func(x, y Miss) int { return cmp.Compare(y.Requests, x.Requests) })
	return list
}

// points returns the five-minute slots of the longest window.
func (t *tally) points() []Point {
	last := t.now.UnixNano() / int64(coarseSlotDuration)
	var list []Point
	for number := last - int64(coarseSlotCount) + 1; number <= last; number++ {
		at := time.Unix(0, number*int64(coarseSlotDuration)).UTC()
		c := sum(t.coarse, coarseSlotDuration, coarseSlotDuration, at)
		p := Point{At: at, Requests: int64(c.Requests), Rate: t.rate(c)}
		for i, m := range c.Missed {
			p.Missed[i] = int64(m)
		}
		list = append(list, p)
	}
	return list
}

// workspaceRows returns the rows of the workspaces with the most misses, and of the rest. A
// workspace may be in the table of some instances only; the counts of the others lack it, so its
// row is a lower bound.
func (t *tally) workspaceRows(region string) []Row {
	var rows []Row
	rest := make([]Count, len(Windows))
	for i, w := range Windows {
		rest[i] = t.coarseCount(t.coarse, w)
	}
	for _, name := range sortedKeys(t.workspaces) {
		counts := make([]Count, len(Windows))
		for i, w := range Windows {
			counts[i] = t.coarseCount(t.workspaces[name], w)
			rest[i] = rest[i].minus(counts[i])
		}
		row := t.rowFromCounts(counts)
		row.Region, row.Workspace = region, name
		rows = append(rows, row)
	}
	slices.SortStableFunc(rows, func(x, y Row) int { return cmp.Compare(y.Windows[sixHours].Missed, x.Windows[sixHours].Missed) })
	if len(rows) > MaxWorkspaces {
		for _, row := range rows[MaxWorkspaces:] {
			slots := t.workspaces[row.Workspace]
			for i, w := range Windows {
				rest[i] = rest[i].plus(t.coarseCount(slots, w))
			}
		}
		rows = rows[:MaxWorkspaces]
	}
	last := t.rowFromCounts(rest)
	last.Region, last.Workspace = region, Rest
	return append(rows, last)
}
