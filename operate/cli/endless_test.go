package cli_test

import (
	"net/http"
	"slices"
	"strings"
	"testing"

	"github.com/gullhaven/gullhaven/coord/endless"
)

// Guards against an operator's command that never ends, or uses up the memory, as an instance's answer never
// ends.
func TestEndlessAnswersOfInstances(t *testing.T) {
	const maxAnswerBytes = 64 << 20
	for bound, answers := range map[int][]endless.Answer{
		http.DefaultMaxHeaderBytes: slices.Concat(endless.Heads, endless.Framings), maxAnswerBytes: endless.Bodies(strings.Repeat(" ", 1000)),
	} {
		for _, a := range answers {
			t.Run(a.Name, func(t *testing.T) {
				s := endless.Serve(t, nil, a)
				if newHarness(t).run("status", "--to", s.Addr, "--timeout", "30") == 0 {
					t.Error("no error")
				}
				s.CheckClosed(t, bound)
			})
		}
	}
}
