package e2e

import (
	"io/fs"
	"os"
	"path/filepath"
	"regexp"
	"strings"
	"testing"
)

const root = ".."

var (
	namedTest    = regexp.MustCompile("`(Test[A-Z][A-Za-z0-9_]*)`")
	declaredTest = regexp.MustCompile(`(?m)^func (Test[A-Z][A-Za-z0-9_]*)\(t \*testing\.T\)`)
)

// Guards against docs/PROOF.md naming a test that was renamed or removed. The page
// must name all tests of this package.
func TestProofNamesTheTestsThatExist(t *testing.T) {
	page, err := os.ReadFile(filepath.Join(root, "docs", "PROOF.md"))
	must(t, err)
	declared := map[string]string{}
	must(t, filepath.WalkDir(root, func(path string, d fs.DirEntry, err error) error {
		if err != nil || d.IsDir() || !strings.HasSuffix(path, "_test.go") {
			return err
		}
		data, err := os.ReadFile(path)
		for _, m := range declaredTest.FindAllSubmatch(data, -1) {
			declared[string(m[1])] = filepath.Base(filepath.Dir(path))
		}
		return err
	}))
	named := map[string]bool{}
	for _, m := range namedTest.FindAllSubmatch(page, -1) {
		named[string(m[1])] = true
		if declared[string(m[1])] == "" {
			t.Errorf("docs/PROOF.md names %s, which is no test", m[1])
		}
	}
	for test, dir := range declared {
		if dir == "e2e" && !named[test] {
			t.Errorf("docs/PROOF.md leaves %s out", test)
		}
	}
}
