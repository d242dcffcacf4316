package e2e

import (
	"fmt"
	"sync"
	"testing"

	"github.com/gullhaven/gullhaven/standin"
)

// Guards against callers that get another caller's answer or take a part for a complete
// one, if answers are matched by order or connection, or the end of bytes is taken for
// the end of an answer. Many callers send requests through all instances of a region,
// while engines duplicate, reorder, delay, cut, lose, forge and omit chunks.
func TestWholeAnswersUnderFaults(t *testing.T) {
	c := startShape(t, shape{perRegion: 3, engines: 3, inProcessTargets: true})
	kinds := []standin.FaultKind{
		standin.FaultDuplicate, standin.FaultReorder, standin.FaultLate, standin.FaultCut, standin.FaultLost,
		standin.FaultGap, standin.FaultForeign, standin.FaultShort, standin.FaultSlow, standin.FaultWrongAnswer, standin.FaultError,
	}
	var faults []standin.Fault
	for _, kind := range kinds {
		faults = append(faults, standin.Fault{Kind: kind, Match: "<" + string(kind) + ">", Chunk: 3, DelayMillis: 20})
	}
	c.targets["jatim"].setFaults(faults...)
	// Kinds of faults whose answers must be complete.
	whole := map[standin.FaultKind]bool{
		"": true, standin.FaultDuplicate: true, standin.FaultReorder: true, standin.FaultLate: true,
		standin.FaultCut: true, standin.FaultForeign: true, standin.FaultSlow: true,
	}
	kinds = append(kinds, "", "", "")
	const rounds = 10
	var wg sync.WaitGroup
	for n := range rounds * len(kinds) {
		kind := kinds[n%len(kinds)]
		i := c.inRegion("jatim")[n%3]
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
