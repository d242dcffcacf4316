package cli_test

import (
	"io/fs"
	"os"
	"path/filepath"
	"regexp"
	"slices"
	"strings"
	"testing"

	"github.com/gullhaven/gullhaven/operate/cli"
)

const root = "../.."

func readPage(t *testing.T, name string) string {
	t.Helper()
	data, err := os.ReadFile(filepath.Join(root, "docs", name))
	if err != nil {
		t.Fatal(err)
	}
	return string(data)
}

// logCall matches a log call with a constant message, anyCall any log call, and
// logRow a row of the page's list.
var (
	logCall = regexp.MustCompile(`(?:\b[lL]og|\bLogger|\bOrdinary|\bAccessLog)\.(?:Check\(zap\.)?(Debug|Info|Warn|Error)(?:Level, |\()\s*"([^"]+)"`)
	anyCall = regexp.MustCompile(`(?:\b[lL]og|\bLogger|\bOrdinary|\bAccessLog)\.(?:Debug|Info|Warn|Error|DPanic|Panic|Fatal|Check)\(`)
	logRow  = regexp.MustCompile("(?m)^\\| (debug|info|warn|error) \\| `([^`]+)` \\| .+ \\| .+ \\|$")
)

// logLines returns level and message of each log call in the daemon's packages.
func logLines(t *testing.T) []string {
	t.Helper()
	var lines []string
	for _, folder := range []string{"node", "daemon", "pipeline", "coord", "bundle", "placement", "route", "ports", "platform", "metrics"} {
		err := filepath.WalkDir(filepath.Join(root, folder), func(path string, entry fs.DirEntry, err error) error {
			if err != nil || entry.IsDir() || !strings.HasSuffix(path, ".go") || strings.HasSuffix(path, "_test.go") {
				return err
			}
			data, err := os.ReadFile(path)
			found := logCall.FindAllStringSubmatch(string(data), -1)
			if n := len(anyCall.FindAll(data, -1)); n != len(found) {
				t.Errorf("%s has %d log calls, %d of them with a constant message of a known level", path, n, len(found))
			}
			for _, m := range found {
				lines = append(lines, strings.ToLower(m[1])+" "+m[2])
			}
			return err
		})
		if err != nil {
			t.Fatal(err)
		}
	}
	return lines
}

// Guards against log lines that docs/OPERATIONS.md doesn't list, and against listed
// lines that the code no longer has.
func TestThePageListsAllLogLines(t *testing.T) {
	lines := logLines(t)
	var documented []string
	for _, m := range logRow.FindAllStringSubmatch(readPage(t, "OPERATIONS.md"), -1) {
		documented = append(documented, m[1]+" "+m[2])
	}
	if len(lines) == 0 {
		t.Fatal("no log line found in the code")
	}
	for _, line := range lines {
		if !slices.Contains(documented, line) {
			t.Errorf("docs/OPERATIONS.md lacks: %s", line)
		}
	}
	for _, line := range documented {
		if !slices.Contains(lines, line) {
			t.Errorf("docs/OPERATIONS.md lists a line that the code lacks: %s", line)
		}
	}
}

// mentionedCommand matches a command in code marks or in an indented block.
var mentionedCommand = regexp.MustCompile("(?m)(?:^ {4,}|`)(?:bin/)?gullhaven ([a-z]+(?: [a-z]+)?)")

// Guards against pages with commands, scripts or headings that don't exist.
func TestCommandsOnThePagesExist(t *testing.T) {
	for _, name := range []string{"OPERATIONS.md", "CAPACITY.md", "METRICS.md"} {
		page := readPage(t, name)
		found := mentionedCommand.FindAllStringSubmatch(page, -1)
		if len(found) == 0 {
			t.Errorf("%s names no command", name)
		}
		for _, m := range found {
			one, _, _ := strings.Cut(m[1], " ")
			if !slices.Contains(cli.Paths(), m[1]) && !slices.Contains(cli.Paths(), one) {
				t.Errorf("%s names gullhaven %s, which does not exist", name, m[1])
			}
		}
		for _, script := range regexp.MustCompile(`scripts/[a-z-]+`).FindAllString(page, -1) {
			if _, err := os.Stat(filepath.Join(root, script)); err != nil {
				t.Error(err)
			}
		}
		checkLinks(t, name, page)
	}
}

var link = regexp.MustCompile(`\]\(([^)#]*)(?:#([a-z0-9-]+))?\)`)

// checkLinks checks that the links of a page lead to existing files and headings.
func checkLinks(t *testing.T, name, page string) {
	t.Helper()
	for _, m := range link.FindAllStringSubmatch(page, -1) {
		target := page
		if m[1] != "" {
			target = readPage(t, m[1])
		}
		if m[2] != "" && !slices.Contains(anchors(target), m[2]) {
			t.Errorf("%s: no heading %s", name, m[0])
		}
	}
}

// anchors returns the anchors of the headings of a page.
func anchors(page string) []string {
	var list []string
	for _, m := range regexp.MustCompile(`(?m)^#+ (.+)$`).FindAllStringSubmatch(page, -1) {
		list = append(list, strings.ReplaceAll(regexp.MustCompile(`[^a-z0-9 -]`).ReplaceAllString(strings.ToLower(m[1]), ""), " ", "-"))
	}
	return list
}
