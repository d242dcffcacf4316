package place

import (
	"sync"
	"time"
)

// The load pattern: a region is cut off or lost, while the others pass on what they have
// too much of, or what only it may serve.

const (
	// reachFails is how many attempts in a row, at any instances of a region, find it out of
	// reach: one may have met an instance that has just ended.
	reachFails = 2
	// reachPause and reachMost bound how long such a region is left out; the pause doubles
	// with each attempt that fails, and one that is back is found within a second.
	reachPause = 250 * time.Millisecond
	reachMost  = time.Second
)

// Reach tells which regions can be reached. It is safe for several goroutines.
//
// What goes wrong with instances that are left out one by one: behind a cut each of sixty
// instances of the region costs somebody the 400 ms that a connection may take.
type Reachability struct {
	mu sync.Mutex
	by map[string]*reach
}

type reach struct {
	failures int
	// until is when it is tried again, by one request at a time.
	until time.Time
}

// Open reports whether requests may be passed on to a region now.
func (r *Reachability) Available(now time.Time, region string) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	known := r.by[region]
	return known == nil || known.failures < reachFails || !now.Before(known.until)
}

// Begin notes that a request is passed on there: while the region is out of reach no other
// is until that one has told.
func (r *Reachability) Begin(now time.Time, region string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if known := r.by[region]; known != nil {
		known.pause(now)
	}
}

// Failed notes that an instance of the region could not be reached, and reports whether the
// region is left out from now on.
func (r *Reachability) Failed(now time.Time, region string) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.by == nil {
		r.by = map[string]*reach{}
	}
	known := r.by[region]
	if known == nil {
		known = &reach{}
		r.by[region] = known
	}
	known.failures++
	known.pause(now)
	return known.failures == reachFails
}

// Answered notes that an instance of the region has answered, and reports whether the region
// had been left out.
func (r *Reachability) Answered(region string) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	known := r.by[region]
	delete(r.by, region)
	return known != nil && known.failures >= reachFails
}

func (r *reach) pause(now time.Time) {
	doubled := max(0, r.failures-reachFails)
	r.until = now.Add(min(reachMost, reachPause<<min(doubled, 8)))
}
