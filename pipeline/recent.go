package pipeline

import (
	"sync"
	"time"

	"github.com/gullhaven/gullhaven/coord/claim"
)

const (
	// recentTTL is how long an end is remembered. Until the region that keeps the claim has
	// recorded the end, it may answer that the request runs, and such an answer can be on
	// its way for as long as a call there may take.
	recentTTL = 2 * claim.ClaimWait
	// maxRecent bounds the ends that are remembered; further ones are dropped.
	maxRecent = 4096
)

// recentEnds holds the ends of claimed requests that ran at this instance and whose answers
// are not buffered here.
//
// Without it, a caller whose answer was cut off and who sends the request again at once,
// before the end is recorded, is told that the request still runs and to retry in a second.
type recentEnds struct {
	mu    sync.Mutex
	byKey map[claim.Key]claim.Finish
}

func newRecentEnds() *recentEnds { return &recentEnds{byKey: map[claim.Key]claim.Finish{}} }

// add remembers the end that a command records, if it records one.
func (r *recentEnds) add(c *claim.Command) {
	if c == nil || c.Finish == nil {
		return
	}
	end := *c.Finish
	r.mu.Lock()
	defer r.mu.Unlock()
	if len(r.byKey) >= maxRecent {
		return
	}
	r.byKey[end.Key] = end
	time.AfterFunc(recentTTL, func() { r.forget(end) })
}

func (r *recentEnds) forget(end claim.Finish) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.byKey[end.Key].Attempt == end.Attempt {
		delete(r.byKey, end.Key)
	}
}

// find returns the end of an attempt, as the region that keeps the claim will report it.
func (r *recentEnds) find(k claim.Key, attempt claim.AttemptID) (claim.Result, bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	end, ok := r.byKey[k]
	if !ok || end.Attempt != attempt {
		return claim.Result{}, false
	}
	return claim.Result{Reply: claim.Done, Verdict: end.Verdict, Status: end.Status, Answer: end.Answer}, true
}
