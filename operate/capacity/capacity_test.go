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

func newReport(t *testing.T, size Size) *Report {
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

// Guards against a table with lower cost for a larger system, or one that fails at
// some size: a slope used the wrong way round, or a division by zero.
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

func TestImpossibleSizesAreRejected(t *testing.T) {
	for name, spoil := range map[string]func(*Size){
		"no region":           func(s *Size) { s.Regions = 0 },
		"fewer than regions":  func(s *Size) { s.Instances = 3 },
		"share beyond one":    func(s *Size) { s.AtMostOnceShare = 1.5 },
		"skew below one":      func(s *Size) { s.Skew = 0.5 },
		"negative requests":   func(s *Size) { s.Requests = -1 },
		"negative workspaces": func(s *Size) { s.Workspaces = -1 },
	} {
		s := Planned()
		spoil(&s)
		if s.Check() == nil {
			t.Errorf("%s is accepted", name)
		}
	}
}

// Guards against constants of this package that no longer match the code they
// stand for.
func TestConstantsMatchTheCode(t *testing.T) {
	if got := time.Second / loads.TimingOf(1, 0, 0).ShareInterval; got != batchesPerSecond {
		t.Errorf("%d batches a second, here %d", got, batchesPerSecond)
	}
	if claim.MaxRecords != maxClaims {
		t.Errorf("%d claims, here %d", claim.MaxRecords, maxClaims)
	}
	if limits.ReportInterval > demandSeconds*time.Second {
		t.Errorf("limits are reported every %v, but stay in the reports for %d s", limits.ReportInterval, demandSeconds)
	}
}

// Guards against a table with fewer bytes of load reports than an instance receives,
// because a bound of node/loads is below the size of a message.
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

// command matches a slope's command with its benchmark or test and its package.
var command = regexp.MustCompile(`-(bench|run) '?([A-Z]\w+)'?.* (\S+)$`)

// Guards against slopes that can't be measured again, because the command names a
// missing test or package, and against unused slopes.
func TestEachSlopeCanBeMeasuredAndIsUsed(t *testing.T) {
	list, err := List()
	if err != nil {
		t.Fatal(err)
	}
	used := []string{"install_cpu", "spread_time", "accept_cpu", "path_requests", "path_tokens"}
	for _, role := range newReport(t, Planned()).Roles {
		for _, d := range role.Duties {
			used = append(used, d.Slopes...)
		}
	}
	for _, s := range list {
		if !slices.Contains(used, s.Name) && !slices.Contains(pageSlopes, s.Name) {
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

// pageSlopes are the slopes that docs/CAPACITY.md mentions outside the table.
var pageSlopes = []string{"membership_found", "change_bytes", "burn_encoded", "decide_cpu", "stream_memory"}

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

// Guards against figures in docs/CAPACITY.md that differ from the output after a
// slope has changed.
func TestThePageHasTheTablesOfTheSlopes(t *testing.T) {
	page, err := os.ReadFile("../../docs/CAPACITY.md")
	if err != nil {
		t.Fatal(err)
	}
	for _, size := range []Size{Planned(), Planned().Times(10)} {
		var want bytes.Buffer
		if err := newReport(t, size).Write(&want, Markdown); err != nil {
			t.Fatal(err)
		}
		if !bytes.Contains(page, want.Bytes()) {
			t.Errorf("the page lacks the output of gullhaven capacity --markdown at %d instances", size.Instances)
		}
	}
	for _, name := range pageSlopes {
		if !strings.Contains(string(page), "`"+name+"`") {
			t.Errorf("the page does not mention %s", name)
		}
	}
}
