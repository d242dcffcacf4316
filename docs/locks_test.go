package docs

import (
	"go/ast"
	"go/parser"
	"go/token"
	"io/fs"
	"path/filepath"
	"strings"
	"testing"
)

// Guards against a send that blocks while its goroutine holds a lock: whoever must take the value may
// wait for that lock.
func TestNoSendBlocksUnderALock(t *testing.T) {
	files := 0
	err := filepath.WalkDir("..", func(path string, d fs.DirEntry, err error) error {
		switch {
		case err != nil:
			return err
		case d.IsDir() && (d.Name() == "gen" || d.Name() == ".git" || d.Name() == "target"):
			return filepath.SkipDir
		case !strings.HasSuffix(path, ".go") || strings.HasSuffix(path, "_test.go"):
			return nil
		}
		files++
		found, err := sendsUnderLocks(path, nil)
		for _, position := range found {
			t.Errorf("%s: a send may block under a lock", position)
		}
		return err
	})
	if err != nil || files == 0 {
		t.Errorf("%d files, %v", files, err)
	}
}

// Guards against a check that finds nothing.
func TestSendsUnderLocksAreFound(t *testing.T) {
	for body, want := range map[string]int{
		"mu.Lock(); c <- 1; mu.Unlock()":                                 1,
		"mu.Lock(); defer mu.Unlock(); if true { c <- 1 }":               1,
		"mu.RLock(); for { select { case c <- 1: case <-d: } }":          1,
		"mu.Lock(); mu.Unlock(); c <- 1":                                 0,
		"mu.Lock(); defer mu.Unlock(); select { case c <- 1: default: }": 0,
		"mu.Lock(); go func() { c <- 1 }(); mu.Unlock()":                 0,
		"c <- 1; mu.Lock()":                                              0,
		"go func() { mu.Lock(); c <- 1 }()":                              1,
	} {
		found, err := sendsUnderLocks("x.go", "package x\nfunc f() { "+body+" }")
		if err != nil || len(found) != want {
			t.Errorf("%s: %v, %v", body, found, err)
		}
	}
}

// sendsUnderLocks returns the positions of sends that may block while a lock is held that the same
// function has taken. source is as in parser.ParseFile.
func sendsUnderLocks(path string, source any) (out []token.Position, err error) {
	positions := token.NewFileSet()
	file, err := parser.ParseFile(positions, path, source, 0)
	if err != nil {
		return nil, err
	}
	ast.Inspect(file, func(n ast.Node) bool {
		var body *ast.BlockStmt
		switch f := n.(type) {
		case *ast.FuncDecl:
			body = f.Body
		case *ast.FuncLit:
			body = f.Body
		}
		if body != nil {
			w := lockWalk{report: func(p token.Pos) { out = append(out, positions.Position(p)) }}
			w.block(body.List)
		}
		return true
	})
	return out, nil
}

// lockWalk goes through a function in the order of its statements; branches count as taken one after
// the other.
type lockWalk struct {
	held   int
	report func(token.Pos)
}

func (w *lockWalk) block(list []ast.Stmt) {
	for _, s := range list {
		w.statement(s)
	}
}

func (w *lockWalk) statement(s ast.Stmt) {
	switch s := s.(type) {
	case *ast.ExprStmt:
		w.held = max(0, w.held+lockChange(s.X))
	case *ast.SendStmt:
		if w.held > 0 {
			w.report(s.Pos())
		}
	case *ast.SelectStmt:
		w.selection(s)
	default:
		w.inner(s)
	}
}

// inner walks the blocks of a statement, but not those of function literals, which may run later.
func (w *lockWalk) inner(s ast.Stmt) {
	switch s := s.(type) {
	case *ast.BlockStmt:
		w.block(s.List)
	case *ast.IfStmt:
		held := w.held
		w.block(s.Body.List)
		if endsFunction(s.Body.List) {
			w.held = held
		}
		if s.Else != nil {
			w.statement(s.Else)
		}
	case *ast.ForStmt:
		w.block(s.Body.List)
	case *ast.RangeStmt:
		w.block(s.Body.List)
	case *ast.LabeledStmt:
		w.statement(s.Stmt)
	case *ast.SwitchStmt:
		w.cases(s.Body.List)
	case *ast.TypeSwitchStmt:
		w.cases(s.Body.List)
	}
}

func (w *lockWalk) cases(clauses []ast.Stmt) {
	for _, c := range clauses {
		if clause, ok := c.(*ast.CaseClause); ok {
			held := w.held
			w.block(clause.Body)
			w.held = held
		}
	}
}

// selection walks a select statement, whose sends block unless it has a default clause.
func (w *lockWalk) selection(s *ast.SelectStmt) {
	blocks := true
	for _, c := range s.Body.List {
		blocks = blocks && c.(*ast.CommClause).Comm != nil
	}
	for _, c := range s.Body.List {
		clause := c.(*ast.CommClause)
		if send, ok := clause.Comm.(*ast.SendStmt); ok && blocks {
			w.statement(send)
		}
		held := w.held
		w.block(clause.Body)
		w.held = held
	}
}

// endsFunction reports whether a block ends with a return, so that what it has unlocked stays locked
// after it.
func endsFunction(list []ast.Stmt) bool {
	if len(list) == 0 {
		return false
	}
	_, ok := list[len(list)-1].(*ast.ReturnStmt)
	return ok
}

// lockChange returns 1 for a call that locks, -1 for one that unlocks, and 0 for others.
func lockChange(x ast.Expr) int {
	call, ok := x.(*ast.CallExpr)
	if !ok {
		return 0
	}
	selector, ok := call.Fun.(*ast.SelectorExpr)
	if !ok {
		return 0
	}
	switch selector.Sel.Name {
	case "Lock", "RLock":
		return 1
	case "Unlock", "RUnlock":
		return -1
	}
	return 0
}
