package capacity

import (
	"cmp"
	"encoding/json"
	"fmt"
	"io"
	"maps"
	"math"
	"os"
	"slices"

	"github.com/juju/errors"
)

// Play is what the report of one tells of the instances by role.
type Run struct {
	// Machines is how many instances there were in all.
	Instances int `json:"machines"`
	// Served is the share of what was owed to callers that was served.
	Served float64 `json:"served"`
	// Load is that of each role.
	Load map[string]RoleLoad `json:"load"`
	// Acknowledged are the middle and the longest time until a configuration was acknowledged,
	// in milliseconds; absent where there was none.
	ConfigAckMillis int64 `json:"config_ack_ms"`
}

// RoleLoad is the load of the instances of a role: the middle one and the busiest for each of
// the first Figures, and others that have no name here.
type RoleLoad struct {
	Instances int          `json:"machines"`
	Values    [][2]float64 `json:"of"`
}

// Figures are the names of RoleLoad.Of, in its order.
var Figures = []string{"processor, % of its part", "memory, MB", "KB/s both ways", "wake-ups/s", "connections"}

// ReadPlay reads a report. Fields that it does not know are left out.
func ReadRun(path string) (*Run, error) {
	data, err := os.ReadFile(path)
	if err != nil {
		return nil, errors.Annotate(err, "read a report")
	}
	m := &Run{}
	if err := json.Unmarshal(data, m); err != nil {
		return nil, errors.Annotatef(err, "report %s", path)
	}
	if len(m.Load) == 0 || m.Instances <= 0 {
		return nil, errors.NotValidf("report %s without the load of any role", path)
	}
	for role, load := range m.Load {
		if len(load.Values) < len(Figures) {
			return nil, errors.NotValidf("report %s: role %s with %d of %d figures", path, role, len(load.Values), len(Figures))
		}
	}
	return m, nil
}

// ComparePlays compares reports, the smallest site first: a row for each figure of a role, a
// column for each report, and the power by which the busiest instance grows with the number of
// instances from the first to the last.
func CompareRuns(w io.Writer, reports []*Run) error {
	sorted := slices.Clone(reports)
	slices.SortStableFunc(sorted, func(a, b *Run) int { return cmp.Compare(a.Instances, b.Instances) })
	t := &writer{out: w}
	t.row("", "", func(m *Run) string { return fmt.Sprint(m.Instances, " instances") }, sorted, "power")
	t.row("served", "", func(m *Run) string { return fmt.Sprintf("%.3f", m.Served) }, sorted, "")
	t.row("acknowledged", "", func(m *Run) string { return fmt.Sprint(m.ConfigAckMillis, " ms") }, sorted, "")
	first, last := sorted[0], sorted[len(sorted)-1]
	for _, role := range slices.Sorted(maps.Keys(last.Load)) {
		for k, figure := range Figures {
			t.row(role, figure, func(m *Run) string {
				load, ok := m.Load[role]
				if !ok {
					return "-"
				}
				return fmt.Sprintf("%.1f / %.1f", load.Values[k][0], load.Values[k][1])
			}, sorted, power(first, last, role, k))
		}
	}
	return t.err
}

// row writes one row.
func (t *writer) row(role, figure string, of func(*Run) string, reports []*Run, end string) {
	row := fmt.Sprintf("%-12s %-26s", role, figure)
	for _, m := range reports {
		row += fmt.Sprintf(" %18s", of(m))
	}
	t.line("%s %8s", row, end)
}

// power is that by which the busiest grows; empty where two sizes do not tell it.
func power(first, last *Run, role string, k int) string {
	a, ok := first.Load[role]
	if !ok || first.Instances == last.Instances {
		return ""
	}
	from, to := a.Values[k][1], last.Load[role].Values[k][1]
	if from <= 0 || to <= 0 {
		return ""
	}
	return fmt.Sprintf("%.2f", math.Log(to/from)/math.Log(float64(last.Instances)/float64(first.Instances)))
}
