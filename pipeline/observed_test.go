package pipeline

import (
	"io"
	"strings"
	"testing"
	"time"
	"unicode/utf8"

	"github.com/gullhaven/gullhaven/coord/claim"
	"github.com/gullhaven/gullhaven/metrics"
)

// Guards against a time to the first byte that mixes the clock given with that of the machine.
func TestFirstByteIsMeasuredByTheClockGiven(t *testing.T) {
	clock := time.Now()
	observed := outcomeObserver{outcomes: make(chan Outcome, 1)}
	r := newRig(t, withDeps(func(d *Deps) { d.Observer, d.Now = observed, func() time.Time { return clock } }))
	r.do(call{body: chat("p", false, 2)})
	if o := <-observed.outcomes; o.FirstByte != 0 || o.Code != "" {
		t.Errorf("code %q, first byte after %v on a clock that stands still", o.Code, o.FirstByte)
	}
}

// Guards against a claimed request whose answer counts as fewer chunks than others get, and so as
// one with long pauses: the parts of the buffer were counted.
func TestChunksOfAClaimedRequestAreCountedAsOfOthers(t *testing.T) {
	chunks := func(c call) int {
		observed := outcomeObserver{outcomes: make(chan Outcome, 1)}
		r := newRig(t, withDeps(func(d *Deps) { d.Observer = observed }))
		_, _ = io.ReadAll(r.do(c).Body)
		return (<-observed.outcomes).Chunks
	}
	body := chat("p", true, 9)
	claimed := call{body: body, header: map[string]string{HeaderIdempotencyKey: "k", HeaderIdempotent: "false"}}
	if plain, got := chunks(call{body: body}), chunks(claimed); got != plain || plain < 9 {
		t.Errorf("%d chunks, %d without a claim", got, plain)
	}
}

// Guards against a queue that blocks all requests while many regions are new and no worker takes
// them.
func TestRecorderTakesAnyNumberOfRegions(t *testing.T) {
	r := newRecorder(newMemClaims(), metrics.NewSet())
	done := make(chan struct{})
	go func() {
		defer close(done)
		for n := range 1000 {
			r.push("region-"+strings.Repeat("x", n), &claim.Command{})
		}
	}()
	select {
	case <-done:
	case <-time.After(20 * time.Second):
		t.Fatal("blocked")
	}
}

// Guards against messages with a part of a character.
func TestQuotedTextIsWhole(t *testing.T) {
	for _, text := range []string{strings.Repeat("é", 100), strings.Repeat("€", 100), "x" + strings.Repeat("😀", 40), "\xff\xfe", ""} {
		if got := quoted(text); !utf8.ValidString(got) || len(got) > maxQuotedBytes+2 {
			t.Errorf("%q", got)
		}
	}
}
