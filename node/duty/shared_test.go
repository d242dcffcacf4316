package duty_test

import (
	"context"
	"testing"
	"testing/synctest"

	"github.com/gullhaven/gullhaven/node/duty"
)

// Symptom: hundreds of instances that start have a state confirmed each, one after the other.
// Events: they ask while a confirmation is under way.
// Cause: each asked for one of its own; or one that had begun before was taken for an answer.
func TestWorkIsSharedByThoseThatComeBeforeIt(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var s duty.Coalescer
		runs, goOn := 0, make(chan struct{})
		go s.Do(t.Context(), func() { runs++; <-goOn })
		synctest.Wait()
		gone, cancel := context.WithCancel(t.Context())
		cancel()
		work := func() { runs++ }
		// One that gives up does not keep the others from the work.
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
