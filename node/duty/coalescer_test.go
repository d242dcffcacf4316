package duty_test

import (
	"context"
	"testing"
	"testing/synctest"

	"github.com/gullhaven/gullhaven/node/duty"
)

// Guards against one confirmation of a state for each of hundreds of starting instances, one after
// the other, and against a run that began before the request and counts as its answer.
func TestCallersBeforeARunShareIt(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var s duty.Coalescer
		runs, goOn := 0, make(chan struct{})
		go s.Do(t.Context(), func() { runs++; <-goOn })
		synctest.Wait()
		gone, cancel := context.WithCancel(t.Context())
		cancel()
		work := func() { runs++ }
		// A caller that gives up doesn't cancel the run for the others.
		s.Do(gone, work)
		for range 100 {
			go s.Do(t.Context(), work)
		}
		synctest.Wait()
		if runs != 1 {
			t.Errorf("%d runs during the first", runs)
		}
		close(goOn)
		synctest.Wait()
		if runs != 2 {
			t.Errorf("%d runs", runs)
		}
		s.Do(t.Context(), work)
		if runs != 3 {
			t.Errorf("%d runs after one more", runs)
		}
	})
}
