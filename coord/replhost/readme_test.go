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

// Symptom: the code of the module's README does not compile, or a link of it
// leads nowhere.
// Events: a package changes, and the README does not.
// Cause: nothing compiles a page. Here the code has to stand in the example.
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
