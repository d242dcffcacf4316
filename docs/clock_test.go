package docs

import (
	"go/ast"
	"go/parser"
	"go/token"
	"io/fs"
	"path/filepath"
	"slices"
	"strings"
	"testing"
)

// decisionFolders hold code that decides without I/O, with their subfolders.
var decisionFolders = []string{
	"../route", "../placement", "../bundle",
	"../coord/admit", "../coord/claim", "../coord/keys", "../coord/lease", "../coord/limit", "../coord/membership", "../coord/pieces",
	"../coord/registry", "../coord/replog", "../coord/retry", "../coord/ring", "../coord/roster", "../coord/suspect", "../coord/verdict",
}

// clockFolders do I/O and set timers, but get the time from a clock that is passed in; without their
// subfolders.
var clockFolders = []string{"../pipeline"}

// clockReads are functions of package time that read the clock of the process, and timers those that
// wait by it.
var (
	clockReads = []string{"Now", "Since", "Until"}
	timers     = []string{"Sleep", "After", "AfterFunc", "NewTimer", "NewTicker", "Tick"}
)

// Guards against decisions that depend on the clock of the process instead of the time that is passed
// in: they could not be tested in virtual time.
func TestDecisionsReadNoClock(t *testing.T) {
	for _, folder := range decisionFolders {
		err := filepath.WalkDir(folder, func(path string, d fs.DirEntry, err error) error {
			if err == nil && d.IsDir() {
				checkFolder(t, path, append(slices.Clone(clockReads), timers...))
			}
			return err
		})
		if err != nil {
			t.Error(err)
		}
	}
	for _, folder := range clockFolders {
		checkFolder(t, folder, clockReads)
	}
}

// checkFolder reports calls of these functions of package time in a folder, but for tests.
func checkFolder(t *testing.T, folder string, functions []string) {
	files, err := filepath.Glob(filepath.Join(folder, "*.go"))
	if err != nil {
		t.Fatal(err)
	}
	for _, file := range files {
		if !strings.HasSuffix(file, "_test.go") {
			checkFile(t, file, functions)
		}
	}
}

func checkFile(t *testing.T, path string, functions []string) {
	positions := token.NewFileSet()
	file, err := parser.ParseFile(positions, path, nil, 0)
	if err != nil {
		t.Fatal(err)
	}
	ast.Inspect(file, func(n ast.Node) bool {
		call, ok := n.(*ast.CallExpr)
		if !ok {
			return true
		}
		selector, ok := call.Fun.(*ast.SelectorExpr)
		if !ok {
			return true
		}
		pkg, ok := selector.X.(*ast.Ident)
		if ok && pkg.Name == "time" && slices.Contains(functions, selector.Sel.Name) {
			t.Errorf("%s: time.%s", positions.Position(n.Pos()), selector.Sel.Name)
		}
		return true
	})
}
