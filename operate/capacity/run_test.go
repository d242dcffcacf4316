package capacity

import (
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"testing"
)

func writeReport(t *testing.T, text string) string {
	t.Helper()
	path := filepath.Join(t.TempDir(), "report.json")
	if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
		t.Fatal(err)
	}
	return path
}

func reportOf(machines, busiest int) string {
	return fmt.Sprintf(`{"machines":%d,"served":0.97,"config_ack_ms":700,"other":[],"load":{"core":{"machines":3,
		"of":[[1,%d],[20,30],[5,6],[7,8],[9,10],[0.5,0.5]]}}}`, machines, busiest)
}

func TestReportsAreComparedBySize(t *testing.T) {
	var reports []*Run
	for _, text := range []string{reportOf(100, 40), reportOf(10, 4)} {
		m, err := ReadRun(writeReport(t, text))
		if err != nil {
			t.Fatal(err)
		}
		reports = append(reports, m)
	}
	var out strings.Builder
	if err := CompareRuns(&out, reports); err != nil {
		t.Fatal(err)
	}
	lines := strings.Split(out.String(), "\n")
	if !strings.Contains(lines[0], "10 instances") || !strings.HasSuffix(lines[3], "1.00") || !strings.Contains(lines[3], "1.0 / 40.0") {
		t.Errorf("%s", out.String())
	}
}

func TestInvalidReportsAreRejected(t *testing.T) {
	for _, text := range []string{``, `[]`, `{}`, `{"machines":3,"load":{}}`, `{"machines":3,"load":{"core":{"of":[[1,2]]}}}`, `{"machines":"3"}`} {
		if m, err := ReadRun(writeReport(t, text)); err == nil {
			t.Errorf("%s was read as %+v", text, m)
		}
	}
	if _, err := ReadRun(filepath.Join(t.TempDir(), "none")); err == nil {
		t.Error("a missing report was read")
	}
}
