package replhost_test

import (
	"os"
	"path/filepath"
	"regexp"
	"strings"
	"testing"
)

var (
	goBlock = regexp.MustCompile("(?s)```go\n(.*?)```")
	link    = regexp.MustCompile(`\]\(([^)]+)\)`)
)

// Guards against a README whose code does not compile or whose links are broken after a
// package changed: the code must occur in the example, which is compiled.
func TestReadmeShowsTheExample(t *testing.T) {
	page := read(t, "../README.md")
	example := read(t, "example_test.go")
	blocks := goBlock.FindAllStringSubmatch(page, -1)
	if len(blocks) == 0 {
		t.Fatal("the README shows no code")
	}
	for _, b := range blocks {
		if !strings.Contains(example, b[1]) {
			t.Errorf("this is not in example_test.go:\n%s", b[1])
		}
	}
	for _, l := range link.FindAllStringSubmatch(page, -1) {
		if _, err := os.Stat(filepath.Join("..", l[1])); err != nil {
			t.Error(err)
		}
	}
}

func read(t *testing.T, path string) string {
	t.Helper()
	b, err := os.ReadFile(path)
	if err != nil {
		t.Fatal(err)
	}
	return string(b)
}
