package soak

import (
	"context"
	"fmt"
	"hash/fnv"
	"math/rand/v2"
	"time"

	"github.com/gullhaven/gullhaven/node/duty"
	"github.com/gullhaven/gullhaven/platform/platformtest"
)

const (
	// lateDeadline is the deadline of late senders: above each of slowAnswers.
	lateDeadline = 2 * time.Second
	// lateRedial is the time between two connections of a late sender that fail.
	lateRedial = 20 * time.Millisecond
)

// slowAnswers are the times of answers with Options.SlowAnswers.
var slowAnswers = []time.Duration{workTime, workTime, 600 * time.Millisecond, 1200 * time.Millisecond, 1800 * time.Millisecond}

// answerTime returns the time of an answer of slow runners.
func answerTime(id string) time.Duration {
	h := fnv.New32a()
	_, _ = h.Write([]byte(id))
	return slowAnswers[h.Sum32()%uint32(len(slowAnswers))]
}

// DrawStops returns graceful restarts of one, of some or of all entry instances at once, beside planned work of
// runners, sorted by At.
func DrawStops(seed uint64, s Shape, span time.Duration) []Fault {
	rng := rand.New(rand.NewPCG(seed, 7))
	var out []Fault
	for at := gap(rng); at < span; at += extraGap(rng) {
		if rng.IntN(4) == 0 {
			out = append(out, Fault{Kind: Drain, Role: RoleRunner, Number: rng.IntN(s.Runners), At: at, For: faultTime(rng)})
			continue
		}
		for _, n := range rng.Perm(s.Entries)[:1+rng.IntN(s.Entries)] {
			out = append(out, Fault{Kind: Restart, Role: RoleEntry, Number: n, At: at})
		}
	}
	return out
}

// runLateSender sends to one entry instance without asking a directory, on connections that it keeps until the
// instance closes them, for as long as the instance listens.
func (w *World) runLateSender(ctx context.Context, e *entry, name string, rng *rand.Rand) {
	for n := 0; ctx.Err() == nil; {
		conn, err := platformtest.Dial(e.callers, dialTimeout)
		if err != nil {
			_ = duty.Pause(ctx, lateRedial)
			continue
		}
		for stays := true; stays && ctx.Err() == nil; n++ {
			r := Request{ID: fmt.Sprint(name, "-", n), Path: paths[rng.IntN(len(paths))], Entry: conn.Address, Start: time.Now()}
			r.Outcome, stays = conn.Do(r.ID, r.Path, lateDeadline, r.Start.Add(2*(deadline+slack)))
			r.End = time.Now()
			w.Ledger.AddRequest(r)
			_ = duty.Pause(ctx, time.Duration(rng.Int64N(int64(callerPause))))
		}
		conn.Close()
	}
}
