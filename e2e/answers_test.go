package e2e

import (
	"fmt"
	"sync"
	"testing"

	"github.com/gullhaven/gullhaven/standin"
)

// Symptom: a caller gets another's answer, or takes a part of one for the whole.
// Events: many callers ask at once through all instances of a region; engines
// double, reorder, delay, cut, lose, forge and leave out chunks, and break off.
// Cause: answers matched by order or connection, or an end of bytes that is
// taken for the end of an answer.
func TestWholeAnswersUnderFaults(t *testing.T) {
	c := startShape(t, shape{perRegion: 3, engines: 3, sites: true})
	kinds := []standin.FaultKind{
		standin.FaultDuplicate, standin.FaultReorder, standin.FaultLate, standin.FaultCut, standin.FaultLost,
		standin.FaultGap, standin.FaultForeign, standin.FaultShort, standin.FaultSlow, standin.FaultWrongAnswer, standin.FaultError,
	}
	var faults []standin.Fault
	for _, kind := range kinds {
		faults = append(faults, standin.Fault{Kind: kind, Match: "<" + string(kind) + ">", Chunk: 3, DelayMillis: 20})
	}
	c.sites["jatim"].setFaults(faults...)
	// Kinds whose answers come whole all the same.
	whole := map[standin.FaultKind]bool{
		"": true, standin.FaultDuplicate: true, standin.FaultReorder: true, standin.FaultLate: true,
		standin.FaultCut: true, standin.FaultForeign: true, standin.FaultSlow: true,
	}
	kinds = append(kinds, "", "", "")
	const rounds = 10
	var wg sync.WaitGroup
	for n := range rounds * len(kinds) {
		kind := kinds[n%len(kinds)]
		i := c.in("jatim")[n%3]
		wg.Go(func() {
			prompt := fmt.Sprintf("caller %d <%s>", n, kind)
			tokens := 6 + n%9
			text, err := c.briefing(i, "jatim", prompt, tokens)
			want := standin.Answer([]byte(prompt), tokens)
			if err == nil && text != want {
				t.Errorf("%s got %q, want %q", prompt, text, want)
			}
			if err != nil && whole[kind] {
				t.Errorf("%s failed: %v", prompt, err)
			}
			if err != nil && text == want {
				t.Errorf("%s: a whole answer that ended with %v", prompt, err)
			}
		})
	}
	wg.Wait()
}
