package capacity

import (
	"bytes"
	"os"
	"path/filepath"
	"regexp"
	"slices"
	"strings"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/gullhaven/gullhaven/coord/claim"
	_ "github.com/gullhaven/gullhaven/coord/fixedseed"
	"github.com/gullhaven/gullhaven/node/limits"
	"github.com/gullhaven/gullhaven/node/loads"
)

func planned(t *testing.T, size Size) *Report {
	t.Helper()
	slopes, err := Recorded()
	if err != nil {
		t.Fatal(err)
	}
	r, err := New(size, slopes)
	if err != nil {
		t.Fatal(err)
	}
	return r
}

// Symptom: a table that shows less cost for a larger system, or fails at some
// size. Cause: a slope used the wrong way round, a division by nothing.
func TestCostGrowsWithEachSize(t *testing.T) {
	slopes, err := Recorded()
	if err != nil {
		t.Fatal(err)
	}
	rapid.Check(t, func(t *rapid.T) {
		small := Planned()
		small.Regions = rapid.IntRange(1, 20).Draw(t, "regions")
		small.Instances = small.Regions * rapid.IntRange(1, 40).Draw(t, "instances")
		small.Targets = rapid.IntRange(1, 2000).Draw(t, "targets")
		small.Skew = float64(rapid.IntRange(1, 20).Draw(t, "skew"))
		small.Voters = rapid.SampledFrom([]int{1, 3, 5}).Draw(t, "voters")
		large := small
		switch rapid.IntRange(0, 3).Draw(t, "what") {
		case 0:
			large.Targets *= 2
		case 1:
			large.Changes *= 2
		case 2:
			large.Requests *= 2
		case 3:
			large.Workspaces *= 2
		}
		a, err := New(small, slopes)
		if err != nil {
			t.Fatal(err)
		}
		b, err := New(large, slopes)
		if err != nil {
			t.Fatal(err)
		}
		for i, role := range a.Roles {
			less, more := role.Whole, b.Roles[i].Whole
			if more.CPU < less.CPU || more.Memory < less.Memory || more.Sent < less.Sent || more.Received < less.Received || less.CPU <= 0 {
				t.Fatalf("%s: %+v, and larger %+v", role.Name, less, more)
			}
		}
	})
}

func TestSizesThatCanNotBe(t *testing.T) {
	for name, spoil := range map[string]func(*Size){
		"no region":           func(s *Size) { s.Regions = 0 },
		"fewer than regions":  func(s *Size) { s.Instances = 3 },
		"share beyond one":    func(s *Size) { s.Once = 1.5 },
		"skew below one":      func(s *Size) { s.Skew = 0.5 },
		"negative requests":   func(s *Size) { s.Requests = -1 },
		"negative workspaces": func(s *Size) { s.Workspaces = -1 },
	} {
		s := Planned()
		spoil(&s)
		if s.Check() == nil {
			t.Errorf("%s is taken", name)
		}
	}
}

// Symptom: the table follows an older version of the code. Cause: a number that
// was changed there and not here.
func TestNumbersAreThoseOfTheCode(t *testing.T) {
	if got := time.Second / loads.TimingOf(1, 0, 0).ShareInterval; got != batchesPerSecond {
		t.Errorf("%d batches a second, here %d", got, batchesPerSecond)
	}
	if claim.MaxRecords != maxClaims {
		t.Errorf("%d claims, here %d", claim.MaxRecords, maxClaims)
	}
	if limits.ReportInterval > demandTime*time.Second {
		t.Errorf("limits are reported every %v, but stay in the reports for %d s", limits.ReportInterval, demandTime)
	}
}

// Symptom: the table has fewer bytes of load reports than an instance receives.
// Cause: a bound of node/loads that does not hold what a message takes.
func TestBoundsOfLoadReportsHoldTheSlopes(t *testing.T) {
	slopes, err := Recorded()
	if err != nil {
		t.Fatal(err)
	}
	if got := slopes.of("loads_message_bytes") + slopes.of("link_message_bytes"); got > loads.MessageBytes {
		t.Errorf("a message takes %v B, the bound is %d", got, loads.MessageBytes)
	}
	if got := slopes.of("observation_bytes"); got > loads.LoadBytes {
		t.Errorf("an observation takes %v B, the bound is %d", got, loads.LoadBytes)
	}
}

// command names the benchmark or test and the package of a slope's command.
var command = regexp.MustCompile(`-(bench|run) '?([A-Z]\w+)'?.* (\S+)$`)

// Symptom: nobody can measure a figure again. Cause: its command names a test or
// a package that is gone, or the slope is not used.
func TestEachSlopeCanBeMeasuredAndIsUsed(t *testing.T) {
	list, err := List()
	if err != nil {
		t.Fatal(err)
	}
	used := []string{"install_cpu", "spread_time", "accept_cpu", "path_requests", "path_tokens"}
	for _, role := range planned(t, Planned()).Roles {
		for _, d := range role.Duties {
			used = append(used, d.Slopes...)
		}
	}
	for _, s := range list {
		if !slices.Contains(used, s.Name) && !slices.Contains(told, s.Name) {
			t.Errorf("%s is used nowhere", s.Name)
		}
		m := command.FindStringSubmatch(s.Command)
		if m == nil || s.Value <= 0 || s.Unit == "" {
			t.Errorf("%+v", s)
			continue
		}
		folder := strings.TrimPrefix(m[3], "github.com/gullhaven/gullhaven/")
		kind := map[string]string{"bench": "Benchmark", "run": "Test"}[m[1]]
		if !declares(t, filepath.Join("../..", folder), regexp.MustCompile(`func `+kind+`\w*`+strings.TrimPrefix(m[2], kind))) {
			t.Errorf("%s: nothing runs for %s", s.Name, s.Command)
		}
		if _, err := time.Parse(time.DateOnly, s.Date); err != nil {
			t.Error(err)
		}
	}
}

// told are slopes that docs/CAPACITY.md speaks of beside the table.
var told = []string{"membership_found", "change_bytes", "burn_encoded", "decide_cpu", "stream_memory"}

func declares(t *testing.T, folder string, name *regexp.Regexp) bool {
	t.Helper()
	files, err := filepath.Glob(filepath.Join(folder, "*_test.go"))
	if err != nil {
		t.Fatal(err)
	}
	return slices.ContainsFunc(files, func(f string) bool {
		data, err := os.ReadFile(f)
		return err == nil && name.Match(data)
	})
}

// Symptom: the page decides by figures that the code no longer gives. Cause: a
// slope was measured anew, and the page not written anew.
func TestThePageHasTheTablesOfTheSlopes(t *testing.T) {
	page, err := os.ReadFile("../../docs/CAPACITY.md")
	if err != nil {
		t.Fatal(err)
	}
	for _, size := range []Size{Planned(), Planned().Times(10)} {
		var want bytes.Buffer
		if err := planned(t, size).Write(&want, Markdown); err != nil {
			t.Fatal(err)
		}
		if !bytes.Contains(page, want.Bytes()) {
			t.Errorf("the page lacks the output of gullhaven capacity --markdown at %d instances", size.Instances)
		}
	}
	for _, name := range told {
		if !strings.Contains(string(page), "`"+name+"`") {
			t.Errorf("the page does not speak of %s", name)
		}
	}
}
