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

// Run is the report of one run of a whole system: the load of its instances by
// role.
type Run struct {
	// Instances is the number of instances in all.
	Instances int `json:"machines"`
	// Served is the share of the requests due to callers that was served, 0 to 1.
	Served float64 `json:"served"`
	// Load of the instances, by role.
	Load map[string]RoleLoad `json:"load"`
	// ConfigAckMillis is the time until a configuration was acknowledged; 0 where
	// there was none.
	ConfigAckMillis int64 `json:"config_ack_ms"`
}

// RoleLoad is the load of the instances of a role. Values holds the median and the
// maximum over the instances: first those of Figures, then any others.
type RoleLoad struct {
	Instances int          `json:"machines"`
	Values    [][2]float64 `json:"of"`
}

// Figures names the first of RoleLoad.Values, in their order.
var Figures = []string{"processor, % of its part", "memory, MB", "KB/s both ways", "wake-ups/s", "connections"}

// ReadRun reads a report; unknown fields are ignored. A report without instances or
// roles, or with fewer values than Figures, is an error.
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

// CompareRuns writes a table of reports: a column for each, smallest number of
// instances first, a row for each figure of a role, and the exponent by which the
// maximum grows with the number of instances from the first to the last report.
// There must be at least one report.
func CompareRuns(w io.Writer, reports []*Run) error {
	sorted := slices.Clone(reports)
	slices.SortStableFunc(sorted, func(a, b *Run) int { return cmp.Compare(a.Instances, b.Instances) })
	t := &tableWriter{out: w}
	t.compareRow("", "", func(m *Run) string { return fmt.Sprint(m.Instances, " instances") }, sorted, "power")
	t.compareRow("served", "", func(m *Run) string { return fmt.Sprintf("%.3f", m.Served) }, sorted, "")
	t.compareRow("acknowledged", "", func(m *Run) string { return fmt.Sprint(m.ConfigAckMillis, " ms") }, sorted, "")
	first, last := sorted[0], sorted[len(sorted)-1]
	for _, role := range slices.Sorted(maps.Keys(last.Load)) {
		for k, figure := range Figures {
			t.compareRow(role, figure, func(m *Run) string {
				load, ok := m.Load[role]
				if !ok {
					return "-"
				}
				return fmt.Sprintf("%.1f / %.1f", load.Values[k][0], load.Values[k][1])
			}, sorted, growthExponent(first, last, role, k))
		}
	}
	return t.err
}

// compareRow writes one row.
func (t *tableWriter) compareRow(role, figure string, of func(*Run) string, reports []*Run, end string) {
	row := fmt.Sprintf("%-12s %-26s", role, figure)
	for _, m := range reports {
		row += fmt.Sprintf(" %18s", of(m))
	}
	t.line("%s %8s", row, end)
}

// growthExponent returns the exponent by which a role's maximum of figure k grows
// with the number of instances, or "" if the two reports don't determine it.
func growthExponent(first, last *Run, role string, k int) string {
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
