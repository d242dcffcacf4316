package soak

import (
	"runtime"
	"testing"
	"time"
)

// Guards against processes and listeners that stay behind if a site cannot start.
func TestSiteThatCannotStartLeavesNothingBehind(t *testing.T) {
	before := runtime.NumGoroutine()
	for _, shape := range []Shape{{Cores: 3, Entries: 2, Runners: 3}, {Runners: 1}} {
		o := Options{Binary: t.TempDir(), Dir: t.TempDir(), Shape: shape, Log: t.Logf}
		if shape.Cores == 0 {
			o.Shape.Cores, o.Dir = 1, "/dev/null/none"
		}
		if w, err := NewWorld(o); err == nil || w != nil {
			t.Fatalf("started: %v", err)
		}
	}
	for end := time.Now().Add(20 * time.Second); runtime.NumGoroutine() > before; time.Sleep(time.Millisecond) {
		if time.Now().After(end) {
			t.Fatalf("%d goroutines more than before", runtime.NumGoroutine()-before)
		}
	}
}
