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

const (
	// poisonPause is the mean pause of the caller of a poison request.
	poisonPause = 300 * time.Millisecond
	// poisonDownTime is how long a runner is away that crashed under a poison request.
	poisonDownTime = 800 * time.Millisecond
	// knownCrashes is the number of crashes after which a request must be known everywhere within
	// inTouch, and maxLaterRuns how often it may reach runners after that.
	knownCrashes = 3
	maxLaterRuns = 3
	poisonPath   = platformtest.PathUnsafe + "x" + platformtest.PoisonSuffix
)

// runPoison sends a poison request again and again, under new IDs and at any entry instance.
func (w *World) runPoison(ctx context.Context, rng *rand.Rand) {
	client := &http.Client{Timeout: callTimeout, Transport: &http.Transport{DisableKeepAlives: true}}
	for n := 0; ctx.Err() == nil; n++ {
		if conn := w.connect(ctx, client, rng.IntN(len(w.entries)), rng); conn != nil {
			r := Request{ID: fmt.Sprint("poison-", n), Path: poisonPath, Entry: conn.Address, Start: time.Now()}
			r.Outcome, _ = conn.Do(r.ID, r.Path, deadline, r.Start.Add(2*(deadline+slack)))
			r.End = time.Now()
			conn.Close()
			w.Ledger.AddRequest(r)
		}
		_ = duty.Pause(ctx, time.Duration(rng.Int64N(int64(2*poisonPause))))
	}
}

// crashUnder returns the function that ends a runner under a poison request.
func (w *World) crashUnder(r *runner) func(id string) {
	return func(id string) {
		f := Fault{Kind: Crash, Role: RoleRunner, Number: r.number, For: poisonDownTime}
		w.Ledger.AddCrash(id, time.Now())
		w.wg.Go(func() {
			d := Disturbance{Fault: f, From: time.Now()}
			if err := w.replace(r, f); err != nil {
				w.Ledger.AddViolation("%v under %s: %v", f, id, err)
			}
			d.To = time.Now().Add(effectTime)
			w.Ledger.AddDisturbance(d)
		})
	}
}

// crash is a runner that ended under a poison request.
type crash struct {
	id string
	at time.Time
}

// AddCrash adds a runner that ended under a request. Crashes must be added in the order of their times.
func (l *Ledger) AddCrash(id string, at time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.crashes = append(l.crashes, crash{id, at})
}

// Crashes returns the number of runners that ended under poison requests.
func (l *Ledger) Crashes() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return len(l.crashes)
}

// checkPoison checks that a poison request reaches hardly any runners once it is known.
func (l *Ledger) checkPoison() []string {
	crashes := l.crashesUnder(func(id string) bool { return !strings.HasPrefix(id, deadlyPrefix) })
	if len(crashes) < knownCrashes {
		return nil
	}
	isPoison := func(r *Request) bool { return strings.HasSuffix(r.Path, platformtest.PoisonSuffix) }
	if later := l.sentLater(isPoison, crashes[knownCrashes-1].at.Add(inTouch)); later > maxLaterRuns {
		return []string{fmt.Sprintf("a request under which %d runners had ended reached runners %d times more; %d ended in all", knownCrashes, later, len(crashes))}
	}
	return nil
}
