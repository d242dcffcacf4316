package pipeline

import (
	"sync"
	"time"

	"github.com/gullhaven/gullhaven/coord/claim"
)

const (
	// recentTime is how long an end is remembered: the claim's home may still tell that the
	// request runs until it has recorded the end, and such a word is on its way for as long
	// as a question to it may take.
	recentTime = 2 * claim.ClaimWait
	// maxRecent bounds the ends that are remembered; those beyond it are not.
	maxRecent = 4096
)

// recentEnds are the ends of claimed requests that ran at this instance and whose answers
// are not kept here.
//
// What goes wrong without them: a caller whose answer was cut off sends the request again at
// once, before the claim's home has recorded the end, and is told that the request still
// runs, to come back in a second.
type recentEnds struct {
	mu    sync.Mutex
	byKey map[claim.Key]claim.Finish
}

func newRecentEnds() *recentEnds { return &recentEnds{byKey: map[claim.Key]claim.Finish{}} }

// add remembers the end that a command records, if it is one.
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
	time.AfterFunc(recentTime, func() { r.forget(end) })
}

func (r *recentEnds) forget(end claim.Finish) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.byKey[end.Key].Attempt == end.Attempt {
		delete(r.byKey, end.Key)
	}
}

// find returns the end of an attempt, as the claim's home will tell it.
func (r *recentEnds) find(k claim.Key, attempt claim.AttemptID) (claim.Result, bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	end, ok := r.byKey[k]
	if !ok || end.Attempt != attempt {
		return claim.Result{}, false
	}
	return claim.Result{Reply: claim.Done, Verdict: end.Verdict, Status: end.Status, Answer: end.Answer}, true
}
