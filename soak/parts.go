package soak

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"strings"
	"time"

	"github.com/gullhaven/gullhaven/node/duty"
	"github.com/gullhaven/gullhaven/platform/platformtest"
)

// Requests with a prompt: those with a deadly part, and sound ones of the same first part.
const (
	deadlyPrefix = "deadly-"
	soundPrefix  = "sound-"
	promptPath   = platformtest.PathStream + "events"
	// soundPause is the mean pause of the caller of sound requests.
	soundPause = 60 * time.Millisecond
	// unframedEvery is the share of requests with a prompt whose answer has neither a length nor chunks.
	unframedEvery = 3
)

const (
	// knownPartCrashes is the number of crashes after which a part must be known everywhere within
	// inTouch, and maxLaterParts how many requests with it may reach runners after that.
	knownPartCrashes = 5
	maxLaterParts    = 3
	// leastSound is the least share of sound requests that begin, of the share without faults, and
	// fewestSound the number of each from which on it is checked.
	leastSound  = 0.5
	fewestSound = 20
)

// runPrompts sends requests with a deadly part, no two alike, or sound ones, at any entry instance.
func (w *World) runPrompts(ctx context.Context, prefix string, pause time.Duration, rng *rand.Rand) {
	client := &http.Client{Timeout: callTimeout, Transport: &http.Transport{DisableKeepAlives: true}}
	for n := 0; ctx.Err() == nil; n++ {
		if conn := w.connect(ctx, client, rng.IntN(len(w.entries)), rng); conn != nil {
			r := Request{ID: fmt.Sprint(prefix, n), Path: promptPath, Entry: conn.Address, Start: time.Now()}
			r.Outcome, _ = conn.DoPrompt(r.ID, r.Path, partsOf(prefix, n), deadline, r.Start.Add(2*(deadline+slack)))
			r.End = time.Now()
			conn.Close()
			w.Ledger.AddRequest(r)
		}
		_ = duty.Pause(ctx, time.Duration(rng.Int64N(int64(2*pause))))
	}
}

// partsOf returns the parts of the n-th prompt: a first one that all share, a few others, and its own.
func partsOf(prefix string, n int) string {
	parts := fmt.Sprintf("a1:9,b%d:9", n%3)
	if prefix == deadlyPrefix {
		parts += "," + platformtest.DeadlyPart + ":9"
	}
	return fmt.Sprintf("%s,%x:9", parts, 0x1000+n)
}

// hasPrompt reports whether a request has a prompt, and unframed whether its answer has neither a length
// nor chunks.
func hasPrompt(id string) bool {
	return strings.HasPrefix(id, deadlyPrefix) || strings.HasPrefix(id, soundPrefix)
}

func unframed(id string) bool {
	sum := 0
	for _, c := range id {
		sum += int(c)
	}
	return hasPrompt(id) && sum%unframedEvery == 0
}

// checkParts checks that requests with a deadly part reach hardly any runners once it is known, and that
// sound ones of the same first part go on.
func (l *Ledger) checkParts() []string {
	crashes := l.crashesUnder(func(id string) bool { return strings.HasPrefix(id, deadlyPrefix) })
	if len(crashes) == 0 {
		return nil
	}
	fifth := crashes[min(knownPartCrashes, len(crashes))-1].at
	var out []string
	if later := l.sentLater(isDeadly, fifth.Add(inTouch)); len(crashes) >= knownPartCrashes && later > maxLaterParts {
		out = append(out, fmt.Sprintf("requests with one part, under which %d runners had ended, reached runners %d times more; %d ended in all", knownPartCrashes, later, len(crashes)))
	}
	return append(out, l.checkSound(crashes[0].at, fifth.Add(2*inTouch))...)
}

func isDeadly(r *Request) bool { return strings.HasPrefix(r.ID, deadlyPrefix) }

// crashesUnder returns the crashes under requests whose IDs are chosen.
func (l *Ledger) crashesUnder(chosen func(id string) bool) (out []crash) {
	for _, c := range l.crashes {
		if chosen(c.id) {
			out = append(out, c)
		}
	}
	return out
}

// sentLater returns the number of chosen requests that reached runners and were sent by instances in
// touch after a time.
func (l *Ledger) sentLater(chosen func(r *Request) bool, after time.Time) int {
	n := 0
	for i := range l.requests {
		r := &l.requests[i]
		if chosen(r) && r.Start.After(after) && l.Runs(r.ID) > 0 && l.isInTouch(r) {
			n++
		}
	}
	return n
}

// checkSound compares the sound requests that began after a time, while deadly ones still came, with those
// that began where no fault was, or before the first crash.
func (l *Ledger) checkSound(firstCrash, after time.Time) []string {
	var until time.Time
	for i := range l.requests {
		if r := &l.requests[i]; isDeadly(r) && r.Start.After(until) {
			until = r.Start
		}
	}
	var usual, late [2]int
	for i := range l.requests {
		r := &l.requests[i]
		if !strings.HasPrefix(r.ID, soundPrefix) || !l.isInTouch(r) {
			continue
		}
		began := r.Signed && r.Status == http.StatusOK
		switch {
		case r.Start.After(after) && r.Start.Before(until):
			count(&late, began)
		case r.Start.Before(firstCrash) && !l.isDisturbed(r, func(d *Disturbance) bool { return !d.Fault.Kind.Planned() }):
			count(&usual, began)
		}
	}
	if usual[0] < fewestSound || late[0] < fewestSound || late[1]*usual[0] >= int(leastSound*float64(usual[1]*late[0])) {
		return nil
	}
	return []string{fmt.Sprintf("%d of %d sound requests of the same first part began, %d of %d without faults", late[1], late[0], usual[1], usual[0])}
}

func count(n *[2]int, began bool) {
	n[0]++
	if began {
		n[1]++
	}
}
