package pipeline

import (
	"net/http"
	"slices"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/gullhaven/gullhaven/bundle"
	"github.com/gullhaven/gullhaven/coord/endless"
	"github.com/gullhaven/gullhaven/coord/verdict"
	"github.com/gullhaven/gullhaven/standin"
)

// Guards against a caller that gets no answer, or is told that its request has not run, because of an engine
// whose answer never ends or comes bit by bit.
func TestEndlessAnswersOfEngines(t *testing.T) {
	for _, c := range []struct {
		name            string
		stream          bool
		every, deadline time.Duration
	}{
		{"stream", true, 0, time.Minute},
		{"whole", false, 0, time.Minute},
		{"slow stream", true, time.Millisecond, 100 * time.Millisecond},
		{"slow whole", false, time.Millisecond, 100 * time.Millisecond},
	} {
		for _, a := range slices.Concat(endless.Heads, endless.Framings, endless.Bodies(strings.Repeat("x", 1000))) {
			t.Run(c.name+", "+a.Name, func(t *testing.T) {
				a.Every = c.every
				s := endless.Serve(t, nil, a)
				r := newRig(t, withEngines(0, standin.EngineConfig{}), withBundle(func(b *bundle.Bundle) { b.Rules.MaxAttempts = 1 }))
				r.addTarget("briefing-llm", "runner-0", s.Addr)
				r.p.SetView(NewView(r.b, "", r.deps.Region))
				resp := r.do(call{body: chat("hello", c.stream, 3), header: map[string]string{HeaderDeadline: strconv.FormatInt(c.deadline.Milliseconds(), 10)}})
				if got := readRefusal(t, resp); resp.StatusCode < http.StatusInternalServerError || got.Verdict != verdict.MayHaveRun {
					t.Errorf("%d %+v", resp.StatusCode, got)
				}
				s.CheckClosed(t, 16<<20)
			})
		}
	}
}
