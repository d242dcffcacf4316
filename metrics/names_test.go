package metrics

import (
	"fmt"
	"os"
	"reflect"
	"regexp"
	"slices"
	"strings"
	"testing"

	"github.com/gullhaven/gullhaven/coord/memory"
	"github.com/gullhaven/gullhaven/ports/serve"
)

// row matches a line of the tables in docs/METRICS.md.
var row = regexp.MustCompile("(?m)^\\| `(gullhaven_[a-z_]+)` \\| (\\w+) \\| (\\w+) \\| (.+) \\|$")

// Guards against a page that describes a metric that no instance has, or lacks one: the page
// and the code are changed separately.
func TestThePageNamesAllMetricsAndNoOther(t *testing.T) {
	page, err := os.ReadFile("../docs/METRICS.md")
	if err != nil {
		t.Fatal(err)
	}
	var onPage []Metric
	for _, m := range row.FindAllStringSubmatch(string(page), -1) {
		onPage = append(onPage, Metric{m[1], Kind(m[2]), m[3], m[4]})
	}
	for _, m := range All {
		if !slices.Contains(onPage, m) {
			t.Errorf("not on the page as it is in the code: %+v", m)
		}
	}
	for _, m := range onPage {
		if !slices.Contains(All, m) {
			t.Errorf("on the page only: %+v", m)
		}
	}
	if len(onPage) != len(All) {
		t.Errorf("%d rows for %d metrics", len(onPage), len(All))
	}
	for _, name := range regexp.MustCompile("gullhaven_[a-z_]+").FindAllString(string(page), -1) {
		known := func(m Metric) bool { return strings.HasPrefix(m.Name, name) }
		if !slices.ContainsFunc(All, known) {
			t.Errorf("the text names an unknown metric, %s", name)
		}
	}
}

// Guards against a metric that is documented but not written, or has another one's value: a
// list was not extended.
func TestAllMetricsAreWritten(t *testing.T) {
	source, err := os.ReadFile("names.go")
	if err != nil {
		t.Fatal(err)
	}
	if n := strings.Count(string(source), "= Metric{"); n != len(Instance) {
		t.Errorf("names.go has %d metrics, Instance %d", n, len(Instance))
	}
	if n := reflect.TypeFor[Control]().NumField(); n != len(controlMetrics) {
		t.Errorf("Control has %d fields, controlMetrics %d", n, len(controlMetrics))
	}
	s := NewSet()
	s.Gauge(InFlight, func() int64 { return 0 })
	s.RegisterControl(func() Control {
		var c Control
		v := reflect.ValueOf(&c).Elem()
		for i := range v.NumField() {
			v.Field(i).SetInt(int64(1000 + i))
		}
		return c
	})
	var page strings.Builder
	if err := s.WritePage(&page); err != nil {
		t.Fatal(err)
	}
	for _, m := range Instance {
		if !strings.Contains(page.String(), fmt.Sprintf("# TYPE %s %s\n", m.Name, m.Kind)) {
			t.Errorf("%s is not written", m.Name)
		}
	}
	for i, m := range controlMetrics {
		if !strings.Contains(page.String(), fmt.Sprintf("\n%s %d\n", m.metric.Name, 1000+i)) {
			t.Errorf("%s does not show field %d of Control", m.metric.Name, i)
		}
	}
}

func TestAllMetricsOfASiteAreWritten(t *testing.T) {
	source, err := os.ReadFile("site.go")
	if err != nil {
		t.Fatal(err)
	}
	if n := strings.Count(string(source), "= Metric{"); n != len(Site) {
		t.Errorf("site.go has %d metrics, Site %d", n, len(Site))
	}
	var page strings.Builder
	entry, core := NewSiteEntry(func() EntryState { return EntryState{} }), NewSiteCore(func() CoreState { return CoreState{} })
	for _, s := range []*Set{entry.Set, core} {
		if err := s.WritePage(&page); err != nil {
			t.Fatal(err)
		}
	}
	for _, m := range Site {
		if !strings.Contains(page.String(), fmt.Sprintf("# TYPE %s %s\n", m.Name, m.Kind)) {
			t.Errorf("%s is not written", m.Name)
		}
	}
}

// Guards against a metric of what clients take up that has the value of another.
func TestIntakeIsWritten(t *testing.T) {
	s := NewSet()
	s.RegisterIntake(func() Intake {
		return Intake{
			Memory: memory.Stats{Limit: 1, Held: 2, Yielded: 3, Refused: 4},
			Conns:  serve.ConnStats{Open: 5, Ended: 6, Refused: 7},
		}
	})
	var page strings.Builder
	if err := s.WritePage(&page); err != nil {
		t.Fatal(err)
	}
	for k, m := range intakeMetrics {
		if !strings.Contains(page.String(), fmt.Sprintf("\n%s %d\n", m.Name, k+1)) {
			t.Errorf("%s is not %d", m.Name, k+1)
		}
	}
}
